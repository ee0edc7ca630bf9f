package callers

import (
	"testing"
	"time"
)

// TestPartOfNextRequestKeepsConnectionAtShutdown guards against a request whose first part arrived together with the request before it, and whose
// connection is closed by a shutdown before the rest has come: that part is in the buffer of net/http, so no read tells of it.
func TestPartOfNextRequestKeepsConnectionAtShutdown(t *testing.T) {
	for _, part := range []int{len("GET /next HTTP/1.1\r\n"), 10, 4, 3, 1} {
		s := newTestServer(t, time.Hour, time.Hour)
		var stopped <-chan struct{}
		s.onHook = func() {
			stopped = s.stop()
			for s.shutdownStart.Load() == nil {
				time.Sleep(time.Millisecond)
			}
		}
		next := requestFor("/next")
		caller := s.dial(t)
		caller.finishRequest(t, requestFor(pathHook)+next[:part])
		time.Sleep(testDelay / 5)
		if err := caller.send(next[part:]); err != nil {
			t.Fatal(err)
		}
		if err := caller.readResponse(); err != nil {
			t.Errorf("%d bytes of the next request had arrived: %v; recorded %q", part, err, s.recorder)
		}
		_ = caller.Close()
		<-stopped
	}
}
