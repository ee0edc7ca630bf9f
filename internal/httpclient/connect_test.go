package httpclient

import (
	"bufio"
	"errors"
	"net"
	"testing"
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
