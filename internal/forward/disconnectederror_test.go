package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/httpclient"
	"github.com/granitebay/granitebay/internal/routing"
)

// TestStreamOfDisconnectedCallerIsNotComplete guards against taking the end of the caller's connection for the end of the worker's stream: a
// caller that closed only its sending half would take what it got for the whole stream.
func TestStreamOfDisconnectedCallerIsNotComplete(t *testing.T) {
	workers := &fakeWorkers{run: func(ctx context.Context, _ int, _ *backend.Worker, _ RunOptions) (*Response, error) {
		return &Response{Status: http.StatusOK, Header: http.Header{}, ContentLength: -1, Body: io.NopCloser(&stallingBody{ctx: ctx})}, nil
	}}
	f := newFixture(t, fixtureOptions{rule: routing.Rule{Kind: routing.KindStream}, engine: true}, workers)
	base, disconnect := context.WithCancelCause(context.Background())
	server := httptest.NewUnstartedServer(f.handler)
	server.Config.BaseContext = func(net.Listener) context.Context { return base }
	server.Start()
	defer server.Close()
	response, err := server.Client().Get(server.URL + "/x")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	disconnect(&DisconnectError{Cause: io.EOF})
	if body, err := io.ReadAll(response.Body); err == nil {
		t.Errorf("the stream looks complete: %q", body)
	}
	if report := f.lastReport(); !report.Unanswered || report.Reason != ReasonCallerGone {
		t.Errorf("got report %+v", report)
	}
}

// TestDisconnectErrorSaysNothingOfWorker guards against taking an error of the caller's connection for one of the connection to a worker.
func TestDisconnectErrorSaysNothingOfWorker(t *testing.T) {
	for _, cause := range []error{io.EOF, net.ErrClosed, io.ErrUnexpectedEOF} {
		err := &httpclient.Error{Step: httpclient.StepReceive, Peer: "w", Cause: &DisconnectError{Cause: cause}}
		if got := err.FailureCause(); got != httpclient.CauseCancelled || errors.Is(err, cause) {
			t.Errorf("%v: got failure cause %q", cause, got)
		}
	}
}
