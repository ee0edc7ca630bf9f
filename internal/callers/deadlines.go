package callers

import (
	"os"
	"syscall"
	"time"

	"github.com/granitebay/granitebay/internal/forward"
	"github.com/granitebay/granitebay/internal/netdial"
)

// abandonOnTimeout reports whether the connection must be closed after a read timed out, and records the reason in closingSide.
func (c *connection) abandonOnTimeout() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase == phaseActive:
		return false
	case c.share.IsEvicted():
		c.closingSide.Store(int32(forward.CloserEviction))
	case c.server.shutdownStart.Load() != nil:
		c.closingSide.Store(int32(forward.CloserShutdown))
	case c.phase == phaseReadingHeader:
		c.closingSide.Store(int32(forward.CloserHeaderTimeout))
	default:
		c.closingSide.Store(int32(forward.CloserIdleTimeout))
		c.server.observer.IdleTimeout()
	}
	return true
}

// hasOwnTimeout reports whether the connection's own timeouts apply in the current phase.
func (c *connection) hasOwnTimeout() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase != phaseActive
}

// readDeadline returns the deadline of the next read; zero means none. mu must be held.
func (c *connection) readDeadline() time.Time {
	if c.share.IsEvicted() {
		return evictedDeadline
	}
	if c.phase == phaseActive {
		return c.requestedDeadline
	}
	end := c.timeoutStart.Add(c.timeout + timeoutMargin(c.timeout))
	shutdownStart := c.server.shutdownStart.Load()
	switch {
	case shutdownStart != nil && c.phase == phaseIdle:
		end = c.timeoutStart
	case shutdownStart != nil && c.phase == phaseNew:
		end = earlier(end, later(*shutdownStart, c.timeoutStart).Add(NewConnGrace))
	case c.timeout == noTimeout:
		return c.requestedDeadline
	}
	if c.requestedDeadline.IsZero() {
		return end
	}
	return earlier(c.requestedDeadline, end)
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// refreshDeadline recomputes the read deadline. It also affects a read in progress.
func (c *connection) refreshDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	// This fails only if the connection is closed, and then the next read fails too.
	_ = c.applyDeadline(c.readDeadline())
}

// applyDeadline sets the read deadline if it has changed. mu must be held.
func (c *connection) applyDeadline(deadline time.Time) error {
	if deadline.Equal(c.currentDeadline) {
		return nil
	}
	c.currentDeadline = deadline
	return c.Conn.SetReadDeadline(deadline)
}

// tryExtendDeadline reports whether the timeout was increased since it started, so that reading continues. A decrease does
// not shorten a timeout that is running.
func (c *connection) tryExtendDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timeout = max(c.timeout, c.server.timeoutFor(c.phase))
	deadline := c.readDeadline()
	return (deadline.IsZero() || time.Now().Before(deadline)) && c.applyDeadline(deadline) == nil
}

// finalRead reads available data without blocking, whatever the deadline is: shutdown may set a past deadline at any moment. If there is no data, it
// closes both sides and returns os.ErrDeadlineExceeded; nothing comes between the two, since a request that arrives there is lost. The kernel resets
// the connection when a request arrives later, which shows its caller that nobody reads it. If a response is on its way, which a reset would drop, only
// the sending side is closed. Only the goroutine that reads the connection may call it.
func (c *connection) finalRead(buffer []byte) (int, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, os.ErrDeadlineExceeded
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	n, readErr := 0, error(nil)
	sides := syscall.SHUT_RDWR
	if hasUnacknowledged(c.Conn) {
		sides = syscall.SHUT_WR
	}
	if err := raw.Control(func(descriptor uintptr) {
		if n, readErr = netdial.ReadNonblocking(int(descriptor), buffer); isDeadlineExceeded(readErr) {
			// This fails only if the caller has reset the connection.
			_ = syscall.Shutdown(int(descriptor), sides)
		}
	}); err != nil {
		return 0, err
	}
	return n, readErr
}

// readArrived reads available data without blocking, whatever the deadline is.
func (c *connection) readArrived(buffer []byte) (int, error) {
	if conn, ok := c.Conn.(syscall.Conn); ok {
		return netdial.ReadArrived(conn, buffer)
	}
	return 0, os.ErrDeadlineExceeded
}
