package admission

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// fakeEngine is an engine queue with slots: the most urgent request first, and those of one urgency in order of arrival.
type fakeEngine struct {
	slots   int
	running []*fakeRequest
	queue   []*fakeRequest
}

// advance ends requests, removes those whose callers left, and starts waiting ones.
func (e *fakeEngine) advance(now time.Time, onStart func(*fakeRequest), onLeave func(*fakeRequest)) {
	e.running = slices.DeleteFunc(e.running, func(r *fakeRequest) bool { return !now.Before(r.ends) })
	e.queue = slices.DeleteFunc(e.queue, func(r *fakeRequest) bool {
		if now.Before(r.request.Deadline) {
			return false
		}
		onLeave(r)
		return true
	})
	slices.SortStableFunc(e.queue, func(a, b *fakeRequest) int { return cmp.Compare(a.urgency, b.urgency) })
	for len(e.running) < e.slots && len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		next.ends = now.Add(next.service)
		e.running = append(e.running, next)
		onStart(next)
	}
}

// fakeRequest is one request of a load pattern.
type fakeRequest struct {
	request  Request
	service  time.Duration
	gateway  int
	urgency  int
	ends     time.Time
	returned bool
}

// loadKind is a kind of request of a load pattern.
type loadKind struct {
	name      string
	priority  int
	tenant    string
	tokens    int
	objective time.Duration
	// perSecond is how many arrive a second at a time since the start.
	perSecond func(since time.Duration) float64
}

// tally counts how the requests of a kind ended.
type tally struct{ asked, inTime, late, left, refusedTwice int }

// share returns a part of what was asked for.
func (t tally) share(part int) float64 { return float64(part) / float64(max(t.asked, 1)) }

// pattern is a load pattern on one engine of many slots behind several gateways.
type pattern struct {
	slots    int
	gateways int
	lasts    time.Duration
	kinds    []loadKind
	// stopped tells at which times the engine starts nothing.
	stopped func(since time.Duration) bool
	// cutOff gateways learn nothing of the others.
	cutOff int
}

// Times of the load patterns: the step of the clock, how long a request occupies a slot, after which time callers leave, how often gateways
// tell each other their counts, and how long a response is of use.
const (
	patternStep     = 5 * time.Millisecond
	patternService  = 500 * time.Millisecond
	patternPatience = 2 * time.Second
	patternShare    = time.Second
	patternExpiry   = 8 * time.Second
)

// patternRun is the state of a pattern while it is played.
type patternRun struct {
	pattern
	controllers []*Controller
	engine      fakeEngine
	tallies     map[string]*tally
	kindOf      map[*fakeRequest]string
	returns     map[int64][]*fakeRequest
	returnsAt   []time.Time
	idleWhile   int
	random      *rand.Rand
	serial      int
}

// play plays a pattern and returns its state at the end.
func (p pattern) play() *patternRun {
	run := &patternRun{
		pattern: p, engine: fakeEngine{slots: p.slots}, tallies: map[string]*tally{}, kindOf: map[*fakeRequest]string{},
		returns: map[int64][]*fakeRequest{}, random: rand.New(rand.NewPCG(1, 2)),
	}
	priorities := map[string][]Priority{}
	for _, kind := range p.kinds {
		priorities["g"] = append(priorities["g"], Priority{Rule: kind.priority})
		run.tallies[kind.name] = &tally{}
	}
	if slices.MaxFunc(priorities["g"], Priority.Compare) == (Priority{}) {
		priorities["g"] = append(priorities["g"], Priority{Rule: 9})
	}
	for range p.gateways {
		controller := NewController(DefaultSettings())
		controller.SetPriorities(priorities)
		run.controllers = append(run.controllers, controller)
	}
	for since := time.Duration(0); since < p.lasts+2*patternPatience; since += patternStep {
		run.step(since)
	}
	return run
}

// step plays one step of the clock.
func (r *patternRun) step(since time.Duration) {
	now := start.Add(since)
	if since%patternShare == 0 {
		r.share(now)
	}
	r.engine.slots = r.slots
	if r.stopped != nil && r.stopped(since) {
		r.engine.slots = 0
	}
	r.engine.advance(now, func(started *fakeRequest) { r.onStart(now, started) }, func(left *fakeRequest) {
		r.tallies[r.kindOf[left]].left++
		r.controllers[left.gateway].Left(now, slotOf(left.urgency), false)
	})
	for _, returning := range r.returns[int64(since/patternStep)] {
		returning.returned = true
		r.arrive(now, returning)
	}
	for i := range r.kinds {
		kind := &r.kinds[i]
		expected := kind.perSecond(since) * patternStep.Seconds()
		for since < r.lasts && r.random.Float64() < expected {
			expected--
			r.serial++
			serial := uint64(r.serial)
			arrival := &fakeRequest{service: time.Duration(float64(patternService) * (0.5 + r.random.Float64())), request: Request{
				ID: fmt.Sprint(r.serial), Group: "g", Priority: Priority{Rule: kind.priority}, Tenant: kind.tenant, Tokens: kind.tokens, Arrived: now,
				Objective: kind.objective, Deadline: now.Add(patternPatience), Expires: now.Add(patternExpiry), Key: func() uint64 { return serial },
			}}
			r.kindOf[arrival] = kind.name
			r.tallies[kind.name].asked++
			r.arrive(now, arrival)
		}
	}
}

// arrive has a random gateway decide on a request.
func (r *patternRun) arrive(now time.Time, arrival *fakeRequest) {
	arrival.gateway = r.random.IntN(r.gateways)
	controller := r.controllers[arrival.gateway]
	request := arrival.request
	if arrival.returned {
		// Callers leave a stream after a time without events, counted anew when they return.
		request.Deadline = now.Add(patternPatience)
		request.Arrived = now
		arrival.request = request
	}
	inTime := r.wait(controller.OrderOf(now, "g", QueueSlots, controller.InTimeUrgency("g", request.Priority)))
	outlook := Outlook{Start: inTime, QueueWait: inTime, SlotInterval: time.Duration(r.gateways) * patternService / time.Duration(r.slots)}
	outlook.YieldingStart = max(inTime, r.wait(controller.OrderOf(now, "g", QueueSlots, controller.LateUrgency("g", request.Priority))))
	if inTime > 0 {
		outlook.FreeAt = now.Add(inTime)
	}
	switch decision := controller.Decide(now, request, outlook).(type) {
	case Start:
		arrival.urgency = decision.Urgency
		controller.Sent(now, slotOf(decision.Urgency))
		r.engine.queue = append(r.engine.queue, arrival)
	case Refuse:
		if inTime == 0 {
			r.idleWhile++
		}
		if arrival.returned {
			r.tallies[r.kindOf[arrival]].refusedTwice++
			return
		}
		at := now.Add(decision.RetryAfter)
		r.returnsAt = append(r.returnsAt, at)
		step := int64(at.Sub(start)/patternStep) + 1
		r.returns[step] = append(r.returns[step], arrival)
	}
}

// wait returns the expected time until a slot is free for a request to which a share of the queue yields.
func (r *patternRun) wait(order Order) time.Duration {
	excess := len(r.engine.running) + len(r.engine.queue) + 1 - r.slots
	if excess <= 0 {
		return 0
	}
	ahead := max(float64(excess)*(1-order.YieldingShare), 1)
	return time.Duration(ahead * float64(patternService) / float64(r.slots) / (1 - order.UrgentLoad))
}

// onStart counts an answer that starts.
func (r *patternRun) onStart(now time.Time, started *fakeRequest) {
	counts := r.tallies[r.kindOf[started]]
	if now.After(started.request.Arrived.Add(started.request.Objective)) || started.returned {
		counts.late++
	} else {
		counts.inTime++
	}
	r.controllers[started.gateway].Left(now, slotOf(started.urgency), true)
}

// share tells each gateway what the others have at the queues, and the promises that they made.
func (r *patternRun) share(now time.Time) {
	for from, sender := range r.controllers {
		promises, counts := sender.TakePromises(now), sender.Counts(now)
		for to, receiver := range r.controllers {
			if from != to && from >= r.cutOff && to >= r.cutOff {
				receiver.ApplyPeer(now, fmt.Sprint(from), counts)
				receiver.ApplyPromises(now, promises)
			}
		}
	}
}

// slotOf returns the work of waiting for one slot.
func slotOf(urgency int) Work {
	return Work{Group: "g", Queue: QueueSlots, Urgency: urgency, Amount: 1}
}

// steadily returns a constant rate.
func steadily(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// logTallies logs how the requests of each kind ended.
func (r *patternRun) logTallies(t *testing.T) {
	t.Helper()
	for _, kind := range r.kinds {
		c := *r.tallies[kind.name]
		t.Logf("%-8s asked %5d in time %.2f late %.2f left %.2f refused twice %.2f", kind.name, c.asked, c.share(c.inTime), c.share(c.late),
			c.share(c.left), c.share(c.refusedTwice))
	}
}
