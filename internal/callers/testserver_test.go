package callers

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
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
	blocked chan struct{}
}

// close shuts the gate and returns a channel that is closed once somebody waits at it.
func (g *gate) close() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut, g.blocked = make(chan struct{}), make(chan struct{})
	return g.blocked
}

// open lets all pass.
func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.shut)
	g.shut = nil
}

// pass waits while the gate is shut.
func (g *gate) wait() {
	g.mu.Lock()
	shut := g.shut
	if shut != nil {
		select {
		case <-g.blocked:
		default:
			close(g.blocked)
		}
	}
	g.mu.Unlock()
	if shut != nil {
		<-shut
	}
}

// heldConn is a connection whose reading goroutine can be held: before it reads, with the bytes in the kernel, or once it has read, and
// before its last look.
type gatedConn struct {
	*net.TCPConn
	beforeRead, afterRead, beforeFinalRead *gate
}

// SyscallConn is part of syscall.Conn. It is asked for when the last look begins.
func (c *gatedConn) SyscallConn() (syscall.RawConn, error) {
	c.beforeFinalRead.wait()
	return c.TCPConn.SyscallConn()
}

// Read is part of net.Conn. The watch of a connection whose request is in hand, which reads a single byte, is not held.
func (c *gatedConn) Read(buffer []byte) (int, error) {
	if len(buffer) > 1 {
		c.beforeRead.wait()
	}
	n, err := c.TCPConn.Read(buffer)
	if n > 1 {
		c.afterRead.wait()
	}
	return n, err
}

// heldListener accepts connections that can be held.
type gatedListener struct {
	net.Listener
	beforeRead, afterRead, beforeFinalRead gate
	// accepted holds connections that were accepted.
	afterAccept gate
}

// Accept is part of net.Listener.
func (l *gatedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.afterAccept.wait()
	return &gatedConn{accepted.(*net.TCPConn), &l.beforeRead, &l.afterRead, &l.beforeFinalRead}, nil
}

// counted keeps what an observer was told.
type recordingObserver struct {
	mu     sync.Mutex
	events []string
}

// RestedOut is part of Observer.
func (c *recordingObserver) RestedOut() { c.add("rested out") }

// HeadUnanswered is part of Observer.
func (c *recordingObserver) HeadUnanswered(closedBy forward.Closer, _ string, _ time.Duration) {
	c.add("closed by " + closedBy.String())
}

func (c *recordingObserver) add(told string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, told)
}

// String returns all that was told.
func (c *recordingObserver) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return strings.Join(c.events, ", ")
}

// callerBench is a server of callers whose connections can be held. Its handler stands for one that passes requests on to workers.
type testServer struct {
	*Server
	listener *gatedListener
	recorder *recordingObserver
	// ran holds the paths of the requests that reached the handler.
	handled sync.Map
	// turn is what comes before the answer to pathTurn.
	onHook func()
}

// pathTurn is the path of a request during which a test sets up what comes after it.
const pathHook = "/turn"

// newCallerBench returns a server with its bounds.
func newTestServer(t testing.TB, idleTimeout, headerTimeout time.Duration) *testServer {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	b := &testServer{listener: &gatedListener{Listener: listener}, recorder: &recordingObserver{}}
	b.Server = NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.handled.Store(r.URL.Path, true)
		switch r.URL.Path {
		case pathHook:
			b.onHook()
		case pathAbort:
			panic(http.ErrAbortHandler)
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "served")
	}), &Traffic{}, b.recorder, logrus.NewEntry(logger))
	b.SetTimeouts(idleTimeout, headerTimeout)
	go func() { _ = b.Serve(b.listener) }()
	t.Cleanup(b.Close)
	return b
}

// stop stops the server as a planned stop does. The channel is closed at its end.
func (b *testServer) stop() <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ShutDown(time.Now().Add(testTimeout), b.Server)
		b.Close()
	}()
	return done
}

// testCaller is a caller with one connection.
type testCaller struct {
	net.Conn
	reader *bufio.Reader
}

// testPatience bounds waits of which a test expects an end.
const testTimeout = 5 * time.Second

// dial opens a connection.
func (b *testServer) dial(t testing.TB) *testCaller {
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
func requestFor(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

// answer waits for an answer.
func (c *testCaller) readResponse() error {
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// ask sends a request and waits for its answer.
func (c *testCaller) request(t testing.TB, path string) {
	t.Helper()
	c.finishRequest(t, requestFor(path))
}

// askRest sends the rest of a request and waits for its answer.
func (c *testCaller) finishRequest(t testing.TB, text string) {
	t.Helper()
	if err := c.send(text); err != nil {
		t.Fatal(err)
	}
	if err := c.readResponse(); err != nil {
		t.Fatalf("%q: %v", text, err)
	}
}

// closedWithin tells whether the server closes the connection within a time, after whatever it may answer.
func (c *testCaller) closedWithin(timeout time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	_, err := io.Copy(io.Discard, c.reader)
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// testBound is a bound that passes in a test, and testStall how long a process is held that stands still beyond it.
const (
	testDelay = 100 * time.Millisecond
	testStall = 3 * testDelay
)
