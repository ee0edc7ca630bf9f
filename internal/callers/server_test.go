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
func TestNoConnectionIsClosedWithARequestOnIt(t *testing.T) {
	for _, stalled := range []string{"unread", "read"} {
		t.Run("kept, the bound passes with the request "+stalled, func(t *testing.T) {
			b := newCallerBench(t, testBound, time.Hour)
			caller := b.dial(t)
			caller.ask(t, "/1")
			b.askThroughStall(t, caller, stalled, func() { time.Sleep(testStall) })
		})
		t.Run("new, the bound passes with the request "+stalled, func(t *testing.T) {
			b := newCallerBench(t, time.Hour, testBound)
			b.askThroughStall(t, nil, stalled, func() { time.Sleep(testStall) })
		})
		t.Run("stop with the request "+stalled, func(t *testing.T) {
			b := newCallerBench(t, time.Hour, time.Hour)
			caller := b.dial(t)
			caller.ask(t, "/1")
			b.askThroughStall(t, caller, stalled, func() {
				b.stop()
				time.Sleep(silenceWhileStopping / 3)
			})
		})
	}
	t.Run("stop just before the first request of a new connection", func(t *testing.T) {
		b := newCallerBench(t, time.Hour, time.Hour)
		b.dial(t).ask(t, "/1")
		caller := b.dial(t)
		b.dial(t).ask(t, "/2") // the connection before it was accepted, too
		b.stop()
		time.Sleep(silenceWhileStopping / 3)
		caller.ask(t, "/3")
	})
	t.Run("stop when the first byte of the next request has come", func(t *testing.T) {
		b := newCallerBench(t, time.Hour, time.Hour)
		caller := b.dial(t)
		next := headOf("/2")
		b.turn = func() {
			_ = caller.send(next[:1])
			time.Sleep(testBound) // The byte is read while the request is in hand.
			b.stop()
		}
		caller.ask(t, pathTurn)
		time.Sleep(silenceWhileStopping / 6)
		caller.askRest(t, next[1:])
	})
	t.Run("the bound is raised while connections rest", func(t *testing.T) {
		b := newCallerBench(t, testBound, testBound)
		kept, fresh := b.dial(t), b.dial(t)
		kept.ask(t, "/1")
		b.SetTimeouts(time.Hour, time.Hour)
		time.Sleep(testStall)
		kept.ask(t, "/2")
		fresh.ask(t, "/3")
	})
	t.Run("callers send about when the bound passes", func(t *testing.T) {
		b := newCallerBench(t, testBound, time.Hour)
		b.sendAboutTheBound(t)
	})
}

// TestConnectionsRestAsLongAsTheBoundOfTheMomentAllows changes the bounds while connections rest and while heads come.
func TestConnectionsRestAsLongAsTheBoundOfTheMomentAllows(t *testing.T) {
	b := newCallerBench(t, time.Hour, time.Hour)
	earlier, earlierNew := b.dial(t), b.dial(t)
	earlier.ask(t, "/1")
	if earlier.closedWithin(2 * testBound) {
		t.Error("a connection was closed within its bound")
	}
	b.SetTimeouts(testBound, 0)
	lowered, fresh, atWork := b.dial(t), b.dial(t), b.dial(t)
	lowered.ask(t, "/2")
	b.turn = func() { time.Sleep(testStall) }
	atWork.ask(t, pathTurn)
	if !lowered.closedWithin(testStall) {
		t.Error("the bound between requests was not lowered")
	}
	if fresh.closedWithin(testStall) || earlierNew.closedWithin(time.Millisecond) {
		t.Error("the bound between requests was taken for that of the first head")
	}
	if earlier.closedWithin(time.Millisecond) {
		t.Error("a lowered bound closed a connection that rested before")
	}
	b.SetTimeouts(0, testBound)
	if !b.dial(t).closedWithin(testStall) {
		t.Error("the bound of the first head was not changed")
	}
	for name, prepare := range map[string]func(*testCaller){"first": func(*testCaller) {}, "second": func(c *testCaller) { c.ask(t, "/3") }} {
		dripping := b.dial(t)
		prepare(dripping)
		begun := time.Now()
		for range 2 * testStall / testBound {
			_ = dripping.send("G")
			time.Sleep(testBound / 2)
		}
		if !dripping.closedWithin(time.Millisecond) || time.Since(begun) > testPatience {
			t.Errorf("a %s head that comes slowly is not bounded", name)
		}
	}
}

// TestNothingIsSentOnAConnectionThatIsGivenUp has heads come too slowly, and a stop come upon a part of one: net/http takes the part of a
// request line for a bad request and would say so.
func TestNothingIsSentOnAConnectionThatIsGivenUp(t *testing.T) {
	const line, header = "GET / HT", "GET / HTTP/1.1\r\nHost: a\r\n"
	for _, c := range []struct {
		desc, before, after string
		stop                bool
	}{
		{"a first line", "", line, false},
		{"a first header", "", header, false},
		{"a line on a kept connection", headOf("/1"), line, false},
		{"a header on a kept connection", headOf("/1"), header, false},
		{"a line sent with the request before", headOf("/1") + line, "", false},
		{"a line sent with the request before, and a stop", headOf("/1") + line, "", true},
	} {
		t.Run(c.desc, func(t *testing.T) {
			b := newCallerBench(t, testBound, testBound)
			caller := b.dial(t)
			if err := caller.send(c.before); err != nil {
				t.Fatal(err)
			}
			if c.before != "" {
				if err := caller.answer(); err != nil {
					t.Fatal(err)
				}
			}
			if err := caller.send(c.after); err != nil {
				t.Fatal(err)
			}
			if c.stop {
				b.stop()
			}
			_ = caller.SetReadDeadline(time.Now().Add(testPatience))
			got, err := io.ReadAll(caller.reader)
			if len(got) > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("got %q, %v", got, err)
			}
		})
	}
}

// brokenConn is a connection that TCP has given up.
type brokenConn struct{ net.Conn }

// Read is part of net.Conn.
func (brokenConn) Read([]byte) (int, error) {
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}
}

// TestAConnectionThatTCPGaveUpIsNotClosedByThisSide: the error of the system is a timeout, too, but not that of a deadline.
func TestAConnectionThatTCPGaveUpIsNotClosedByThisSide(t *testing.T) {
	for _, stops := range []bool{false, true} {
		b := newCallerBench(t, testBound, testBound)
		if stops {
			<-b.stop()
		}
		own, other := net.Pipe()
		defer other.Close()
		conn := newConnection(brokenConn{own}, b.Server)
		b.add(conn)
		if _, err := conn.Read(make([]byte, 10)); !errors.Is(err, syscall.ETIMEDOUT) {
			t.Errorf("got %v", err)
		}
		_ = conn.Close()
		if closer := conn.closedBy(); closer != forward.CloserCaller {
			t.Errorf("closed by %v, stops %t", closer, stops)
		}
	}
}

// pathAbort is the path of a request that ends without an answer.
const pathAbort = "/abort"

// TestWhoClosedAConnectionIsCounted has connections end in each way while a head comes or a request is in hand.
func TestWhoClosedAConnectionIsCounted(t *testing.T) {
	half := headOf("/1")[:10]
	for _, c := range []struct {
		desc string
		sent string
		end  func(b *callerBench, caller *testCaller)
		want string
	}{
		{"the caller, with a head under way", half, func(_ *callerBench, caller *testCaller) {
			_ = caller.Conn.(*net.TCPConn).SetLinger(0) // The connection is reset.
			_ = caller.Close()
		}, "closed by caller"},
		{"the bound on heads", half, func(*callerBench, *testCaller) {}, "closed by bound on heads"},
		{"the end of a stop", half, func(b *callerBench, _ *testCaller) { b.Close() }, "closed by stop"},
		{"the bound on rest", headOf("/1"), func(*callerBench, *testCaller) {}, "rested out"},
		{"the handler, which reports by itself", headOf(pathAbort), func(*callerBench, *testCaller) {}, ""},
	} {
		t.Run(c.desc, func(t *testing.T) {
			b := newCallerBench(t, testStall, testStall)
			caller := b.dial(t)
			if err := caller.send(c.sent); err != nil {
				t.Fatal(err)
			}
			time.Sleep(testBound / 2) // The head is read.
			c.end(b, caller)
			_ = caller.closedWithin(testPatience)
			for begun := time.Now(); b.traffic.Open.Load() > 0 && time.Since(begun) < testPatience; {
				time.Sleep(testBound / 10)
			}
			time.Sleep(testBound / 2) // What is counted is counted after that.
			if got := b.counted.String(); got != c.want {
				t.Errorf("counted %q, want %q", got, c.want)
			}
		})
	}
}

// TestADeadlineOfTheServerHoldsWithinTheBounds sets deadlines that end before the bounds of the connection do.
func TestADeadlineOfTheServerHoldsWithinTheBounds(t *testing.T) {
	for _, between := range []time.Duration{time.Hour, unbounded} {
		b := newCallerBench(t, time.Hour, time.Hour)
		b.between.Store(int64(between))
		for _, phase := range []phase{phaseNew, phaseResting, phaseHead, phaseInHand} {
			own, other := net.Pipe()
			defer other.Close()
			conn := newConnection(own, b.Server)
			b.add(conn)
			conn.enter(phase)
			if phase == phaseHead {
				conn.begin(phaseHead)
			}
			guard := time.AfterFunc(testPatience, func() { _ = other.Close() })
			_ = conn.SetReadDeadline(time.Now().Add(testBound))
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
func TestABodyIsNotTakenForTheNextHead(t *testing.T) {
	b := newCallerBench(t, time.Hour, time.Hour)
	caller := b.dial(t)
	if err := caller.send("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(testBound) // The head is read.
	caller.askRest(t, "body")
	begun := time.Now()
	<-b.stop()
	if took := time.Since(begun); took > silenceWhileStopping {
		t.Errorf("the stop took %v", took)
	}
}

// askThroughStall sends a request while the reading goroutine of its connection stands still, which it does until the end of a time. A
// nil caller opens a connection.
func (b *callerBench) askThroughStall(t *testing.T, caller *testCaller, stalled string, meanwhile func()) {
	t.Helper()
	where := &b.listener.before
	if stalled == "read" {
		where = &b.listener.after
	}
	var waiting <-chan struct{}
	b.turn = func() { waiting = where.close() }
	if caller == nil {
		b.turn()
		caller = b.dial(t)
	} else {
		// The gate is shut before the goroutine of the connection begins to wait for the next request.
		caller.ask(t, pathTurn)
	}
	if err := caller.send(headOf("/stalled")); err != nil {
		t.Fatal(err)
	}
	<-waiting
	meanwhile()
	where.open()
	if err := caller.answer(); err != nil {
		time.Sleep(testBound) // A request that was read is on its way to the handler.
		_, ran := b.ran.Load("/stalled")
		t.Errorf("the connection was closed with a request on it, which had been passed on: %t (%v)", ran, err)
	}
}

// Callers that send about when the bound passes, how often each does, and by how much they miss it.
const (
	edgeCallers = 100
	edgeRounds  = 10
	edgeSpread  = time.Millisecond
)

// sendAboutTheBound sends requests from just before to just after the end of the bound. One that comes after it finds its connection
// closed, and has not run; one that has run is answered.
func (b *callerBench) sendAboutTheBound(t *testing.T) {
	var callers sync.WaitGroup
	var lost atomic.Int64
	for i := range edgeCallers {
		callers.Go(func() {
			for round := range edgeRounds {
				caller := b.dial(t)
				caller.ask(t, "/first")
				offset := edgeSpread * time.Duration(2*i-edgeCallers) / edgeCallers
				time.Sleep(testBound + offset)
				path := fmt.Sprintf("/%d/%d", i, round)
				if err := caller.send(headOf(path)); err != nil {
					continue
				}
				err := caller.answer()
				if _, ran := b.ran.Load(path); ran && err != nil {
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
