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
