package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

// TestEndlessUpgradeEndsConnection guards against memory that grows while whatever answers at the address of a gateway sends a head without end.
func TestEndlessUpgradeEndsConnection(t *testing.T) {
	const (
		timeout  = time.Second
		maxAlloc = 8 << 20
		// maxSentBytes bounds what is sent, for the memory of the machine.
		maxSentBytes = 128 << 20
		atOnce       = 16 << 10
	)
	for _, test := range []struct{ name, begin, repeated string }{
		{"no head", "", "garbage"},
		{"status line", "HTTP/1.1 101 ", "x"},
		{"header", "HTTP/1.1 101 Switching Protocols\r\nLong: ", "x"},
		{"headers", "HTTP/1.1 101 Switching Protocols\r\n", "Another: x\r\n"},
		{"informational heads", "", "HTTP/1.1 100 Continue\r\n\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			closed := make(chan struct{})
			address := startWorker(t, func(conn net.Conn) {
				defer close(closed)
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, err := io.WriteString(conn, test.begin)
				rest := strings.Repeat(test.repeated, 1+atOnce/len(test.repeated))
				for sent := 0; sent < maxSentBytes && err == nil; sent += len(rest) {
					_, err = io.WriteString(conn, rest)
				}
				if err == nil {
					_, _ = io.Copy(io.Discard, conn)
				}
			})
			conn, err := net.Dial("tcp4", address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err = upgrade(conn.(*net.TCPConn), Peer{Name: "b", Address: address}, "w", time.Now().Add(timeout))
			runtime.ReadMemStats(&after)
			if err == nil {
				t.Error("the connection counts as relayed")
			}
			if allocated := after.TotalAlloc - before.TotalAlloc; allocated > maxAlloc {
				t.Errorf("%d bytes were allocated", allocated)
			}
			select {
			case <-closed:
			case <-time.After(time.Second):
				t.Error("the connection was not closed")
			}
		})
	}
}
