package forward

import (
	"context"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/retrybudget"
)

// TestRefusedContinuationAwaitsRetry has a stalled stream take the last retry for a continuation that is refused. It guards against a stream that is
// cut although the budget has another retry a moment later, and against one that is held for longer than its caller waits.
func TestRefusedContinuationAwaitsRetry(t *testing.T) {
	const (
		patience, refillAfter = 4 * time.Second, 100 * time.Millisecond
		// timeout leaves time for a stall that is noticed late: if a timer shows that this process stood still, the patience with a worker begins anew.
		timeout = 10 * patience
	)
	for _, test := range []struct {
		desc    string
		refills bool
	}{
		{"a retry in time", true},
		{"no retry", false},
	} {
		t.Run(test.desc, func(t *testing.T) {
			t.Parallel()
			scripted := &scriptedFleet{total: 8, responses: []scriptedResponse{{3, endStall}, {0, endRefused}}}
			f := newContinuationFixture(t, true, scripted)
			rule := &f.handler.Table().Configuration().Rules[0]
			rule.Patience, rule.Timeout = patience, timeout
			dispatcher := f.handler.dispatcher
			var refusedAt time.Time
			f.workers.run = func(ctx context.Context, number int, worker *backend.Worker, options RunOptions) (*Response, error) {
				if number == 2 {
					refusedAt = time.Now()
					dispatcher.SetBudget(retrybudget.Settings{Window: 10 * time.Second, Safety: 1})
					for dispatcher.RetryBudget("g").takeRetry() {
					}
					if test.refills {
						time.AfterFunc(refillAfter, func() {
							dispatcher.SetBudget(retrybudget.Settings{Allowance: 1000, Window: 10 * time.Second, Safety: 1})
						})
					}
				}
				return scripted.run(ctx, number, worker, options)
			}
			_, body, err := f.get(t)
			if isWhole := err == nil && body == events(0, 8); isWhole != test.refills {
				t.Errorf("got %q, %v", body, err)
			}
			if took := time.Since(refusedAt); took > patience/2 {
				t.Errorf("the stream ended %v after the refusal", took)
			}
		})
	}
}
