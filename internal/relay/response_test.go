package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestResponseToUnreadRequestIsRelayed guards against a relaying gateway that drops the response of a worker which does not read the whole
// request: the requester must get that response, as it does on a direct connection.
func TestResponseToUnreadRequestIsRelayed(t *testing.T) {
	const requestBytes, tries = 4 << 20, 20
	for _, test := range []struct {
		name string
		// responseBytes is the size of the response, pause the time until the requester reads it, and end what the worker does before it
		// closes the connection.
		responseBytes int
		pause         time.Duration
		end           func(conn *net.TCPConn)
	}{
		{"closed at once", 7, 0, func(*net.TCPConn) {}},
		{"sending half closed first", 1 << 20, 50 * time.Millisecond, func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			time.Sleep(100 * time.Millisecond)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			body := strings.Repeat("x", test.responseBytes)
			real := startWorker(t, func(conn net.Conn) {
				defer conn.Close()
				if _, err := bufio.NewReaderSize(conn, 16).ReadByte(); err == nil {
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(body), body)
					test.end(conn.(*net.TCPConn))
				}
			})
			closed := closedAddress(t)
			a, b := newNode(t, "a", map[string]string{"w": closed}, 8), newNode(t, "b", map[string]string{"w": real}, 8)
			a.asks(b)
			var lost []error
			for range tries {
				conn, err := a.dialer.Dial(t.Context(), closed, false)
				if err != nil {
					t.Fatal(err)
				}
				go func() { _, _ = conn.Write(make([]byte, requestBytes)) }()
				time.Sleep(test.pause)
				if got, err := readResponse(conn); err != nil {
					lost = append(lost, err)
				} else if got != body {
					t.Errorf("got a response of %d bytes, want %d", len(got), len(body))
				}
				_ = conn.Close()
			}
			if len(lost) > 0 {
				t.Errorf("%d of %d responses were lost: %v", len(lost), tries, lost)
			}
		})
	}
}

// readResponse returns the body of a response.
func readResponse(conn io.Reader) (string, error) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	return string(body), err
}
