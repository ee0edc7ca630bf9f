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
	// TargetBusy is the part of their limits that entries use in calm times: with a quarter a burst of twice the load and the loss
	// of half of the entries are borne together.
	TargetBusy float64
	// LessBelow is the part of the need of before below which fewer entries are wanted, once that has lasted for LessAfter: a set
	// that grows and shrinks moves callers.
	LessBelow float64
	LessAfter time.Duration
	// MoreBy is by how much more than needed is asked for, so that growing demand moves the set a few times only.
	MoreBy float64
}

// DefaultSizerSettings grow at once and shrink slowly.
func DefaultSizerSettings() SizerSettings {
	return SizerSettings{TargetBusy: 0.25, LessBelow: 0.5, LessAfter: time.Minute, MoreBy: 1.25}
}

// Busy is what one entry uses of its limits.
type Busy struct {
	Cores float64
	// Share of its limits that is in use, of the one that is used most.
	Share float64
}

// Sizer says how many cores the entries need. It is a pure state machine.
//
// Invariant: what it asks for is at least what the demand of the moment takes at TargetBusy, if that is more than the entries have.
type Sizer struct {
	settings SizerSettings
	// lowSince is since when less would do; zero when it would not.
	lowSince time.Time
}

// NewSizer returns a sizer that has seen nothing.
func NewSizer(settings SizerSettings) *Sizer { return &Sizer{settings: settings} }

// Next returns the cores that the entries are to have, given what they use and the need in force, and whether that is to change.
func (s *Sizer) Next(now time.Time, entries []Busy, need float64) (float64, bool) {
	demand, have := 0.0, 0.0
	for _, entry := range entries {
		demand += entry.Cores * entry.Share / s.settings.TargetBusy
		have += entry.Cores
	}
	if demand > have && demand > need {
		s.lowSince = time.Time{}
		return demand * s.settings.MoreBy, true
	}
	if need == 0 || demand > s.settings.LessBelow*need {
		s.lowSince = time.Time{}
		return need, false
	}
	if s.lowSince.IsZero() {
		s.lowSince = now
	}
	if now.Sub(s.lowSince) < s.settings.LessAfter {
		return need, false
	}
	s.lowSince = time.Time{}
	return demand * s.settings.MoreBy, true
}
