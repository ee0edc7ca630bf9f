package rolecontrol

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/samber/lo"
	"pgregory.net/rapid"

	"github.com/granitebay/granitebay/internal/engine"
)

// TestMain fixes the seed of the properties; -rapid.seed on the command line overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// TestOrdersUnderFaults runs random faults, and checks at each step what must always hold and at the end that every
// engine serves as it should.
func TestOrdersUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), 3, 3)
		w.load = true
		w.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
		w.duplication = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "duplication")
		w.late = rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "late")
		w.lateBy = rapid.SampledFrom([]time.Duration{time.Second, 40 * time.Second}).Draw(t, "late by")
		for range rapid.IntRange(1, 15).Draw(t, "steps") {
			drawStep(t, w)
			w.run(time.Duration(rapid.IntRange(0, 12000).Draw(t, "milliseconds")) * time.Millisecond)
			if len(w.checks.breaches) > 0 {
				t.Fatal(w.checks.breaches)
			}
		}
		heal(w)
		// An engine that was set aside gets another order only after DefaultSetAsideRetry.
		for end := w.now.Add(DefaultSetAsideRetry + 5*time.Minute); w.now.Before(end); {
			for _, e := range w.engines {
				w.setTarget(e.name, configNew)
			}
			w.run(30 * time.Second)
			if lo.EveryBy(w.engines, servesNew) {
				break
			}
		}
		for _, e := range w.engines {
			if !servesNew(e) {
				holder := w.holder(e.name)
				if holder == nil {
					t.Errorf("nobody holds %s", e.name)
					continue
				}
				t.Errorf("%s is %+v: %+v", e.name, e, holder.control.EngineState(e.name))
			}
		}
		if len(w.checks.breaches) > 0 {
			t.Fatal(w.checks.breaches)
		}
	})
}

// TestChecksFindACutRun proves that the checks see runs that are cut, when routers submit without the generation guard.
func TestChecksFindACutRun(t *testing.T) {
	w := newWorld(1, 2, 1)
	w.load, w.ignoreGeneration, w.runTime = true, true, 10*time.Second
	w.loss = 0.3
	for range 10 {
		w.setTarget(w.engines[0].name, configNew)
		w.run(time.Minute)
		w.setTarget(w.engines[0].name, configPrefill)
		w.run(time.Minute)
	}
	if len(w.checks.breaches) == 0 {
		t.Error("no run was cut")
	}
}

func servesNew(e *fakeEngine) bool {
	return sameConfiguration(e.configuration, configNew) && e.changingUntil.IsZero()
}

func drawStep(t *rapid.T, w *world) {
	r := w.routers[rapid.IntRange(0, len(w.routers)-1).Draw(t, "router")]
	e := w.engines[rapid.IntRange(0, len(w.engines)-1).Draw(t, "engine")]
	switch rapid.SampledFrom([]string{
		"target", "target", "target", "pause", "pause", "kill", "members", "crash", "break", "outage", "slow", "lose", "heal",
	}).Draw(t, "step") {
	case "target":
		w.setTarget(e.name, rapid.SampledFrom([]engine.Configuration{configPrefill, configDecode, configNew}).Draw(t, "target"))
	case "pause":
		r.paused = !r.paused
	case "kill":
		w.start(r)
	case "members":
		w.setMembers()
	case "crash":
		e.crash()
	case "break":
		e.crashesOn = rapid.SampledFrom([]string{"", configNew.ModelVersion}).Draw(t, "crashes on")
	case "outage":
		w.model.SetOutage(w.now, !w.model.Faults().Outage)
	case "slow":
		w.model.SetSlow(time.Duration(rapid.SampledFrom([]int{0, 500, 3000, 30000}).Draw(t, "slow")) * time.Millisecond)
	case "lose":
		w.model.SetLostAnswerProbability(rapid.Float64Range(0, 0.8).Draw(t, "lost"))
	case "heal":
		heal(w)
	}
}

func heal(w *world) {
	w.model.SetOutage(w.now, false)
	w.model.SetSlow(0)
	w.model.SetLostAnswerProbability(0)
	w.loss, w.duplication, w.late = 0, 0, 0
	for _, r := range w.routers {
		r.paused, r.down = false, false
	}
	for _, e := range w.engines {
		e.crashesOn = ""
	}
	w.setMembers()
}
