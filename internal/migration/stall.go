package migration

import "time"

// StallSettings configure when silence within a response counts as a stall.
type StallSettings struct {
	// Floor is the shortest silence that counts as a stall.
	Floor time.Duration
	// Intervals is the number of mean intervals between events that a running engine may be silent, including stalls by its other runs.
	Intervals float64
	// LongestFactor is the multiple of the longest interval seen in the run that the engine may be silent.
	LongestFactor float64
	// PatienceShare is the share of the caller's patience after which silence is a stall, whatever the pace was. At most 0.5, so that half of
	// the patience is left to continue elsewhere.
	PatienceShare float64
	// MinIntervals is the number of intervals from which the pace of a run is known.
	MinIntervals int
}

// DefaultStallSettings returns the default settings.
func DefaultStallSettings() StallSettings {
	return StallSettings{Floor: 600 * time.Millisecond, Intervals: 8, LongestFactor: 2, PatienceShare: 0.5, MinIntervals: 3}
}

// intervalWeight is the weight of a new interval in the mean.
const intervalWeight = 0.25

// StallDetector tells a stalled run from a slow one by the pace of its events. It is a pure state machine and not safe for concurrent use.
//
// Invariants: a run is never stalled before Floor, nor later than PatienceShare of the patience; without patience it never is.
type StallDetector struct {
	settings StallSettings
	// patience is the silence after which the caller leaves, zero if it never does.
	patience time.Duration
	// mean is the smoothed interval between events and longest the longest one; count is the number of intervals.
	mean, longest time.Duration
	count         int
}

// NewStallDetector returns a detector for a run. Expected is the interval between events that the engine shows in other runs; zero if unknown.
func NewStallDetector(settings StallSettings, patience, expected time.Duration) StallDetector {
	return StallDetector{settings: settings, patience: patience, mean: expected}
}

// Observe records the time that the engine took for an event after the one before.
func (d *StallDetector) Observe(interval time.Duration) {
	d.count++
	d.longest = max(d.longest, interval)
	if d.mean == 0 {
		d.mean = interval
		return
	}
	d.mean += time.Duration(intervalWeight * float64(interval-d.mean))
}

// Limit returns the silence from which the run is stalled, or zero if it never is.
func (d *StallDetector) Limit() time.Duration {
	longest := time.Duration(d.settings.PatienceShare * float64(d.patience))
	if longest <= 0 || d.count < d.settings.MinIntervals {
		return max(longest, 0)
	}
	explained := max(
		time.Duration(d.settings.Intervals*float64(d.mean)),
		time.Duration(d.settings.LongestFactor*float64(d.longest)),
		d.settings.Floor,
	)
	return min(explained, longest)
}
