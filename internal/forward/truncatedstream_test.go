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

// tellingProtocol has a word for streams that broke off.
type truncationEventProtocol struct{ plainProtocol }

func (truncationEventProtocol) Labels(*http.Request, *tenant.Tenant) (map[string]string, bool) {
	return nil, false
}

func (truncationEventProtocol) BrokenOff(reason Reason) []byte {
	return []byte("event: error\ndata: " + string(reason) + "\n\n")
}

// stalling is an answer of one event that goes on until the request ends.
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

// TestAStreamThatIsCutAtItsDeadlineSaysSo guards against what callers of a demo beside a full machine saw: streams that had begun ended at
// their deadlines without a word, and what became of the requests was not told.
func TestStreamCutAtDeadlineReportsReason(t *testing.T) {
	workers := &fakeWorkers{run: func(ctx context.Context, _ int, _ *backend.Worker, _ RunOptions) (*Answer, error) {
		return &Answer{Status: http.StatusOK, Header: http.Header{}, ContentLength: -1, Body: io.NopCloser(&stallingBody{ctx: ctx})}, nil
	}}
	f := newFixture(t, fixtureOptions{rule: routing.Rule{Kind: routing.KindStream, Timeout: 200 * time.Millisecond}, engine: true}, workers)
	f.handler.protocol = truncationEventProtocol{plainProtocol{}}
	response, body, err := f.get(t)
	if err == nil || response.StatusCode != http.StatusOK {
		t.Fatalf("the answer looks whole: %v, %v", response, err)
	}
	if want := "event: error\ndata: " + string(ReasonTimeout); !strings.Contains(body, want) {
		t.Errorf("got %q, want %q in it", body, want)
	}
}
