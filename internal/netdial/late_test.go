package netdial

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/standstill"
)

// TestLateAttemptIsRepeated guards against an address that counts as unreachable because this process stood still while it connected.
func TestLateAttemptIsRepeated(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	const timeout = 50 * time.Millisecond
	for _, c := range []struct {
		desc string
		// stalls is the number of attempts in which the process stands still, and stall for how long.
		stalls       int
		stall        time.Duration
		wantAttempts int
		wantConn     bool
	}{
		{"without a standstill", 0, 0, 1, true},
		{"one standstill", 1, timeout + 2*standstill.MaxTimerDelay, 2, true},
		{"a standstill in each attempt", 9, timeout + 2*standstill.MaxTimerDelay, 2, false},
		{"an attempt that ends in time", 9, timeout + 10*time.Millisecond, 1, false},
	} {
		dialer, attempts := New(timeout, time.Second), 0
		dialer.Control = func(string, string, syscall.RawConn) error {
			if attempts++; attempts <= c.stalls {
				time.Sleep(c.stall)
			}
			return nil
		}
		conn, err := Dial(context.Background(), dialer, listener.Addr().String(), timeout)
		if err == nil {
			_ = conn.Close()
		}
		if attempts != c.wantAttempts || (err == nil) != c.wantConn {
			t.Errorf("%s: %d attempts, %v", c.desc, attempts, err)
		}
	}
}
