package netdial

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// TestTookEnd guards against a reset that nobody notices because a write took its error before the read, and against a close that is taken for one.
func TestTookEnd(t *testing.T) {
	for _, test := range []struct {
		name string
		end  func(peer *net.TCPConn)
		want bool
	}{
		{"reset", func(peer *net.TCPConn) { _ = peer.SetLinger(0) }, true},
		{"closed, then reset", func(peer *net.TCPConn) {
			_ = peer.CloseWrite()
			time.Sleep(10 * time.Millisecond)
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			conn, err := net.Dial("tcp4", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			peer, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			test.end(peer.(*net.TCPConn))
			_ = peer.Close()
			var writeErr error
			for end := time.Now().Add(time.Second); writeErr == nil && time.Now().Before(end); {
				_, writeErr = conn.Write([]byte("x"))
				time.Sleep(time.Millisecond)
			}
			if got := TookEnd(writeErr); writeErr == nil || got != test.want {
				t.Errorf("got %t for %v, want %t", got, writeErr, test.want)
			}
			if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
				t.Errorf("the read got %v, so the test shows nothing", err)
			}
		})
	}
}
