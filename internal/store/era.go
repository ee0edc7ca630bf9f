package store

import "slices"

// restoredIn tells whether a snapshot is of a later era than what is known. The mutex is held.
func (r *Replica) isFromLaterEra(snapshot Snapshot) bool {
	return r.table != nil && snapshot.Revision.Era() > r.revision.Era()
}

// behind tells whether something is of an earlier era than what is known, so that it tells nothing. The mutex is held.
func (r *Replica) isFromEarlierEra(revision Revision) bool {
	return r.table != nil && revision.Era() < r.revision.Era()
}

// resume takes a snapshot of a later era for all that was known: what it does not hold is gone, or is written again by whoever wrote it. Those
// that learn from this process and know the era before are told everything. The mutex is held.
func (r *Replica) adoptEra(snapshot Snapshot) {
	r.table, r.historyStart = newTable(eventsOf(snapshot.Items)), snapshot.Revision
	r.gapStart, r.gapEnd = 0, 0
}

// Adopt puts what a teller said into the era that it named, or into one that is known here if it named none.
func (c *Changes) Adopt(localEra int64) {
	era := resolveEra(c.Era, localEra)
	c.Revision = c.Revision.withEra(era)
	if c.GapEnd != 0 {
		c.GapStart, c.GapEnd = c.GapStart.withEra(era), c.GapEnd.withEra(era)
	}
	for i := range c.Changed {
		c.Changed[i].Revision = c.Changed[i].Revision.withEra(era)
	}
}

// Adopt puts a snapshot into the era that its teller named, or into one that is known here if it named none.
func (s *Snapshot) Adopt(localEra int64) {
	era := resolveEra(s.Era, localEra)
	s.Revision = s.Revision.withEra(era)
	s.Items = slices.Clone(s.Items)
	for i := range s.Items {
		s.Items[i].Revision = s.Items[i].Revision.withEra(era)
	}
}

// eraOr returns an era that was told, or else one that is known.
func resolveEra(received *int64, localEra int64) int64 {
	if received == nil || *received < 0 || *received >= MostEras {
		return localEra
	}
	return *received
}

// eraOf returns the era of a revision as it is told.
func eraPointer(revision Revision) *int64 {
	era := revision.Era()
	return &era
}
