package forward

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/httpclient"
	"github.com/granitebay/granitebay/internal/poison"
	"github.com/granitebay/granitebay/internal/routing"
	"github.com/granitebay/granitebay/internal/standin/cutserver"
)

// TestCutResponsesAreNotWholeForCallers guards against a response that ends as a whole one for its caller, although its worker ended the connection within
// it, and against events that are lost or repeated when the worker that continues a stream does so.
func TestCutResponsesAreNotWholeForCallers(t *testing.T) {
	stream := routing.Rule{Kind: routing.KindStream, Resumable: true, MaxAttempts: 2}
	for _, test := range []struct {
		name string
		rule routing.Rule
		// begin is what a first worker sends before its connection breaks; empty for no first worker. body is the whole body of the one whose response
		// is cut.
		begin, body string
	}{
		{"plain", routing.Rule{Kind: routing.KindAtMostOnce}, "", "an answer"},
		{"stream", stream, "", firstEvents + lastEvents},
		{"continued stream", stream, firstEvents, lastEvents},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			client := httpclient.New(httpclient.DefaultSettings())
			// address is that of the worker that cuts the response, and wasCut is set once it was asked for that.
			var address atomic.Value
			var wasCut atomic.Bool
			workers := &fakeWorkers{run: func(ctx context.Context, _ int, _ *backend.Worker, options RunOptions) (*Response, error) {
				switch {
				case test.begin != "" && options.ResumeAfter == "":
					return truncatedResponse(test.begin), nil
				case wasCut.Swap(true):
					return nil, refusalError
				}
				response, err := client.Do(ctx, address.Load().(string), &httpclient.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
				if err != nil {
					return nil, err
				}
				return &Response{
					Status: response.Status, Header: response.Header, ContentLength: response.ContentLength, EndsWithConnection: response.EndsWithConnection, Body: response.Body,
				}, nil
			}}
			const retries = 1e6
			f := newFixture(t, fixtureOptions{rule: test.rule, engine: test.rule.Kind == routing.KindStream, allowance: retries}, workers)
			// The workers run on, so that a regular end is one.
			f.withGuard(&crashProber{crashed: map[string]bool{}}, func(poison.Event) {})
			handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, test.body) })
			want := test.begin + test.body
			cuts, err := cutserver.Play(handler, func(cut cutserver.Cut) {
				address.Store(cut.Address)
				wasCut.Store(false)
				const maxTime = 2 * time.Second
				start := time.Now()
				response, body, err := f.get(t)
				isSuccess := response != nil && response.StatusCode == http.StatusOK
				switch {
				case time.Since(start) > maxTime:
					t.Errorf("%s: took %s", cut, time.Since(start))
				case !wasCut.Load():
					t.Errorf("%s: the worker got no request, and the caller %v, %v", cut, response, err)
				case isSuccess && !strings.HasPrefix(want, body):
					t.Errorf("%s: the caller got %q", cut, body)
				case isSuccess && err == nil && !cut.EndsRegularly() && (body != want || !cut.MayBeWhole()):
					t.Errorf("%s: the caller got %q as a whole response", cut, body)
				case cut.IsWhole() && (!isSuccess || err != nil || body != want):
					t.Errorf("%s: the response is whole, and the caller got %q, %v", cut, body, err)
				}
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%d cuts were played", cuts)
		})
	}
}
