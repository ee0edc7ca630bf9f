package retrybudget

import (
	"math"
	"time"
)

// confirmedFor is the part of a window for which a confirmed registration vouches that the others count this gateway.
const confirmationFraction = 0.7

// freshPart is the part of that time for which the list of gateways may be out of date: the rest is for calls that are slow, and for
// gateways that are told by another one, which add a second.
const freshnessFraction = 0.6

// FreshFor returns how old the list of gateways may become where a share is to last: 4.2 s of a window of 10 s.
func FreshFor(window time.Duration) time.Duration {
	return time.Duration(freshnessFraction * confirmationFraction * float64(window))
}

// Share is the part of the common allowance that belongs to this gateway. It is not safe for concurrent use.
//
// It is 1 by the largest number of sharers of late, and nothing while the others need not know of this gateway. One that begins, or
// comes back, waits until every other one that still has a share has read of it in the store; and one that can't confirm its
// registration gives its share up before the others divide by fewer. So being cut off never makes a share larger.
type Share struct {
	window  time.Duration
	sharers int
	// fewer gateways share the allowance from fewerAt on.
	pendingSharers int
	pendingAt      time.Time
	// changed is when another number of sharers began to count.
	sharersSince time.Time
	// confirmed is when the registration was confirmed last, and since when it has been without a gap.
	confirmedSince, lastConfirmed time.Time
}

// NewShare returns the share of a gateway of which nobody knows yet.
func NewShare(window time.Duration) *Share {
	return &Share{window: window, sharers: 1, pendingSharers: 1}
}

// valid is how long a confirmation counts.
func (s *Share) confirmationTTL() time.Duration { return ValidFor(s.window) }

// ValidFor returns how long a confirmation counts: 7 s of a window of 10 s.
func ValidFor(window time.Duration) time.Duration {
	return time.Duration(confirmationFraction * float64(window))
}

// BeginFirst is Confirm where the whole system starts for the first time: nobody goes on with a list of before. A share that was never
// confirmed holds at once, and the part of all that may be kept is returned with which its budgets begin; else 0.
//
// The parts of all gateways are 1 together at the most: the k-th to register has k on its list at least, and 1/2 + 1/6 + 1/12 ... is 1.
// Its share would be too much, as those that registered some tenths of a second sooner may have spent what they kept of larger ones.
func (s *Share) BeginFirst(at time.Time) float64 {
	if !s.confirmedSince.IsZero() {
		s.Confirm(at)
		return 0
	}
	s.confirmedSince, s.lastConfirmed = at.Add(-s.confirmationTTL()), at
	return 1 / float64(s.sharers*(s.sharers+1))
}

// SetWindow replaces the window.
func (s *Share) SetWindow(window time.Duration) { s.window = window }

// SetSharers tells by how many the allowance is divided. Fewer count only later: one that is gone from the list may go on for as long
// as its last confirmation counts, and come back unseen for as long again.
func (s *Share) SetSharers(now time.Time, sharers int) {
	sharers = max(sharers, 1)
	s.applyPending(now)
	switch {
	case sharers > s.sharers:
		s.sharers, s.pendingSharers, s.sharersSince = sharers, sharers, now
	case sharers == s.sharers:
		s.pendingSharers = sharers
	case sharers != s.pendingSharers:
		s.pendingSharers, s.pendingAt = sharers, now.Add(2*s.confirmationTTL())
	}
}

// settle lets fewer gateways count when it is time.
func (s *Share) applyPending(now time.Time) {
	if s.pendingSharers != s.sharers && !now.Before(s.pendingAt) {
		s.sharers, s.sharersSince = s.pendingSharers, s.pendingAt
	}
}

// Confirm tells that the store held the registration of this gateway at a moment, and that the list of the others holds all changes up to
// then.
func (s *Share) Confirm(at time.Time) {
	if s.confirmedSince.IsZero() || at.Sub(s.lastConfirmed) > s.confirmationTTL() {
		s.confirmedSince = at
	}
	if at.After(s.lastConfirmed) {
		s.lastConfirmed = at
	}
}

// Sharers returns by how many the allowance is divided.
func (s *Share) Sharers(now time.Time) int {
	s.applyPending(now)
	return s.sharers
}

// At returns the share of a moment.
func (s *Share) At(now time.Time) float64 {
	s.applyPending(now)
	// It was on the list for as long as a confirmation counts: a shorter stay may be seen by nobody.
	if s.confirmedSince.IsZero() || now.Sub(s.confirmedSince) < s.confirmationTTL() || s.lastConfirmed.Sub(s.confirmedSince) < s.confirmationTTL() || now.Sub(s.lastConfirmed) > s.confirmationTTL() {
		return 0
	}
	return 1 / float64(s.sharers)
}

// Since returns since when the share of a moment has been in force, or that moment.
func (s *Share) Since(now time.Time) time.Time {
	if s.At(now) == 0 {
		return now
	}
	inForceSince := s.confirmedSince.Add(s.confirmationTTL())
	if s.sharersSince.After(inForceSince) {
		inForceSince = s.sharersSince
	}
	return inForceSince
}

// entriesAllowance is the part of the allowance of repeats that the entries have, where others stand by. The rest is for callers
// that come to one of those with an old address.
const entriesFraction = 0.75

// Sharers returns by how many the allowance is divided to give the share of a gateway that stands by, or takes requests as one of
// the entries. The shares of all together are the whole at the most.
func Sharers(standby bool, entries, total int) int {
	switch {
	case entries >= total:
		return total
	case standby:
		return int(math.Ceil(float64(total-entries) / (1 - entriesFraction)))
	default:
		return int(math.Ceil(float64(entries) / entriesFraction))
	}
}
