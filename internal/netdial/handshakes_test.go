package netdial

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// TestStopHandshakes guards against connections that are opened while the queue of a listener is emptied before the close, and against a filter
// that affects connections which were opened before.
func TestStopHandshakes(t *testing.T) {
	listener, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	address := listener.Addr().String()
	queued, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer queued.Close()
	if err := StopHandshakes(listener); err != nil {
		t.Fatal(err)
	}
	const withinSYNRepeat = 200 * time.Millisecond
	var timeout net.Error
	if _, err := net.DialTimeout("tcp4", address, withinSYNRepeat); !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Errorf("a handshake began: %v", err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	if _, err := io.WriteString(queued, "request"); err != nil {
		t.Fatal(err)
	}
	_ = accepted.SetReadDeadline(time.Now().Add(time.Second))
	buffer := make([]byte, len("request"))
	if _, err := io.ReadFull(accepted, buffer); err != nil {
		t.Errorf("a queued connection: %v", err)
	}
}
