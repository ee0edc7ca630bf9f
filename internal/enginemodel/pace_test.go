package enginemodel

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/granitebay/granitebay/internal/backend"
)

// simulatedEngine sends the events of its responses at a fixed interval, except in transient slowdowns.
type simulatedEngine struct {
	worker   *backend.Worker
	interval time.Duration
	// transient returns by which factor the interval is longer at a time after the start.
	transient func(at time.Duration) float64
}

// noTransients is an engine without transient slowdowns.
func noTransients(time.Duration) float64 { return 1 }

// randomTransients returns transient slowdowns that last span, multiply the interval by factor and take a share of the time, at random.
func randomTransients(seed uint64, span time.Duration, share, factor float64) func(at time.Duration) float64 {
	return func(at time.Duration) float64 {
		if rand.New(rand.NewPCG(seed, uint64(at/span))).Float64() < share {
			return factor
		}
		return 1
	}
}

// newEngines returns decode engines with the given intervals between events.
func newEngines(intervals ...time.Duration) []*simulatedEngine {
	var engines []*simulatedEngine
	for i, interval := range intervals {
		id := fmt.Sprintf("w%d", i)
		engines = append(engines, &simulatedEngine{
			worker:   &backend.Worker{ID: id, Group: "g", Address: id, Role: backend.RoleDecode, Slots: 32},
			interval: interval, transient: noTransients,
		})
	}
	return engines
}

// play lets each engine send consecutive responses with the given number of events, from one time after the epoch until another.
func play(model *Model, engines []*simulatedEngine, from, until time.Duration, events int) {
	for _, engine := range engines {
		at := from
		for at < until {
			stream := model.NewStream(engine.worker)
			for range events {
				stream.Event(epoch.Add(at))
				at += time.Duration(float64(engine.interval) * engine.transient(at))
			}
		}
	}
}

// summary is a response of 24 events whose caller accepts pauses of 200 ms and leaves after 8 s.
var summary = Response{Events: 24, Spread: 0.5, PauseObjective: 200 * time.Millisecond, Remaining: 8 * time.Second}

// verdict is a response of one event.
var verdict = Response{Events: 1, MaxEvents: 1, PauseObjective: 200 * time.Millisecond, Remaining: 2500 * time.Millisecond}

// TestForecastWithoutObservations guards against risks of engines of which nothing is known.
func TestForecastWithoutObservations(t *testing.T) {
	model, worker := New(), newEngines(0)[0].worker
	if forecast := model.Forecast(epoch, worker, summary, backend.Load{}); forecast != (Forecast{}) {
		t.Errorf("got %+v, want nothing", forecast)
	}
	if factor, known := model.RelativePace(epoch, worker); known || factor != 1 {
		t.Errorf("got a relative pace of %v, known: %v; want 1, unknown", factor, known)
	}
}

// TestPaceOfSlowEngines guards against a third of the engines being 2.4 times slower without being noticed, and against taking their pace for a
// transient slowdown: a slow engine without any keeps every pause within the objective.
func TestPaceOfSlowEngines(t *testing.T) {
	engines := newEngines(44*time.Millisecond, 44*time.Millisecond, 107*time.Millisecond)
	model, end := New(), 6*time.Second
	play(model, engines, 0, end, 24)
	now := epoch.Add(end)
	fast, fastKnown := model.RelativePace(now, engines[0].worker)
	slow, slowKnown := model.RelativePace(now, engines[2].worker)
	if !fastKnown || !slowKnown || slow/fast < 2.2 || slow/fast > 2.6 {
		t.Errorf("relative paces are %.2f and %.2f, want a ratio of 2.2 to 2.6", fast, slow)
	}
	for i, engine := range engines {
		forecast := model.Forecast(now, engine.worker, summary, backend.Load{})
		if off := float64(forecast.Interval)/float64(engine.interval) - 1; math.Abs(off) > 0.1 {
			t.Errorf("engine %d: interval %v, want %v", i, forecast.Interval, engine.interval)
		}
		if forecast.PauseRisk > 0.02 {
			t.Errorf("engine %d: pause risk %.2f without transient slowdowns", i, forecast.PauseRisk)
		}
	}
	hurried := summary
	hurried.Remaining = 2 * time.Second
	if risk := model.Forecast(now, engines[2].worker, hurried, backend.Load{}).DeadlineRisk; risk < 0.5 {
		t.Errorf("deadline risk %.2f at an engine that takes 2.5 s, with 2 s left", risk)
	}
	if risk := model.Forecast(now, engines[0].worker, hurried, backend.Load{}).DeadlineRisk; risk > 0.2 {
		t.Errorf("deadline risk %.2f at an engine that takes 1 s, with 2 s left", risk)
	}
}

// TestForecastOfTransients guards against risks that differ by more than a tenth from the share of responses that get a pause over their
// objective, if one engine in seven takes 2.5 times its interval at any time, for 0.6 s.
func TestForecastOfTransients(t *testing.T) {
	engines := newEngines(44*time.Millisecond, 44*time.Millisecond, 44*time.Millisecond, 44*time.Millisecond, 107*time.Millisecond, 107*time.Millisecond)
	for i, engine := range engines {
		engine.transient = randomTransients(uint64(i), 600*time.Millisecond, 1.0/7, 2.5)
	}
	model, end := New(), 20*time.Second
	play(model, engines, 0, end, 24)
	now := epoch.Add(end)
	if risk := model.Forecast(now, engines[0].worker, summary, backend.Load{}).PauseRisk; risk > 0.05 {
		t.Errorf("fast engine: pause risk %.2f, but an interval in a transient slowdown is only 110 ms", risk)
	}
	// A response of 23 intervals of 107 ms overlaps 5 spans of 0.6 s on the mean, each in a transient slowdown with a probability of 1/7.
	want := 1 - math.Pow(6.0/7, 5)
	if risk := model.Forecast(now, engines[5].worker, summary, backend.Load{}).PauseRisk; math.Abs(risk-want) > 0.1 {
		t.Errorf("slow engine: pause risk %.2f, want %.2f", risk, want)
	}
	if risk := model.Forecast(now, engines[5].worker, verdict, backend.Load{}).PauseRisk; risk != 0 {
		t.Errorf("slow engine: pause risk %.2f of a response with one event", risk)
	}
}

// TestTransientIsNoPace guards against a transient slowdown of 0.6 s that makes an engine count as slow after it.
func TestTransientIsNoPace(t *testing.T) {
	engines := newEngines(44*time.Millisecond, 44*time.Millisecond, 44*time.Millisecond)
	engines[0].transient = func(at time.Duration) float64 {
		if at >= 5*time.Second && at < 5600*time.Millisecond {
			return 6
		}
		return 1
	}
	model, end := New(), 6*time.Second
	play(model, engines, 0, end, 24)
	if factor, known := model.RelativePace(epoch.Add(end), engines[0].worker); !known || factor > 1.1 {
		t.Errorf("relative pace %.2f after a transient slowdown, want 1 to within a tenth", factor)
	}
}

// TestSlowEngineRecovers guards against an engine that counts as slow for more than 6 s after it got fast, the time of a few responses, and
// against an estimate that outlives 20 s without events.
func TestSlowEngineRecovers(t *testing.T) {
	engines := newEngines(44*time.Millisecond, 44*time.Millisecond, 107*time.Millisecond)
	model := New()
	play(model, engines, 0, 10*time.Second, 24)
	if factor, _ := model.RelativePace(epoch.Add(10*time.Second), engines[2].worker); factor < 1.5 {
		t.Fatalf("relative pace %.2f, want the engine to be slow at first", factor)
	}
	engines[2].interval = 44 * time.Millisecond
	play(model, engines, 10*time.Second, 16*time.Second, 24)
	if factor, known := model.RelativePace(epoch.Add(16*time.Second), engines[2].worker); !known || factor > 1.1 {
		t.Errorf("relative pace %.2f after it recovered, want 1 to within a tenth", factor)
	}
	if _, known := model.RelativePace(epoch.Add(40*time.Second), engines[2].worker); known {
		t.Error("the pace is known although the engine sent nothing for 24 s")
	}
}

// TestUnknownPacesAreSoughtOncePerSlot guards against forecasts that each visit all engines of a class while no pace is known, as in a group whose
// responses have one event, and against a first interval that is noticed late for that.
func TestUnknownPacesAreSoughtOncePerSlot(t *testing.T) {
	model, engines := New(), newEngines(44*time.Millisecond, 44*time.Millisecond)
	play(model, engines, 0, 44*time.Millisecond, 1)
	stats := model.classes[ClassOf(engines[0].worker)]
	model.Forecast(epoch.Add(time.Second), engines[0].worker, summary, backend.Load{})
	soughtAt := stats.typicalPace.computedAt
	model.Forecast(epoch.Add(1100*time.Millisecond), engines[1].worker, summary, backend.Load{})
	if !stats.typicalPace.computedAt.Equal(soughtAt) {
		t.Error("a forecast visited all engines again within a slot")
	}
	play(model, engines[:1], 1110*time.Millisecond, 1200*time.Millisecond, 2)
	if forecast := model.Forecast(epoch.Add(1200*time.Millisecond), engines[1].worker, summary, backend.Load{}); forecast.Interval == 0 {
		t.Error("the first interval of the class is not known at once")
	}
}

// TestPrefillRaisesPauses guards against a forecast that ignores the prefills which the engine does between events.
func TestPrefillRaisesPauses(t *testing.T) {
	engines := newEngines(44*time.Millisecond, 44*time.Millisecond)
	model, end := New(), 6*time.Second
	play(model, engines, 0, end, 24)
	now := epoch.Add(end)
	idle := model.Forecast(now, engines[0].worker, summary, backend.Load{}).PauseRisk
	busy := model.Forecast(now, engines[0].worker, summary, backend.Load{PrefillTokens: 20_000}).PauseRisk
	if idle > 0.02 || busy < 0.9 {
		t.Errorf("pause risks are %.2f idle and %.2f with 0.8 s of prefill, want 0 and 1", idle, busy)
	}
	if added := model.AddedPauseRisk(now, engines[0].worker, 200*time.Millisecond, 0.3); added < 0.9 {
		t.Errorf("a prefill of 0.3 s adds a pause risk of %.2f, want 1", added)
	}
}

// TestForecastsStayPlausible guards against risks outside of 0 to 1, times that are negative or infinite, and risks that fall with the number of
// events, after arbitrary observations.
func TestForecastsStayPlausible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model, now := New(), epoch
		engines := newEngines(0, 0, 0)
		var streams []*Stream
		for range rapid.IntRange(0, 200).Draw(t, "events") {
			if len(streams) == 0 || rapid.IntRange(0, 20).Draw(t, "new") == 0 {
				streams = append(streams, model.NewStream(rapid.SampledFrom(engines).Draw(t, "engine").worker))
			}
			now = now.Add(time.Duration(rapid.Int64Range(-1e8, 2e9).Draw(t, "pause")))
			rapid.SampledFrom(streams).Draw(t, "stream").Event(now)
		}
		response := Response{
			Events: rapid.Float64Range(0, 500).Draw(t, "expected"), MaxEvents: rapid.Float64Range(0, 500).Draw(t, "most"),
			Spread:         rapid.Float64Range(0, 2).Draw(t, "spread"),
			PauseObjective: time.Duration(rapid.Int64Range(0, 1e9).Draw(t, "objective")),
			Remaining:      time.Duration(rapid.Int64Range(-1e9, 1e10).Draw(t, "remaining")),
		}
		longer := response
		longer.Events += rapid.Float64Range(0, 100).Draw(t, "more")
		load := backend.Load{PrefillTokens: rapid.IntRange(0, 1e6).Draw(t, "queued")}
		for _, engine := range engines {
			forecast, later := model.Forecast(now, engine.worker, response, load), model.Forecast(now, engine.worker, longer, load)
			for _, risk := range []float64{
				forecast.PauseRisk, forecast.DeadlineRisk, model.AddedPauseRisk(now, engine.worker, response.PauseObjective, 0.1),
			} {
				if !(risk >= 0 && risk <= 1) {
					t.Fatalf("risk %v of %+v is not within 0 and 1", risk, response)
				}
			}
			if forecast.Interval < 0 || forecast.End < 0 {
				t.Fatalf("negative times in %+v", forecast)
			}
			if later.PauseRisk < forecast.PauseRisk || later.DeadlineRisk < forecast.DeadlineRisk || later.End < forecast.End {
				t.Fatalf("%v events: %+v; %v events: %+v", response.Events, forecast, longer.Events, later)
			}
			if factor, _ := model.RelativePace(now, engine.worker); !(factor > 0 && factor < 1e9) {
				t.Fatalf("relative pace %v", factor)
			}
		}
	})
}

// BenchmarkEvent measures the observation of one event among 60 engines; a gateway sees some thousands of events a second.
func BenchmarkEvent(b *testing.B) {
	engines := newEngines(make([]time.Duration, 60)...)
	model, now := New(), epoch
	var streams []*Stream
	for _, engine := range engines {
		streams = append(streams, model.NewStream(engine.worker))
	}
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(time.Millisecond)
		streams[i%len(streams)].Event(now)
	}
}

// BenchmarkForecast measures one forecast among 60 engines; a placement makes one for each candidate.
func BenchmarkForecast(b *testing.B) {
	engines := newEngines(make([]time.Duration, 60)...)
	for _, engine := range engines {
		engine.interval = 50 * time.Millisecond
	}
	model := New()
	play(model, engines, 0, 5*time.Second, 24)
	now := epoch.Add(5 * time.Second)
	b.ReportAllocs()
	for i := range b.N {
		model.Forecast(now, engines[i%len(engines)].worker, summary, backend.Load{PrefillTokens: 100})
	}
}
