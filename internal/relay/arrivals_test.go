package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/httpclient"
)

// heldRelayDialer opens relayed connections whose first read is held.
type heldRelayDialer struct {
	*Dialer
	hold time.Duration
}

// heldRelay is a relayed connection whose first read is held.
type heldRelay struct {
	*Conn
	hold time.Duration
}

func (h *heldRelay) Read(buffer []byte) (int, error) {
	time.Sleep(h.hold)
	h.hold = 0
	return h.Conn.Read(buffer)
}

func (d heldRelayDialer) Dial(ctx context.Context, address string, directOnly bool) (net.Conn, error) {
	conn, err := d.Dialer.Dial(ctx, address, directOnly)
	if err != nil {
		return nil, err
	}
	return &heldRelay{conn.(*Conn), d.hold}, nil
}

// TestArrivedRelayedResponseIsNotSilent guards against a worker behind a relay that seems silent although its response has arrived, and against one
// that never does.
func TestArrivedRelayedResponseIsNotSilent(t *testing.T) {
	const (
		timeout = 50 * time.Millisecond
		hold    = 5 * timeout
	)
	for _, answers := range []bool{true, false} {
		real := startWorker(t, func(conn net.Conn) {
			defer conn.Close()
			reader := bufio.NewReader(conn)
			if _, err := http.ReadRequest(reader); err == nil && answers {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
			_, _ = io.Copy(io.Discard, reader)
		})
		closed := closedAddress(t)
		a, b := newNode(t, "a", map[string]string{"w": closed}, 8), newNode(t, "b", map[string]string{"w": real}, 8)
		a.asks(b)
		client := httpclient.NewWithDialer(httpclient.WorkerSettings(), heldRelayDialer{a.dialer, hold})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		arrivals := &httpclient.Arrivals{}
		patience := httpclient.NewPatience(timeout, arrivals, cancel)
		defer patience.Stop()
		response, err := client.Do(ctx, closed, &httpclient.Request{
			Method: http.MethodGet, Target: "/", Host: "w", Header: http.Header{}, Arrivals: arrivals,
		})
		if (err == nil) != answers {
			t.Errorf("a worker that answers %t: got %v", answers, err)
		}
		if err == nil {
			_ = response.Body.Close()
		}
	}
}
