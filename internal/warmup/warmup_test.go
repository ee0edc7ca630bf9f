package warmup_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/granitebay/granitebay/internal/warmup"
)

var start = time.Unix(1000, 0)

// TestUnknownEnginesCountAsHalfFull guards against sending all work to engines of which nothing is known, and against
// doubting them for ever when they don't answer.
func TestUnknownEnginesCountAsHalfFull(t *testing.T) {
	settings := warmup.DefaultSettings()
	table := warmup.New(settings)
	if got := table.Load(start, "a", 32); got != 0 || table.Active(start) {
		t.Errorf("before the start: load %d, active %t", got, table.Active(start))
	}
	table.Begin(start, []string{"a", "b"})
	table.Record(start, "b", 20)
	if got := table.Load(start, "a", 32); got != 16 {
		t.Errorf("without a report: load %d", got)
	}
	if got := table.Load(start, "b", 32); got != 20 {
		t.Errorf("with a report: load %d", got)
	}
	if got := table.KnownShare(start); got != 0.5 {
		t.Errorf("share %f", got)
	}
	later := start.Add(settings.Timeout)
	if got := table.Load(later, "a", 32); got != 0 || table.Active(later) {
		t.Errorf("after the timeout: load %d, active %t", got, table.Active(later))
	}
}

// TestReportedLoadDecays guards against load of ended requests that keeps an engine idle.
func TestReportedLoadDecays(t *testing.T) {
	settings := warmup.DefaultSettings()
	table := warmup.New(settings)
	table.Begin(start, []string{"a"})
	table.Record(start, "a", 20)
	for _, step := range []struct{ elapsed, load time.Duration }{{0, 20}, {settings.LoadLifetime / 2, 10}, {settings.LoadLifetime, 0}} {
		if got := table.Load(start.Add(step.elapsed), "a", 32); got != int(step.load) {
			t.Errorf("after %v: load %d, want %d", step.elapsed, got, step.load)
		}
	}
}

// TestReportOfAnotherIncarnationHasNoEffect guards against load of an engine that has been restarted since.
func TestReportOfAnotherIncarnationHasNoEffect(t *testing.T) {
	table := warmup.New(warmup.DefaultSettings())
	table.Begin(start, []string{"a@1"})
	table.Record(start, "a@0", 30)
	if got := table.Load(start, "a@0", 32); got != 0 || table.KnownShare(start) != 0 {
		t.Errorf("load %d, share %f", got, table.KnownShare(start))
	}
	table.Record(start, "a@1", 30)
	table.Forget("a@1")
	if got := table.Load(start, "a@1", 32); got != 0 || table.Active(start) {
		t.Errorf("after its end: load %d, active %t", got, table.Active(start))
	}
}

// TestQueriesAreBounded guards against a start that asks an engine twice, asks too many, or asks one of which another
// gateway has told.
func TestQueriesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := warmup.DefaultSettings()
		settings.MaxQueries = rapid.IntRange(0, 20).Draw(t, "limit")
		table := warmup.New(settings)
		var engines []string
		for i := range rapid.IntRange(0, 30).Draw(t, "engines") {
			engines = append(engines, fmt.Sprint(i))
		}
		table.Begin(start, engines)
		asked, told := map[string]bool{}, map[string]bool{}
		now := start
		for range 100 {
			now = now.Add(time.Duration(rapid.IntRange(0, 10).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "told") && len(engines) > 0 {
				id := rapid.SampledFrom(engines).Draw(t, "engine")
				table.Record(now, id, rapid.IntRange(-5, 50).Draw(t, "running"))
				told[id] = true
			}
			id, found := table.Next(now)
			if found && (asked[id] || told[id] || now.Sub(start) >= settings.Timeout) {
				t.Fatalf("%s asked after %v, before: asked %t, told %t", id, now.Sub(start), asked[id], told[id])
			}
			if found {
				asked[id] = true
			}
			for _, engine := range engines {
				if load := table.Load(now, engine, 32); load < 0 || load > 50 {
					t.Fatalf("load %d of %s", load, engine)
				}
			}
		}
		if len(asked) > settings.MaxQueries {
			t.Fatalf("%d asked, limit %d", len(asked), settings.MaxQueries)
		}
	})
}
