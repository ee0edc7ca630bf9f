package fleet

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestReadByGateway guards against a client that takes a request that crossed the close of its connection for one that the gateway had read,
// or the other way round.
func TestReadByGateway(t *testing.T) {
	readAll := func(conn net.Conn) {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err == nil {
			_, _ = io.Copy(io.Discard, request.Body)
		}
	}
	tests := []struct {
		desc string
		// serve ends the connection without a response.
		serve func(conn net.Conn)
		// wait is how long the client waits before it sends the request.
		wait           time.Duration
		halfCloseAfter time.Duration
		want           bool
	}{
		{"read whole", readAll, 0, NoHalfClose, true},
		{"read whole, half-closed", readAll, 0, 0, true},
		{"read whole, closed later, half-closed", func(conn net.Conn) { readAll(conn); time.Sleep(50 * time.Millisecond) }, 0, 10 * time.Millisecond, true},
		{"unread", func(net.Conn) { time.Sleep(50 * time.Millisecond) }, 0, NoHalfClose, false},
		{"unread, half-closed", func(net.Conn) { time.Sleep(50 * time.Millisecond) }, 0, 0, false},
		{"partly read", func(conn net.Conn) { _, _ = conn.Read(make([]byte, 10)); time.Sleep(50 * time.Millisecond) }, 0, NoHalfClose, false},
		{"closed before", func(net.Conn) {}, 50 * time.Millisecond, NoHalfClose, false},
		{"closed before, half-closed", func(net.Conn) {}, 50 * time.Millisecond, 0, false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				test.serve(conn)
				_ = conn.Close()
			}()
			conn, err := OpenCallerConn(t.Context(), listener.Addr().String(), func(ctx context.Context, gateway string) (net.Conn, error) {
				return new(net.Dialer).DialContext(ctx, "tcp4", gateway)
			})
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			time.Sleep(test.wait)
			response, reusable := conn.Do(t.Context(), Request{ID: "r", Path: "/x", Body: "a body", Deadline: time.Second}, test.halfCloseAfter)
			if response.Err == nil || response.ReadByGateway != test.want || reusable {
				t.Errorf("got %+v, reusable %t, want read by the gateway %t", response, reusable, test.want)
			}
		})
	}
}
