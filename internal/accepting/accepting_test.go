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
func listenFor(t *testing.T) (*Loop, net.Listener, *net.TCPListener) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	watching := New(logrus.NewEntry(logrus.New()))
	if watching.Able(time.Now()) {
		t.Error("connections are accepted before anything listens")
	}
	return watching, watching.Watch(listener), listener.(*net.TCPListener)
}

// becomes waits until connections are accepted, or are not.
func (a *Loop) becomes(t *testing.T, want bool, within time.Duration) {
	t.Helper()
	for begun := time.Now(); time.Since(begun) < within; time.Sleep(5 * time.Millisecond) {
		if a.Able(time.Now()) == want {
			return
		}
	}
	t.Errorf("not within %s: accepted is %t; %v", within, want, a.unable)
}

// TestAStalledLoopAcceptsNothing holds the loop of a server up after it took a connection.
func TestAStalledLoopAcceptsNothing(t *testing.T) {
	watching, listener, _ := listenFor(t)
	held, release := make(chan struct{}), make(chan struct{})
	server := &http.Server{ConnState: func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			close(held)
			<-release
		}
	}}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	watching.becomes(t, true, time.Second)
	conn, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	<-held
	watching.becomes(t, false, 2*acceptPause)
	close(release)
	watching.becomes(t, true, time.Second)
	_ = server.Close()
	watching.becomes(t, false, time.Second)
}

// TestALoopThatFailsAcceptsNothing has acceptances fail as without descriptors.
func TestALoopThatFailsAcceptsNothing(t *testing.T) {
	watching, _, _ := listenFor(t)
	failing := &watchedListener{failingListener{}, watching}
	for range 2 {
		if _, err := failing.Accept(); !errors.Is(err, syscall.EMFILE) {
			t.Fatalf("got %v", err)
		}
		if watching.Able(time.Now()) {
			t.Error("connections count as accepted right after a failure")
		}
	}
	watching.turn(true, nil)
	if !watching.Able(time.Now()) {
		t.Error("a loop that waits for connections does not count as accepting")
	}
}

// failingListener has no descriptor left.
type failingListener struct{ net.Listener }

func (failingListener) Accept() (net.Conn, error) { return nil, syscall.EMFILE }

// TestAFullBacklogAcceptsNothing opens connections that nobody takes.
func TestAFullBacklogAcceptsNothing(t *testing.T) {
	watching, _, listener := listenFor(t)
	raw, err := listener.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	const backlog = 2
	if err := raw.Control(func(descriptor uintptr) { _ = unix.Listen(int(descriptor), backlog) }); err != nil {
		t.Fatal(err)
	}
	// The loop counts as one that waits; that it takes nothing shows in the queue alone.
	watching.turn(true, nil)
	if !watching.Able(time.Now()) {
		t.Error("nothing waits, and connections do not count as accepted")
	}
	for range backlog + 1 {
		conn, err := net.Dial("tcp4", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	watching.becomes(t, false, time.Second)
	for range backlog + 1 {
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	watching.becomes(t, true, time.Second)
}
