package callers

import (
	"bufio"
	"net"
	"testing"
	"time"
)

// standingConn is a connection of a process that stands still after each deadline it sets for reads.
type standingConn struct {
	*net.TCPConn
	standstill time.Duration
}

// SetReadDeadline implements net.Conn.
func (c standingConn) SetReadDeadline(deadline time.Time) error {
	err := c.TCPConn.SetReadDeadline(deadline)
	time.Sleep(c.standstill)
	return err
}

// TestCloseIsSeenAfterStandstill guards the checks of this package against a standstill of the machine: a read that begins after its deadline
// returns without a look at what has arrived, so a connection that is closed would count as open.
func TestCloseIsSeenAfterStandstill(t *testing.T) {
	const margin = testDelay / 2
	for _, c := range []struct {
		desc       string
		timeout    time.Duration
		unread     string
		wantClosed bool
	}{
		{"closed", testDelay, "", true},
		{"closed behind a response", testDelay, requestFor("/2"), true},
		{"open", time.Hour, "", false},
		{"open behind a response", time.Hour, requestFor("/2"), false},
	} {
		t.Run(c.desc, func(t *testing.T) {
			s := newTestServer(t, c.timeout, time.Hour)
			caller := s.dial(t)
			caller.request(t, "/1")
			if err := caller.send(c.unread); err != nil {
				t.Fatal(err)
			}
			standing := standingConn{caller.Conn.(*net.TCPConn), testStall}
			caller = &testCaller{standing, bufio.NewReader(standing)}
			if got := caller.closedWithin(margin); got != c.wantClosed {
				t.Errorf("closed %t, want %t", got, c.wantClosed)
			}
		})
	}
}
