package backend

// Changes is the difference between two sets of workers. Applying it takes time proportional to the changes, not to
// the size of the fleet.
type Changes struct {
	// Put holds workers that were added or updated.
	Put []*Worker
	// Gone holds the IDs of workers that were removed.
	Gone []string
}

// Empty reports whether there are no changes.
func (c Changes) Empty() bool { return len(c.Put) == 0 && len(c.Gone) == 0 }

// Apply applies the changes to a set.
func (c Changes) Apply(set Set) {
	for _, id := range c.Gone {
		delete(set, id)
	}
	for _, worker := range c.Put {
		set[worker.ID] = worker
	}
}

// Since returns the changes from the previous set to s. Workers are compared by their descriptions.
func (s Set) Since(previous Set) Changes {
	var changes Changes
	for id := range previous {
		if s[id] == nil {
			changes.Gone = append(changes.Gone, id)
		}
	}
	for id, worker := range s {
		if old := previous[id]; old == nil || !old.Equal(worker) {
			changes.Put = append(changes.Put, worker)
		}
	}
	return changes
}
