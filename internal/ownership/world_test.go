package ownership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/platform"
	"github.com/granitebay/granitebay/internal/standin/platformmodel"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const clientTimeout = 2 * time.Second

// node is one router of the test: its core, and what stands between it and the platform.
type node struct {
	name, zone string
	core       *Core
	// rate is how fast the clock of the router runs.
	rate    float64
	paused  bool
	cut     bool
	waiting []platformmodel.Delivery
	// asked counts the requests to the platform by kind.
	asked map[string]int
	// renewedAt is when the latest KeepAlive was asked for.
	renewedAt time.Time
	decisions []decision.Record
}

func (n *node) clock(now time.Time) time.Time {
	return testStart.Add(time.Duration(float64(now.Sub(testStart)) * n.rate))
}

// world runs routers against the model of the platform on a virtual clock.
type world struct {
	now   time.Time
	model *platformmodel.Model
	nodes []*node
	check func()
}

// step is the resolution of the virtual clock.
const step = time.Millisecond

func newWorld(random *rand.Rand, zones ...string) *world {
	settings := platformmodel.DefaultSettings()
	settings.ClientTimeout = clientTimeout
	settings.OutageAnswer = platformmodel.OutageSilent
	settings.OutageLeases = platformmodel.OutageExpiresLeases
	w := &world{now: testStart, model: platformmodel.New(settings, random), check: func() {}}
	for i, zone := range zones {
		w.add(random, fmt.Sprintf("router-%d", i+1), zone)
	}
	w.setMembers(w.names()...)
	return w
}

func (w *world) add(random *rand.Rand, name, zone string) *node {
	added := &node{name: name, zone: zone, rate: 1, asked: map[string]int{}}
	added.core = New(Settings{Self: name, Incarnation: 7}, random)
	added.core.SetEngines(w.now, testEngines())
	w.nodes = append(w.nodes, added)
	return added
}

func testEngines() []Engine {
	var engines []Engine
	for _, zone := range []string{"zone-a", "zone-b"} {
		for i := range 12 {
			engines = append(engines, Engine{Name: fmt.Sprintf("engine-%s-%d", zone, i), Zone: zone})
		}
	}
	return engines
}

func (w *world) names() []string {
	return lo.Map(w.nodes, func(n *node, _ int) string { return n.name })
}

// setMembers gives all routers the same view.
func (w *world) setMembers(live ...string) {
	alive := lo.Filter(w.nodes, func(n *node, _ int) bool { return slices.Contains(live, n.name) })
	routers := lo.Map(alive, func(n *node, _ int) Router { return Router{Name: n.name, Zone: n.zone} })
	for _, n := range w.nodes {
		n.core.SetMembers(n.clock(w.now), routers)
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

// nextEvent is when something is due next, at least a step from now and at most the end.
func (w *world) nextEvent(end time.Time) time.Time {
	next := core.Earliest(end, w.model.NextWake())
	for _, n := range w.nodes {
		if wake := n.core.NextWake(); !wake.IsZero() && !n.paused {
			due := testStart.Add(time.Duration(float64(wake.Sub(testStart))/n.rate) + step)
			next = core.Earliest(next, due)
		}
	}
	if soonest := w.now.Add(step); next.Before(soonest) {
		return soonest
	}
	return next
}

// settle handles everything that is due now.
func (w *world) settle() {
	w.model.Tick(w.now)
	for {
		w.collect()
		delivered := false
		for _, n := range w.nodes {
			delivered = w.serve(n) || delivered
		}
		w.check()
		if !delivered {
			return
		}
	}
}

func (w *world) collect() {
	for _, delivery := range w.model.TakeDeliveries() {
		for _, n := range w.nodes {
			if n.name != delivery.Client {
				continue
			}
			if n.cut && delivery.Watch != nil {
				// The client notices that the connection of the watch is broken.
				delivery.Watch = &platform.WatchEvent{ID: delivery.Watch.ID, Closed: true}
			}
			n.waiting = append(n.waiting, delivery)
		}
	}
}

// serve hands a router what waits for it. It returns false when there was nothing to do.
func (w *world) serve(n *node) bool {
	now := n.clock(w.now)
	wake := n.core.NextWake()
	due := !wake.IsZero() && !now.Before(wake)
	if n.paused || !due && len(n.waiting) == 0 {
		return false
	}
	var effects core.Effects
	deliveries := n.waiting
	n.waiting = nil
	for _, delivery := range deliveries {
		if delivery.Response != nil {
			n.core.HandlePlatformResponse(now, *delivery.Response, &effects)
		} else {
			n.core.HandlePlatformWatch(now, *delivery.Watch, &effects)
		}
	}
	n.core.Tick(now, &effects)
	w.perform(n, effects)
	return true
}

func (w *world) perform(n *node, effects core.Effects) {
	n.decisions = append(n.decisions, effects.Decisions...)
	for _, asked := range effects.Platform {
		n.asked[fmt.Sprintf("%T", asked.Request)]++
		if _, renewal := asked.Request.(platform.KeepAlive); renewal {
			n.renewedAt = n.clock(w.now)
		}
		if n.cut {
			response := platform.Response{ID: asked.ID, Failure: platform.FailureUnavailable}
			n.waiting = append(n.waiting, platformmodel.Delivery{Client: n.name, Response: &response})
			continue
		}
		w.model.Handle(w.now, n.name, asked.ID, asked.Request)
	}
}

// holders returns the routers that hold authority over an engine now, and the highest epoch.
func (w *world) holders(engine string) (names []string, epoch uint64) {
	for _, n := range w.nodes {
		if held, ok := n.core.Authority(n.clock(w.now), engine); ok {
			names = append(names, n.name)
			epoch = max(epoch, held)
		}
	}
	return names, epoch
}

func (w *world) node(name string) *node {
	found, _ := lo.Find(w.nodes, func(n *node) bool { return n.name == name })
	return found
}
