package httpclient

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
)

// TestResponseToUnreadRequestIsRead guards against a response that is not read because its worker closed the connection before the rest of the
// request could be written: a worker that refuses requests when it is full does so.
func TestResponseToUnreadRequestIsRead(t *testing.T) {
	const tries = 100
	address := startWorker(t, func(connection net.Conn, _ *bufio.Reader, _ int) {
		_, _ = io.WriteString(connection, "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nContent-Length: 7\r\nConnection: close\r\n\r\nrefused")
	})
	client := New(DefaultSettings())
	for _, bodyBytes := range []int{0, maxSyncBodyBytes / 2, maxSyncBodyBytes, maxSyncBodyBytes + 1, 1 << 20} {
		lost := 0
		for range tries {
			got, err := send(client, address, "1", strings.Repeat("x", bodyBytes))
			if err != nil || got != "refused" {
				lost++
			}
		}
		if lost > 0 {
			t.Errorf("%d of %d responses to requests with a body of %d bytes were lost", lost, tries, bodyBytes)
		}
	}
}
