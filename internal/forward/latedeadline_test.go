package forward

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/routing"
	"github.com/granitebay/granitebay/internal/standstill"
)

// TestLateDeadlineBlamesNoWorker guards against workers that are ejected, here and at other gateways, because this process stood still until the
// deadlines of their requests had passed. Workers that were silent until a deadline that was noticed in time are still ejected.
func TestLateDeadlineBlamesNoWorker(t *testing.T) {
	for _, test := range []struct {
		desc string
		role backend.Role
		// stall is how late the deadline is noticed.
		stall       time.Duration
		wantEjected bool
		wantStatus  int
	}{
		{"a plain worker, in time", backend.RoleNone, 0, true, http.StatusGatewayTimeout},
		{"a plain worker, late", backend.RoleNone, 2 * standstill.MaxTimerDelay, false, http.StatusGatewayTimeout},
		// Engines count as busy until their response timeout. A prefill call does not run the request.
		{"a prefill engine, late", backend.RolePrefill, 1500 * time.Millisecond, false, http.StatusServiceUnavailable},
	} {
		t.Run(test.desc, func(t *testing.T) {
			wait := func(ctx context.Context) error {
				<-ctx.Done()
				time.Sleep(test.stall)
				_, err := awaitCancel(ctx)
				return err
			}
			workers := &fakeWorkers{
				run: func(ctx context.Context, _ int, _ *backend.Worker, _ RunOptions) (*Response, error) {
					return nil, wait(ctx)
				},
				prefill: func(ctx context.Context, _ int, _ *backend.Worker) (*PrefilledPrompt, error) {
					return nil, wait(ctx)
				},
			}
			options := fixtureOptions{rule: routing.Rule{Kind: routing.KindAtMostOnce, Timeout: 50 * time.Millisecond}, allowance: 10}
			set := backend.Set{"only": {ID: "only", Group: "g", Address: "only", Role: test.role, Slots: 4}}
			if test.role != backend.RoleNone {
				options.engine, options.demand = true, backend.Demand{PromptTokens: 4_000}
				set["decode"] = &backend.Worker{ID: "decode", Group: "g", Address: "decode", Role: backend.RoleDecode, Slots: 4}
			}
			f := newFixture(t, options, workers)
			dispatcher := f.handler.dispatcher
			dispatcher.SetWorkers(set)
			for range 2 {
				if response, _, err := f.get(t); err != nil || response.StatusCode != test.wantStatus {
					t.Errorf("got %v, %v", response, err)
				}
			}
			dispatcher.mutex.Lock()
			defer dispatcher.mutex.Unlock()
			if ejected, _ := dispatcher.balancer.Skipped(dispatcher.now(), "only"); ejected != test.wantEjected {
				t.Errorf("ejected %t, want %t", ejected, test.wantEjected)
			}
			if test.role == backend.RolePrefill && len(workers.prefilledAt) != 2 {
				t.Errorf("%d prefill calls", len(workers.prefilledAt))
			}
		})
	}
}
