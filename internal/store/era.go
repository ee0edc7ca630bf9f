package store

import "slices"

// restoredIn tells whether a snapshot is of a later era than what is known. The mutex is held.
func (r *Replica) restoredIn(snapshot Snapshot) bool {
	return r.known != nil && snapshot.Revision.Era() > r.after.Era()
}

// behind tells whether something is of an earlier era than what is known, so that it tells nothing. The mutex is held.
func (r *Replica) behind(at Revision) bool { return r.known != nil && at.Era() < r.after.Era() }

// resume takes a snapshot of a later era for all that was known: what it does not hold is gone, or is written again by whoever wrote it. Those
// that learn from this process and know the era before are told everything. The mutex is held.
func (r *Replica) resume(snapshot Snapshot) {
	r.known, r.completeFrom = newTable(eventsOf(snapshot.Items)), snapshot.Revision
	r.gapFrom, r.gapTo = 0, 0
}

// Adopt puts what a teller said into the era that it named, or into one that is known here if it named none.
func (c *Changes) Adopt(known int64) {
	era := eraOr(c.Era, known)
	c.Revision = c.Revision.in(era)
	if c.Until != 0 {
		c.After, c.Until = c.After.in(era), c.Until.in(era)
	}
	for i := range c.Changed {
		c.Changed[i].Revision = c.Changed[i].Revision.in(era)
	}
}

// Adopt puts a snapshot into the era that its teller named, or into one that is known here if it named none.
func (s *Snapshot) Adopt(known int64) {
	era := eraOr(s.Era, known)
	s.Revision = s.Revision.in(era)
	s.Items = slices.Clone(s.Items)
	for i := range s.Items {
		s.Items[i].Revision = s.Items[i].Revision.in(era)
	}
}

// eraOr returns an era that was told, or else one that is known.
func eraOr(told *int64, known int64) int64 {
	if told == nil || *told < 0 || *told >= MostEras {
		return known
	}
	return *told
}

// eraOf returns the era of a revision as it is told.
func eraOf(at Revision) *int64 {
	era := at.Era()
	return &era
}
