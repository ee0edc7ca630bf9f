package poison

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestOneMomentIsOneCrash guards against several crashes where a single moment explains all: each worker was alive before it and did not answer after it.
func TestOneMomentIsOneCrash(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		moment := time.Unix(1000, 0)
		times := newCrashTimes(100)
		crashes := map[string]time.Time{}
		for i := range rapid.IntRange(1, 20).Draw(t, "workers") {
			worker := fmt.Sprint("w", i)
			alive := moment.Add(-time.Duration(rapid.IntRange(0, 5000).Draw(t, "alive")) * time.Millisecond)
			silent := moment.Add(time.Duration(rapid.IntRange(1, int(maxSilence.Milliseconds())).Draw(t, "silent")) * time.Millisecond)
			times.merge(moment, worker, crashTime{silent: silent, alive: alive})
			crashes[worker] = silent
		}
		workers := slices.Collect(maps.Keys(crashes))
		if got := times.distinct(crashes, workers, time.Millisecond); got != 1 {
			t.Errorf("%d distinct crashes, want 1", got)
		}
		if got := times.span(crashes, workers); got != 0 {
			t.Errorf("they span %s, want nothing", got)
		}
	})
}

// TestBrokenConnectionsTellCrashesApart guards against crashes at different moments that count once although connections broke.
func TestBrokenConnectionsTellCrashesApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := time.Unix(1000, 0)
		times := newCrashTimes(100)
		crashes := map[string]time.Time{}
		count := rapid.IntRange(1, 20).Draw(t, "workers")
		for i := range count {
			at = at.Add(time.Duration(rapid.IntRange(30, 5000).Draw(t, "interval")) * time.Millisecond)
			crashes[fmt.Sprint("w", i)] = at
			times.merge(at, fmt.Sprint("w", i), crashTime{broken: at})
		}
		if got := times.distinct(crashes, slices.Collect(maps.Keys(crashes)), 30*time.Millisecond); got != count {
			t.Errorf("%d distinct crashes, want %d", got, count)
		}
	})
}

// TestOutlivedSilenceIsNoCrash guards against the silence of a busy worker that counts as its crash although this gateway had answers later.
func TestOutlivedSilenceIsNoCrash(t *testing.T) {
	start := time.Unix(1000, 0)
	busy := crashTime{silent: start.Add(time.Second), alive: start}
	end := crashTime{silent: start.Add(5 * time.Second), alive: start.Add(4 * time.Second)}
	now := start.Add(6 * time.Second)
	for _, reports := range [][]crashTime{{busy, end}, {end, busy}} {
		times := newCrashTimes(10)
		times.life = func(string) time.Time { return end.alive }
		for _, report := range reports {
			times.merge(now, "w", report)
		}
		if got := times.byWorker["w"]; got != end {
			t.Errorf("the crash is between %s and %s", got.earliest(), got.latest())
		}
	}
}

// TestLateReportOfSilenceMovesNothing guards against bounds that a message moves which was late or had been queued while a gateway stood still.
func TestLateReportOfSilenceMovesNothing(t *testing.T) {
	start := time.Unix(1000, 0)
	known := crashTime{silent: start.Add(400 * time.Millisecond), alive: start}
	late := crashTime{silent: known.silent.Add(2 * time.Second), alive: known.alive.Add(2 * time.Second)}
	for _, merged := range []crashTime{known.merge(late), late.merge(known)} {
		if merged != known {
			t.Errorf("the bounds moved by %s", merged.silent.Sub(known.silent))
		}
	}
}

// TestAbandonedRequestIsNoCrash guards against a crash that is dated back to a request which another gateway gave up before, so that answers in between
// void it.
func TestAbandonedRequestIsNoCrash(t *testing.T) {
	start := time.Unix(1000, 0)
	crash := crashTime{broken: start.Add(4 * time.Second), alive: start.Add(3900 * time.Millisecond)}
	abandoned := crashTime{silent: start.Add(time.Second), alive: start}
	for _, merged := range []crashTime{crash.merge(abandoned), abandoned.merge(crash)} {
		if merged != crash {
			t.Errorf("the crash is between %s and %s", merged.earliest(), merged.latest())
		}
	}
}

// TestRepeatedReportsDoNotDrift guards against bounds that move with each message, as a report is passed on among gateways.
func TestRepeatedReportsDoNotDrift(t *testing.T) {
	now := time.Unix(1000, 0)
	first, second := newCrashTimes(10), newCrashTimes(10)
	want := crashTime{silent: now, alive: now.Add(-time.Second)}
	first.merge(now, "w", want)
	for range 100 {
		now = now.Add(time.Second)
		for _, crash := range first.take(now, 10, []string{"w"}) {
			second.merge(now, "w", crash.crashTime(now.Add(20*time.Millisecond)))
		}
		for _, crash := range second.take(now, 10, []string{"w"}) {
			first.merge(now, "w", crash.crashTime(now.Add(20*time.Millisecond)))
		}
	}
	if got := first.byWorker["w"]; got != want {
		t.Errorf("the bounds have become %v, want %v", got, want)
	}
}
