package forward

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/routing"
	"github.com/granitebay/granitebay/internal/tenant"
)

// truncationEventProtocol is a plainProtocol with an event that ends truncated streams.
type truncationEventProtocol struct{ plainProtocol }

func (truncationEventProtocol) Labels(*http.Request, *tenant.Tenant) (map[string]string, bool) {
	return nil, false
}

func (truncationEventProtocol) TruncationEvent(reason Reason) []byte {
	return []byte("event: error\ndata: " + string(reason) + "\n\n")
}

// stallingBody delivers one event and then blocks until the request ends.
type stallingBody struct {
	ctx  context.Context
	sent bool
}

func (s *stallingBody) Read(into []byte) (int, error) {
	if !s.sent {
		s.sent = true
		return copy(into, "id: 1\ndata: a\n\n"), nil
	}
	<-s.ctx.Done()
	return 0, context.Cause(s.ctx)
}

// TestStreamCutAtDeadlineReportsReason guards against streams that end at their deadline without an event that says so.
func TestStreamCutAtDeadlineReportsReason(t *testing.T) {
	workers := &fakeWorkers{run: func(ctx context.Context, _ int, _ *backend.Worker, _ RunOptions) (*Response, error) {
		return &Response{Status: http.StatusOK, Header: http.Header{}, ContentLength: -1, Body: io.NopCloser(&stallingBody{ctx: ctx})}, nil
	}}
	f := newFixture(t, fixtureOptions{rule: routing.Rule{Kind: routing.KindStream, Timeout: 200 * time.Millisecond}, engine: true}, workers)
	f.handler.protocol = truncationEventProtocol{plainProtocol{}}
	response, body, err := f.get(t)
	if err == nil || response.StatusCode != http.StatusOK {
		t.Fatalf("the response looks complete: %v, %v", response, err)
	}
	if want := "event: error\ndata: " + string(ReasonTimeout); !strings.Contains(body, want) {
		t.Errorf("got %q, want %q in it", body, want)
	}
}
