package accepting

import (
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"github.com/granitebay/granitebay/internal/netdial"
)

// newWatchedListener returns a Loop, the listener that it watches, and the underlying TCP listener.
func newWatchedListener(t *testing.T) (*Loop, net.Listener, *net.TCPListener) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	loop := New(logrus.NewEntry(logrus.New()))
	if loop.Accepting(time.Now()) {
		t.Error("connections are accepted before anything listens")
	}
	return loop, loop.Watch(listener.(*net.TCPListener)), listener.(*net.TCPListener)
}

// waitFor waits until Accepting returns the wanted value.
func (l *Loop) waitFor(t *testing.T, want bool, within time.Duration) {
	t.Helper()
	for start := time.Now(); time.Since(start) < within; time.Sleep(5 * time.Millisecond) {
		if l.Accepting(time.Now()) == want {
			return
		}
	}
	t.Errorf("within %s Accepting did not return %t; last check: %v", within, want, l.lastCheckErr)
}

// TestStalledAcceptLoopIsReported guards against a gateway that is ready while its accept loop is stuck or has ended.
func TestStalledAcceptLoopIsReported(t *testing.T) {
	loop, listener, _ := newWatchedListener(t)
	held, release := make(chan struct{}), make(chan struct{})
	server := &http.Server{ConnState: func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			close(held)
			<-release
		}
	}}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	loop.waitFor(t, true, time.Second)
	conn, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	<-held
	loop.waitFor(t, false, 2*stallTimeout)
	close(release)
	loop.waitFor(t, true, time.Second)
	_ = server.Close()
	loop.waitFor(t, false, time.Second)
}

// TestFailingAcceptIsReported guards against a gateway that is ready while Accept fails for lack of file descriptors.
func TestFailingAcceptIsReported(t *testing.T) {
	loop, _, _ := newWatchedListener(t)
	failing := &watchedListener{failingListener{}, loop}
	for range 2 {
		if _, err := failing.Accept(); !errors.Is(err, syscall.EMFILE) {
			t.Fatalf("got %v", err)
		}
		if loop.Accepting(time.Now()) {
			t.Error("Accepting returned true right after a failed Accept")
		}
	}
	loop.setWaiting(true, nil)
	if !loop.Accepting(time.Now()) {
		t.Error("Accepting returned false for a loop that waits in Accept")
	}
}

// failingListener fails as if no file descriptor were free.
type failingListener struct{ netdial.Listener }

func (failingListener) Accept() (net.Conn, error) { return nil, syscall.EMFILE }

// TestFullBacklogIsReported guards against a gateway that is ready while new connections are dropped from a full backlog.
func TestFullBacklogIsReported(t *testing.T) {
	loop, _, listener := newWatchedListener(t)
	raw, err := listener.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	const backlog = 2
	if err := raw.Control(func(descriptor uintptr) { _ = unix.Listen(int(descriptor), backlog) }); err != nil {
		t.Fatal(err)
	}
	// The loop is marked as waiting, so that only the queue shows that nothing is accepted.
	loop.setWaiting(true, nil)
	if !loop.Accepting(time.Now()) {
		t.Error("Accepting returned false with an empty backlog")
	}
	for range backlog + 1 {
		conn, err := net.Dial("tcp4", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	loop.waitFor(t, false, time.Second)
	for range backlog + 1 {
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	loop.waitFor(t, true, time.Second)
}
