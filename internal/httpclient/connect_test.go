package httpclient

import (
	"bufio"
	"context"
	"errors"
	"net"
	"testing"
	"time"
)

// TestConnectOpensConnectionOfNextRequest guards against connections that are opened in advance and not used, and against a peer that counts as
// reachable although it refuses connections.
func TestConnectOpensConnectionOfNextRequest(t *testing.T) {
	address := startWorker(t, func(connection net.Conn, reader *bufio.Reader, _ int) {
		if _, _, err := readRequest(reader); err == nil {
			_, _ = connection.Write([]byte("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"))
		}
	})
	client := New(DefaultSettings())
	for range 2 {
		if err := client.Connect(t.Context(), address); err != nil {
			t.Fatal(err)
		}
	}
	if body, err := send(client, address, "1", "x"); err != nil || body != "ok" || client.ConnectionsOpened() != 1 {
		t.Errorf("got %q, %v over %d connections", body, err, client.ConnectionsOpened())
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	var failure *Error
	if err := client.Connect(t.Context(), listener.Addr().String()); !errors.As(err, &failure) || !failure.Refused() {
		t.Errorf("got %v for an address at which nothing listens", err)
	}
}

// countingDialer counts the attempts to open a connection.
type countingDialer struct {
	plainDialer
	dialed int
}

func (d *countingDialer) Dial(ctx context.Context, address string, directOnly bool) (net.Conn, error) {
	d.dialed++
	return d.plainDialer.Dial(ctx, address, directOnly)
}

// TestEndedContextConnectsNowhere guards against a peer that counts as one which does not answer because the context had ended before it was
// asked: dialers and onFailure take a deadline that has passed for the silence of the peer.
func TestEndedContextConnectsNowhere(t *testing.T) {
	address := startWorker(t, func(net.Conn, *bufio.Reader, int) {})
	dialer := &countingDialer{plainDialer: plainDialer{&net.Dialer{Timeout: time.Second}}}
	client := NewWithDialer(DefaultSettings(), dialer)
	failures := 0
	client.OnFailure(func(string, error) { failures++ })
	ctx, cancel := context.WithDeadline(t.Context(), time.Now())
	defer cancel()
	err := client.Connect(ctx, address)
	var failed *Error
	if !errors.As(err, &failed) || failed.FailureCause() != CauseCancelled || dialer.dialed != 0 || failures != 0 {
		t.Errorf("got %v after %d attempts, %d of them reported", err, dialer.dialed, failures)
	}
}
