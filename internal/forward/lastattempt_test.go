package forward

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/routing"
)

// TestLastAttemptIsNotAbandoned guards against giving up a slow worker as silent when no further attempt can follow: its response is lost,
// although it is on time.
func TestLastAttemptIsNotAbandoned(t *testing.T) {
	const timeout, took = 3 * time.Second, responseTimeoutBase + 200*time.Millisecond
	for _, c := range []struct {
		desc         string
		refusals     int
		minRemaining time.Duration
	}{
		{"the limit of workers tried", maxReachedWorkers - 1, DefaultSettings().MinRemaining},
		{"too little time left", 0, timeout - responseTimeoutBase + 100*time.Millisecond},
	} {
		t.Run(c.desc, func(t *testing.T) {
			workers := &fakeWorkers{run: func(ctx context.Context, number int, _ *backend.Worker, _ RunOptions) (*Response, error) {
				if number <= c.refusals {
					return nil, refusalError
				}
				select {
				case <-time.After(took):
					return wholeResponse(http.StatusOK, "done"), nil
				case <-ctx.Done():
					return awaitCancel(ctx)
				}
			}}
			f := newFixture(t, fixtureOptions{rule: routing.Rule{Kind: routing.KindRepeatable, MaxAttempts: 3, Timeout: timeout}, allowance: 100}, workers)
			f.handler.settings.MinRemaining = c.minRemaining
			set := backend.Set{}
			for i := range 2 * maxReachedWorkers {
				id := fmt.Sprint("w", i)
				set[id] = &backend.Worker{ID: id, Group: "g", Address: id}
			}
			f.handler.dispatcher.SetWorkers(set)
			response, body, err := f.get(t)
			if err != nil || response.StatusCode != http.StatusOK {
				t.Errorf("got %v, %q, %v after attempts at %v", response, body, err, workers.ranAt)
			}
		})
	}
}

// TestWorkerIsNotAbandonedTooLate guards against giving up a silent worker when the patience with it ends so late, after a standstill of the
// process, that no time is left for another one.
func TestWorkerIsNotAbandonedTooLate(t *testing.T) {
	for _, late := range []bool{false, true} {
		f := newFixture(t, fixtureOptions{rule: routing.Rule{Kind: routing.KindRepeatable, MaxAttempts: 2}, allowance: 10}, &fakeWorkers{})
		configuration := f.handler.Table().Configuration()
		c := &call{
			handler: f.handler, request: &Request{ID: "r"}, deadline: time.Now().Add(time.Minute),
			match: routing.Match{Rule: &configuration.Rules[0], Group: &configuration.Groups[0]},
		}
		if late {
			c.deadline = time.Now().Add(f.handler.settings.MinRemaining / 2)
		}
		gate := &responseGate{}
		isCancelled := false
		c.abandonSilent(gate, func(error) { isCancelled = true }, "0")
		if gate.abandoned == late || isCancelled == late {
			t.Errorf("late %t: abandoned %t, cancelled %t", late, gate.abandoned, isCancelled)
		}
	}
}
