package forward

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/httpclient"
	"github.com/granitebay/granitebay/internal/routing"
	"github.com/granitebay/granitebay/internal/tenant"
)

// TestUnsentRequestIsNotCounted guards against counting a request for its tenant although it ended before anything was sent to a worker, and
// against not counting one that ended while a worker had it.
func TestUnsentRequestIsNotCounted(t *testing.T) {
	tenants, err := tenant.NewTable([]tenant.KeyGrant{{Name: "a", Keys: []string{"k"}}})
	if err != nil {
		t.Fatal(err)
	}
	const leaveAfter = 100 * time.Millisecond
	for _, c := range []struct {
		desc    string
		step    httpclient.Step
		timeout time.Duration
		want    int64
	}{
		{"the deadline passes while connecting", httpclient.StepConnect, leaveAfter, 0},
		{"the deadline passes at the worker", httpclient.StepAwait, leaveAfter, 1},
		{"the caller leaves while connecting", httpclient.StepConnect, time.Minute, 0},
		{"the caller leaves while its request is at the worker", httpclient.StepAwait, time.Minute, 1},
	} {
		t.Run(c.desc, func(t *testing.T) {
			workers := &fakeWorkers{run: func(ctx context.Context, _ int, _ *backend.Worker, _ RunOptions) (*Response, error) {
				<-ctx.Done()
				return nil, &httpclient.Error{Step: c.step, Peer: "w", Cause: context.Cause(ctx)}
			}}
			f := newFixture(t, fixtureOptions{rule: routing.Rule{Timeout: c.timeout}}, workers)
			configuration := *f.handler.Table().Configuration()
			configuration.Tenants = tenants
			f.handler.SetTable(routing.NewTable(&configuration, nil))
			var counted atomic.Int64
			f.handler.OnTenantStart(func(string) { counted.Add(1) })
			ctx := t.Context()
			if c.timeout > leaveAfter {
				leaving, cancel := context.WithTimeout(ctx, leaveAfter)
				defer cancel()
				ctx = leaving
			}
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, f.server.URL+"/x", http.NoBody)
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set("Key", "k")
			if response, err := f.server.Client().Do(request); err == nil {
				_ = response.Body.Close()
			}
			if report := f.lastReport(); report.LastWorker() == "" {
				t.Fatalf("no worker was tried: %+v", report)
			}
			if got := counted.Load(); got != c.want {
				t.Errorf("counted %d times, want %d", got, c.want)
			}
		})
	}
}
