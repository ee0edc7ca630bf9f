package callers

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/forward"
)

// TestConnectionWithPendingRequestIsNotClosed guards against a race in which a timeout or shutdown closes a connection
// whose next request has just arrived or been read. Each case blocks the reading goroutine where a stalled process would
// stop, before or after the data is read.
func TestConnectionWithPendingRequestIsNotClosed(t *testing.T) {
	for _, stallPoint := range []string{"unread", "read"} {
		t.Run("idle timeout expires with the request "+stallPoint, func(t *testing.T) {
			s := newTestServer(t, testDelay, time.Hour)
			caller := s.dial(t)
			caller.request(t, "/1")
			s.requestDuringStall(t, caller, stallPoint, func() { time.Sleep(testStall) })
		})
		t.Run("header timeout expires with the request "+stallPoint, func(t *testing.T) {
			s := newTestServer(t, time.Hour, testDelay)
			s.requestDuringStall(t, nil, stallPoint, func() { time.Sleep(testStall) })
		})
		t.Run("shutdown with the request "+stallPoint, func(t *testing.T) {
			s := newTestServer(t, time.Hour, time.Hour)
			caller := s.dial(t)
			caller.request(t, "/1")
			s.requestDuringStall(t, caller, stallPoint, func() {
				s.stop()
				time.Sleep(NewConnGrace / 3)
			})
		})
	}
	t.Run("shutdown just before the first request of a new connection", func(t *testing.T) {
		s := newTestServer(t, time.Hour, time.Hour)
		s.dial(t).request(t, "/1")
		caller := s.dial(t)
		s.dial(t).request(t, "/2") // implies that the previous connection was accepted
		s.stop()
		time.Sleep(NewConnGrace / 3)
		caller.request(t, "/3")
	})
	t.Run("shutdown after the first byte of the next request", func(t *testing.T) {
		s := newTestServer(t, time.Hour, time.Hour)
		caller := s.dial(t)
		nextRequest := requestFor("/2")
		s.onHook = func() {
			_ = caller.send(nextRequest[:1])
			time.Sleep(testDelay) // The byte is read while the request is active.
			s.stop()
		}
		caller.request(t, pathHook)
		time.Sleep(NewConnGrace / 6)
		caller.finishRequest(t, nextRequest[1:])
	})
	t.Run("timeout increased while connections are idle", func(t *testing.T) {
		s := newTestServer(t, testDelay, testDelay)
		idle, fresh := s.dial(t), s.dial(t)
		idle.request(t, "/1")
		s.SetTimeouts(time.Hour, time.Hour)
		time.Sleep(testStall)
		idle.request(t, "/2")
		fresh.request(t, "/3")
	})
	t.Run("requests sent around the idle timeout", func(t *testing.T) {
		s := newTestServer(t, testDelay, time.Hour)
		s.requestAroundTimeout(t)
	})
}

// TestTimeoutChangesApplyToOpenConnections guards against changed timeouts that open connections ignore, and against decreases
// that shorten a timeout that is running.
func TestTimeoutChangesApplyToOpenConnections(t *testing.T) {
	s := newTestServer(t, time.Hour, time.Hour)
	idleBefore, newBefore := s.dial(t), s.dial(t)
	idleBefore.request(t, "/1")
	if idleBefore.closedWithin(2 * testDelay) {
		t.Error("a connection was closed before its timeout")
	}
	s.SetTimeouts(testDelay, 0)
	idle, fresh, active := s.dial(t), s.dial(t), s.dial(t)
	idle.request(t, "/2")
	s.onHook = func() { time.Sleep(testStall) }
	active.request(t, pathHook)
	if !idle.closedWithin(testStall) {
		t.Error("the idle timeout was not reduced")
	}
	if fresh.closedWithin(testStall) || newBefore.closedWithin(time.Millisecond) {
		t.Error("the idle timeout was applied to the first header")
	}
	if idleBefore.closedWithin(time.Millisecond) {
		t.Error("a reduced timeout closed a connection that was already idle")
	}
	s.SetTimeouts(0, testDelay)
	if !s.dial(t).closedWithin(testStall) {
		t.Error("the header timeout was not changed")
	}
	for name, prepare := range map[string]func(*testCaller){"first": func(*testCaller) {}, "second": func(c *testCaller) { c.request(t, "/3") }} {
		slow := s.dial(t)
		prepare(slow)
		start := time.Now()
		for range 2 * testStall / testDelay {
			_ = slow.send("G")
			time.Sleep(testDelay / 2)
		}
		// The server closes the connection late on a busy machine.
		if !slow.closedWithin(testDelay/2) || time.Since(start) > testTimeout {
			t.Errorf("a %s header that arrives slowly is not limited", name)
		}
	}
}

// TestAbandonedConnectionGetsNoResponse guards against a response to a partial request line, which net/http would treat as a bad
// request.
func TestAbandonedConnectionGetsNoResponse(t *testing.T) {
	const line, header = "GET / HT", "GET / HTTP/1.1\r\nHost: a\r\n"
	for _, c := range []struct {
		desc, before, after string
		stop                bool
	}{
		{"a first line", "", line, false},
		{"a first header", "", header, false},
		{"a line on a keep-alive connection", requestFor("/1"), line, false},
		{"a header on a keep-alive connection", requestFor("/1"), header, false},
		{"a line pipelined after a request", requestFor("/1") + line, "", false},
		{"a line pipelined after a request, and shutdown", requestFor("/1") + line, "", true},
	} {
		t.Run(c.desc, func(t *testing.T) {
			s := newTestServer(t, testDelay, testDelay)
			caller := s.dial(t)
			if err := caller.send(c.before); err != nil {
				t.Fatal(err)
			}
			if c.before != "" {
				if err := caller.readResponse(); err != nil {
					t.Fatal(err)
				}
			}
			if err := caller.send(c.after); err != nil {
				t.Fatal(err)
			}
			if c.stop {
				s.stop()
			}
			_ = caller.SetReadDeadline(time.Now().Add(testTimeout))
			got, err := io.ReadAll(caller.reader)
			if len(got) > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("got %q, %v", got, err)
			}
		})
	}
}

// timedOutConn is a connection that the kernel has timed out.
type timedOutConn struct{ net.Conn }

// Read implements net.Conn.
func (timedOutConn) Read([]byte) (int, error) {
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}
}

// TestTCPTimeoutIsAttributedToCaller guards against ETIMEDOUT, which is also a timeout error, being taken for an expired deadline.
func TestTCPTimeoutIsAttributedToCaller(t *testing.T) {
	for _, shuttingDown := range []bool{false, true} {
		s := newTestServer(t, testDelay, testDelay)
		if shuttingDown {
			<-s.stop()
		}
		own, other := net.Pipe()
		defer other.Close()
		conn := newConnection(timedOutConn{own}, s.Server)
		s.add(conn)
		if _, err := conn.Read(make([]byte, 10)); !errors.Is(err, syscall.ETIMEDOUT) {
			t.Errorf("got %v", err)
		}
		_ = conn.Close()
		if closer := conn.closedBy(); closer != forward.CloserCaller {
			t.Errorf("closed by %v, shutting down: %t", closer, shuttingDown)
		}
	}
}

// pathAbort is the path of a request whose handler aborts.
const pathAbort = "/abort"

// TestCloserIsReported guards against a connection that ends without a report, with two, or with the wrong side as its closer.
func TestCloserIsReported(t *testing.T) {
	partial := requestFor("/1")[:10]
	for _, c := range []struct {
		desc string
		sent string
		end  func(s *testServer, caller *testCaller)
		want string
	}{
		{"the caller, with a partial header", partial, func(_ *testServer, caller *testCaller) {
			_ = caller.Conn.(*net.TCPConn).SetLinger(0) // The connection is reset.
			_ = caller.Close()
		}, "closed by caller"},
		{"the header timeout", partial, func(*testServer, *testCaller) {}, "closed by bound on heads"},
		{"the end of shutdown", partial, func(s *testServer, _ *testCaller) { s.Close() }, "closed by stop"},
		{"the idle timeout", requestFor("/1"), func(*testServer, *testCaller) {}, "idle timeout"},
		{"the handler, which reports the failure itself", requestFor(pathAbort), func(*testServer, *testCaller) {}, ""},
	} {
		t.Run(c.desc, func(t *testing.T) {
			s := newTestServer(t, testStall, testStall)
			caller := s.dial(t)
			if err := caller.send(c.sent); err != nil {
				t.Fatal(err)
			}
			time.Sleep(testDelay / 2) // The header is read.
			c.end(s, caller)
			_ = caller.closedWithin(testTimeout)
			for start := time.Now(); s.traffic.Open.Load() > 0 && time.Since(start) < testTimeout; {
				time.Sleep(testDelay / 10)
			}
			time.Sleep(testDelay / 2) // Events are recorded after the connection closes.
			if got := s.recorder.String(); got != c.want {
				t.Errorf("recorded %q, want %q", got, c.want)
			}
		})
	}
}

// TestServerDeadlineAppliesWithinTimeouts guards against a deadline of net/http that a later timeout of the connection replaces.
func TestServerDeadlineAppliesWithinTimeouts(t *testing.T) {
	for _, idleTimeout := range []time.Duration{time.Hour, noTimeout} {
		s := newTestServer(t, time.Hour, time.Hour)
		s.idleTimeout.Store(int64(idleTimeout))
		for _, phase := range []phase{phaseNew, phaseIdle, phaseReadingHeader, phaseActive} {
			own, other := net.Pipe()
			defer other.Close()
			conn := newConnection(own, s.Server)
			s.add(conn)
			conn.enterPhase(phase)
			if phase == phaseReadingHeader {
				conn.startPhase(phaseReadingHeader)
			}
			guard := time.AfterFunc(testTimeout, func() { _ = other.Close() })
			_ = conn.SetReadDeadline(time.Now().Add(testDelay))
			if _, err := conn.Read(make([]byte, 10)); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("phase %d: got %v", phase, err)
			}
			guard.Stop()
			_ = conn.Close()
		}
	}
}

// TestBodyIsNotMistakenForPipelinedRequest guards against a shutdown that waits for a connection because a request body was
// taken for the beginning of the next request.
func TestBodyIsNotMistakenForPipelinedRequest(t *testing.T) {
	s := newTestServer(t, time.Hour, time.Hour)
	caller := s.dial(t)
	if err := caller.send("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(testDelay) // The header is read.
	caller.finishRequest(t, "body")
	start := time.Now()
	<-s.stop()
	if took := time.Since(start); took > NewConnGrace {
		t.Errorf("shutdown took %v", took)
	}
}

// requestDuringStall sends a request while the reading goroutine of its connection is blocked, and unblocks it after
// meanwhile returns. A nil caller opens a new connection.
func (s *testServer) requestDuringStall(t *testing.T, caller *testCaller, stallPoint string, meanwhile func()) {
	t.Helper()
	stallGate := &s.listener.beforeRead
	if stallPoint == "read" {
		stallGate = &s.listener.afterRead
	}
	var stalled <-chan struct{}
	s.onHook = func() { stalled = stallGate.close() }
	if caller == nil {
		s.onHook()
		caller = s.dial(t)
	} else {
		// The gate is closed before the goroutine of the connection begins to wait for the next request.
		caller.request(t, pathHook)
	}
	if err := caller.send(requestFor("/stalled")); err != nil {
		t.Fatal(err)
	}
	<-stalled
	meanwhile()
	stallGate.open()
	if err := caller.readResponse(); err != nil {
		time.Sleep(testDelay) // A request that was read may not have reached the handler yet.
		_, ran := s.handled.Load("/stalled")
		t.Errorf("the connection was closed with a pending request; handler ran: %t (%v)", ran, err)
	}
}

// Parameters of requests sent around the idle timeout: callers, requests of each, and the largest offset.
const (
	timeoutRaceCallers = 100
	timeoutRaceRounds  = 10
	maxTimeoutOffset   = time.Millisecond
)

// requestAroundTimeout sends requests from just before to just after the idle timeout. A request may find its connection
// closed only if the handler did not run for it.
func (s *testServer) requestAroundTimeout(t *testing.T) {
	var callers sync.WaitGroup
	var lost atomic.Int64
	for i := range timeoutRaceCallers {
		callers.Go(func() {
			for round := range timeoutRaceRounds {
				caller := s.dial(t)
				caller.request(t, "/first")
				offset := maxTimeoutOffset * time.Duration(2*i-timeoutRaceCallers) / timeoutRaceCallers
				time.Sleep(testDelay + offset)
				path := fmt.Sprintf("/%d/%d", i, round)
				if err := caller.send(requestFor(path)); err != nil {
					continue
				}
				err := caller.readResponse()
				if _, ran := s.handled.Load(path); ran && err != nil {
					lost.Add(1)
				}
				_ = caller.Close()
			}
		})
	}
	callers.Wait()
	if lost.Load() > 0 {
		t.Errorf("%d requests were handled, but their connections were closed", lost.Load())
	}
}
