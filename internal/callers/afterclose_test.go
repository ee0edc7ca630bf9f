package callers

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestRequestAfterCloseIsReported guards against requests that cross the close of an idle connection and of which nothing tells, and against their
// being read, after which their callers could not know that they may send them again.
func TestRequestAfterCloseIsReported(t *testing.T) {
	for _, test := range []struct {
		desc  string
		first string
		send  bool
		want  string
	}{
		{"a request after a rest", requestFor("/1"), true, "idle timeout, request after the close by bound on rest"},
		{"a first request", "", true, "idle timeout, request after the close by bound on rest"},
		{"nothing", requestFor("/1"), false, "idle timeout"},
	} {
		t.Run(test.desc, func(t *testing.T) {
			s := newTestServer(t, testDelay, testDelay)
			caller := s.dial(t)
			if test.first != "" {
				caller.finishRequest(t, test.first)
			}
			conn := caller.Conn.(*net.TCPConn)
			for start := time.Now(); stateOf(conn) != tcpCloseWait; time.Sleep(time.Millisecond) {
				if time.Since(start) > testTimeout {
					t.Fatal("the connection is not closed")
				}
			}
			if test.send {
				if err := caller.send(requestFor("/late")); err != nil {
					t.Fatal(err)
				}
				time.Sleep(testDelay)
				if _, err := conn.Write([]byte("G")); !errors.Is(err, syscall.EPIPE) && !errors.Is(err, syscall.ECONNRESET) {
					t.Errorf("the connection was not reset: %v", err)
				}
			} else if _, err := io.ReadAll(conn); err != nil {
				t.Errorf("the connection was not closed in the ordinary way: %v", err)
			}
			_ = caller.Close()
			for start := time.Now(); s.traffic.Open.Load() > 0 && time.Since(start) < testTimeout; {
				time.Sleep(time.Millisecond)
			}
			if got := s.recorder.String(); got != test.want {
				t.Errorf("recorded %q, want %q", got, test.want)
			}
			if _, handled := s.handled.Load("/late"); handled {
				t.Error("the request was handled")
			}
		})
	}
}

// tcpCloseWait is the state of a connection whose other side has closed it.
const tcpCloseWait = 8

// stateOf returns the state of a connection.
func stateOf(conn *net.TCPConn) (state uint8) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(descriptor uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
	})
	return state
}
