package callers

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/forward"
)

// gate holds those who pass it while it is shut.
type gate struct {
	mu   sync.Mutex
	shut chan struct{}
	// held is closed once somebody waits.
	held chan struct{}
}

// close shuts the gate and returns a channel that is closed once somebody waits at it.
func (g *gate) close() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut, g.held = make(chan struct{}), make(chan struct{})
	return g.held
}

// open lets all pass.
func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.shut)
	g.shut = nil
}

// pass waits while the gate is shut.
func (g *gate) pass() {
	g.mu.Lock()
	shut := g.shut
	if shut != nil {
		select {
		case <-g.held:
		default:
			close(g.held)
		}
	}
	g.mu.Unlock()
	if shut != nil {
		<-shut
	}
}

// heldConn is a connection whose reading goroutine can be held: before it reads, with the bytes in the kernel, or once it has read, and
// before its last look.
type heldConn struct {
	*net.TCPConn
	before, after, look *gate
}

// SyscallConn is part of syscall.Conn. It is asked for when the last look begins.
func (c *heldConn) SyscallConn() (syscall.RawConn, error) {
	c.look.pass()
	return c.TCPConn.SyscallConn()
}

// Read is part of net.Conn. The watch of a connection whose request is in hand, which reads a single byte, is not held.
func (c *heldConn) Read(buffer []byte) (int, error) {
	if len(buffer) > 1 {
		c.before.pass()
	}
	n, err := c.TCPConn.Read(buffer)
	if n > 1 {
		c.after.pass()
	}
	return n, err
}

// heldListener accepts connections that can be held.
type heldListener struct {
	net.Listener
	before, after, look gate
	// accepted holds connections that were accepted.
	accepted gate
}

// Accept is part of net.Listener.
func (l *heldListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted.pass()
	return &heldConn{accepted.(*net.TCPConn), &l.before, &l.after, &l.look}, nil
}

// counted keeps what an observer was told.
type counted struct {
	mu   sync.Mutex
	told []string
}

// RestedOut is part of Observer.
func (c *counted) RestedOut() { c.add("rested out") }

// HeadUnanswered is part of Observer.
func (c *counted) HeadUnanswered(closedBy forward.Closer, _ string, _ time.Duration) {
	c.add("closed by " + closedBy.String())
}

func (c *counted) add(told string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.told = append(c.told, told)
}

// String returns all that was told.
func (c *counted) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return strings.Join(c.told, ", ")
}

// callerBench is a server of callers whose connections can be held. Its handler stands for one that passes requests on to workers.
type callerBench struct {
	*Server
	listener *heldListener
	counted  *counted
	// ran holds the paths of the requests that reached the handler.
	ran sync.Map
	// turn is what comes before the answer to pathTurn.
	turn func()
}

// pathTurn is the path of a request during which a test sets up what comes after it.
const pathTurn = "/turn"

// newCallerBench returns a server with its bounds.
func newCallerBench(t testing.TB, between, first time.Duration) *callerBench {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	b := &callerBench{listener: &heldListener{Listener: listener}, counted: &counted{}}
	b.Server = NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.ran.Store(r.URL.Path, true)
		switch r.URL.Path {
		case pathTurn:
			b.turn()
		case pathAbort:
			panic(http.ErrAbortHandler)
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "served")
	}), &Traffic{}, b.counted, logrus.NewEntry(logger))
	b.SetTimeouts(between, first)
	go func() { _ = b.Serve(b.listener) }()
	t.Cleanup(b.Close)
	return b
}

// stop stops the server as a planned stop does. The channel is closed at its end.
func (b *callerBench) stop() <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ShutDown(time.Now().Add(testPatience), b.Server)
		b.Close()
	}()
	return ended
}

// testCaller is a caller with one connection.
type testCaller struct {
	net.Conn
	reader *bufio.Reader
}

// testPatience bounds waits of which a test expects an end.
const testPatience = 5 * time.Second

// dial opens a connection.
func (b *callerBench) dial(t testing.TB) *testCaller {
	t.Helper()
	conn, err := net.Dial("tcp4", b.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &testCaller{conn, bufio.NewReader(conn)}
}

// send sends a request, or a part of it.
func (c *testCaller) send(text string) error {
	_, err := io.WriteString(c, text)
	return err
}

// headOf returns the request for a path.
func headOf(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

// answer waits for an answer.
func (c *testCaller) answer() error {
	_ = c.SetReadDeadline(time.Now().Add(testPatience))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// ask sends a request and waits for its answer.
func (c *testCaller) ask(t testing.TB, path string) {
	t.Helper()
	c.askRest(t, headOf(path))
}

// askRest sends the rest of a request and waits for its answer.
func (c *testCaller) askRest(t testing.TB, text string) {
	t.Helper()
	if err := c.send(text); err != nil {
		t.Fatal(err)
	}
	if err := c.answer(); err != nil {
		t.Fatalf("%q: %v", text, err)
	}
}

// closedWithin tells whether the server closes the connection within a time, after whatever it may answer.
func (c *testCaller) closedWithin(patience time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(patience))
	_, err := io.Copy(io.Discard, c.reader)
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// testBound is a bound that passes in a test, and testStall how long a process is held that stands still beyond it.
const (
	testBound = 100 * time.Millisecond
	testStall = 3 * testBound
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

// TestAStopEndsRestingConnectionsAtOnce stops beside connections that rest and one with a request in hand.
func TestAStopEndsRestingConnectionsAtOnce(t *testing.T) {
	b := newCallerBench(t, time.Hour, time.Hour)
	resting := b.dial(t)
	resting.ask(t, "/1")
	begun := time.Now()
	inHand := b.dial(t)
	var ended <-chan struct{}
	b.turn = func() {
		ended = b.stop()
		if !resting.closedWithin(testPatience) {
			t.Error("a resting connection was not closed")
		}
		select {
		case <-ended:
			t.Error("the stop did not wait for the request in hand")
		default:
		}
	}
	inHand.ask(t, pathTurn)
	<-ended
	if took := time.Since(begun); took > silenceWhileStopping {
		t.Errorf("the stop took %v", took)
	}
	if _, err := net.Dial("tcp4", b.listener.Addr().String()); err == nil {
		t.Error("a stopped server takes connections")
	}
	if open := b.traffic.Open.Load(); open != 0 {
		t.Errorf("%d connections are open", open)
	}
}

// TestALastLookIsMadeBesideAStop has a stop begin, and a request come, just before the last look of a connection whose bound has passed: the
// stop hurries the reading of connections that rest, and may not end the look before it was made.
func TestALastLookIsMadeBesideAStop(t *testing.T) {
	b := newCallerBench(t, testBound, time.Hour)
	caller := b.dial(t)
	var looking <-chan struct{}
	b.turn = func() { looking = b.listener.look.close() }
	caller.ask(t, pathTurn)
	<-looking
	if err := caller.send(headOf("/2")); err != nil {
		t.Fatal(err)
	}
	b.stop()
	time.Sleep(silenceWhileStopping / 3)
	b.listener.look.open()
	if err := caller.answer(); err != nil {
		t.Errorf("a request that had come before the last look got no answer: %v", err)
	}
}

// TestAStopWaitsForWhatHasCome stops beside requests and heads that take longer than connections that rest, and beside one that was
// accepted just then.
func TestAStopWaitsForWhatHasCome(t *testing.T) {
	const lasting = 2 * silenceWhileStopping
	t.Run("a request in hand", func(t *testing.T) {
		b := newCallerBench(t, time.Hour, time.Hour)
		b.turn = func() {
			b.stop()
			time.Sleep(lasting)
		}
		b.dial(t).ask(t, pathTurn)
	})
	t.Run("a head under way", func(t *testing.T) {
		b := newCallerBench(t, time.Hour, time.Hour)
		caller := b.dial(t)
		head := headOf("/1")
		if err := caller.send(head[:5]); err != nil {
			t.Fatal(err)
		}
		time.Sleep(testBound) // The bytes are read.
		b.stop()
		time.Sleep(lasting)
		caller.askRest(t, head[5:])
	})
	t.Run("a connection accepted as the stop begins", func(t *testing.T) {
		b := newCallerBench(t, time.Hour, time.Hour)
		waiting := b.listener.accepted.close()
		caller := b.dial(t)
		if err := caller.send(headOf("/1")); err != nil {
			t.Fatal(err)
		}
		<-waiting
		b.stop()
		time.Sleep(silenceWhileStopping / 3)
		b.listener.accepted.open()
		if err := caller.answer(); err != nil {
			t.Error(err)
		}
	})
	t.Run("a question that waits for news is answered at once", func(t *testing.T) {
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		side := NewSideServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			_, _ = io.WriteString(w, "nothing new")
		}), &counted{}, logrus.NewEntry(logger))
		b := &callerBench{Server: side, listener: &heldListener{Listener: listener}}
		go func() { _ = side.Serve(b.listener) }()
		asker := b.dial(t)
		if err := asker.send(headOf("/1")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(testBound) // The question is in hand.
		begun := time.Now()
		ended := b.stop()
		if err := asker.answer(); err != nil {
			t.Error(err)
		}
		<-ended
		if took := time.Since(begun); took > silenceWhileStopping {
			t.Errorf("the stop took %v", took)
		}
	})
	t.Run("but not beyond the grace", func(t *testing.T) {
		b := newCallerBench(t, time.Hour, time.Hour)
		handled, goOn := make(chan struct{}), make(chan struct{})
		b.turn = func() {
			close(handled)
			<-goOn
		}
		defer close(goOn)
		if err := b.dial(t).send(headOf(pathTurn)); err != nil {
			t.Fatal(err)
		}
		<-handled
		for _, grace := range []time.Duration{lasting, -lasting} {
			begun := time.Now()
			ShutDown(begun.Add(grace), b.Server)
			least := max(grace, silenceWhileStopping)
			if took := time.Since(begun); took < least || took > least+silenceWhileStopping {
				t.Errorf("with %v of the grace the stop took %v", grace, took)
			}
		}
	})
	t.Run("but not for callers that send nothing", func(t *testing.T) {
		b := newCallerBench(t, time.Hour, time.Hour)
		silent, resting := b.dial(t), b.dial(t)
		resting.ask(t, "/1")
		begun := time.Now()
		<-b.stop()
		if took := time.Since(begun); took > lasting {
			t.Errorf("the stop took %v", took)
		}
		if !silent.closedWithin(testBound) || !resting.closedWithin(testBound) {
			t.Error("a connection is open after a stop")
		}
	})
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

// TestAStopAnswersQuestionsThatHaveCome holds, while the gateway stops, a question that was read at one of the ports that are not for
// callers: where to connect, what changed in the store, whether the gateway is ready.
func TestAStopAnswersQuestionsThatHaveCome(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	side := NewSideServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "told") }),
		&counted{}, logrus.NewEntry(logger))
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	held := &heldListener{Listener: listener}
	go func() { _ = side.Serve(held) }()
	t.Cleanup(side.Close)
	asker := (&callerBench{listener: held}).dial(t)
	asker.ask(t, "/1")
	time.Sleep(testBound) // The connection rests.
	waiting := held.after.close()
	if err := asker.send(headOf("/2")); err != nil {
		t.Fatal(err)
	}
	<-waiting
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), silenceWhileStopping)
		defer cancel()
		side.shutDown(ctx)
	}()
	time.Sleep(silenceWhileStopping / 3)
	held.after.open()
	if err := asker.answer(); err != nil {
		t.Errorf("a question that had come got no answer: %v", err)
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
