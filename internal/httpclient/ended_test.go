package httpclient

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// TestEndedRequestIsNotSent guards against a worker that runs a request which ended before it was sent, and against an error by which such a
// request may have run.
func TestEndedRequestIsNotSent(t *testing.T) {
	const tries = 100
	var received atomic.Int64
	address := startWorker(t, func(connection net.Conn, reader *bufio.Reader, _ int) {
		for {
			request, _, err := readRequest(reader)
			if err != nil {
				return
			}
			if request.Header.Get("Id") == "ended" {
				received.Add(1)
			}
			_, _ = connection.Write([]byte("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n"))
		}
	})
	client := New(DefaultSettings())
	for range tries {
		if _, err := send(client, address, "1", ""); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancelCause(t.Context())
		cancel(errors.New("the request has ended"))
		_, err := client.Do(ctx, address, &Request{Method: http.MethodGet, Target: "/", Host: "host.example", Header: http.Header{"Id": {"ended"}}})
		var transport *Error
		if !errors.As(err, &transport) || !transport.NothingSent() || transport.FailureCause() != CauseCancelled {
			t.Errorf("got %v, which says that something was sent or that the connection failed", err)
		}
	}
	// The worker reads in order, so it has read all that was sent before a request that it has answered.
	if _, err := send(client, address, "1", ""); err != nil {
		t.Fatal(err)
	}
	if count := received.Load(); count > 0 {
		t.Errorf("%d of %d requests were sent", count, tries)
	}
	if opened := client.ConnectionsOpened(); opened > 1 {
		t.Errorf("%d connections were opened, want one that is kept", opened)
	}
}
