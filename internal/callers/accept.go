package callers

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/granitebay/granitebay/internal/netdial"
)

// trackingListener wraps accepted connections and registers them with the server.
//
// Invariant: once shutdown has begun, only the goroutine that accepts closes the listener, and only after it has found no connection in the queue.
// If another goroutine closed it, the kernel would reset the connections in the queue, whose requests may have been sent.
type trackingListener struct {
	netdial.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	accepted, err := l.acceptOrClose()
	if err != nil {
		return nil, err
	}
	if !l.server.awaitRoom() {
		_ = accepted.Close()
		return nil, net.ErrClosed
	}
	conn := newConnection(accepted, l.server)
	conn.admit()
	l.server.add(conn)
	return conn, nil
}

// awaitRoom waits until there is room for another connection, which others make that have waited for their callers. Connections that come meanwhile stay in
// the queue of the listener, so their callers wait instead of being refused. It returns false if the server is closed.
func (s *Server) awaitRoom() bool {
	for s.intake != nil && s.shutdownStart.Load() == nil {
		found, again := s.intake.MakeRoom()
		if s.closing.Load() {
			return false
		}
		if found {
			return true
		}
		timer := time.NewTimer(again)
		select {
		case <-s.intake.Freed():
		case <-timer.C:
		}
		timer.Stop()
	}
	return true
}

// handshakeTime is how long the accept loop waits for connections whose handshake has begun, after new handshakes were stopped. It exceeds the
// round trip to most callers of other regions.
const handshakeTime = 150 * time.Millisecond

// drainQueue makes the accept loop of a listener empty the queue and close the listener.
func drainQueue(listener netdial.Listener) {
	// Without the filter, connections that arrive between the last look at the queue and the close are reset.
	_ = netdial.StopHandshakes(listener)
	// This fails only if the listener is closed.
	_ = listener.SetDeadline(time.Now().Add(handshakeTime))
}

// acceptOrClose accepts a connection. During shutdown it closes the listener when no connection is left in its queue.
func (l *trackingListener) acceptOrClose() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if !isDeadlineExceeded(err) {
			return accepted, err
		}
		if !hasQueued(l.Listener) {
			_ = l.Listener.Close()
			return nil, net.ErrClosed
		}
		// A call of Accept after its deadline returns without a look at the queue.
		_ = l.Listener.SetDeadline(time.Now().Add(handshakeTime))
	}
}

// hasQueued reports whether a connection waits to be accepted.
func hasQueued(listener syscall.Conn) bool {
	raw, err := listener.SyscallConn()
	if err != nil {
		return false
	}
	queued := false
	// Control fails only if the listener is closed.
	_ = raw.Control(func(descriptor uintptr) {
		fds := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLIN}}
		count, err := unix.Poll(fds, 0)
		queued = err == nil && count > 0
	})
	return queued
}
