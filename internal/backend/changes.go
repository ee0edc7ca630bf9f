package backend

// Changes is the difference between two sets of workers. Applying it takes time proportional to the changes, not to
// the size of the fleet.
type Changes struct {
	// Updated holds workers that were added or updated.
	Updated []*Worker
	// Removed holds the IDs of workers that were removed.
	Removed []string
}

// Empty reports whether there are no changes.
func (c Changes) Empty() bool { return len(c.Updated) == 0 && len(c.Removed) == 0 }

// Apply applies the changes to a set.
func (c Changes) Apply(set Set) {
	for _, id := range c.Removed {
		delete(set, id)
	}
	for _, worker := range c.Updated {
		set[worker.ID] = worker
	}
}

// Diff returns the changes from the previous set to s. Workers are compared by their descriptions.
func (s Set) Diff(previous Set) Changes {
	var changes Changes
	for id := range previous {
		if s[id] == nil {
			changes.Removed = append(changes.Removed, id)
		}
	}
	for id, worker := range s {
		if old := previous[id]; old == nil || !old.Equal(worker) {
			changes.Updated = append(changes.Updated, worker)
		}
	}
	return changes
}
