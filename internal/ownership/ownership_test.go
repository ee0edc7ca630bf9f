package ownership

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/platform"
)

// TestMain fixes the seed of the properties; -rapid.seed on the command line overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// requireFirstHolds checks that the first router in the order of each engine holds it, alone.
func requireFirstHolds(t interface {
	Helper()
	Errorf(string, ...any)
}, w *world) {
	t.Helper()
	for _, engine := range testEngines() {
		names, _ := w.holders(engine.Name)
		want := w.nodes[0].core.DispatchOrder(engine.Name)[0]
		if len(names) != 1 || names[0] != want {
			t.Errorf("holders of %s are %v, want %s", engine.Name, names, want)
		}
	}
}

func TestAuthorityFollowsTheLiveRouters(t *testing.T) {
	random := newRandom()
	for _, test := range []struct {
		desc string
		act  func(w *world)
		// epochsGrow tells whether every engine of the router must have a higher epoch afterwards.
		epochsGrow bool
	}{
		{desc: "nothing happens", act: func(w *world) { w.run(time.Minute) }},
		{desc: "a router dies", act: func(w *world) {
			w.node("router-1").paused = true
			w.setMembers("router-2", "router-3", "router-4")
			w.run(30 * time.Second)
		}, epochsGrow: true},
		{desc: "a router stops as planned", act: func(w *world) {
			n := w.node("router-1")
			effects := &core.Effects{}
			n.core.Stop(n.clock(w.now), effects)
			w.perform(n, *effects)
			w.setMembers("router-2", "router-3", "router-4")
			w.run(4 * time.Second)
			if !n.core.Stopped() {
				t.Error("the lease was not given back")
			}
		}, epochsGrow: true},
		{desc: "a router is paused past its lease and returns", act: func(w *world) {
			w.node("router-1").paused = true
			w.run(20 * time.Second)
			w.node("router-1").paused = false
			w.run(time.Minute)
		}, epochsGrow: true},
		{desc: "the service is out for a minute", act: func(w *world) {
			w.model.SetOutage(w.now, true)
			w.run(time.Minute)
			w.model.SetOutage(w.now, false)
			w.run(30 * time.Second)
		}, epochsGrow: true},
		{desc: "half of the answers are lost", act: func(w *world) {
			w.model.SetLostAnswerProbability(0.5)
			w.run(time.Minute)
			w.setMembers("router-2", "router-3", "router-4")
			w.node("router-1").paused = true
			w.run(time.Minute)
			w.model.SetLostAnswerProbability(0)
			w.run(time.Minute)
		}},
		{desc: "a router joins", act: func(w *world) {
			w.add(random, "router-5", "zone-a")
			w.setMembers(w.names()...)
			w.run(20 * time.Second)
		}},
		{desc: "all routers of a zone go", act: func(w *world) {
			w.node("router-3").paused = true
			w.node("router-4").paused = true
			w.setMembers("router-1", "router-2")
			w.run(30 * time.Second)
		}},
	} {
		t.Run(test.desc, func(t *testing.T) {
			w := newWorld(random, "zone-a", "zone-a", "zone-b", "zone-b")
			w.run(10 * time.Second)
			requireFirstHolds(t, w)
			before := map[string]uint64{}
			for _, engine := range testEngines() {
				if epoch, held := w.node("router-1").core.Authority(w.now, engine.Name); held {
					before[engine.Name] = epoch
				}
			}
			test.act(w)
			requireFirstHolds(t, w)
			for engine, epoch := range before {
				if _, now := w.holders(engine); test.epochsGrow && now <= epoch {
					t.Errorf("epoch of %s is %d, want more than %d", engine, now, epoch)
				}
			}
		})
	}
}

func TestAuthorityEndsByTheClockAlone(t *testing.T) {
	w := newWorld(newRandom(), "zone-a")
	w.run(10 * time.Second)
	w.model.SetSlow(1500 * time.Millisecond)
	n := w.node("router-1")
	for asked := n.renewedAt; asked.Equal(n.renewedAt) || n.core.lease.request != 0; {
		w.run(10 * time.Millisecond)
	}
	engine := testEngines()[0].Name
	limit := n.core.lease.validUntil
	if got := limit.Sub(n.renewedAt); got != 9*time.Second {
		t.Errorf("lease counts for %s from before the renewal was asked for, want nine tenths of its TTL", got)
	}
	if _, held := n.core.Authority(limit.Add(-1), engine); !held {
		t.Error("authority is not held just before the end of the lease")
	}
	if _, held := n.core.Authority(limit, engine); held {
		t.Error("authority is held at the end of the lease")
	}
	// A renewal that is answered after the end does not bring the authority back.
	response := platform.Response{ID: n.core.lease.request}
	n.core.HandlePlatformResponse(limit, response, &core.Effects{})
	if _, held := n.core.Authority(limit, engine); held {
		t.Error("authority came back")
	}
}

func TestStopDuringARenewalGivesTheShardsBack(t *testing.T) {
	w := newWorld(newRandom(), "zone-a")
	w.run(10 * time.Second)
	w.model.SetSlow(time.Second)
	n := w.node("router-1")
	for n.core.lease.request == 0 {
		w.run(10 * time.Millisecond)
	}
	effects := &core.Effects{}
	n.core.Stop(w.now, effects)
	w.perform(n, *effects)
	w.run(2 * time.Second)
	if held := w.model.Entries(ShardPrefix); len(held) > 0 || !n.core.Stopped() {
		t.Errorf("%d shards are still held, stopped is %v", len(held), n.core.Stopped())
	}
}

func TestShortAbsenceMovesNothing(t *testing.T) {
	w := newWorld(newRandom(), "zone-a", "zone-a", "zone-b")
	w.run(10 * time.Second)
	version := w.node("router-1").core.Version()
	for range 5 {
		w.setMembers("router-1", "router-3")
		w.run(3 * time.Second)
		w.setMembers("router-1", "router-2", "router-3")
		w.run(3 * time.Second)
	}
	if got := w.node("router-1").core.Version(); got != version {
		t.Errorf("authority changed %d times", got-version)
	}
}

func TestStandbyTakesOverFromARouterThatIsCutOff(t *testing.T) {
	w := newWorld(newRandom(), "zone-a", "zone-a", "zone-b")
	w.run(10 * time.Second)
	w.node("router-1").cut = true
	w.run(40 * time.Second)
	handOns := 0
	for _, engine := range testEngines() {
		if names, _ := w.holders(engine.Name); len(names) > 1 {
			t.Errorf("holders of %s are %v", engine.Name, names)
		}
	}
	w.run(10 * time.Minute)
	for _, record := range w.node("router-2").decisions {
		if record.Outcome == "router-1" {
			handOns++
		}
	}
	// Four shards at most, and the delay doubles with each try: 10, 20, 40, 80, 160 s and so on.
	if handOns == 0 || handOns > 4*6 {
		t.Errorf("handed on %d times to a router that does not take the shards", handOns)
	}
	w.node("router-1").cut = false
	w.run(6 * time.Minute)
	requireFirstHolds(t, w)
}

func TestRequestsOfAQuietMinute(t *testing.T) {
	w := newWorld(newRandom(), "zone-a", "zone-b")
	w.run(30 * time.Second)
	n := w.node("router-1")
	n.asked = map[string]int{}
	w.run(time.Minute)
	total := 0
	for _, count := range n.asked {
		total += count
	}
	if total > 21 {
		t.Errorf("a router made %d requests in a minute (%v), want 20 renewals and at most one List", total, n.asked)
	}
}

func TestDispatchOrder(t *testing.T) {
	w := newWorld(newRandom(), "zone-a", "zone-a", "zone-b")
	for _, test := range []struct {
		desc string
		live []string
		want int
	}{
		{desc: "the routers of the zone", live: []string{"router-1", "router-2", "router-3"}, want: 2},
		{desc: "one is left", live: []string{"router-2", "router-3"}, want: 1},
		{desc: "the zone has none", live: []string{"router-3"}, want: 1},
		{desc: "nobody lives", live: nil, want: 0},
	} {
		t.Run(test.desc, func(t *testing.T) {
			w.setMembers(test.live...)
			for _, engine := range testEngines()[:12] {
				order := w.nodes[0].core.DispatchOrder(engine.Name)
				if len(order) != test.want {
					t.Errorf("order of %s is %v", engine.Name, order)
				}
				if fmt.Sprint(order) != fmt.Sprint(w.nodes[2].core.DispatchOrder(engine.Name)) {
					t.Errorf("routers differ over %s", engine.Name)
				}
			}
		})
	}
	if w.nodes[0].core.DispatchOrder("nobody") != nil || w.nodes[0].core.ShardKey("nobody") != "" {
		t.Error("an engine that is not known has a shard")
	}
}

// TestOneHolderUnderFaults checks that never two routers hold one engine at the same moment, although their clocks run
// at different rates, and that all is well again after the faults.
func TestOneHolderUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		w := newWorld(random, "zone-a", "zone-a", "zone-b")
		for _, n := range w.nodes {
			n.rate = rapid.Float64Range(0.96, 1.04).Draw(t, "clock rate")
		}
		highest, ended := map[string]uint64{}, map[string]uint64{}
		w.check = func() {
			for _, engine := range testEngines() {
				names, epoch := w.holders(engine.Name)
				if len(names) > 1 {
					t.Fatalf("%s: %s is held by %v", w.now, engine.Name, names)
				}
				if len(names) == 1 && epoch < highest[engine.Name] {
					t.Fatalf("%s: epoch of %s went back from %d to %d", w.now, engine.Name, highest[engine.Name], epoch)
				}
				if len(names) == 0 {
					ended[engine.Name] = highest[engine.Name]
				}
				if len(names) == 1 && epoch <= ended[engine.Name] {
					t.Fatalf("%s: %s is held again under epoch %d, which had ended", w.now, engine.Name, epoch)
				}
				highest[engine.Name] = max(highest[engine.Name], epoch)
			}
		}
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			drawFault(t, w)
			w.run(time.Duration(rapid.IntRange(0, 15000).Draw(t, "milliseconds")) * time.Millisecond)
		}
		heal(w)
		w.run(8 * time.Minute)
		requireFirstHolds(t, w)
	})
}

func drawFault(t *rapid.T, w *world) {
	n := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "router")]
	switch rapid.SampledFrom([]string{"pause", "cut", "outage", "slow", "lose", "members", "heal"}).Draw(t, "fault") {
	case "pause":
		n.paused = !n.paused
	case "cut":
		n.cut = !n.cut
	case "outage":
		w.model.SetOutage(w.now, !w.model.Faults().Outage)
	case "slow":
		w.model.SetSlow(time.Duration(rapid.IntRange(0, 5000).Draw(t, "slow")) * time.Millisecond)
	case "lose":
		w.model.SetLostAnswerProbability(rapid.Float64Range(0, 0.9).Draw(t, "lost"))
	case "members":
		w.setMembers(rapid.SliceOfDistinct(rapid.SampledFrom(w.names()), rapid.ID[string]).Draw(t, "live")...)
	case "heal":
		heal(w)
	}
}

func heal(w *world) {
	w.model.SetOutage(w.now, false)
	w.model.SetSlow(0)
	w.model.SetLostAnswerProbability(0)
	for _, n := range w.nodes {
		n.paused, n.cut = false, false
	}
	w.setMembers(w.names()...)
}
