package callers

import (
	"net"
	"testing"
	"time"
)

// TestRequestAfterIdleCloseIsNotAcknowledged guards against requests that cross the close of an idle connection and are acknowledged, so that their
// callers can't know that nobody has read them.
func TestRequestAfterIdleCloseIsNotAcknowledged(t *testing.T) {
	for _, test := range []struct{ desc, first string }{{"after a rest", requestFor("/1")}, {"a first request", ""}} {
		t.Run(test.desc, func(t *testing.T) {
			s := newTestServer(t, testDelay, testDelay)
			caller := s.dial(t)
			if test.first != "" {
				caller.finishRequest(t, test.first)
			}
			conn := caller.Conn.(*net.TCPConn)
			for start := time.Now(); tcpInfo(conn).State != tcpCloseWait; time.Sleep(time.Millisecond) {
				if time.Since(start) > testTimeout {
					t.Fatal("the connection is not closed")
				}
			}
			if err := caller.send(requestFor("/late")); err != nil {
				t.Fatal(err)
			}
			if info := tcpInfo(conn); info.State == tcpCloseWait && info.Unacked == 0 {
				t.Error("the request was acknowledged")
			}
			if _, handled := s.handled.Load("/late"); handled {
				t.Error("the request was handled")
			}
		})
	}
}
