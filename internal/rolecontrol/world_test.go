package rolecontrol

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/ownership"
	"github.com/granitebay/granitebay/internal/standin/platformmodel"
)

var (
	testStart     = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	configPrefill = engine.Configuration{Role: engine.RolePrefill, Model: "m", ModelVersion: "1"}
	configDecode  = engine.Configuration{Role: engine.RoleDecode, Model: "m", ModelVersion: "1"}
	configNew     = engine.Configuration{Role: engine.RoleDecode, Model: "m", ModelVersion: "2"}
)

const (
	testZone         = "zone-a"
	testStep         = time.Millisecond
	submitInterval   = 400 * time.Millisecond
	testDrainTimeout = 20 * time.Second
)

// testRouter is a router of the test: the two cores of authority and orders, and no more.
type testRouter struct {
	name      string
	ownership *ownership.Core
	control   *Core
	// incarnation counts the processes that had this name. Each is another client of the platform.
	incarnation uint64
	paused      bool
	down        bool
	inbox       []func(now time.Time, effects *core.Effects)
	decisions   []decision.Record
	submitAt    time.Time
}

func (r *testRouter) client() string { return fmt.Sprintf("%s/%d", r.name, r.incarnation) }

// inFlight is a command on its way to an engine, or an event on its way back.
type inFlight struct {
	due time.Time
	run func()
}

// world runs routers and fake engines against the model of the platform on a virtual clock.
type world struct {
	now     time.Time
	random  *rand.Rand
	model   *platformmodel.Model
	routers []*testRouter
	engines []*fakeEngine
	network []inFlight
	// loss, duplication and late are shares of the commands and events; late ones take up to lateBy.
	loss, duplication, late float64
	lateBy                  time.Duration
	// load makes the routers submit runs of up to runTime.
	load    bool
	runTime time.Duration
	// ignoreGeneration makes the routers submit without the guard; for the test of the test.
	ignoreGeneration bool
	submitted        int
	checks           checks
}

func newWorld(seed uint64, routers, engines int) *world {
	random := rand.New(rand.NewPCG(seed, 0))
	settings := platformmodel.DefaultSettings()
	settings.ClientTimeout = 2 * time.Second
	settings.OutageAnswer = platformmodel.OutageSilent
	settings.OutageLeases = platformmodel.OutageExpiresLeases
	settings.RecordAllCommits = true
	w := &world{
		now: testStart, random: random, model: platformmodel.New(settings, random), runTime: 3 * time.Second,
		checks: newChecks(),
	}
	for i := range engines {
		w.engines = append(w.engines, newFakeEngine(fmt.Sprintf("engine-%d", i+1)))
	}
	for i := range routers {
		w.routers = append(w.routers, &testRouter{name: fmt.Sprintf("router-%d", i+1)})
	}
	for _, router := range w.routers {
		w.start(router)
	}
	w.setMembers()
	return w
}

// start begins a process of a router, with nothing in its memory.
func (w *world) start(r *testRouter) {
	w.model.DisconnectClient(r.client())
	r.incarnation++
	r.down = false
	r.inbox = nil
	r.ownership = ownership.New(ownership.Settings{Self: r.name, Incarnation: r.incarnation}, w.random)
	r.ownership.SetEngines(w.now, lo.Map(w.engines, func(e *fakeEngine, _ int) ownership.Engine {
		return ownership.Engine{Name: e.name, Zone: testZone}
	}))
	r.control = New(Settings{
		Self:          r.name,
		Authority:     r.ownership.Authority,
		ShardKey:      r.ownership.ShardKey,
		InitialTarget: func(string) (Target, bool) { return Target{configPrefill, "the first"}, true },
		DrainTimeout:  testDrainTimeout,
	}, w.random)
	for _, e := range w.engines {
		r.control.SetKnownEngine(w.now, e.name, testZone, 1)
	}
}

// setMembers gives all routers the view of those that are up.
func (w *world) setMembers() {
	live := lo.FilterMap(w.routers, func(r *testRouter, _ int) (ownership.Router, bool) {
		return ownership.Router{Name: r.name, Zone: testZone}, !r.paused && !r.down
	})
	for _, r := range w.routers {
		r.ownership.SetMembers(w.now, live)
	}
}

func (w *world) setTarget(engineName string, configuration engine.Configuration) {
	for _, router := range w.routers {
		router.inbox = append(router.inbox, func(now time.Time, effects *core.Effects) {
			router.control.SetTarget(now, engineName, Target{configuration, "the test wants it"}, effects)
		})
	}
}

// run lets time pass.
func (w *world) run(duration time.Duration) {
	end := w.now.Add(duration)
	for w.now.Before(end) {
		w.now = w.nextEvent(end)
		w.settle()
	}
}

func (w *world) nextEvent(end time.Time) time.Time {
	next := core.Earliest(end, w.model.NextWake())
	for _, message := range w.network {
		next = core.Earliest(next, message.due)
	}
	for _, r := range w.routers {
		if !r.paused && !r.down {
			next = core.Earliest(next, core.Earliest(r.ownership.NextWake(), r.control.NextWake()))
			if w.load {
				next = core.Earliest(next, r.submitAt)
			}
		}
	}
	return lo.MaxBy([]time.Time{next, w.now.Add(testStep)}, func(a, b time.Time) bool { return a.After(b) })
}

// settle handles everything that is due now.
func (w *world) settle() {
	w.model.Tick(w.now)
	w.deliverNetwork()
	for busy := true; busy; {
		busy = false
		w.deliverPlatform()
		for _, r := range w.routers {
			if w.due(r) {
				w.step(r)
				busy = true
			}
		}
	}
	for _, e := range w.engines {
		e.advance(w.now)
	}
	w.checks.check(w)
}

func (w *world) deliverNetwork() {
	due, later := lo.FilterReject(w.network, func(m inFlight, _ int) bool { return !m.due.After(w.now) })
	w.network = later
	slices.SortStableFunc(due, func(a, b inFlight) int { return a.due.Compare(b.due) })
	for _, message := range due {
		message.run()
	}
}

func (w *world) deliverPlatform() {
	for _, delivery := range w.model.TakeDeliveries() {
		r, found := lo.Find(w.routers, func(r *testRouter) bool { return r.client() == delivery.Client })
		if !found || r.down {
			continue
		}
		r.inbox = append(r.inbox, func(now time.Time, effects *core.Effects) { r.handlePlatform(now, delivery, effects) })
	}
}

func (r *testRouter) handlePlatform(now time.Time, delivery platformmodel.Delivery, effects *core.Effects) {
	switch {
	case delivery.Response != nil && core.Owner(delivery.Response.ID) == ownership.RequestOwner:
		r.ownership.HandlePlatformResponse(now, *delivery.Response, effects)
	case delivery.Response != nil:
		r.control.HandlePlatformResponse(now, *delivery.Response, effects)
	case core.Owner(delivery.Watch.ID) == ownership.RequestOwner:
		r.ownership.HandlePlatformWatch(now, *delivery.Watch, effects)
	default:
		r.control.HandlePlatformWatch(now, *delivery.Watch, effects)
	}
}

// due tells whether a router has something to do.
func (w *world) due(r *testRouter) bool {
	wake := core.Earliest(r.ownership.NextWake(), r.control.NextWake())
	if w.load {
		wake = core.Earliest(wake, r.submitAt)
	}
	awake := !r.paused && !r.down
	return awake && (len(r.inbox) > 0 || !wake.IsZero() && !wake.After(w.now))
}

// step lets one router do what is due.
func (w *world) step(r *testRouter) {
	var effects core.Effects
	inbox := r.inbox
	r.inbox = nil
	for _, input := range inbox {
		input(w.now, &effects)
	}
	r.ownership.Tick(w.now, &effects)
	for _, e := range w.engines {
		epoch, held := r.ownership.Authority(w.now, e.name)
		r.control.SetAuthority(w.now, e.name, epoch, held)
	}
	r.control.Tick(w.now, &effects)
	if w.load && !w.now.Before(r.submitAt) {
		r.submitAt = w.now.Add(submitInterval)
		w.submit(r, &effects)
	}
	w.perform(r, effects)
}

// submit sends a run to an engine as the router sees it.
func (w *world) submit(r *testRouter, effects *core.Effects) {
	target := w.engines[w.random.IntN(len(w.engines))]
	record, known := r.control.Record(target.name)
	if !known || record.GetDraining() {
		return
	}
	generation := record.GetGeneration()
	if w.ignoreGeneration {
		generation = target.fence.Generation
	}
	w.submitted++
	effects.Command(engine.Submit{
		Engine: target.name, ExpectedIncarnation: r.control.EngineState(target.name).Incarnation,
		ExpectedGeneration: generation, RequestID: fmt.Sprintf("run-%d", w.submitted),
	})
}

func (w *world) perform(r *testRouter, effects core.Effects) {
	r.decisions = append(r.decisions, effects.Decisions...)
	client := r.client()
	for _, asked := range effects.Platform {
		w.model.Handle(w.now, client, asked.ID, asked.Request)
	}
	for _, command := range effects.Engine {
		w.transmit(func() { w.reachEngine(r, client, command) })
	}
	if len(w.routers) > 1 {
		changed := r.control.TakeChangedRecords()
		peer := w.routers[w.random.IntN(len(w.routers))]
		w.transmit(func() { peer.control.LearnRecords(w.now, changed) })
	}
}

func (w *world) reachEngine(r *testRouter, client string, command engine.Command) {
	target, _ := lo.Find(w.engines, func(e *fakeEngine) bool { return e.name == command.EngineName() })
	runTime := time.Duration(w.random.Float64() * float64(w.runTime))
	event := target.handle(w.now, command, runTime)
	w.transmit(func() {
		if r.client() == client && !r.down {
			r.inbox = append(r.inbox, func(now time.Time, effects *core.Effects) {
				r.control.HandleEngineEvent(now, event, effects)
			})
		}
	})
}

// transmit lets something happen after the delay of the network, more than once, or never.
func (w *world) transmit(run func()) {
	if w.random.Float64() < w.loss {
		return
	}
	copies := 1
	if w.random.Float64() < w.duplication {
		copies++
	}
	for range copies {
		delay := time.Duration(1+w.random.IntN(5)) * time.Millisecond
		if w.random.Float64() < w.late {
			delay = time.Duration(w.random.Int64N(int64(w.lateBy)))
		}
		w.network = append(w.network, inFlight{due: w.now.Add(delay), run: run})
	}
}

// holder returns the router that has authority over an engine, or nil.
func (w *world) holder(engineName string) *testRouter {
	found, _ := lo.Find(w.routers, func(r *testRouter) bool {
		_, held := r.ownership.Authority(w.now, engineName)
		return held && !r.paused && !r.down
	})
	return found
}
