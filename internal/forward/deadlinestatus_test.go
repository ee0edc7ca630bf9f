package forward

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/httpclient"
	"github.com/granitebay/granitebay/internal/routing"
)

// TestDeadlineWithoutRunIsReportedAsNotRun guards against telling the caller that its request may have run, so that it must not repeat it,
// although the deadline passed before a worker had it, and against the opposite.
func TestDeadlineWithoutRunIsReportedAsNotRun(t *testing.T) {
	await := func(ctx context.Context, step httpclient.Step) error {
		<-ctx.Done()
		return &httpclient.Error{Step: step, Peer: "w", Cause: context.Cause(ctx)}
	}
	for _, c := range []struct {
		desc string
		// run is the end of an attempt, and prefill that of a prefill call; nil succeeds.
		run     func(ctx context.Context, number int) error
		prefill func(ctx context.Context) error
		want    int
	}{
		{desc: "while connecting", run: func(ctx context.Context, _ int) error { return await(ctx, httpclient.StepConnect) }, want: http.StatusServiceUnavailable},
		{desc: "while connecting after a refusal", run: func(ctx context.Context, number int) error {
			if number == 1 {
				return refusalError
			}
			return await(ctx, httpclient.StepConnect)
		}, want: http.StatusServiceUnavailable},
		{desc: "during a prefill call", prefill: func(ctx context.Context) error { return await(ctx, httpclient.StepAwait) }, want: http.StatusServiceUnavailable},
		{desc: "while sending", run: func(ctx context.Context, _ int) error { return await(ctx, httpclient.StepSend) }, want: http.StatusGatewayTimeout},
		{desc: "at the worker", run: func(ctx context.Context, _ int) error { return await(ctx, httpclient.StepAwait) }, want: http.StatusGatewayTimeout},
	} {
		t.Run(c.desc, func(t *testing.T) {
			workers := &fakeWorkers{
				run: func(ctx context.Context, number int, _ *backend.Worker, _ RunOptions) (*Response, error) {
					return nil, c.run(ctx, number)
				},
			}
			options := fixtureOptions{rule: routing.Rule{Timeout: 200 * time.Millisecond}, allowance: 10}
			if c.prefill != nil {
				options.engine, options.demand = true, backend.Demand{PromptTokens: 5000, OutputTokens: 10}
				workers.prefill = func(ctx context.Context, _ int, _ *backend.Worker) (*PrefilledPrompt, error) {
					return nil, c.prefill(ctx)
				}
			}
			response, body, err := newFixture(t, options, workers).get(t)
			if err != nil || response.StatusCode != c.want || (response.Header.Get("Retry-After") != "") != (c.want == http.StatusServiceUnavailable) {
				t.Errorf("got %v, %q, %v, want status %d", response, body, err, c.want)
			}
		})
	}
}
