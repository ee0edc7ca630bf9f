package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/routing"
)

// TestUnansweredRequestNamesCloser guards against reports that blame the caller for connections that the gateway closed.
func TestUnansweredRequestNamesCloser(t *testing.T) {
	ends := map[string]struct {
		options       fixtureOptions
		run           func(ctx context.Context) (*Response, error)
		clientTimeout time.Duration
		closer        Closer
		reason        Reason
	}{
		"the caller disconnects":          {run: awaitCancel, clientTimeout: 100 * time.Millisecond, closer: CloserCaller, reason: ReasonCallerGone},
		"closer reported as idle timeout": {run: awaitCancel, clientTimeout: 100 * time.Millisecond, closer: CloserIdleTimeout, reason: ReasonCallerGone},
		"panic within a response": {
			options: fixtureOptions{rule: routing.Rule{Kind: routing.KindStream}, engine: true},
			run:     panicWithinResponse, closer: CloserPanic, reason: ReasonPanic,
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			workers := &fakeWorkers{run: func(ctx context.Context, _ int, _ *backend.Worker, _ RunOptions) (*Response, error) {
				return end.run(ctx)
			}}
			f := newFixture(t, end.options, workers)
			f.handler.SetCloserFunc(func(context.Context) Closer { return end.closer })
			client := &http.Client{Timeout: end.clientTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
			if response, err := client.Get(f.server.URL + "/x"); err == nil {
				if _, err := io.Copy(io.Discard, response.Body); err == nil {
					t.Fatal("got a complete response")
				}
				_ = response.Body.Close()
			}
			report := f.lastReport()
			if !report.Unanswered || report.ClosedBy != end.closer || report.Reason != end.reason || report.Request.ID != "r1" || report.Caller == "" {
				t.Errorf("got report %+v", report)
			}
			if fault := new(PanicError); (end.closer == CloserPanic) != (errors.As(report.Err, &fault) && len(fault.Stack) > 0) {
				t.Errorf("got error %v", report.Err)
			}
			if end.closer != CloserPanic && (report.Step() != "await the answer" || report.LastWorker() == "") {
				t.Errorf("got step %q, worker %q", report.Step(), report.LastWorker())
			}
		})
	}
}

// panicWithinResponse returns a stream that panics after its first event.
func panicWithinResponse(context.Context) (*Response, error) {
	body := io.MultiReader(strings.NewReader("id: 1\ndata: a\n\n"), panickingReader{})
	return &Response{Status: http.StatusOK, Header: http.Header{}, ContentLength: -1, Body: io.NopCloser(body)}, nil
}

// panickingReader panics when it is read.
type panickingReader struct{}

func (panickingReader) Read([]byte) (int, error) { panic("test panic") }

// TestPanicBeforeResponseIsAnswered guards against a panic that closes the connection of its request without a response.
func TestPanicBeforeResponseIsAnswered(t *testing.T) {
	for _, isEngine := range []bool{false, true} {
		workers := &fakeWorkers{run: func(context.Context, int, *backend.Worker, RunOptions) (*Response, error) { panic("test panic") }}
		f := newFixture(t, fixtureOptions{engine: isEngine}, workers)
		response, body, err := f.get(t)
		if err != nil || response.StatusCode != http.StatusInternalServerError || !strings.Contains(body, string(ReasonPanic)) {
			t.Fatalf("got %v, %q, %v", response, body, err)
		}
		report := f.lastReport()
		if fault := new(PanicError); report.Unanswered || report.Reason != ReasonPanic || !errors.As(report.Err, &fault) {
			t.Errorf("got report %+v", report)
		}
	}
}

// TestPanicFreesWorker guards against a panic that leaves its request counted at a worker, which then gets fewer requests for good.
func TestPanicFreesWorker(t *testing.T) {
	panics := map[string]*fakeWorkers{
		"run": {run: func(context.Context, int, *backend.Worker, RunOptions) (*Response, error) { panic("test panic") }},
		"prefill": {prefill: func(context.Context, int, *backend.Worker) (*PrefilledPrompt, error) {
			panic("test panic")
		}},
	}
	for name, workers := range panics {
		f := newFixture(t, fixtureOptions{engine: true, demand: backend.Demand{PromptTokens: 5000, OutputTokens: 10}}, workers)
		if response, _, err := f.get(t); err != nil || response.StatusCode != http.StatusInternalServerError {
			t.Errorf("panic in %s: got %v, %v", name, response, err)
		}
		dispatcher := f.handler.dispatcher
		dispatcher.mutex.Lock()
		for worker, status := range dispatcher.balancer.WorkerStatuses(dispatcher.now(), "g") {
			if status.Load != (backend.Load{}) {
				t.Errorf("panic in %s: worker %s has load %+v after the request", name, worker.ID, status.Load)
			}
		}
		dispatcher.mutex.Unlock()
	}
}

// lastReport waits for the report of a request.
func (f *fixture) lastReport() Report {
	for range 200 {
		f.reports.mutex.Lock()
		last := f.reports.last
		f.reports.mutex.Unlock()
		if !last.Ended.IsZero() {
			return last
		}
		time.Sleep(10 * time.Millisecond)
	}
	return Report{}
}
