package callers

import (
	"bufio"
	"errors"
	"fmt"
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
	"github.com/granitebay/granitebay/internal/netdial"
)

// gate blocks goroutines that call wait while it is closed.
type gate struct {
	mu   sync.Mutex
	shut chan struct{}
	// blocked is closed once a goroutine waits.
	blocked chan struct{}
}

// close closes the gate and returns a channel that is closed once a goroutine waits at it.
func (g *gate) close() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut, g.blocked = make(chan struct{}), make(chan struct{})
	return g.blocked
}

// open releases all waiting goroutines.
func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.shut)
	g.shut = nil
}

// wait blocks while the gate is closed.
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

// gatedConn is a connection whose reading goroutine can be blocked: before a read while the data is in the kernel, after
// a read, or before the final read.
type gatedConn struct {
	*net.TCPConn
	beforeRead, afterRead, beforeFinalRead *gate
}

// SyscallConn implements syscall.Conn. It is called when the final read begins.
func (c *gatedConn) SyscallConn() (syscall.RawConn, error) {
	c.beforeFinalRead.wait()
	return c.TCPConn.SyscallConn()
}

// Read implements net.Conn. Background reads of net/http, which read a single byte, are not blocked.
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

// gatedListener accepts connections that can be blocked.
type gatedListener struct {
	netdial.Listener
	beforeRead, afterRead, beforeFinalRead gate
	// afterAccept blocks connections that were just accepted.
	afterAccept gate
}

// Accept implements net.Listener.
func (l *gatedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.afterAccept.wait()
	return &gatedConn{accepted.(*net.TCPConn), &l.beforeRead, &l.afterRead, &l.beforeFinalRead}, nil
}

// recordingObserver records events.
type recordingObserver struct {
	mu     sync.Mutex
	events []string
	// onIdleTimeout runs at each idle timeout; may be nil.
	onIdleTimeout func()
}

// setOnIdleTimeout sets what runs at each idle timeout.
func (o *recordingObserver) setOnIdleTimeout(run func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.onIdleTimeout = run
}

// IdleTimeout implements Observer.
func (o *recordingObserver) IdleTimeout() {
	o.add("idle timeout")
	o.mu.Lock()
	run := o.onIdleTimeout
	o.mu.Unlock()
	if run != nil {
		run()
	}
}

// RequestNotHandled implements Observer.
func (o *recordingObserver) RequestNotHandled(closedBy forward.Closer, _ string, _ time.Duration) {
	o.add("closed by " + closedBy.String())
}

// Unread implements Observer.
func (o *recordingObserver) Unread(bytes UnreadBytes) {
	o.add(fmt.Sprint(bytes.Count, " unread bytes, ", bytes.Phase))
}

// RequestPastIdleTimeout implements Observer.
// HeaderRefused implements Observer.
func (o *recordingObserver) HeaderRefused(refusal HeaderRefusal, status int, _ string) {
	o.add(fmt.Sprint("refused with ", status, ": ", refusal))
}

// Evicted implements Observer.
func (o *recordingObserver) Evicted(eviction Eviction) {
	o.add(fmt.Sprint("evicted for ", eviction.Reason, ", ", eviction.Phase))
}

// RequestPastIdleTimeout implements Observer.
func (o *recordingObserver) RequestPastIdleTimeout() { o.add("request past the idle timeout") }

// RequestAfterClose implements Observer.
func (o *recordingObserver) RequestAfterClose(closedBy forward.Closer, _ string, _ time.Duration) {
	o.add("request after the close by " + closedBy.String())
}

func (o *recordingObserver) add(event string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.events = append(o.events, event)
}

// String returns the recorded events.
func (o *recordingObserver) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Join(o.events, ", ")
}

// testServer is a server whose connections can be blocked. Its handler stands in for the one that forwards to workers.
type testServer struct {
	*Server
	listener *gatedListener
	recorder *recordingObserver
	// handled holds the paths of requests that reached the handler.
	handled sync.Map
	// onHook runs before the response to pathHook.
	onHook func()
}

// pathHook is the path of a request whose handler runs onHook.
const pathHook = "/hook"

// newTestServer returns a running server with the given timeouts.
func newTestServer(t testing.TB, idleTimeout, headerTimeout time.Duration) *testServer {
	t.Helper()
	listener, err := netdial.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	s := &testServer{listener: &gatedListener{Listener: listener}, recorder: &recordingObserver{}}
	s.Server = NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.handled.Store(r.URL.Path, true)
		switch r.URL.Path {
		case pathHook:
			s.onHook()
		case pathAbort:
			panic(http.ErrAbortHandler)
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "served")
	}), &Traffic{}, s.recorder, logrus.NewEntry(logger))
	s.SetTimeouts(idleTimeout, headerTimeout)
	go func() { _ = s.Serve(s.listener) }()
	t.Cleanup(s.Close)
	return s
}

// stop shuts the server down gracefully. The returned channel is closed when it has ended.
func (s *testServer) stop() <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		Shutdown(time.Now().Add(testTimeout), s.Server)
		s.Close()
	}()
	return done
}

// testCaller is a caller with one connection.
type testCaller struct {
	net.Conn
	reader *bufio.Reader
}

// testTimeout limits waits that should end earlier.
const testTimeout = 5 * time.Second

// dial opens a connection.
func (s *testServer) dial(t testing.TB) *testCaller {
	t.Helper()
	conn, err := net.Dial("tcp4", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &testCaller{conn, bufio.NewReader(conn)}
}

// send sends a request or part of one.
func (c *testCaller) send(text string) error {
	_, err := io.WriteString(c, text)
	return err
}

// requestFor returns a GET request for a path.
func requestFor(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

// readResponse waits for a response.
func (c *testCaller) readResponse() error {
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// request sends a request and waits for the response.
func (c *testCaller) request(t testing.TB, path string) {
	t.Helper()
	c.finishRequest(t, requestFor(path))
}

// finishRequest sends the rest of a request and waits for the response.
func (c *testCaller) finishRequest(t testing.TB, text string) {
	t.Helper()
	if err := c.send(text); err != nil {
		t.Fatal(err)
	}
	if err := c.readResponse(); err != nil {
		t.Fatalf("%q: %v", text, err)
	}
}

// closedWithin reports whether the server closes the connection within a timeout, possibly after a response. Before it says no, it looks at what has
// arrived, whatever the time is: a read that begins after its deadline returns without a look.
func (c *testCaller) closedWithin(timeout time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	if _, err := io.Copy(io.Discard, c.reader); !errors.Is(err, os.ErrDeadlineExceeded) {
		return true
	}
	for {
		if n, err := netdial.ReadArrived(c.Conn.(syscall.Conn), make([]byte, 1024)); n == 0 {
			return !errors.Is(err, os.ErrDeadlineExceeded)
		}
	}
}

// testDelay is a connection timeout for tests, testStall a stall of the process that outlasts it.
const (
	testDelay = 100 * time.Millisecond
	testStall = 3 * testDelay
)
