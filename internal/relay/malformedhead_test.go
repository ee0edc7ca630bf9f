package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/standin/heads"
)

// TestMalformedUpgradeIsNoConnection guards against a relayed connection to whatever answers with a malformed head at the address of a gateway.
func TestMalformedUpgradeIsNoConnection(t *testing.T) {
	const (
		timeout   = time.Second
		switching = "101 Switching Protocols"
		upgrades  = "Connection: Upgrade\r\nUpgrade: " + protocolName + "\r\n"
	)
	for _, response := range heads.Malformed {
		t.Run(response.Desc, func(t *testing.T) {
			t.Parallel()
			fields := ""
			if response.Status == heads.StatusOK {
				response.Status, fields = switching, upgrades
			}
			address := startWorker(t, func(conn net.Conn) {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				if _, err := http.ReadRequest(reader); err == nil {
					_, _ = io.WriteString(conn, response.Text(fields)+"HTTP/1.1 "+switching+"\r\n"+upgrades+"\r\n")
				}
				_, _ = io.Copy(io.Discard, reader)
			})
			conn, err := net.Dial("tcp4", address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			start := time.Now()
			if _, err := upgrade(conn.(*net.TCPConn), Peer{Name: "b", Address: address}, "w", start.Add(timeout)); err == nil {
				t.Error("the connection counts as relayed")
			}
			if time.Since(start) >= timeout {
				t.Error("the malformed head was not noticed before the deadline")
			}
		})
	}
}
