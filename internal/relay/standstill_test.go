package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// standingConn is a connection of a process that stands still after it has written.
type standingConn struct {
	*net.TCPConn
	standstill time.Duration
}

// Write implements net.Conn.
func (c standingConn) Write(buffer []byte) (int, error) {
	n, err := c.TCPConn.Write(buffer)
	time.Sleep(c.standstill)
	return n, err
}

// TestArrivedUpgradeIsReadAfterStandstill guards against a relayed connection that is closed, and a gateway that counts as unavailable, although its
// response arrived in time: this process stood still until the deadline had passed.
func TestArrivedUpgradeIsReadAfterStandstill(t *testing.T) {
	const timeout = 50 * time.Millisecond
	for _, test := range []struct {
		name     string
		response string
		wantErr  bool
	}{
		{"a response", "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + protocolName + "\r\n\r\n", false},
		{"half a response", "HTTP/1.1 101 Switch", true},
		{"none", "", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			address := startWorker(t, func(conn net.Conn) {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				if _, err := http.ReadRequest(reader); err == nil {
					_, _ = io.WriteString(conn, test.response)
				}
				_, _ = io.Copy(io.Discard, reader)
			})
			conn, err := net.Dial("tcp4", address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			standing := standingConn{conn.(*net.TCPConn), 2 * timeout}
			if _, err := upgrade(standing, Peer{Name: "b", Address: address}, "w", time.Now().Add(timeout)); (err != nil) != test.wantErr {
				t.Errorf("got %v, want an error: %t", err, test.wantErr)
			}
		})
	}
}
