package retrybudget

import (
	"math"
	"time"
)

// confirmedFor is the part of a window for which a confirmed registration vouches that the others count this gateway.
const confirmedFor = 0.7

// freshPart is the part of that time for which the list of gateways may be out of date: the rest is for calls that are slow, and for
// gateways that are told by another one, which add a second.
const freshPart = 0.6

// FreshFor returns how old the list of gateways may become where a share is to last: 4.2 s of a window of 10 s.
func FreshFor(window time.Duration) time.Duration {
	return time.Duration(freshPart * confirmedFor * float64(window))
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
	fewer   int
	fewerAt time.Time
	// changed is when another number of sharers began to count.
	changed time.Time
	// confirmed is when the registration was confirmed last, and since when it has been without a gap.
	since, confirmed time.Time
}

// NewShare returns the share of a gateway of which nobody knows yet.
func NewShare(window time.Duration) *Share { return &Share{window: window, sharers: 1, fewer: 1} }

// valid is how long a confirmation counts.
func (s *Share) valid() time.Duration { return ValidFor(s.window) }

// ValidFor returns how long a confirmation counts: 7 s of a window of 10 s.
func ValidFor(window time.Duration) time.Duration {
	return time.Duration(confirmedFor * float64(window))
}

// BeginFirst is Confirm where the whole system starts for the first time: nobody goes on with a list of before. A share that was never
// confirmed holds at once, and the part of all that may be kept is returned with which its budgets begin; else 0.
//
// The parts of all gateways are 1 together at the most: the k-th to register has k on its list at least, and 1/2 + 1/6 + 1/12 ... is 1.
// Its share would be too much, as those that registered some tenths of a second sooner may have spent what they kept of larger ones.
func (s *Share) BeginFirst(at time.Time) float64 {
	if !s.since.IsZero() {
		s.Confirm(at)
		return 0
	}
	s.since, s.confirmed = at.Add(-s.valid()), at
	return 1 / float64(s.sharers*(s.sharers+1))
}

// SetWindow replaces the window.
func (s *Share) SetWindow(window time.Duration) { s.window = window }

// SetSharers tells by how many the allowance is divided. Fewer count only later: one that is gone from the list may go on for as long
// as its last confirmation counts, and come back unseen for as long again.
func (s *Share) SetSharers(now time.Time, sharers int) {
	sharers = max(sharers, 1)
	s.settle(now)
	switch {
	case sharers > s.sharers:
		s.sharers, s.fewer, s.changed = sharers, sharers, now
	case sharers == s.sharers:
		s.fewer = sharers
	case sharers != s.fewer:
		s.fewer, s.fewerAt = sharers, now.Add(2*s.valid())
	}
}

// settle lets fewer gateways count when it is time.
func (s *Share) settle(now time.Time) {
	if s.fewer != s.sharers && !now.Before(s.fewerAt) {
		s.sharers, s.changed = s.fewer, s.fewerAt
	}
}

// Confirm tells that the store held the registration of this gateway at a moment, and that the list of the others holds all changes up to
// then.
func (s *Share) Confirm(at time.Time) {
	if s.since.IsZero() || at.Sub(s.confirmed) > s.valid() {
		s.since = at
	}
	if at.After(s.confirmed) {
		s.confirmed = at
	}
}

// Sharers returns by how many the allowance is divided.
func (s *Share) Sharers(now time.Time) int {
	s.settle(now)
	return s.sharers
}

// At returns the share of a moment.
func (s *Share) At(now time.Time) float64 {
	s.settle(now)
	// It was on the list for as long as a confirmation counts: a shorter stay may be seen by nobody.
	if s.since.IsZero() || now.Sub(s.since) < s.valid() || s.confirmed.Sub(s.since) < s.valid() || now.Sub(s.confirmed) > s.valid() {
		return 0
	}
	return 1 / float64(s.sharers)
}

// Since returns since when the share of a moment has been in force, or that moment.
func (s *Share) Since(now time.Time) time.Time {
	if s.At(now) == 0 {
		return now
	}
	since := s.since.Add(s.valid())
	if s.changed.After(since) {
		since = s.changed
	}
	return since
}

// entriesAllowance is the part of the allowance of repeats that the entries have, where others stand by. The rest is for callers
// that come to one of those with an old address.
const entriesAllowance = 0.75

// Sharers returns by how many the allowance is divided to give the share of a gateway that stands by, or takes requests as one of
// the entries. The shares of all together are the whole at the most.
func Sharers(standsBy bool, entries, serving int) int {
	switch {
	case entries >= serving:
		return serving
	case standsBy:
		return int(math.Ceil(float64(serving-entries) / (1 - entriesAllowance)))
	default:
		return int(math.Ceil(float64(entries) / entriesAllowance))
	}
}
