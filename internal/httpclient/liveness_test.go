package httpclient

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/completeness"
)

// refusingDialer fails to connect.
type refusingDialer struct {
	plainDialer
	err error
}

func (d refusingDialer) Dial(context.Context, string, bool) (net.Conn, error) { return nil, d.err }

// unconfirmedError is the error of a refusal that nobody confirms.
type unconfirmedError struct{ refused bool }

func (unconfirmedError) Error() string       { return "unconfirmed" }
func (u unconfirmedError) RefusedHere() bool { return u.refused }

// TestLookAtPeerWithoutConnection guards against a refusal that nobody confirms and that passes for a confirmed one, and against a peer that doesn't
// answer and passes for one that refuses or lives.
func TestLookAtPeerWithoutConnection(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		want completeness.Worker
	}{
		{"refused", syscall.ECONNREFUSED, completeness.WorkerRefuses},
		{"refused, unconfirmed", unconfirmedError{true}, completeness.WorkerRefusesHere},
		{"no answer, unconfirmed", unconfirmedError{false}, completeness.WorkerUnseen},
		{"no answer", context.DeadlineExceeded, completeness.WorkerUnseen},
	} {
		client := NewWithDialer(DefaultSettings(), refusingDialer{err: c.err})
		if got := client.Look(t.Context(), "w", time.Millisecond); got != c.want {
			t.Errorf("%s: got %d, want %d", c.name, got, c.want)
		}
	}
}

// TestLookAtExitingPeer guards against a peer that counts as alive because the listener of its exiting process still accepts connections, and against
// a connection that is lost although the peer lives.
func TestLookAtExitingPeer(t *testing.T) {
	const settle = 50 * time.Millisecond
	exiting := startWorker(t, func(net.Conn, *bufio.Reader, int) {})
	living := startWorker(t, func(_ net.Conn, reader *bufio.Reader, _ int) { _, _, _ = readRequest(reader) })
	client := New(DefaultSettings())
	if got := client.Look(t.Context(), exiting, settle); got != completeness.WorkerCloses {
		t.Errorf("got %d of a peer that closes connections, want %d", got, completeness.WorkerCloses)
	}
	if got := client.Look(t.Context(), living, settle); got != completeness.WorkerAlive {
		t.Errorf("got %d of a peer that lives, want %d", got, completeness.WorkerAlive)
	}
	if err := client.Connect(t.Context(), living); err != nil || client.ConnectionsOpened() != 2 {
		t.Errorf("%d connections were opened (%v), want one to each peer: the next request uses that of the look", client.ConnectionsOpened(), err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	if got := client.Look(ctx, living, time.Second); got == completeness.WorkerAlive {
		t.Error("a look that ended early shows a peer that lives")
	}
}

// TestLookDoesNotTrustIdleConnectionThatEnds guards against idle connections that an exiting process closes after its listener and that pass for a sign of life.
func TestLookDoesNotTrustIdleConnectionThatEnds(t *testing.T) {
	const closeAfter = 20 * time.Millisecond
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client := New(DefaultSettings())
	if err := client.Connect(t.Context(), listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	time.AfterFunc(closeAfter, func() { _ = conn.Close() })
	if got := client.Look(t.Context(), listener.Addr().String(), time.Millisecond); got != completeness.WorkerRefuses {
		t.Errorf("got %d, want %d", got, completeness.WorkerRefuses)
	}
}

// TestBusyConnectionShowsLife guards against a peer that accepts no further connection, since it has as many as it may, and counts as not alive although
// it works on another request.
func TestBusyConnectionShowsLife(t *testing.T) {
	address := startWorker(t, func(_ net.Conn, reader *bufio.Reader, number int) {
		if number == 1 {
			_, _, _ = readRequest(reader)
			_, _, _ = readRequest(reader)
		}
	})
	client := New(DefaultSettings())
	ctx, cancel := context.WithCancel(t.Context())
	sent, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		_, _ = client.Do(ctx, address, &Request{Method: "GET", Target: "/", Host: "w", OnConnection: func(time.Time) { close(sent) }})
	}()
	<-sent
	if got := client.Look(t.Context(), address, 20*time.Millisecond); got != completeness.WorkerAlive {
		t.Errorf("got %d, want %d", got, completeness.WorkerAlive)
	}
	if got := ask(t.Context(), client, address, 20*time.Millisecond); got != completeness.WorkerAlive {
		t.Errorf("asked: got %d, want %d", got, completeness.WorkerAlive)
	}
	cancel()
	<-done
	if left := client.pool.connections.to(address); len(left) != 0 {
		t.Errorf("%d connections are kept after their end", len(left))
	}
}

// TestLookWhileConnectionIsRead guards against a look that waits for the reader of a connection that was idle a moment ago.
func TestLookWhileConnectionIsRead(t *testing.T) {
	address := startWorker(t, func(_ net.Conn, reader *bufio.Reader, _ int) { _, _, _ = readRequest(reader) })
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reading := make(chan struct{})
	go func() {
		close(reading)
		_, _ = conn.Read(make([]byte, 1))
	}()
	<-reading
	open := make(chan bool, 1)
	go func() { open <- isOpen(conn) }()
	select {
	case got := <-open:
		if !got {
			t.Error("the connection passes for a closed one")
		}
	case <-time.After(5 * time.Second):
		t.Error("the look waits for the reader")
	}
}
