package forward

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/routing"
)

// TestARequestBeyondAllLimitsIsRefusedAtOnce has all workers name limits: each gets what it takes and no more, and the others are told to come
// back one after the other, when places are expected.
func TestRequestBeyondRateLimitsIsRefused(t *testing.T) {
	for _, engine := range []bool{false, true} {
		rule := routing.Rule{Kind: routing.KindRepeatable, MaxAttempts: 2, Objective: 300 * time.Millisecond, Timeout: 10 * time.Second}
		f := newFixture(t, fixtureOptions{rule: rule, engine: engine, allowance: 10, demand: backend.Demand{OutputTokens: 1}}, &fakeWorkers{})
		d := f.handler.dispatcher
		var limited int
		for _, id := range d.balancer.IDs() {
			d.Limit(id, 0.5, 0)
			limited++
		}
		last := 0.0
		for number := range 4 {
			start := time.Now()
			response, _, err := f.get(t)
			if err != nil || response.StatusCode != http.StatusServiceUnavailable || time.Since(start) > 200*time.Millisecond {
				t.Fatalf("%v, %v after %s", response, err, time.Since(start))
			}
			after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
			if err != nil || after <= last-0.1 || (number == 0 && after < 1.8) {
				t.Errorf("caller %d is to come back after %v s, the one before after %v", number, after, last)
			}
			last = after
		}
		if last < 2.5 {
			t.Errorf("the last of four is to come back after %v s, of %d workers that take one in 2 s each", last, limited)
		}
		if got := len(f.workers.ranAt); got != 0 {
			t.Errorf("workers got %d requests that they did not take", got)
		}
	}
}

// TestQuestionsCountForLimits has a question of health take a place of a worker with a limit, and be left if there is none.
func TestHealthChecksCountAgainstRateLimits(t *testing.T) {
	f := newFixture(t, fixtureOptions{rule: routing.Rule{Kind: routing.KindRepeatable}}, &fakeWorkers{})
	d := f.handler.dispatcher
	id := d.balancer.IDs()[0]
	if !d.MayAsk(id) {
		t.Error("a worker without a limit may not be asked")
	}
	d.Limit(id, 20, 0)
	if d.MayAsk(id) {
		t.Error("a worker may be asked before it takes anything")
	}
	time.Sleep(60 * time.Millisecond)
	if !d.MayAsk(id) || d.MayAsk(id) {
		t.Error("a worker that takes one request may be asked twice, or never")
	}
}
