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
)

// listenFor returns a listener that is watched, and what watches it.
func newWatchedListener(t *testing.T) (*Loop, net.Listener, *net.TCPListener) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	loop := New(logrus.NewEntry(logrus.New()))
	if loop.Able(time.Now()) {
		t.Error("connections are accepted before anything listens")
	}
	return loop, loop.Watch(listener), listener.(*net.TCPListener)
}

// becomes waits until connections are accepted, or are not.
func (l *Loop) waitFor(t *testing.T, want bool, within time.Duration) {
	t.Helper()
	for start := time.Now(); time.Since(start) < within; time.Sleep(5 * time.Millisecond) {
		if l.Able(time.Now()) == want {
			return
		}
	}
	t.Errorf("not within %s: accepted is %t; %v", within, want, l.lastCheck)
}

// TestAStalledLoopAcceptsNothing holds the loop of a server up after it took a connection.
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

// TestALoopThatFailsAcceptsNothing has acceptances fail as without descriptors.
func TestFailingAcceptIsReported(t *testing.T) {
	loop, _, _ := newWatchedListener(t)
	failing := &watchedListener{failingListener{}, loop}
	for range 2 {
		if _, err := failing.Accept(); !errors.Is(err, syscall.EMFILE) {
			t.Fatalf("got %v", err)
		}
		if loop.Able(time.Now()) {
			t.Error("connections count as accepted right after a failure")
		}
	}
	loop.setWaiting(true, nil)
	if !loop.Able(time.Now()) {
		t.Error("a loop that waits for connections does not count as accepting")
	}
}

// failingListener has no descriptor left.
type failingListener struct{ net.Listener }

func (failingListener) Accept() (net.Conn, error) { return nil, syscall.EMFILE }

// TestAFullBacklogAcceptsNothing opens connections that nobody takes.
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
	// The loop counts as one that waits; that it takes nothing shows in the queue alone.
	loop.setWaiting(true, nil)
	if !loop.Able(time.Now()) {
		t.Error("nothing waits, and connections do not count as accepted")
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
