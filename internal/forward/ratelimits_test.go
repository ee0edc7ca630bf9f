package forward

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/routing"
)

// TestRequestBeyondRateLimitsIsRefused guards against exceeding rate limits, and against telling all refused callers to retry at the same
// time.
func TestRequestBeyondRateLimitsIsRefused(t *testing.T) {
	for _, engine := range []bool{false, true} {
		rule := routing.Rule{Kind: routing.KindRepeatable, MaxAttempts: 2, Objective: 300 * time.Millisecond, Timeout: 10 * time.Second}
		f := newFixture(t, fixtureOptions{rule: rule, engine: engine, allowance: 10, demand: backend.Demand{OutputTokens: 1}}, &fakeWorkers{})
		d := f.handler.dispatcher
		var limited int
		for _, id := range d.balancer.IDs() {
			d.SetLimit(id, 0.5, 0)
			limited++
		}
		last := 0.0
		for number := range 4 {
			start := time.Now()
			response, _, err := f.get(t)
			if err != nil || response.StatusCode != http.StatusServiceUnavailable || time.Since(start) > 200*time.Millisecond {
				t.Fatalf("got %v, %v after %s", response, err, time.Since(start))
			}
			after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
			if err != nil || after <= last-0.1 || (number == 0 && after < 1.8) {
				t.Errorf("caller %d: Retry-After is %v s, for the caller before it %v s", number, after, last)
			}
			last = after
		}
		if last < 2.5 {
			t.Errorf("the last of four callers: Retry-After is %v s, with %d workers that accept one request in 2 s each", last, limited)
		}
		if got := len(f.workers.ranAt); got != 0 {
			t.Errorf("workers got %d requests beyond their limits", got)
		}
	}
}

// TestHealthChecksCountAgainstRateLimits guards against health checks that exceed a worker's rate limit.
func TestHealthChecksCountAgainstRateLimits(t *testing.T) {
	f := newFixture(t, fixtureOptions{rule: routing.Rule{Kind: routing.KindRepeatable}}, &fakeWorkers{})
	d := f.handler.dispatcher
	id := d.balancer.IDs()[0]
	if !d.AllowHealthCheck(id) {
		t.Error("a worker without a limit may not be checked")
	}
	const perSecond = 20
	limitedAt := time.Now()
	d.SetLimit(id, perSecond, 0)
	if d.AllowHealthCheck(id) {
		t.Error("a worker may be checked before it has capacity")
	}
	time.Sleep(60 * time.Millisecond)
	checks := 0
	for d.AllowHealthCheck(id) {
		checks++
	}
	// On a busy machine the sleep may take longer, and the worker then has capacity for more.
	if capacity := int(time.Since(limitedAt).Seconds() * perSecond); checks < 1 || checks > capacity {
		t.Errorf("a worker with capacity for %d requests may be checked %d times", capacity, checks)
	}
}
