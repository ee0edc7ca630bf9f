package backend

// Changes are what has become different in a set of workers. What takes them touches the workers that they name and no others, so that its
// work does not grow with the fleet.
type Changes struct {
	// Put are workers that are new, or described anew.
	Put []*Worker
	// Gone are the ids of those that are no more.
	Gone []string
}

// Empty tells whether nothing has changed.
func (c Changes) Empty() bool { return len(c.Put) == 0 && len(c.Gone) == 0 }

// Apply makes the changes in a set.
func (c Changes) Apply(set Set) {
	for _, id := range c.Gone {
		delete(set, id)
	}
	for _, worker := range c.Put {
		set[worker.ID] = worker
	}
}

// Since returns the changes by which one set becomes another. Workers are compared by their descriptions.
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
