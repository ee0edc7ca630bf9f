package forward

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/routing"
)

// backOffWorkers returns workers that refuse all requests and ask for a back-off, until the duration has passed. The fixture is passed by
// reference because it is created after its workers.
func backOffWorkers(f **fixture, backOff, duration time.Duration) *fakeWorkers {
	start := time.Now()
	return &fakeWorkers{run: func(_ context.Context, _ int, worker *backend.Worker, _ RunOptions) (*Response, error) {
		if time.Since(start) < duration {
			(*f).handler.dispatcher.BackOff(worker.ID, backOff)
			return nil, refusalError
		}
		return wholeResponse(http.StatusOK, "answer"), nil
	}}
}

// TestRetryAfterIsEndOfFirstBackOff guards against sending requests to workers that back off, and against a Retry-After time that is not
// the end of the first back-off.
func TestRetryAfterIsEndOfFirstBackOff(t *testing.T) {
	for _, engine := range []bool{false, true} {
		var f *fixture
		rule := routing.Rule{Kind: routing.KindRepeatable, MaxAttempts: 2, Objective: 300 * time.Millisecond}
		f = newFixture(t, fixtureOptions{rule: rule, engine: engine, allowance: 10}, backOffWorkers(&f, 2*time.Second, time.Minute))
		start := time.Now()
		response, body, err := f.get(t)
		if err != nil || response.StatusCode != http.StatusServiceUnavailable || time.Since(start) > time.Second {
			t.Fatalf("got %v, %v after %s: %s", response, err, time.Since(start), body)
		}
		after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		if err != nil || after < 1.5 || after > 2.5 {
			t.Errorf("Retry-After is %q", response.Header.Get("Retry-After"))
		}
		before := len(f.workers.ranAt)
		if _, _, err := f.get(t); err != nil || len(f.workers.ranAt) != before {
			t.Errorf("got %v; backing-off workers got %d requests", err, len(f.workers.ranAt)-before)
		}
	}
}

// TestRetryAfterWithoutRetryBudget guards against telling a caller to return at once when the worker that refused its request backs off, the
// retry budget allows no other attempt, and nothing shows that another worker accepts requests.
func TestRetryAfterWithoutRetryBudget(t *testing.T) {
	for _, engine := range []bool{false, true} {
		var f *fixture
		rule := routing.Rule{Kind: routing.KindRepeatable, MaxAttempts: 2, Objective: 300 * time.Millisecond}
		f = newFixture(t, fixtureOptions{rule: rule, engine: engine}, backOffWorkers(&f, 2*time.Second, time.Minute))
		for number := range 3 {
			response, body, err := f.get(t)
			if err != nil || response.StatusCode != http.StatusServiceUnavailable || len(f.workers.ranAt) != number+1 {
				t.Fatalf("request %d: got %v, %v after %d attempts: %s", number, response, err, len(f.workers.ranAt), body)
			}
			if after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err != nil || after < 1.5 || after > 2.5 {
				t.Errorf("request %d: Retry-After is %q, want the end of the first back-off", number, response.Header.Get("Retry-After"))
			}
		}
	}
}

// TestRequestWaitsForShortBackOff guards against refusing a request although a worker's back-off ends well within its objective.
func TestRequestWaitsForShortBackOff(t *testing.T) {
	var f *fixture
	rule := routing.Rule{Kind: routing.KindRepeatable, MaxAttempts: 2, Objective: time.Second}
	f = newFixture(t, fixtureOptions{rule: rule, allowance: 10}, backOffWorkers(&f, 200*time.Millisecond, 100*time.Millisecond))
	start := time.Now()
	response, _, err := f.get(t)
	if took := time.Since(start); err != nil || response.StatusCode != http.StatusOK || took < 150*time.Millisecond || took > rule.Objective {
		t.Errorf("got %v, %v after %s", response, err, took)
	}
}

// TestOtherWorkersServeDuringBackOff guards against failing a request because of one worker that backs off, and against sending that worker
// later requests.
func TestOtherWorkersServeDuringBackOff(t *testing.T) {
	var f *fixture
	first := ""
	workers := &fakeWorkers{run: func(_ context.Context, _ int, worker *backend.Worker, _ RunOptions) (*Response, error) {
		if first == "" || first == worker.ID {
			first = worker.ID
			f.handler.dispatcher.BackOff(worker.ID, time.Minute)
			return nil, refusalError
		}
		return wholeResponse(http.StatusOK, "answer"), nil
	}}
	f = newFixture(t, fixtureOptions{rule: routing.Rule{Kind: routing.KindRepeatable, MaxAttempts: 2}, allowance: 10}, workers)
	for range 20 {
		if response, _, err := f.get(t); err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("got %v, %v, want status %d", response, err, http.StatusOK)
		}
	}
	if len(workers.ranAt) != 21 {
		t.Errorf("%d attempts for 20 requests, at %v", len(workers.ranAt), workers.ranAt)
	}
}
