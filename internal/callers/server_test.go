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

// TestNoConnectionIsClosedWithARequestOnIt.
//
// Seen: a caller's connection was closed without an answer within a millisecond of its request reaching a worker, and the exchange with
// the worker was closed with it; the worker did not run the request.
//
// How: the bound on connections that rest was a timer that closed the connection by itself. It was stopped only once the whole head of
// the next request had been read. Where the process stood still for some milliseconds while the bytes of a request arrived, both were
// due when it went on, and the request was read and passed on while the timer closed its connection.
//
// Cause: whoever closed did not know whether the connection was in use. The same held for the bound on a first head, for a bound that had
// been raised since, and for a stop of the gateway, which closes what it takes to be resting.
//
// Proof: the reading goroutine is held here where a standstill would hold it, before or after the bytes are read; each case ended with a
// closed connection.
func TestConnectionWithPendingRequestIsNotClosed(t *testing.T) {
	for _, stallPoint := range []string{"unread", "read"} {
		t.Run("kept, the bound passes with the request "+stallPoint, func(t *testing.T) {
			b := newTestServer(t, testDelay, time.Hour)
			caller := b.dial(t)
			caller.request(t, "/1")
			b.requestDuringStall(t, caller, stallPoint, func() { time.Sleep(testStall) })
		})
		t.Run("new, the bound passes with the request "+stallPoint, func(t *testing.T) {
			b := newTestServer(t, time.Hour, testDelay)
			b.requestDuringStall(t, nil, stallPoint, func() { time.Sleep(testStall) })
		})
		t.Run("stop with the request "+stallPoint, func(t *testing.T) {
			b := newTestServer(t, time.Hour, time.Hour)
			caller := b.dial(t)
			caller.request(t, "/1")
			b.requestDuringStall(t, caller, stallPoint, func() {
				b.stop()
				time.Sleep(newConnGrace / 3)
			})
		})
	}
	t.Run("stop just before the first request of a new connection", func(t *testing.T) {
		b := newTestServer(t, time.Hour, time.Hour)
		b.dial(t).request(t, "/1")
		caller := b.dial(t)
		b.dial(t).request(t, "/2") // the connection before it was accepted, too
		b.stop()
		time.Sleep(newConnGrace / 3)
		caller.request(t, "/3")
	})
	t.Run("stop when the first byte of the next request has come", func(t *testing.T) {
		b := newTestServer(t, time.Hour, time.Hour)
		caller := b.dial(t)
		nextRequest := requestFor("/2")
		b.onHook = func() {
			_ = caller.send(nextRequest[:1])
			time.Sleep(testDelay) // The byte is read while the request is in hand.
			b.stop()
		}
		caller.request(t, pathHook)
		time.Sleep(newConnGrace / 6)
		caller.finishRequest(t, nextRequest[1:])
	})
	t.Run("the bound is raised while connections rest", func(t *testing.T) {
		b := newTestServer(t, testDelay, testDelay)
		idle, fresh := b.dial(t), b.dial(t)
		idle.request(t, "/1")
		b.SetTimeouts(time.Hour, time.Hour)
		time.Sleep(testStall)
		idle.request(t, "/2")
		fresh.request(t, "/3")
	})
	t.Run("callers send about when the bound passes", func(t *testing.T) {
		b := newTestServer(t, testDelay, time.Hour)
		b.requestAroundTimeout(t)
	})
}

// TestConnectionsRestAsLongAsTheBoundOfTheMomentAllows changes the bounds while connections rest and while heads come.
func TestTimeoutChangesApplyToOpenConnections(t *testing.T) {
	b := newTestServer(t, time.Hour, time.Hour)
	idleBefore, newBefore := b.dial(t), b.dial(t)
	idleBefore.request(t, "/1")
	if idleBefore.closedWithin(2 * testDelay) {
		t.Error("a connection was closed within its bound")
	}
	b.SetTimeouts(testDelay, 0)
	idle, fresh, active := b.dial(t), b.dial(t), b.dial(t)
	idle.request(t, "/2")
	b.onHook = func() { time.Sleep(testStall) }
	active.request(t, pathHook)
	if !idle.closedWithin(testStall) {
		t.Error("the bound between requests was not lowered")
	}
	if fresh.closedWithin(testStall) || newBefore.closedWithin(time.Millisecond) {
		t.Error("the bound between requests was taken for that of the first head")
	}
	if idleBefore.closedWithin(time.Millisecond) {
		t.Error("a lowered bound closed a connection that rested before")
	}
	b.SetTimeouts(0, testDelay)
	if !b.dial(t).closedWithin(testStall) {
		t.Error("the bound of the first head was not changed")
	}
	for name, prepare := range map[string]func(*testCaller){"first": func(*testCaller) {}, "second": func(c *testCaller) { c.request(t, "/3") }} {
		slow := b.dial(t)
		prepare(slow)
		start := time.Now()
		for range 2 * testStall / testDelay {
			_ = slow.send("G")
			time.Sleep(testDelay / 2)
		}
		if !slow.closedWithin(time.Millisecond) || time.Since(start) > testTimeout {
			t.Errorf("a %s head that comes slowly is not bounded", name)
		}
	}
}

// TestNothingIsSentOnAConnectionThatIsGivenUp has heads come too slowly, and a stop come upon a part of one: net/http takes the part of a
// request line for a bad request and would say so.
func TestAbandonedConnectionGetsNoResponse(t *testing.T) {
	const line, header = "GET / HT", "GET / HTTP/1.1\r\nHost: a\r\n"
	for _, c := range []struct {
		desc, before, after string
		stop                bool
	}{
		{"a first line", "", line, false},
		{"a first header", "", header, false},
		{"a line on a kept connection", requestFor("/1"), line, false},
		{"a header on a kept connection", requestFor("/1"), header, false},
		{"a line sent with the request before", requestFor("/1") + line, "", false},
		{"a line sent with the request before, and a stop", requestFor("/1") + line, "", true},
	} {
		t.Run(c.desc, func(t *testing.T) {
			b := newTestServer(t, testDelay, testDelay)
			caller := b.dial(t)
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
				b.stop()
			}
			_ = caller.SetReadDeadline(time.Now().Add(testTimeout))
			got, err := io.ReadAll(caller.reader)
			if len(got) > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("got %q, %v", got, err)
			}
		})
	}
}

// brokenConn is a connection that TCP has given up.
type timedOutConn struct{ net.Conn }

// Read is part of net.Conn.
func (timedOutConn) Read([]byte) (int, error) {
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}
}

// TestAConnectionThatTCPGaveUpIsNotClosedByThisSide: the error of the system is a timeout, too, but not that of a deadline.
func TestTCPTimeoutIsAttributedToCaller(t *testing.T) {
	for _, shuttingDown := range []bool{false, true} {
		b := newTestServer(t, testDelay, testDelay)
		if shuttingDown {
			<-b.stop()
		}
		own, other := net.Pipe()
		defer other.Close()
		conn := newConnection(timedOutConn{own}, b.Server)
		b.add(conn)
		if _, err := conn.Read(make([]byte, 10)); !errors.Is(err, syscall.ETIMEDOUT) {
			t.Errorf("got %v", err)
		}
		_ = conn.Close()
		if closer := conn.closedBy(); closer != forward.CloserCaller {
			t.Errorf("closed by %v, stops %t", closer, shuttingDown)
		}
	}
}

// pathAbort is the path of a request that ends without an answer.
const pathAbort = "/abort"

// TestWhoClosedAConnectionIsCounted has connections end in each way while a head comes or a request is in hand.
func TestCloserIsReported(t *testing.T) {
	partial := requestFor("/1")[:10]
	for _, c := range []struct {
		desc string
		sent string
		end  func(b *testServer, caller *testCaller)
		want string
	}{
		{"the caller, with a head under way", partial, func(_ *testServer, caller *testCaller) {
			_ = caller.Conn.(*net.TCPConn).SetLinger(0) // The connection is reset.
			_ = caller.Close()
		}, "closed by caller"},
		{"the bound on heads", partial, func(*testServer, *testCaller) {}, "closed by bound on heads"},
		{"the end of a stop", partial, func(b *testServer, _ *testCaller) { b.Close() }, "closed by stop"},
		{"the bound on rest", requestFor("/1"), func(*testServer, *testCaller) {}, "rested out"},
		{"the handler, which reports by itself", requestFor(pathAbort), func(*testServer, *testCaller) {}, ""},
	} {
		t.Run(c.desc, func(t *testing.T) {
			b := newTestServer(t, testStall, testStall)
			caller := b.dial(t)
			if err := caller.send(c.sent); err != nil {
				t.Fatal(err)
			}
			time.Sleep(testDelay / 2) // The head is read.
			c.end(b, caller)
			_ = caller.closedWithin(testTimeout)
			for start := time.Now(); b.traffic.Open.Load() > 0 && time.Since(start) < testTimeout; {
				time.Sleep(testDelay / 10)
			}
			time.Sleep(testDelay / 2) // What is counted is counted after that.
			if got := b.recorder.String(); got != c.want {
				t.Errorf("counted %q, want %q", got, c.want)
			}
		})
	}
}

// TestADeadlineOfTheServerHoldsWithinTheBounds sets deadlines that end before the bounds of the connection do.
func TestServerDeadlineAppliesWithinTimeouts(t *testing.T) {
	for _, idleTimeout := range []time.Duration{time.Hour, noTimeout} {
		b := newTestServer(t, time.Hour, time.Hour)
		b.idleTimeout.Store(int64(idleTimeout))
		for _, phase := range []phase{phaseNew, phaseIdle, phaseReadingHeader, phaseActive} {
			own, other := net.Pipe()
			defer other.Close()
			conn := newConnection(own, b.Server)
			b.add(conn)
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

// TestABodyIsNotTakenForTheNextHead has a body come while its request is in hand: the connection rests after the answer, and a stop ends it
// at once.
func TestBodyIsNotMistakenForPipelinedRequest(t *testing.T) {
	b := newTestServer(t, time.Hour, time.Hour)
	caller := b.dial(t)
	if err := caller.send("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(testDelay) // The head is read.
	caller.finishRequest(t, "body")
	start := time.Now()
	<-b.stop()
	if took := time.Since(start); took > newConnGrace {
		t.Errorf("the stop took %v", took)
	}
}

// askThroughStall sends a request while the reading goroutine of its connection stands still, which it does until the end of a time. A
// nil caller opens a connection.
func (b *testServer) requestDuringStall(t *testing.T, caller *testCaller, stallPoint string, meanwhile func()) {
	t.Helper()
	stallGate := &b.listener.beforeRead
	if stallPoint == "read" {
		stallGate = &b.listener.afterRead
	}
	var stalled <-chan struct{}
	b.onHook = func() { stalled = stallGate.close() }
	if caller == nil {
		b.onHook()
		caller = b.dial(t)
	} else {
		// The gate is shut before the goroutine of the connection begins to wait for the next request.
		caller.request(t, pathHook)
	}
	if err := caller.send(requestFor("/stalled")); err != nil {
		t.Fatal(err)
	}
	<-stalled
	meanwhile()
	stallGate.open()
	if err := caller.readResponse(); err != nil {
		time.Sleep(testDelay) // A request that was read is on its way to the handler.
		_, ran := b.handled.Load("/stalled")
		t.Errorf("the connection was closed with a request on it, which had been passed on: %t (%v)", ran, err)
	}
}

// Callers that send about when the bound passes, how often each does, and by how much they miss it.
const (
	timeoutRaceCallers = 100
	timeoutRaceRounds  = 10
	timeoutRaceSpread  = time.Millisecond
)

// sendAboutTheBound sends requests from just before to just after the end of the bound. One that comes after it finds its connection
// closed, and has not run; one that has run is answered.
func (b *testServer) requestAroundTimeout(t *testing.T) {
	var callers sync.WaitGroup
	var lost atomic.Int64
	for i := range timeoutRaceCallers {
		callers.Go(func() {
			for round := range timeoutRaceRounds {
				caller := b.dial(t)
				caller.request(t, "/first")
				offset := timeoutRaceSpread * time.Duration(2*i-timeoutRaceCallers) / timeoutRaceCallers
				time.Sleep(testDelay + offset)
				path := fmt.Sprintf("/%d/%d", i, round)
				if err := caller.send(requestFor(path)); err != nil {
					continue
				}
				err := caller.readResponse()
				if _, ran := b.handled.Load(path); ran && err != nil {
					lost.Add(1)
				}
				_ = caller.Close()
			}
		})
	}
	callers.Wait()
	if lost.Load() > 0 {
		t.Errorf("%d requests ran, and their connections were closed", lost.Load())
	}
}
