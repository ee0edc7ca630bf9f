package netdial

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// silenceStep is one step of a connection to a worker that falls silent and goes on.
type silenceStep struct {
	// after is when the step begins, from the start.
	after time.Duration
	// action is what happens.
	action func(c *silentConn)
}

// silentConn is a connection whose other side can be made to lose all that arrives.
type silentConn struct {
	t          *testing.T
	own, other net.Conn
	sent       int
}

// loseAll makes the other side drop each packet unacknowledged, as a machine on the way would that has stopped passing them on.
func loseAll(c *silentConn) {
	filter := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	c.control(func(descriptor int) error {
		return unix.SetsockoptSockFprog(descriptor, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
}

// loseNothing ends the loss.
func loseNothing(c *silentConn) {
	c.control(func(descriptor int) error {
		return unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
	})
}

// send sends some bytes.
func send(c *silentConn) {
	if _, err := c.own.Write(make([]byte, 100)); err == nil {
		c.sent += 100
	}
}

// control runs a call on the descriptor of the other side.
func (c *silentConn) control(call func(descriptor int) error) {
	c.t.Helper()
	raw, err := c.other.(syscall.Conn).SyscallConn()
	if err != nil {
		c.t.Fatal(err)
	}
	var callErr error
	if err := raw.Control(func(descriptor uintptr) { callErr = call(int(descriptor)) }); err != nil || callErr != nil {
		c.t.Fatal(err, callErr)
	}
}

// respond has the other side read what has come and send a byte.
func respond(c *silentConn) { _, _ = c.other.Write([]byte{1}) }

// TestUnacknowledgedTimeoutRestarts has the other side fall silent twice, 3 s apart. It guards against a connection that is given up although bytes
// were acknowledged between the two silences, and shows that one which stays silent is given up.
func TestUnacknowledgedTimeoutRestarts(t *testing.T) {
	const timeout = 4 * time.Second
	second := func(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
	for _, test := range []struct {
		desc      string
		steps     []silenceStep
		wantAlive bool
	}{
		{"silent throughout, with bytes sent", []silenceStep{{0, loseAll}, {0, send}}, false},
		{"silent throughout, while a response is awaited", []silenceStep{{0, send}, {second(0.1), loseAll}}, false},
		{"silent twice, with bytes sent in each", []silenceStep{
			{0, loseAll}, {0, send}, {second(1.5), loseNothing}, {second(3), loseAll}, {second(3), send}, {second(4.5), loseNothing},
		}, true},
		{"silent twice, with bytes sent before each and in between", []silenceStep{
			{0, send}, {second(0.1), loseAll}, {second(0.2), send}, {second(1.5), loseNothing}, {second(2.5), send}, {second(3), loseAll}, {second(3), send}, {second(4.5), loseNothing},
		}, true},
		{"silent twice, while a response is awaited", []silenceStep{
			{0, send}, {second(0.1), loseAll}, {second(1.6), loseNothing}, {second(3.1), loseAll}, {second(4.6), loseNothing},
		}, true},
		{"silent twice, with a response in between", []silenceStep{
			{0, loseAll}, {0, send}, {second(1.5), loseNothing}, {second(2.2), respond}, {second(3), loseAll}, {second(3), send}, {second(4.5), loseNothing},
		}, true},
		{"silent twice, with bytes sent in the first, whose repetitions miss the time in between", []silenceStep{
			{0, loseAll}, {0, send}, {second(1.8), loseNothing}, {second(3), loseAll}, {second(5), loseNothing},
		}, true},
		{"the same, with a response in between", []silenceStep{
			{0, loseAll}, {0, send}, {second(1.8), loseNothing}, {second(2.4), respond}, {second(3), loseAll}, {second(5), loseNothing},
		}, true},
		{"silent twice, the second time longer", []silenceStep{
			// A repetition comes each second, so it is certain to come in what is left of the timeout.
			{0, loseAll}, {0, send}, {second(1.5), loseNothing}, {second(3), loseAll}, {second(3), send}, {second(5.5), loseNothing},
		}, true},
	} {
		t.Run(test.desc, func(t *testing.T) {
			t.Parallel()
			c := newSilentConn(t, timeout)
			ended := make(chan time.Duration, 1)
			start := time.Now()
			go func() {
				_, _ = io.Copy(io.Discard, c.own)
				ended <- time.Since(start)
			}()
			go func() { _, _ = io.Copy(io.Discard, c.other) }()
			for _, step := range test.steps {
				time.Sleep(time.Until(start.Add(step.after)))
				step.action(c)
			}
			select {
			case took := <-ended:
				t.Logf("ended after %v", took)
				if test.wantAlive {
					t.Errorf("the connection was given up after %v", took)
				}
			case <-time.After(time.Until(start.Add(2 * timeout))):
				if !test.wantAlive {
					t.Error("the connection was not given up")
				}
			}
		})
	}
}

// newSilentConn opens a connection with an unacknowledged timeout.
func newSilentConn(t *testing.T, timeout time.Duration) *silentConn {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	own, err := New(time.Second, timeout).DialContext(context.Background(), "tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	other, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = own.Close(), other.Close() })
	return &silentConn{t: t, own: own, other: other}
}
