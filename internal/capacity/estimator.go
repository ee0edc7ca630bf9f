package capacity

import (
	"math"
	"time"
)

// NeedSettings say how many workers a demand needs.
type EstimatorSettings struct {
	// Use is the part of its time for which a worker is to be busy at the peak of the demand: queues grow beyond it.
	TargetUtilization float64
	// Settle is how long the number of workers has to stay as it is at a start before it is taken to be what was provided.
	StableTime time.Duration
	// Learn is how long the demand is watched before fewer workers than were provided are taken to be enough.
	ObservationTime time.Duration
	// Memory is for how long a peak of the demand counts.
	PeakRetention time.Duration
	// Step is the part of the need by which it has to fall for workers to be given back: each change has what leaving ones keep
	// read again.
	MinDecrease float64
}

// DefaultNeedSettings returns the settings that measured best.
func DefaultEstimatorSettings() EstimatorSettings {
	return EstimatorSettings{TargetUtilization: 0.6, StableTime: 1500 * time.Millisecond, ObservationTime: 20 * time.Second, PeakRetention: 40 * time.Second, MinDecrease: 0.15}
}

// Need follows how many workers of a group are needed. Until the demand is known, as many as were provided are. It is a pure state
// machine and not safe for concurrent use.
type Estimator struct {
	settings EstimatorSettings
	// steadySince is since when the number of workers at first has not grown, and demandSince since when there is a demand.
	stableSince, demandSince time.Time
	peaks                    []peakBucket
	current                  int
	// isNew is set when the fleet was new at first.
	newFleet bool
}

// peak is the highest demand of a span of time.
type peakBucket struct {
	start time.Time
	value float64
}

// spans is in how many spans the memory is divided.
const peakBuckets = 8

// NewNeed returns the need of a group of which nothing was seen.
func NewEstimator(settings EstimatorSettings) *Estimator { return &Estimator{settings: settings} }

// Update takes what is seen of the group. It returns how many workers are needed, and false while not even that is known.
func (e *Estimator) Update(now time.Time, group Group) (int, bool) {
	required := int(math.Ceil(e.peakDemand(now, group.Busy) / e.settings.TargetUtilization))
	if !e.stable(now) {
		e.trackInitial(now, group)
	}
	if e.demandSince.IsZero() && group.Busy > 0 {
		e.demandSince = now
	}
	switch {
	case !e.observed(now):
		e.current = max(e.current, required)
	case required > e.current:
		e.current = required
	case float64(required) < (1-e.settings.MinDecrease)*float64(e.current):
		e.current = required
	}
	return e.current, e.stable(now)
}

// settled tells whether it is known what was provided.
func (e *Estimator) stable(now time.Time) bool {
	return !e.stableSince.IsZero() && now.Sub(e.stableSince) >= e.settings.StableTime
}

// provided notes the workers that are there at first: somebody has taken them to be enough. In a fleet that is new the
// spot workers that come were ordered meanwhile, and do not count.
func (e *Estimator) trackInitial(now time.Time, group Group) {
	if e.current == 0 && e.stableSince.IsZero() {
		e.newFleet, e.stableSince = group.New, now
	}
	baseline := group.Present.WithoutLargestSpotZone()
	if e.newFleet {
		baseline = group.Present.Kept()
	}
	if baseline > e.current || baseline == 0 || !group.Certain {
		e.current, e.stableSince = max(baseline, e.current), now
	}
}

// watched tells whether the demand was watched for long enough.
func (e *Estimator) observed(now time.Time) bool {
	return !e.demandSince.IsZero() && now.Sub(e.demandSince) >= e.settings.ObservationTime
}

// surplusKnown tells whether workers beyond the plan may be given back: the demand was watched for long enough, or none came for as long.
// Without the second, a group that nobody asks would keep for good what was ordered while another zone had lost its own.
func (e *Estimator) mayRemoveSurplus(now time.Time) bool {
	if e.demandSince.IsZero() {
		return !e.stableSince.IsZero() && now.Sub(e.stableSince) >= e.settings.ObservationTime
	}
	return e.observed(now)
}

// highest returns the highest demand within the memory.
func (e *Estimator) peakDemand(now time.Time, busy float64) float64 {
	bucketTime := e.settings.PeakRetention / peakBuckets
	if len(e.peaks) == 0 || now.Sub(e.peaks[len(e.peaks)-1].start) >= bucketTime {
		e.peaks = append(e.peaks, peakBucket{start: now})
	}
	last := &e.peaks[len(e.peaks)-1]
	last.value = max(last.value, busy)
	for len(e.peaks) > 1 && now.Sub(e.peaks[0].start) > e.settings.PeakRetention {
		e.peaks = e.peaks[1:]
	}
	highest := 0.0
	for _, bucket := range e.peaks {
		highest = max(highest, bucket.value)
	}
	return highest
}
