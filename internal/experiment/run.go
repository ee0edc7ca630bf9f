package experiment

import (
	"time"

	"github.com/granitebay/granitebay/internal/placement"
	"github.com/granitebay/granitebay/internal/roleplan"
)

// policy is one way of serving a workload.
type policy struct {
	name string
	// prefill is the number of prefill engines at the start.
	prefill int
	control controller
	front   frontSettings
	// dispatchCore runs the dispatch core of the routers in place of the queue of the front.
	dispatchCore bool
	// placer makes the placement; nil takes that of routers.
	placer func(f *front) placer
	// placement settings for ablations.
	placement placement.Settings
	// meter settings of the demand; the zero value takes the default.
	meter roleplan.MeterSettings
}

// fullFront is a front with all its parts.
var fullFront = frontSettings{admission: true, fair: true, prefixes: true, priorities: true}

// periodicInterval is the time between load reports that the front asks for, and between looks at its queue.
const periodicInterval = 250 * time.Millisecond

// drainLimit is how long a run goes on after the last arrival.
const drainLimit = 30 * time.Second

// run is one workload under one policy in virtual time.
type run struct {
	workload *Workload
	policy   policy
	front    *front
	calls    []*call
	changes  int
	samples  []sample
}

// simulate runs a workload to its end.
func simulate(workload *Workload, how policy) *run {
	fleet := newFleet(workload.Engines, how.prefill, workload.Seed)
	front := newFront(fleet, nil, how.front)
	if how.placement.Speeds == nil {
		how.placement = placement.DefaultSettings()
	}
	if how.meter.FastMemory > 0 {
		front.meter = roleplan.NewMeter(epoch, how.meter)
	}
	front.placer = scoredPlacer{settings: how.placement}
	if how.placer != nil {
		front.placer = how.placer(front)
	}
	if how.dispatchCore {
		front.owner = newOwner(front, how.placement, workload.Seed)
	}
	result := &run{workload: workload, policy: how, front: front}
	result.loop()
	return result
}

// timer is something that happens at a moment.
type timer struct {
	at   time.Time
	fire func(now time.Time)
}

// loop takes the earliest of what is due until all is done.
func (r *run) loop() {
	end := epoch.Add(r.workload.Duration + drainLimit)
	arrivals := r.arrivals()
	timers := []*timer{
		arrivals,
		every(periodicInterval, r.front.periodic),
		every(controlInterval, r.control),
		every(sampleInterval, r.sample),
	}
	for {
		number, now := r.front.fleet.nextWake()
		fire := func(now time.Time) { r.front.tick(now, number) }
		for _, each := range timers {
			if !each.at.IsZero() && each.at.Before(now) {
				now, fire = each.at, each.fire
			}
		}
		if now.After(end) {
			return
		}
		fire(now)
	}
}

// arrivals is the timer of the next request.
func (r *run) arrivals() *timer {
	result := &timer{}
	requests := r.workload.Requests
	if len(requests) == 0 {
		return result
	}
	result.at = epoch.Add(requests[0].At)
	result.fire = func(now time.Time) {
		r.calls = append(r.calls, r.front.arrive(now, &requests[0]))
		requests = requests[1:]
		result.at = time.Time{}
		if len(requests) > 0 {
			result.at = epoch.Add(requests[0].At)
		}
	}
	return result
}

// every is a timer that fires again and again.
func every(interval time.Duration, fire func(now time.Time)) *timer {
	result := &timer{at: epoch.Add(interval)}
	result.fire = func(now time.Time) {
		fire(now)
		result.at = now.Add(interval)
	}
	return result
}

func (r *run) control(now time.Time) {
	if now.Sub(epoch) > r.workload.Duration {
		return
	}
	for _, change := range r.policy.control.decide(now, r.front) {
		r.changes++
		r.front.startChange(now, change)
	}
}
