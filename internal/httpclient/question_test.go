package httpclient

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/completeness"
)

// ask asks a peer at its health path, and expects it to be "w".
func ask(ctx context.Context, client *Client, address string, settle time.Duration) completeness.Worker {
	isSame := func(header http.Header) bool { return header.Get("Peer-Id") == "w" }
	return client.Ask(ctx, address, &Request{Method: http.MethodGet, Target: "/health", Host: "w", Header: http.Header{}}, isSame, settle)
}

// answering returns a handler that answers a number of questions on each connection as a peer with an id.
func answering(id string, questions int) func(net.Conn, *bufio.Reader, int) {
	return func(conn net.Conn, reader *bufio.Reader, _ int) {
		for range questions {
			if _, _, err := readRequest(reader); err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nPeer-Id: "+id+"\r\nContent-Length: 0\r\n\r\n")
		}
		_, _, _ = readRequest(reader)
	}
}

// TestExitingPeerWhoseListenerIsClosedLastIsNotAlive guards against an exiting process that passes for one that lives, because the kernel closes its
// listener after its many connections and accepts new ones until then.
func TestExitingPeerWhoseListenerIsClosedLastIsNotAlive(t *testing.T) {
	const settle, listensFor = 2 * time.Millisecond, 15 * time.Millisecond
	// Nobody accepts from the queue of this listener.
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client := New(DefaultSettings())
	time.AfterFunc(listensFor, func() { _ = listener.Close() })
	if got := ask(t.Context(), client, listener.Addr().String(), settle); got != completeness.WorkerCloses {
		t.Errorf("got %d while it exits, want %d", got, completeness.WorkerCloses)
	}
	if got := ask(t.Context(), client, listener.Addr().String(), settle); got != completeness.WorkerRefuses {
		t.Errorf("got %d after its end, want %d", got, completeness.WorkerRefuses)
	}
}

// TestAskUsesIdleConnection guards against an extra connection for a question, where an idle one tells.
func TestAskUsesIdleConnection(t *testing.T) {
	const questions = 5
	address := startWorker(t, answering("w", questions))
	client := New(DefaultSettings())
	for range questions {
		if got := ask(t.Context(), client, address, time.Second); got != completeness.WorkerAlive {
			t.Fatalf("got %d, want %d", got, completeness.WorkerAlive)
		}
	}
	if opened := client.ConnectionsOpened(); opened != 1 {
		t.Errorf("%d connections were opened for %d questions, want 1", opened, questions)
	}
}

// TestAsk guards against a process that is taken for another one at its address, against a full peer that counts as not alive, and against a peer that
// counts as alive although the request has ended before it answered.
func TestAsk(t *testing.T) {
	silent := func(_ net.Conn, reader *bufio.Reader, _ int) {
		_, _, _ = readRequest(reader)
		_, _, _ = readRequest(reader)
	}
	for _, c := range []struct {
		name string
		peer func(net.Conn, *bufio.Reader, int)
		// endsAfter is when the context of the question ends.
		endsAfter time.Duration
		want      completeness.Worker
	}{
		{"answers", answering("w", 1), time.Minute, completeness.WorkerAlive},
		{"another process", answering("v", 1), time.Minute, completeness.WorkerReplaced},
		{"keeps the question", silent, time.Minute, completeness.WorkerAlive},
		{"keeps the question until its end", silent, answerTime / 2, completeness.WorkerUnseen},
		{"closes connections", func(net.Conn, *bufio.Reader, int) {}, time.Minute, completeness.WorkerCloses},
	} {
		ctx, cancel := context.WithTimeout(t.Context(), c.endsAfter)
		if got := ask(ctx, New(DefaultSettings()), startWorker(t, c.peer), 2*time.Millisecond); got != c.want {
			t.Errorf("%s: got %d, want %d", c.name, got, c.want)
		}
		cancel()
	}
	refusing := NewWithDialer(DefaultSettings(), refusingDialer{err: syscall.ECONNREFUSED})
	if got := ask(t.Context(), refusing, "w", time.Millisecond); got != completeness.WorkerRefuses {
		t.Errorf("got %d of a peer that refuses, want %d", got, completeness.WorkerRefuses)
	}
}

// TestSilentIdleConnectionShowsNothing guards against a peer that counts as alive because an idle connection to it has gone silent, without a reset.
func TestSilentIdleConnectionShowsNothing(t *testing.T) {
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
	defer conn.Close()
	_ = listener.Close()
	if got := ask(t.Context(), client, listener.Addr().String(), time.Millisecond); got != completeness.WorkerRefuses {
		t.Errorf("got %d, want %d", got, completeness.WorkerRefuses)
	}
}

// TestOpenConnectionsOfExitingPeerAreNoAnswer guards against an exiting process that passes for one that lives, because the question meets a connection
// that it has closed, and its other connections are closed a moment later.
func TestOpenConnectionsOfExitingPeerAreNoAnswer(t *testing.T) {
	const settle, closesAfter = 2 * time.Millisecond, 15 * time.Millisecond
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client, address := New(DefaultSettings()), listener.Addr().String()
	var peers []net.Conn
	var opened []*connection
	for range 2 {
		conn, err := client.pool.open(t.Context(), address, false)
		if err != nil {
			t.Fatal(err)
		}
		peer, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		opened, peers = append(opened, conn), append(peers, peer)
	}
	for _, conn := range opened {
		client.pool.put(conn, time.Minute)
	}
	_ = listener.Close()
	time.AfterFunc(closesAfter, func() { _ = peers[0].Close() })
	// The question is sent on the connection that was kept last.
	go func() {
		_, _, _ = readRequest(bufio.NewReader(peers[1]))
		_ = peers[1].Close()
	}()
	if got := ask(t.Context(), client, address, settle); got == completeness.WorkerAlive {
		t.Errorf("got %d while it exits", got)
	}
	time.Sleep(2 * closesAfter)
	if got := ask(t.Context(), client, address, settle); got != completeness.WorkerRefuses {
		t.Errorf("got %d after its end, want %d", got, completeness.WorkerRefuses)
	}
}

// TestNothingIsAskedAfterEnd guards against a question that is sent, and that shows a process, although the context has ended.
func TestNothingIsAskedAfterEnd(t *testing.T) {
	const questions = 50
	asked := make(chan struct{}, 2*questions)
	address := startWorker(t, func(conn net.Conn, reader *bufio.Reader, _ int) {
		for {
			if _, _, err := readRequest(reader); err != nil {
				return
			}
			asked <- struct{}{}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nPeer-Id: w\r\nContent-Length: 0\r\n\r\n")
		}
	})
	client := New(DefaultSettings())
	if err := client.Connect(t.Context(), address); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range questions {
		if got := ask(ctx, client, address, time.Millisecond); got != completeness.WorkerUnseen {
			t.Fatalf("got %d, want %d", got, completeness.WorkerUnseen)
		}
	}
	if got := ask(t.Context(), client, address, time.Millisecond); got != completeness.WorkerAlive || len(asked) != 1 || client.ConnectionsOpened() != 1 {
		t.Errorf("got %d after %d questions on %d connections, want one of either", got, len(asked), client.ConnectionsOpened())
	}
}
