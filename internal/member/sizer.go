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
	GrowFrom  float64
	GrowAfter time.Duration
	// LessBelow is the part below which fewer do, once that has lasted for LessAfter: a set that grows and shrinks moves callers.
	ShrinkBelow float64
	ShrinkAfter time.Duration
	// Step is by how many times the cores change at once.
	Factor float64
	// Settle is how long after a change its effect is awaited: callers keep the addresses of before for some seconds.
	SettleTime time.Duration
	// Effect is the part to which a growth has to bring the use for another one to follow. What entries tell each other grows with
	// their number, so that more of them may make things worse.
	MaxRemaining float64
}

// DefaultSizerSettings grow within two seconds and shrink slowly.
func DefaultSizerSettings() SizerSettings {
	return SizerSettings{
		GrowFrom: 0.5, GrowAfter: 2 * time.Second, ShrinkBelow: 0.15, ShrinkAfter: time.Minute, Factor: 1.5, SettleTime: 5 * time.Second,
		MaxRemaining: 0.9,
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
	changedAt               time.Time
	utilizationBeforeGrowth float64
}

// NewSizer returns a sizer that has seen nothing.
func NewSizer(settings SizerSettings) *Sizer { return &Sizer{settings: settings} }

// Next returns the cores that the entries are to have, given what they use and the need in force, and whether that is to change.
func (s *Sizer) Next(now time.Time, entries []Busy, need float64) (float64, bool) {
	utilization, cores := 0.0, 0.0
	for _, entry := range entries {
		utilization += entry.Cores * entry.Share
		cores += entry.Cores
	}
	if cores == 0 {
		return need, false
	}
	utilization /= cores
	isHigh := hasHeldFor(&s.highSince, now, utilization >= s.settings.GrowFrom, s.settings.GrowAfter)
	isLow := hasHeldFor(&s.lowSince, now, need > 0 && utilization < s.settings.ShrinkBelow, s.settings.ShrinkAfter)
	if !s.changedAt.IsZero() && now.Sub(s.changedAt) < s.settings.SettleTime {
		return need, false
	}
	switch {
	case isHigh && (s.utilizationBeforeGrowth == 0 || utilization < s.settings.MaxRemaining*s.utilizationBeforeGrowth):
		s.changedAt, s.utilizationBeforeGrowth = now, utilization
		return cores * s.settings.Factor, true
	case isLow:
		s.changedAt, s.utilizationBeforeGrowth, s.lowSince = now, 0, time.Time{}
		return need / s.settings.Factor, true
	default:
		return need, false
	}
}

// lasting keeps since when something holds, and tells whether it has held for long enough.
func hasHeldFor(since *time.Time, now time.Time, holds bool, duration time.Duration) bool {
	if !holds {
		*since = time.Time{}
		return false
	}
	if since.IsZero() {
		*since = now
	}
	return now.Sub(*since) >= duration
}
