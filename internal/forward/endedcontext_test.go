package forward

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/granitebay/granitebay/internal/backend"
)

// TestEndedRequestReachesNoWorker guards against sending a request to a worker after its context has ended: the worker may run it for nobody,
// and the gateway can't say any more that it has not run.
func TestEndedRequestReachesNoWorker(t *testing.T) {
	for _, isEngine := range []bool{false, true} {
		workers := &fakeWorkers{
			run: func(ctx context.Context, _ int, _ *backend.Worker, _ RunOptions) (*Response, error) {
				return awaitCancel(ctx)
			},
			prefill: func(ctx context.Context, _ int, _ *backend.Worker) (*PrefilledPrompt, error) {
				_, err := awaitCancel(ctx)
				return nil, err
			},
		}
		f := newFixture(t, fixtureOptions{engine: isEngine, demand: backend.Demand{PromptTokens: 5000, OutputTokens: 10}}, workers)
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		server := httptest.NewUnstartedServer(f.handler)
		server.Config.BaseContext = func(net.Listener) context.Context { return ended }
		server.Start()
		defer server.Close()
		response, err := server.Client().Get(server.URL + "/x")
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if !response.Close {
			t.Errorf("engine %t: the connection is kept, although the contexts of further requests on it have ended, too", isEngine)
		}
		if response.StatusCode != http.StatusServiceUnavailable || len(workers.ranAt)+len(workers.prefilledAt) > 0 {
			t.Errorf("engine %t: got status %d; ran at %v, prefilled at %v", isEngine, response.StatusCode, workers.ranAt, workers.prefilledAt)
		}
	}
}
