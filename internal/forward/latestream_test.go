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
)

// lateBody delivers an event at a time, whatever became of the request until then, and ends.
type lateBody struct {
	at   time.Time
	sent bool
}

func (b *lateBody) Read(into []byte) (int, error) {
	if b.sent {
		return 0, io.EOF
	}
	time.Sleep(time.Until(b.at))
	b.sent = true
	return copy(into, "id: 1\ndata: a\n\n"), nil
}

// TestStreamReadyAfterDeadlineIsDelivered guards against closing the connection without a response when the first event of a stream is ready
// only after the time to write it, as after a suspension of the process.
func TestStreamReadyAfterDeadlineIsDelivered(t *testing.T) {
	const timeout = 50 * time.Millisecond
	workers := &fakeWorkers{run: func(context.Context, int, *backend.Worker, RunOptions) (*Response, error) {
		body := &lateBody{at: time.Now().Add(timeout + writeGrace + 100*time.Millisecond)}
		return &Response{Status: http.StatusOK, Header: http.Header{}, ContentLength: -1, Body: io.NopCloser(body)}, nil
	}}
	f := newFixture(t, fixtureOptions{rule: routing.Rule{Kind: routing.KindStream, Timeout: timeout}, engine: true}, workers)
	response, body, err := f.get(t)
	if err != nil || response.StatusCode != http.StatusOK || !strings.Contains(body, "data: a") {
		t.Errorf("got %v, %q, %v", response, body, err)
	}
}
