package capacity

import (
	"fmt"
	"math"
	"time"
)

// EstimatorSettings configures an estimator.
type EstimatorSettings struct {
	// TargetUtilization is the intended utilization of the workers at the peak of the demand.
	TargetUtilization float64
	// StableTime is how long the number of workers must not grow after a start until it is taken as the initial number.
	StableTime time.Duration
	// SmoothingBoots is the time constant of the averaged demand in boot times. MinSmoothing and MaxSmoothing bound it.
	SmoothingBoots             float64
	MinSmoothing, MaxSmoothing time.Duration
	// RetentionBoots is how long a peak of the averaged demand counts, in boot times, and MinRetention its minimum. A worker that is removed in
	// a trough and needed again is missing for a boot time.
	RetentionBoots float64
	MinRetention   time.Duration
	// IdleTime is how long after its start a new fleet without demand keeps all workers.
	IdleTime time.Duration
	// MinDecrease is the minimum relative decrease of the need before workers are removed, because the remaining workers have to recompute the
	// prefixes that removed ones had cached.
	MinDecrease float64
	// MaxDecrease is the maximum relative decrease of the need within a boot time, so that the effect of a decrease is seen before the next one.
	MaxDecrease float64
}

// DefaultEstimatorSettings returns the default settings.
func DefaultEstimatorSettings() EstimatorSettings {
	return EstimatorSettings{
		TargetUtilization: 0.6, StableTime: 1500 * time.Millisecond, SmoothingBoots: 0.5, MinSmoothing: time.Second, MaxSmoothing: 5 * time.Second,
		RetentionBoots: 5, MinRetention: 20 * time.Second, IdleTime: 20 * time.Second, MinDecrease: 0.15, MaxDecrease: 0.25,
	}
}

// smoothing returns the time constant of the averaged demand.
func (s EstimatorSettings) smoothing(bootTime time.Duration) time.Duration {
	return min(max(time.Duration(s.SmoothingBoots*float64(bootTime)), s.MinSmoothing), s.MaxSmoothing)
}

// retention returns how long a peak of the averaged demand counts. It is also how long the demand must be watched before workers are removed.
func (s EstimatorSettings) retention(bootTime time.Duration) time.Duration {
	return max(time.Duration(s.RetentionBoots*float64(bootTime)), s.MinRetention)
}

// Estimator estimates how many workers a group needs: the peak of the averaged demand, over the target utilization. Until the demand was
// watched for a while, a new fleet needs at least its initial workers, and a fleet that was there before keeps the workers that it has. It is
// a pure state machine and not safe for concurrent use.
type Estimator struct {
	settings EstimatorSettings
	// retention is how long a peak counts.
	retention time.Duration
	// stableSince is since when the initial number of workers has not grown, and demandSince is when demand was first seen.
	stableSince, demandSince time.Time
	// average is the averaged demand at averagedAt.
	average    float64
	averagedAt time.Time
	peaks      []peakBucket
	// need is the number of workers that the group needs, and initial the number at the start of a new fleet.
	need, initial int
	// decreasedAt is when the need last fell.
	decreasedAt time.Time
	// started is set with the first update, and newFleet if the fleet was new then.
	started, newFleet bool
}

// peakBucket holds the peak demand of an interval.
type peakBucket struct {
	start time.Time
	value float64
}

// peakBuckets is the number of intervals in the retention time of peaks.
const peakBuckets = 8

// demandDelay is how many time constants of the average pass from the first demand until a fleet that is not new goes by it.
const demandDelay = 3

// NewEstimator returns an estimator without observations.
func NewEstimator(settings EstimatorSettings) *Estimator { return &Estimator{settings: settings} }

// Update adds an observation of the group. It returns the number of workers needed, and whether that is known yet.
func (e *Estimator) Update(now time.Time, group Group) (int, bool) {
	if !e.started {
		e.started, e.newFleet, e.stableSince = true, group.NewFleet, now
	}
	e.retention = e.settings.retention(group.BootTime)
	smoothing := e.settings.smoothing(group.BootTime)
	required := int(math.Ceil(e.peakDemand(now, e.averageDemand(now, group.Busy, smoothing)) / e.settings.TargetUtilization))
	if e.newFleet && !e.initialKnown(now) {
		e.trackInitial(now, group)
	}
	if e.demandSince.IsZero() && group.Busy > 0 {
		e.demandSince = now
	}
	switch {
	case !e.observed(now):
		e.need = max(e.need, required)
	case required > e.need:
		e.need = required
	case float64(required) < (1-e.settings.MinDecrease)*float64(e.need) && now.Sub(e.decreasedAt) >= group.BootTime:
		e.need = max(required, int(math.Floor((1-e.settings.MaxDecrease)*float64(e.need))))
		e.decreasedAt = now
	}
	return e.need, e.known(now, demandDelay*smoothing)
}

// known reports whether the need is known: that of a new fleet with the number of its initial workers, that of another with its demand.
func (e *Estimator) known(now time.Time, demandDelay time.Duration) bool {
	if e.newFleet {
		return e.initialKnown(now)
	}
	return !e.demandSince.IsZero() && now.Sub(e.demandSince) >= demandDelay
}

// initialKnown reports whether the number of initial workers is known.
func (e *Estimator) initialKnown(now time.Time) bool {
	return now.Sub(e.stableSince) >= e.settings.StableTime
}

// trackInitial tracks the number of workers present at the start of a new fleet. Spot workers do not count, because they may have been
// ordered since.
func (e *Estimator) trackInitial(now time.Time, group Group) {
	initial := group.Present.OnDemand()
	if initial > e.need || initial == 0 || !group.RecordsComplete {
		e.need, e.stableSince = max(initial, e.need), now
		e.initial = e.need
	}
}

// observed reports whether demand was first seen at least the retention time ago.
func (e *Estimator) observed(now time.Time) bool {
	return !e.demandSince.IsZero() && now.Sub(e.demandSince) >= e.retention
}

// mayRemoveSurplus reports whether workers beyond the plan may be removed: the retention time after the first demand, or IdleTime after the
// start of a new fleet if there was none. The second case lets a group without demand drop the replacements of lost spot workers.
func (e *Estimator) mayRemoveSurplus(now time.Time) bool {
	if e.demandSince.IsZero() {
		return e.newFleet && now.Sub(e.stableSince) >= e.settings.IdleTime
	}
	return e.observed(now)
}

// afterLoss returns how many of the needed workers must remain after the loss of a zone, given the share that the demand requires. A new
// fleet keeps its initial number even then until the demand was watched.
func (e *Estimator) afterLoss(now time.Time, share float64) int {
	remaining := int(math.Ceil(share * float64(e.need)))
	if !e.observed(now) {
		remaining = max(remaining, e.initial)
	}
	return min(remaining, e.need)
}

// reason returns why the group needs its number of workers.
func (e *Estimator) reason(now time.Time) string {
	if e.need <= e.initial && !e.observed(now) {
		return "the number at the start, until the demand has been watched for " + e.retention.String()
	}
	return fmt.Sprintf("the averaged demand of the last %s kept up to %.1f workers busy", e.retention, e.peak())
}

// averageDemand adds a demand and returns the exponentially weighted average.
func (e *Estimator) averageDemand(now time.Time, busy float64, smoothing time.Duration) float64 {
	weight := 0.0
	if !e.averagedAt.IsZero() {
		weight = math.Exp(-now.Sub(e.averagedAt).Seconds() / smoothing.Seconds())
	}
	e.average, e.averagedAt = weight*e.average+(1-weight)*busy, now
	return e.average
}

// peakDemand adds an averaged demand and returns the peak within the retention time.
func (e *Estimator) peakDemand(now time.Time, demand float64) float64 {
	bucketTime := e.retention / peakBuckets
	if len(e.peaks) == 0 || now.Sub(e.peaks[len(e.peaks)-1].start) >= bucketTime {
		e.peaks = append(e.peaks, peakBucket{start: now})
	}
	last := &e.peaks[len(e.peaks)-1]
	last.value = max(last.value, demand)
	for len(e.peaks) > 1 && now.Sub(e.peaks[0].start) > e.retention {
		e.peaks = e.peaks[1:]
	}
	return e.peak()
}

// peak returns the highest averaged demand within the retention time.
func (e *Estimator) peak() float64 {
	highest := 0.0
	for _, bucket := range e.peaks {
		highest = max(highest, bucket.value)
	}
	return highest
}
