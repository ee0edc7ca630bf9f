package callers

import (
	"net/http"
	"testing"
	"time"
)

// TestKeepAliveIsAnnounced guards against callers that are told an idle time of their connection although it closes behind the response, or an
// outdated one, and against HTTP/1.0 callers that are told one.
func TestKeepAliveIsAnnounced(t *testing.T) {
	const idleTimeout, changed = 10 * time.Second, 20 * time.Second
	s := newTestServer(t, idleTimeout, time.Hour)
	announced := func(request string) string {
		t.Helper()
		caller := s.dial(t)
		if err := caller.send(request); err != nil {
			t.Fatal(err)
		}
		_ = caller.SetReadDeadline(time.Now().Add(testTimeout))
		response, err := http.ReadResponse(caller.reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		return response.Header.Get("Keep-Alive")
	}
	for _, test := range []struct{ desc, request, want string }{
		{"a connection that stays open", requestFor("/1"), "timeout=8"},
		{"one that the caller wants closed", "GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", ""},
		{"HTTP/1.0", "GET /1 HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", ""},
	} {
		if got := announced(test.request); got != test.want {
			t.Errorf("%s: %q is announced, want %q", test.desc, got, test.want)
		}
	}
	s.SetTimeouts(changed, 0)
	if got, want := announced(requestFor("/1")), "timeout=16"; got != want {
		t.Errorf("after a change of the timeout: %q is announced, want %q", got, want)
	}
	now := time.Now()
	s.shutdownStart.Store(&now)
	if got := announced(requestFor("/1")); got != "" {
		t.Errorf("during a shutdown: %q is announced", got)
	}
}

// TestKeepAliveIsShorterThanTimeout guards against an announced time at whose end the connection may be closed, and against one that a rounding up
// makes longer than the timeout.
func TestKeepAliveIsShorterThanTimeout(t *testing.T) {
	for idleTimeout, want := range map[time.Duration]string{
		time.Second: "", 1250 * time.Millisecond: "timeout=1", 2 * time.Second: "timeout=1", 15 * time.Second: "timeout=12", time.Minute: "timeout=48",
	} {
		got := ""
		if values := newKeepAlive(idleTimeout).values; len(values) > 0 {
			got = values[0]
		}
		if got != want {
			t.Errorf("%q is announced for %v, want %q", got, idleTimeout, want)
		}
	}
}

// TestTimeoutMargin guards against connections that stay open long after a long timeout, and against short timeouts that are extended by more than
// half.
func TestTimeoutMargin(t *testing.T) {
	for timeout, want := range map[time.Duration]time.Duration{
		noTimeout: 0, 100 * time.Millisecond: 50 * time.Millisecond, 2 * time.Second: time.Second, 15 * time.Second: time.Second, time.Hour: time.Second,
	} {
		if got := timeoutMargin(timeout); got != want {
			t.Errorf("%v after a timeout of %v, want %v", got, timeout, want)
		}
	}
}

// TestRequestPastTimeoutIsReported guards against requests in the margin of a timeout that nobody counts, and against requests in time that are
// counted.
func TestRequestPastTimeoutIsReported(t *testing.T) {
	const timeout, reported = time.Minute, "request past the idle timeout"
	for _, test := range []struct {
		desc    string
		phase   phase
		timeout time.Duration
		// waited is how long ago the timeout began.
		waited time.Duration
		want   string
	}{
		{"a first request in time", phaseNew, timeout, timeout / 2, ""},
		{"a first request past the header timeout", phaseNew, timeout, timeout + time.Second, reported},
		{"a later request in time", phaseIdle, timeout, timeout / 2, ""},
		{"a later request past the idle timeout", phaseIdle, timeout, timeout + time.Second, reported},
		{"no timeout", phaseIdle, noTimeout, time.Hour, ""},
		{"the rest of a slow header", phaseReadingHeader, timeout, timeout + time.Second, ""},
	} {
		s := newTestServer(t, timeout, timeout)
		conn := newConnection(nil, s.Server)
		conn.phase, conn.timeout, conn.timeoutStart = test.phase, test.timeout, time.Now().Add(-test.waited)
		conn.bytesReceived(readerBytes)
		if got := s.recorder.String(); got != test.want {
			t.Errorf("%s: reported %q, want %q", test.desc, got, test.want)
		}
	}
}
