package callers

import (
	"bufio"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// holdHandshakes makes the kernel drop the packets with which callers complete their handshakes with a listener. They are sent again.
func holdHandshakes(t *testing.T, listener syscall.Conn) {
	t.Helper()
	const tcpFlagsOffset, tcpFlagSYN = 13, 0x02
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
		{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, K: tcpFlagSYN, Jt: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: ^uint32(0)},
	}
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	raw, err := listener.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var optionErr error
	if err := raw.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptSockFprog(int(descriptor), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	}); err != nil || optionErr != nil {
		t.Fatal(err, optionErr)
	}
}

// retransmissionTime is the least time after which the kernel sends a packet again.
const retransmissionTime = 200 * time.Millisecond

// handshakeTries is how often a case is played in which the test got no processor time, so that the shutdown began only after the handshake.
const handshakeTries = 20

// TestHandshakesCompleteAtShutdown guards against callers whose handshake has begun before a shutdown and is completed after it: they have
// connected and sent a request, and are reset if the listener has been closed.
func TestHandshakesCompleteAtShutdown(t *testing.T) {
	for _, late := range []time.Duration{10 * time.Millisecond, 30 * time.Millisecond, 80 * time.Millisecond, 120 * time.Millisecond} {
		t.Run(late.String(), func(t *testing.T) {
			t.Parallel()
			for range handshakeTries {
				if playLateHandshake(t, late) {
					return
				}
			}
			t.Error("no shutdown began before the handshake was completed, so the test checks nothing")
		})
	}
}

// playLateHandshake begins a shutdown a time before a handshake is completed. It returns false, and checks nothing, if the shutdown began too late.
func playLateHandshake(t *testing.T, late time.Duration) (valid bool) {
	t.Helper()
	s := newTestServer(t, time.Hour, time.Hour)
	holdHandshakes(t, s.listener.Listener)
	conn, err := net.Dial("tcp4", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	caller := &testCaller{conn, bufio.NewReader(conn)}
	sending := time.Now()
	if err := caller.send(requestFor("/1")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(retransmissionTime - late)
	start := time.Now()
	stopped := s.stop()
	begun := s.awaitStopOfHandshakes()
	err = caller.readResponse()
	_ = caller.Close()
	<-stopped
	if begun.Sub(sending) >= retransmissionTime {
		return false
	}
	if err != nil {
		t.Errorf("a handshake that was completed %v after the shutdown began: %v", late, err)
	}
	if took := time.Since(start); took > 2*NewConnGrace {
		t.Errorf("the shutdown took %v", took)
	}
	return true
}

// awaitStopOfHandshakes waits until a shutdown has stopped new handshakes, and returns a time after that.
func (s *testServer) awaitStopOfHandshakes() time.Time {
	for {
		s.mu.Lock()
		hasStopped := s.drained != nil
		s.mu.Unlock()
		if hasStopped {
			return time.Now()
		}
		time.Sleep(100 * time.Microsecond)
	}
}
