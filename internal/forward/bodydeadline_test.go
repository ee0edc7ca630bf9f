package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/routing"
)

// stalledBody stalls once at its end, as a process does that is suspended there.
type stalledBody struct {
	io.ReadCloser
	stall time.Duration
}

func (b *stalledBody) Read(into []byte) (int, error) {
	n, err := b.ReadCloser.Read(into)
	if errors.Is(err, io.EOF) {
		time.Sleep(b.stall)
		b.stall = 0
	}
	return n, err
}

// TestRequestAfterStalledBodyIsAnswered guards against a read deadline that outlives the body of its request: net/http takes its end for a
// disconnect, and the next request on the connection is sent to a worker and closed without a response.
func TestRequestAfterStalledBodyIsAnswered(t *testing.T) {
	const timeout = 50 * time.Millisecond
	for _, chunked := range []bool{false, true} {
		workers := &fakeWorkers{run: func(ctx context.Context, _ int, _ *backend.Worker, _ RunOptions) (*Response, error) {
			if ctx.Err() != nil {
				return awaitCancel(ctx)
			}
			return wholeResponse(http.StatusOK, "done"), nil
		}}
		f := newFixture(t, fixtureOptions{rule: routing.Rule{Timeout: timeout}}, workers)
		var stalled atomic.Bool
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !stalled.Swap(true) {
				r.Body = &stalledBody{ReadCloser: r.Body, stall: 2 * timeout}
			}
			f.handler.ServeHTTP(w, r)
		}))
		defer server.Close()
		for number, want := range []int{http.StatusServiceUnavailable, http.StatusOK} {
			var body io.Reader = strings.NewReader("a body")
			if chunked {
				body = io.MultiReader(body)
			}
			response, err := server.Client().Post(server.URL+"/x", "text/plain", body)
			if err != nil {
				t.Errorf("request %d, chunked %t: %v", number, chunked, err)
				continue
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode != want {
				t.Errorf("request %d, chunked %t: got status %d, want %d", number, chunked, response.StatusCode, want)
			}
		}
	}
}
