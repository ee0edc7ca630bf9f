package store

import "slices"

// isFromLaterEra reports whether the snapshot is of a later era than the replica, so that the store was restored in
// between. The caller holds the mutex.
func (r *Replica) isFromLaterEra(snapshot Snapshot) bool {
	return r.table != nil && snapshot.Revision.Era() > r.revision.Era()
}

// isFromEarlierEra reports whether a revision predates the last restore of the store, so that data of that revision is
// obsolete. The caller holds the mutex.
func (r *Replica) isFromEarlierEra(revision Revision) bool {
	return r.table != nil && revision.Era() < r.revision.Era()
}

// adoptEra replaces all items with a snapshot of a later era. Items that the snapshot lacks are missing until their
// owners write them again. A standby gateway that requests changes after a revision of the earlier era gets full changes.
// The caller holds the mutex.
func (r *Replica) adoptEra(snapshot Snapshot) {
	r.table, r.historyStart = newTable(eventsOf(snapshot.Items)), snapshot.Revision
	r.gapStart, r.gapEnd = 0, 0
}

// ResolveEra sets the era of all revisions, which are encoded without one: to c.Era if that is present and valid, and to
// localEra otherwise.
func (c *Changes) ResolveEra(localEra int64) {
	era := resolveEra(c.Era, localEra)
	c.Revision = c.Revision.withEra(era)
	if c.GapEnd != 0 {
		c.GapStart, c.GapEnd = c.GapStart.withEra(era), c.GapEnd.withEra(era)
	}
	for i := range c.Changed {
		c.Changed[i].Revision = c.Changed[i].Revision.withEra(era)
	}
}

// ResolveEra sets the era of all revisions, which are encoded without one: to s.Era if that is present and valid, and to
// localEra otherwise.
func (s *Snapshot) ResolveEra(localEra int64) {
	era := resolveEra(s.Era, localEra)
	s.Revision = s.Revision.withEra(era)
	s.Items = slices.Clone(s.Items)
	for i := range s.Items {
		s.Items[i].Revision = s.Items[i].Revision.withEra(era)
	}
}

// resolveEra returns the received era if it is present and valid, or else the local one.
func resolveEra(received *int64, localEra int64) int64 {
	if received == nil || *received < 0 || *received >= MaxEras {
		return localEra
	}
	return *received
}

// eraPointer returns the era of a revision for an optional field.
func eraPointer(revision Revision) *int64 {
	era := revision.Era()
	return &era
}

// isOutdated reports whether a response is from an earlier era: the feed may have told of a restore while it was under way.
func (r *Replica) isOutdated(revision Revision) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.isFromEarlierEra(revision)
}
