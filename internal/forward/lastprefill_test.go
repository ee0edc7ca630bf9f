package forward

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/routing"
)

// TestLastPrefillOfStartedStreamIsNotAbandoned guards against a stream that is cut because the prefill call of its continuation was given up as
// silent, although no further attempt could follow and the engine was about to respond.
func TestLastPrefillOfStartedStreamIsNotAbandoned(t *testing.T) {
	// With a shorter time for prefilling, the model would choose to colocate.
	const prefillTook, lateTook = 100 * time.Millisecond, 3 * responseTimeoutBase
	// The continuation takes two retries, one of them for its prefill call.
	for _, retries := range []float64{2, 10} {
		workers := &fakeWorkers{run: func(_ context.Context, number int, _ *backend.Worker, _ RunOptions) (*Response, error) {
			if number == 1 {
				return truncatedResponse(firstEvents), nil
			}
			return wholeResponse(http.StatusOK, lastEvents), nil
		}}
		workers.prefill = func(ctx context.Context, number int, worker *backend.Worker) (*PrefilledPrompt, error) {
			after := time.After(prefillTook)
			if number == 2 {
				after = time.After(lateTook)
			}
			select {
			case <-after:
			case <-ctx.Done():
				_, err := awaitCancel(ctx)
				return nil, err
			}
			return &PrefilledPrompt{Engine: worker, Handle: "h"}, nil
		}
		rule := routing.Rule{Kind: routing.KindStream, Resumable: true, MaxAttempts: 2, Timeout: 5 * time.Second}
		f := newFixture(t, fixtureOptions{rule: rule, engine: true, demand: longPrompt, allowance: retries}, workers)
		_, body, err := f.get(t)
		if err != nil || body != firstEvents+lastEvents {
			t.Errorf("with %v retries: got %q, %v after prefill calls at %v and runs at %v", retries, body, err, workers.prefilledAt, workers.ranAt)
		}
		if len(workers.prefilledAt) < 2 {
			t.Errorf("with %v retries: prefilled at %v, so the test checks nothing", retries, workers.prefilledAt)
		}
	}
}
