package callers

import (
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/forward"
)

// abandonOnTimeout reports whether the connection must be closed after a read timed out, and records the reason in closingSide.
func (c *connection) abandonOnTimeout() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase == phaseActive:
		return false
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

// tryRead reads available data without blocking, whatever the deadline is. A read after its deadline returns without
// trying, although data may have arrived before, for example while the process was stalled; and shutdown may set a past
// deadline at any moment. Only the goroutine that reads the connection may call it. It returns os.ErrDeadlineExceeded if
// there is no data.
func (c *connection) tryRead(buffer []byte) (int, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, os.ErrDeadlineExceeded
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	n, readErr := 0, error(nil)
	if err := raw.Control(func(descriptor uintptr) { n, readErr = readNonblocking(int(descriptor), buffer) }); err != nil {
		return 0, err
	}
	return n, readErr
}

// readNonblocking reads from a non-blocking file descriptor.
func readNonblocking(descriptor int, buffer []byte) (int, error) {
	for {
		n, err := syscall.Read(descriptor, buffer)
		switch {
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return 0, os.ErrDeadlineExceeded
		case err != nil:
			return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", err)}
		case n == 0:
			return 0, io.EOF
		default:
			return n, nil
		}
	}
}
