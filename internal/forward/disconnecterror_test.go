package forward

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/httpclient"
	"github.com/granitebay/granitebay/internal/routing"
)

// errorReader fails with an error.
type errorReader struct{ err error }

// Read implements io.Reader.
func (r errorReader) Read([]byte) (int, error) { return 0, r.err }

// TestDisconnectIsNoEndOfStream guards against a stream that breaks off because its caller disconnected, and looks complete: the end of the
// caller's connection must not be taken for the end of the worker's response.
func TestDisconnectIsNoEndOfStream(t *testing.T) {
	disconnect := &DisconnectError{Cause: io.EOF}
	if errors.Is(disconnect, io.EOF) || !errors.Is(disconnect, context.Canceled) {
		t.Errorf("%v: it is io.EOF: %t, a cancellation: %t", disconnect, errors.Is(disconnect, io.EOF), errors.Is(disconnect, context.Canceled))
	}
	for _, cause := range []error{disconnect, io.EOF} {
		workers := &fakeWorkers{run: func(context.Context, int, *backend.Worker, RunOptions) (*Response, error) {
			failure := &httpclient.Error{Step: httpclient.StepReceive, Peer: "w", Cause: cause}
			body := io.MultiReader(strings.NewReader("id: 1\ndata: a\n\n"), errorReader{failure})
			return &Response{Status: http.StatusOK, Header: http.Header{}, ContentLength: -1, Body: io.NopCloser(body)}, nil
		}}
		f := newFixture(t, fixtureOptions{rule: routing.Rule{Kind: routing.KindStream}, engine: true}, workers)
		if response, body, err := f.get(t); err == nil {
			t.Errorf("cause %v: the response looks complete: %v, %q", cause, response, body)
		}
	}
}
