package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/httpclient"
	"github.com/granitebay/granitebay/internal/routing"
)

// partialEventBody delivers an event and a part of the next one at once, waits, and breaks.
type partialEventBody struct {
	ctx  context.Context
	wait time.Duration
	sent bool
}

func (b *partialEventBody) Read(into []byte) (int, error) {
	if !b.sent {
		b.sent = true
		return copy(into, "id: 1\ndata: a\n\nid: 2\nda"), nil
	}
	select {
	case <-b.ctx.Done():
	case <-time.After(b.wait):
	}
	return 0, &httpclient.Error{Step: httpclient.StepReceive, Peer: "w", Cause: io.ErrUnexpectedEOF}
}

// TestEventBeforePartialEventIsDelivered guards against a connection that is closed without a byte although a worker has sent an event, and
// against an event that is held back until the next one is complete.
func TestEventBeforePartialEventIsDelivered(t *testing.T) {
	for _, test := range []struct {
		name string
		wait time.Duration
	}{{"the worker breaks off at once", 0}, {"the worker pauses within the next event", 300 * time.Millisecond}} {
		t.Run(test.name, func(t *testing.T) {
			workers := &fakeWorkers{run: func(ctx context.Context, _ int, _ *backend.Worker, _ RunOptions) (*Response, error) {
				body := &partialEventBody{ctx: ctx, wait: test.wait}
				return &Response{Status: http.StatusOK, Header: http.Header{}, ContentLength: -1, Body: io.NopCloser(body)}, nil
			}}
			f := newFixture(t, fixtureOptions{rule: routing.Rule{Kind: routing.KindStream, Timeout: time.Second}, engine: true}, workers)
			start := time.Now()
			response, err := http.Get(f.server.URL + "/x")
			if err != nil {
				t.Fatalf("no response: %v", err)
			}
			defer response.Body.Close()
			event := make([]byte, len("id: 1\ndata: a\n\n"))
			if _, err := io.ReadFull(response.Body, event); err != nil {
				t.Fatal(err)
			}
			if took := time.Since(start); test.wait > 0 && took > test.wait/2 {
				t.Errorf("the event came after %s", took)
			}
			if rest, err := io.ReadAll(response.Body); err == nil || len(rest) > 0 {
				t.Errorf("the rest looks complete: %q, %v", rest, err)
			}
		})
	}
}

// fakeWatch is the watch of a response that may have been abandoned.
type fakeWatch struct{ abandoned bool }

func (*fakeWatch) Wait()            {}
func (w *fakeWatch) Received() bool { return !w.abandoned }

// TestEventsBeforeAbandonedResponseAreSent guards against events that are written and not sent because the response of their worker was
// abandoned just then.
func TestEventsBeforeAbandonedResponseAreSent(t *testing.T) {
	watch := &fakeWatch{}
	caller := httptest.NewRecorder()
	r := relay{
		writer: caller, deadline: time.Now().Add(time.Minute), watch: watch, acceptResponse: func() bool { return true }, onResponse: func() {}, onStart: func() {},
		onEvent: func(time.Duration) { watch.abandoned = true },
	}
	body := io.NopCloser(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
	if err := r.stream(&Response{Status: http.StatusOK, Header: http.Header{}, Body: body}); !errors.Is(err, errStalled) {
		t.Errorf("got %v, want %v", err, errStalled)
	}
	if got := caller.Body.String(); !caller.Flushed || got != "id: 1\ndata: a\n\n" {
		t.Errorf("got %q, sent: %t", got, caller.Flushed)
	}
}
