package balance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/enginemodel"
)

// fleet simulates decode engines before several gateways, each of which learns for itself and hears of the load of the others a little later.
type fleet struct {
	now      time.Time
	pending  fleetEvents
	engines  map[string]*fleetEngine
	gateways []*fleetGateway
	random   *rand.Rand
	// responses are the finished responses, by kind.
	responses map[string][]fleetResponse
	// chosen lists the engines in the order in which they were picked.
	chosen []string
}

// fleetEngine runs as many responses at once as it has slots; the others wait.
type fleetEngine struct {
	worker   *backend.Worker
	interval time.Duration
	// transient returns by which factor the interval is longer at a time after the epoch.
	transient func(at time.Duration) float64
	running   int
	waiting   []func()
}

// fleetGateway is one gateway of a fleet.
type fleetGateway struct {
	balancer *Balancer
	model    *enginemodel.Model
	// others is the load that the other gateways have told of.
	others map[string]backend.Load
}

// fleetResponse is a finished response.
type fleetResponse struct {
	engine                    string
	waited, longest, duration time.Duration
}

// fleetEvents is a heap of what happens next.
type fleetEvents []fleetEvent

// fleetEvent is something that happens at a time.
type fleetEvent struct {
	at  time.Time
	run func()
}

func (e fleetEvents) Len() int           { return len(e) }
func (e fleetEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e fleetEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *fleetEvents) Push(x any)        { *e = append(*e, x.(fleetEvent)) }
func (e *fleetEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// fleetSlots is the number of slots of each engine.
const fleetSlots = 16

// newFleet returns a fleet of four gateways before engines with the given intervals between events. transientShare is the share of the time in which
// an engine takes 2.5 times as long, for 0.6 s at a time.
func newFleet(settings Settings, transientShare float64, intervals ...time.Duration) *fleet {
	f := &fleet{now: epoch, engines: map[string]*fleetEngine{}, random: rand.New(rand.NewPCG(1, 2)), responses: map[string][]fleetResponse{}}
	workers := backend.Set{}
	for i, interval := range intervals {
		id := fmt.Sprintf("e%02d", i)
		worker := &backend.Worker{ID: id, Group: "g", Address: id, Role: backend.RoleDecode, Slots: fleetSlots}
		workers[id] = worker
		f.engines[id] = &fleetEngine{worker: worker, interval: interval, transient: func(at time.Duration) float64 {
			if rand.New(rand.NewPCG(uint64(i), uint64(at/(600*time.Millisecond)))).Float64() < transientShare {
				return 2.5
			}
			return 1
		}}
	}
	for range 4 {
		gateway := &fleetGateway{model: enginemodel.New(), others: map[string]backend.Load{}}
		gateway.balancer = New(settings, gateway.model, func(worker string) backend.Load { return gateway.others[worker] })
		gateway.balancer.SetWorkers(workers)
		f.gateways = append(f.gateways, gateway)
	}
	f.after(0, f.exchange)
	return f
}

// after schedules something.
func (f *fleet) after(delay time.Duration, run func()) {
	heap.Push(&f.pending, fleetEvent{at: f.now.Add(delay), run: run})
}

// exchange tells every gateway the load of the others, and does so again after 50 ms.
func (f *fleet) exchange() {
	for _, gateway := range f.gateways {
		clear(gateway.others)
		for _, other := range f.gateways {
			if other == gateway {
				continue
			}
			for id := range f.engines {
				gateway.others[id] = gateway.others[id].Plus(other.balancer.Load(id))
			}
		}
	}
	f.after(50*time.Millisecond, f.exchange)
}

// offer sends requests of one kind at a mean rate a second, for responses of the given number of events.
func (f *fleet) offer(kind string, perSecond float64, events int) {
	f.after(time.Duration(f.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		f.offer(kind, perSecond, events)
		f.place(kind, events)
	})
}

// place places a request at a random gateway, runs it and records its response.
func (f *fleet) place(kind string, events int) {
	gateway := f.gateways[f.random.IntN(len(f.gateways))]
	choice, _ := gateway.balancer.Pick(f.now, Query{
		Request: fmt.Sprint(kind, len(f.chosen)), Group: "g", Role: backend.RoleDecode,
		Response: enginemodel.Response{Events: float64(events), Spread: 0.3, PauseObjective: 200 * time.Millisecond, Remaining: 8 * time.Second, StartWithin: 250 * time.Millisecond},
	})
	f.chosen = append(f.chosen, choice.Worker.ID)
	engine, load := f.engines[choice.Worker.ID], LoadOf(0, false)
	gateway.balancer.Begin(choice.Worker.ID, load)
	placedAt, stream := f.now, gateway.model.NewStream(choice.Worker)
	var startedAt time.Time
	var send func()
	sent := 0
	send = func() {
		stream.Event(f.now)
		if sent++; sent < events {
			f.after(time.Duration(float64(engine.interval)*engine.transient(f.now.Sub(epoch))), send)
			return
		}
		gateway.model.ObserveRequest(f.now, enginemodel.ClassOf(choice.Worker), f.now.Sub(placedAt))
		gateway.balancer.End(f.now, choice.Worker.ID, OutcomeGood)
		f.responses[kind] = append(f.responses[kind], fleetResponse{
			engine: choice.Worker.ID, waited: startedAt.Sub(placedAt), longest: stream.Longest(), duration: f.now.Sub(placedAt),
		})
		engine.running--
		if len(engine.waiting) > 0 {
			next := engine.waiting[0]
			engine.waiting = engine.waiting[1:]
			next()
		}
	}
	start := func() {
		startedAt = f.now
		engine.running++
		f.after(10*time.Millisecond, send)
	}
	if engine.running < fleetSlots {
		start()
		return
	}
	engine.waiting = append(engine.waiting, start)
}

// run runs the fleet for a time.
func (f *fleet) run(span time.Duration) {
	end := f.now.Add(span)
	for f.pending[0].at.Before(end) {
		next := heap.Pop(&f.pending).(fleetEvent)
		f.now = next.at
		next.run()
	}
	f.now = end
}

// inTime returns the share of the responses of a kind whose start, pauses and end were in time.
func (f *fleet) inTime(kind string) float64 {
	count := 0
	for _, response := range f.responses[kind] {
		if response.waited < 250*time.Millisecond && response.longest <= 200*time.Millisecond && response.duration <= 8*time.Second {
			count++
		}
	}
	return float64(count) / float64(max(len(f.responses[kind]), 1))
}

// atSlow returns the share of the responses of a kind that slow engines gave.
func (f *fleet) atSlow(kind string) float64 {
	count := 0
	for _, response := range f.responses[kind] {
		if f.engines[response.engine].interval > slowFrom {
			count++
		}
	}
	return float64(count) / float64(max(len(f.responses[kind]), 1))
}

// waitOf returns the quantile of the times for which responses of a kind waited for a slot.
func (f *fleet) waitOf(kind string, quantile float64) time.Duration {
	var waits []time.Duration
	for _, response := range f.responses[kind] {
		waits = append(waits, response.waited)
	}
	slices.Sort(waits)
	return waits[int(float64(len(waits)-1)*quantile)]
}

// Intervals of simulated engines: slow ones take 2.4 times as long as fast ones, and more than slowFrom.
const (
	fastInterval = 44 * time.Millisecond
	slowInterval = 107 * time.Millisecond
	slowFrom     = 70 * time.Millisecond
)

// unevenIntervals are those of twelve engines, a third of them slow.
func unevenIntervals() []time.Duration {
	var intervals []time.Duration
	for i := range 12 {
		intervals = append(intervals, []time.Duration{fastInterval, slowInterval, fastInterval}[i%3])
	}
	return intervals
}

// alikeIntervals are those of twelve equally fast engines.
func alikeIntervals(interval time.Duration) []time.Duration {
	intervals := make([]time.Duration, 12)
	for i := range intervals {
		intervals[i] = interval
	}
	return intervals
}

// withoutRisks are the settings with which the pace of engines has no influence.
func withoutRisks() Settings {
	settings := DefaultSettings()
	settings.PauseSeconds, settings.LateEndSeconds, settings.LateStartSeconds = 0, 0, 0
	return settings
}

// TestLongResponsesAvoidSlowEngines guards against responses with pauses over 200 ms because a third of the engines is 2.4 times slower and one
// engine in seven is in a transient slowdown at a time: 19 of 20 long responses have to be in time, for the fast engines have room for all of
// them. Slow engines still have to give a good part of the short responses, which lose nothing there.
func TestLongResponsesAvoidSlowEngines(t *testing.T) {
	f := newFleet(DefaultSettings(), 0.15, unevenIntervals()...)
	f.offer("long", 45, 24)
	f.offer("short", 90, 1)
	f.run(30 * time.Second)
	if share := f.inTime("long"); share < 0.95 {
		t.Errorf("%.3f of the long responses in time, %.3f of them by slow engines; want 0.95 in time", share, f.atSlow("long"))
	}
	if share := f.inTime("short"); share < 0.98 {
		t.Errorf("%.3f of the short responses in time, want 0.98", share)
	}
	if share := f.atSlow("short"); share < 0.33 {
		t.Errorf("slow engines gave %.2f of the short responses, want a third", share)
	}
}

// TestSlowEnginesServeOverflow guards against slow engines that idle while requests wait for the fast ones: with a tenth more long responses than
// the fast engines have room for, slow ones have to give one in twenty, as many have to be in time as by load alone, and 99 of 100 may wait for a
// slot 250 ms longer than by load alone, the time in which a response should begin.
func TestSlowEnginesServeOverflow(t *testing.T) {
	byLoad, byRisk := newFleet(withoutRisks(), 0.15, unevenIntervals()...), newFleet(DefaultSettings(), 0.15, unevenIntervals()...)
	for _, f := range []*fleet{byLoad, byRisk} {
		f.offer("long", 120, 24)
		f.run(30 * time.Second)
	}
	if share := byRisk.atSlow("long"); share < 0.05 {
		t.Errorf("slow engines gave %.2f of the responses, want one in twenty", share)
	}
	if byRisk.inTime("long") < byLoad.inTime("long") {
		t.Errorf("%.3f in time by risk, %.3f by load alone", byRisk.inTime("long"), byLoad.inTime("long"))
	}
	if risk, load := byRisk.waitOf("long", 0.99), byLoad.waitOf("long", 0.99); risk > load+250*time.Millisecond {
		t.Errorf("99 of 100 responses wait up to %v for a slot, and %v by load alone", risk, load)
	}
}

// TestTransientsSpreadEvenly guards against gateways that all run to the engines which seem best at the moment: among alike engines, one in seven of
// which is in a transient slowdown at a time, none may get 1.5 times its part, and as many responses have to be in time as by load alone.
func TestTransientsSpreadEvenly(t *testing.T) {
	byLoad, byRisk := newFleet(withoutRisks(), 1.0/7, alikeIntervals(60*time.Millisecond)...), newFleet(DefaultSettings(), 1.0/7, alikeIntervals(60*time.Millisecond)...)
	for _, f := range []*fleet{byLoad, byRisk} {
		f.offer("long", 60, 24)
		f.run(30 * time.Second)
	}
	if byRisk.inTime("long") < byLoad.inTime("long")-0.02 {
		t.Errorf("%.3f in time by risk, %.3f by load alone", byRisk.inTime("long"), byLoad.inTime("long"))
	}
	counts := map[string]int{}
	for _, id := range byRisk.chosen {
		counts[id]++
	}
	for id, count := range counts {
		if 2*count*len(byRisk.engines) > 3*len(byRisk.chosen) {
			t.Errorf("engine %s got %d of %d requests", id, count, len(byRisk.chosen))
		}
	}
}

// TestAlikeEnginesAreChosenByLoad guards against a pace that changes the choice among alike engines without transient slowdowns.
func TestAlikeEnginesAreChosenByLoad(t *testing.T) {
	byLoad, byRisk := newFleet(withoutRisks(), 0, alikeIntervals(60*time.Millisecond)...), newFleet(DefaultSettings(), 0, alikeIntervals(60*time.Millisecond)...)
	for _, f := range []*fleet{byLoad, byRisk} {
		f.offer("long", 60, 24)
		f.offer("short", 60, 1)
		f.run(10 * time.Second)
	}
	for i, id := range byLoad.chosen {
		if byRisk.chosen[i] != id {
			t.Fatalf("request %d went to %s, and by load alone to %s", i, byRisk.chosen[i], id)
		}
	}
}

// TestRecoveredEngineGetsLongResponsesAgain guards against an engine that is avoided for ever after it was slow, since it gets no long responses from
// which its pace could be learnt: the short ones have to suffice.
func TestRecoveredEngineGetsLongResponsesAgain(t *testing.T) {
	f := newFleet(DefaultSettings(), 0.15, unevenIntervals()...)
	f.offer("long", 45, 24)
	f.offer("short", 90, 2)
	f.run(15 * time.Second)
	for _, engine := range f.engines {
		engine.interval = fastInterval
	}
	f.run(15 * time.Second)
	before := len(f.chosen)
	f.run(10 * time.Second)
	counts := map[string]int{}
	for _, id := range f.chosen[before:] {
		counts[id]++
	}
	for id := range f.engines {
		if 2*counts[id]*len(f.engines) < len(f.chosen)-before {
			t.Errorf("engine %s got %d of %d requests after it recovered", id, counts[id], len(f.chosen)-before)
		}
	}
}
