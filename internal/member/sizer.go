package member

import "time"

// NeedKey is where the gateway that gives orders writes how many cores the entries are to have together.
const NeedKey = "entries"

// Need is the value of that key.
type Need struct {
	// Cores that the entries have together at least.
	Cores float64 `json:"cores"`
}

// SizerSettings of a sizer.
type SizerSettings struct {
	// MoreFrom is the part of their limits that entries use together from which on more are wanted, once that has lasted for
	// MoreAfter: with half a burst of one and a half times the load and the loss of a quarter of the entries are borne together.
	MoreFrom  float64
	MoreAfter time.Duration
	// LessBelow is the part below which fewer do, once that has lasted for LessAfter: a set that grows and shrinks moves callers.
	LessBelow float64
	LessAfter time.Duration
	// Step is by how many times the cores change at once.
	Step float64
	// Settle is how long after a change its effect is awaited: callers keep the addresses of before for some seconds.
	Settle time.Duration
	// Effect is the part to which a growth has to bring the use for another one to follow. What entries tell each other grows with
	// their number, so that more of them may make things worse.
	Effect float64
}

// DefaultSizerSettings grow within two seconds and shrink slowly.
func DefaultSizerSettings() SizerSettings {
	return SizerSettings{
		MoreFrom: 0.5, MoreAfter: 2 * time.Second, LessBelow: 0.15, LessAfter: time.Minute, Step: 1.5, Settle: 5 * time.Second,
		Effect: 0.9,
	}
}

// Busy is what one entry uses of its limits.
type Busy struct {
	Cores float64
	// Share of its limits that is in use, of the one that is used most.
	Share float64
}

// Sizer says how many cores the entries need. It is a pure state machine.
//
// Invariants: it asks for more only from MoreFrom on, and for more again only if the growth before brought the use down.
type Sizer struct {
	settings SizerSettings
	// highSince and lowSince are since when more are wanted, and fewer would do; zero when not.
	highSince, lowSince time.Time
	// changedAt is when the cores were changed last, and usedBefore what was used before a growth.
	changedAt  time.Time
	usedBefore float64
}

// NewSizer returns a sizer that has seen nothing.
func NewSizer(settings SizerSettings) *Sizer { return &Sizer{settings: settings} }

// Next returns the cores that the entries are to have, given what they use and the need in force, and whether that is to change.
func (s *Sizer) Next(now time.Time, entries []Busy, need float64) (float64, bool) {
	used, have := 0.0, 0.0
	for _, entry := range entries {
		used += entry.Cores * entry.Share
		have += entry.Cores
	}
	if have == 0 {
		return need, false
	}
	used /= have
	high := lasting(&s.highSince, now, used >= s.settings.MoreFrom, s.settings.MoreAfter)
	low := lasting(&s.lowSince, now, need > 0 && used < s.settings.LessBelow, s.settings.LessAfter)
	if !s.changedAt.IsZero() && now.Sub(s.changedAt) < s.settings.Settle {
		return need, false
	}
	switch {
	case high && (s.usedBefore == 0 || used < s.settings.Effect*s.usedBefore):
		s.changedAt, s.usedBefore = now, used
		return have * s.settings.Step, true
	case low:
		s.changedAt, s.usedBefore, s.lowSince = now, 0, time.Time{}
		return need / s.settings.Step, true
	default:
		return need, false
	}
}

// lasting keeps since when something holds, and tells whether it has held for long enough.
func lasting(since *time.Time, now time.Time, holds bool, long time.Duration) bool {
	if !holds {
		*since = time.Time{}
		return false
	}
	if since.IsZero() {
		*since = now
	}
	return now.Sub(*since) >= long
}
