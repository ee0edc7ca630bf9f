package callers

import (
	"io"
	"net"
	"slices"
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
	case forward.CloserUnknown, forward.CloserRefusal:
		return c.responseStarted.Load()
	case forward.CloserWriteTimeout:
		// The caller does not read.
		return false
	default:
		// Without a response on its way the connection is closed at once: the kernel resets it when a request arrives, which shows its caller
		// that the request was not read.
		return hasUnacknowledged(c.Conn)
	}
}

// tcpFinSent are the states of a connection whose FIN was sent and is not acknowledged: TCP_FIN_WAIT1, TCP_LAST_ACK and TCP_CLOSING on Linux.
var tcpFinSent = []uint8{4, 9, 11}

// hasUnacknowledged reports whether the peer has not received all bytes that were written to a connection. The end of the sending side is not one.
func hasUnacknowledged(conn net.Conn) bool { return unacknowledgedBytes(conn) > 0 }

// unacknowledgedBytes returns how many of the bytes that were written to a connection the peer has not received.
func unacknowledgedBytes(conn net.Conn) int {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	unacknowledged := 0
	// Control fails only if the connection is closed.
	_ = raw.Control(func(descriptor uintptr) {
		// The state comes first: an acknowledgement that arrives in between makes the result too small by the FIN, not too large.
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		if count, err := unix.IoctlGetInt(int(descriptor), unix.SIOCOUTQ); err == nil {
			unacknowledged = count
		}
		// The kernel counts the FIN like a byte.
		if slices.Contains(tcpFinSent, info.State) {
			unacknowledged--
		}
	})
	return max(unacknowledged, 0)
}

// linger ends the sending side, and reads and discards what the caller sends until it closes the connection (RFC 9112, 9.6). The kernel resets a
// connection that is closed with unread bytes, and drops what the caller has not received. What is read is not part of any request.
func (c *connection) linger() {
	if c.CloseWrite() != nil {
		return
	}
	// It may be evicted again.
	c.share.Release()
	c.share.Restore()
	// The timeouts of the other phases have passed.
	c.enterPhase(phaseActive)
	start := time.Now()
	_ = c.SetReadDeadline(start.Add(lingerTime))
	first, _ := io.CopyN(io.Discard, c.Conn, 1)
	if closer := forward.Closer(c.closingSide.Load()); first > 0 && closer != forward.CloserUnknown {
		c.server.observer.RequestAfterClose(closer, c.RemoteAddr().String(), time.Since(start))
	}
	rest, _ := io.CopyN(io.Discard, c.Conn, lingerBytes)
	c.server.traffic.Received.Add(first + rest)
}
