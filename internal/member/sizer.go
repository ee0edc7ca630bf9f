package member

import "time"

// EntryNeedKey is the key under which the controller writes how many cores the entries need.
const EntryNeedKey = "entries"

// EntryNeed is the value of EntryNeedKey.
type EntryNeed struct {
	// Cores is the minimum total number of cores of the entries.
	Cores float64 `json:"cores"`
}

// SizerSettings configures a Sizer.
type SizerSettings struct {
	// GrowFrom is the utilization at which the entries need more cores once it has lasted for GrowAfter. A lower value
	// leaves more room for load peaks and lost entries.
	GrowFrom  float64
	GrowAfter time.Duration
	// ShrinkBelow is the utilization below which they need fewer cores once it has lasted for ShrinkAfter. Changing the
	// entries often would keep redirecting callers.
	ShrinkBelow float64
	ShrinkAfter time.Duration
	// ChangeFactor is the factor by which the needed cores grow or shrink.
	ChangeFactor float64
	// SettleTime is how long to wait for the effect of a change, as callers keep the previous addresses for some
	// seconds.
	SettleTime time.Duration
	// MaxUtilizationRatio limits growth: another growth follows only if the last one reduced the utilization to less than
	// this fraction. The messages between entries grow with their number, so more entries may even increase the load.
	MaxUtilizationRatio float64
}

// DefaultSizerSettings returns settings that grow within two seconds and shrink slowly.
func DefaultSizerSettings() SizerSettings {
	return SizerSettings{
		GrowFrom: 0.5, GrowAfter: 2 * time.Second, ShrinkBelow: 0.15, ShrinkAfter: time.Minute, ChangeFactor: 1.5, SettleTime: 5 * time.Second,
		MaxUtilizationRatio: 0.9,
	}
}

// EntryLoad is the utilization of an entry.
type EntryLoad struct {
	Cores float64
	// Utilization is the utilization of its most used resource, as a fraction of the limit.
	Utilization float64
}

// Sizer determines how many cores the entries need. It is a pure state machine.
//
// Invariants: it grows only at a utilization of GrowFrom or more, and grows again only if the previous growth reduced the
// utilization to less than MaxUtilizationRatio of it, or after it shrank.
type Sizer struct {
	settings SizerSettings
	// highSince is since when the utilization is at least GrowFrom, and lowSince since when it is below ShrinkBelow with a
	// need for cores; zero if it is not.
	highSince, lowSince time.Time
	// changedAt is when the need last changed, and utilizationBeforeGrowth the utilization before that if it was a
	// growth.
	changedAt               time.Time
	utilizationBeforeGrowth float64
}

// NewSizer returns a sizer that has seen no utilization.
func NewSizer(settings SizerSettings) *Sizer { return &Sizer{settings: settings} }

// Next returns the cores that the entries need, given their utilization and the current need, and whether the need
// changes.
func (s *Sizer) Next(now time.Time, entries []EntryLoad, need float64) (float64, bool) {
	utilization, cores := 0.0, 0.0
	for _, entry := range entries {
		utilization += entry.Cores * entry.Utilization
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
	case isHigh && (s.utilizationBeforeGrowth == 0 || utilization < s.settings.MaxUtilizationRatio*s.utilizationBeforeGrowth):
		s.changedAt, s.utilizationBeforeGrowth = now, utilization
		return cores * s.settings.ChangeFactor, true
	case isLow:
		s.changedAt, s.utilizationBeforeGrowth, s.lowSince = now, 0, time.Time{}
		return need / s.settings.ChangeFactor, true
	default:
		return need, false
	}
}

// hasHeldFor tracks since when a condition holds and reports whether it has held for the duration.
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
