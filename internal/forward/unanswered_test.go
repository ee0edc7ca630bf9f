package forward

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
)

// TestUnansweredRequestNamesCloser guards against reports that blame the caller for connections that the gateway closed.
func TestUnansweredRequestNamesCloser(t *testing.T) {
	ends := map[string]struct {
		run           func(ctx context.Context) (*Response, error)
		clientTimeout time.Duration
		closer        Closer
		reason        Reason
	}{
		"the caller disconnects":          {run: awaitCancel, clientTimeout: 100 * time.Millisecond, closer: CloserCaller, reason: ReasonCallerGone},
		"closer reported as idle timeout": {run: awaitCancel, clientTimeout: 100 * time.Millisecond, closer: CloserIdleTimeout, reason: ReasonCallerGone},
		"panic":                           {run: func(context.Context) (*Response, error) { panic("test panic") }, closer: CloserPanic, reason: ReasonPanic},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			workers := &fakeWorkers{run: func(ctx context.Context, _ int, _ *backend.Worker, _ RunOptions) (*Response, error) {
				return end.run(ctx)
			}}
			f := newFixture(t, fixtureOptions{}, workers)
			f.handler.SetCloserFunc(func(context.Context) Closer { return end.closer })
			client := &http.Client{Timeout: end.clientTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
			if response, err := client.Get(f.server.URL + "/x"); err == nil {
				_ = response.Body.Close()
				t.Fatal("got a response")
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
