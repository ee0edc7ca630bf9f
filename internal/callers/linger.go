package callers

import (
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/granitebay/granitebay/internal/forward"
)

// Bounds of how long a connection is read after its last response, for callers that don't close it.
const (
	lingerTime  = time.Second
	lingerBytes = 4 << 20
)

// mustLinger reports whether the connection is closed behind a response that the caller may not have received.
func (c *connection) mustLinger() bool {
	if c.failed.Load() || c.resets.Load() || c.hijacked.Load() || c.server.closing.Load() {
		return false
	}
	switch forward.Closer(c.closingSide.Load()) {
	case forward.CloserUnknown:
		return c.responseStarted.Load()
	case forward.CloserWriteTimeout:
		// The caller does not read.
		return false
	case forward.CloserIdleTimeout:
		// A request may be in transit.
		return true
	default:
		return hasUnacknowledged(c.Conn)
	}
}

// hasUnacknowledged reports whether the peer has not received all bytes that were written to a connection.
func hasUnacknowledged(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	unacknowledged := 0
	// Control fails only if the connection is closed.
	_ = raw.Control(func(descriptor uintptr) {
		if count, err := unix.IoctlGetInt(int(descriptor), unix.SIOCOUTQ); err == nil {
			unacknowledged = count
		}
	})
	return unacknowledged > 0
}

// linger ends the sending side, and waits until the caller closes the connection (RFC 9112, 9.6). The kernel resets a connection that is closed with
// unread bytes, and drops what the caller has not received: such bytes are read and discarded while a response is on its way. They are not part of any
// request that gets a response.
func (c *connection) linger() {
	if c.CloseWrite() != nil {
		return
	}
	// The timeouts of the other phases have passed.
	c.enterPhase(phaseActive)
	start := time.Now()
	_ = c.SetReadDeadline(start.Add(lingerTime))
	closer := forward.Closer(c.closingSide.Load())
	if closer != forward.CloserUnknown && c.awaitUnread() {
		c.server.observer.RequestAfterClose(closer, c.RemoteAddr().String(), time.Since(start))
		if !hasUnacknowledged(c.Conn) {
			// Its bytes stay unread. The reset tells the caller that the request was not read, so that it may be sent again.
			return
		}
	}
	discarded, _ := io.CopyN(io.Discard, c.Conn, lingerBytes)
	c.server.traffic.Received.Add(discarded)
}

// awaitUnread waits until bytes arrive, and reports whether they have. It does not read them.
func (c *connection) awaitUnread() bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	count, peeked := 0, make([]byte, 1)
	// Read fails at the read deadline, and if the connection is closed.
	err = raw.Read(func(descriptor uintptr) bool {
		n, _, err := unix.Recvfrom(int(descriptor), peeked, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		count = n
		return err != unix.EAGAIN && err != unix.EINTR
	})
	return err == nil && count > 0
}
