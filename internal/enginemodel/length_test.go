package enginemodel

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestLengthsFollowHints guards against lengths that ignore the hint of a request, or a rule whose hints are off by a constant factor.
func TestLengthsFollowHints(t *testing.T) {
	lengths := NewLengths()
	if events, _ := lengths.Expect(epoch, "a", 24); events != 24 {
		t.Errorf("got %v events without observations, want the hint of 24", events)
	}
	for range 40 {
		lengths.Observe(epoch, "a", 10, 30)
	}
	if events, spread := lengths.Expect(epoch, "a", 20); events < 55 || events > 61 || spread > 0.3 {
		t.Errorf("got %.1f events with a spread of %.2f, want 60: three times the hint", events, spread)
	}
	if events, _ := lengths.Expect(epoch, "b", 20); events != 20 {
		t.Errorf("got %v events of another rule, want the hint of 20", events)
	}
}

// TestLengthsWithoutHints guards against lengths that aren't learnt for each rule, or that outlive their observations.
func TestLengthsWithoutHints(t *testing.T) {
	lengths := NewLengths()
	for range 40 {
		lengths.Observe(epoch, "long", 0, 24)
		lengths.Observe(epoch, "short", 0, 1)
	}
	if events, _ := lengths.Expect(epoch, "long", 0); events < 20 || events > 25 {
		t.Errorf("long: got %.1f events, want 24", events)
	}
	if events, _ := lengths.Expect(epoch, "short", 0); events != 1 {
		t.Errorf("short: got %.1f events, want 1", events)
	}
	if events, _ := lengths.Expect(epoch.Add(10*time.Minute), "long", 0); events != 1 {
		t.Errorf("got %.1f events after ten minutes without responses, want 1", events)
	}
}

// TestLengthsStayPlausible guards against lengths below 1, infinite ones and spreads that are no number.
func TestLengthsStayPlausible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lengths, now := NewLengths(), epoch
		for range rapid.IntRange(0, 40).Draw(t, "responses") {
			now = now.Add(time.Duration(rapid.Int64Range(-1e9, 1e10).Draw(t, "pause")))
			lengths.Observe(now, "a", rapid.Float64Range(-1, 1e9).Draw(t, "hinted"), rapid.IntRange(-1, 1e9).Draw(t, "events"))
		}
		events, spread := lengths.Expect(now, "a", rapid.Float64Range(-1, 1e6).Draw(t, "hint"))
		if !(events >= 1) || math.IsInf(events, 0) || !(spread >= 0) || math.IsInf(spread, 0) {
			t.Fatalf("got %v events with a spread of %v", events, spread)
		}
	})
}
