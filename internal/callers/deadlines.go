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

// timedOut tells whether a reading that timed out gives the connection up, and notes who does.
func (c *connection) abandonOnTimeout() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase == phaseActive:
		return false
	case c.server.shutdownStart.Load() != nil:
		c.closer.Store(int32(forward.CloserStop))
	case c.phase == phaseReadingHeader:
		c.closer.Store(int32(forward.CloserHead))
	default:
		c.closer.Store(int32(forward.CloserRest))
		c.server.observer.RestedOut()
	}
	return true
}

// bounded tells whether the connection is under a bound of its own.
func (c *connection) hasOwnTimeout() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase != phaseActive
}

// until returns when a reading is given up; zero is never. The mutex is held.
func (c *connection) readDeadline() time.Time {
	if c.phase == phaseActive {
		return c.requestedDeadline
	}
	end := c.timeoutStart.Add(c.timeout)
	shutdownStart := c.server.shutdownStart.Load()
	switch {
	case shutdownStart != nil && c.phase == phaseIdle:
		end = c.timeoutStart
	case shutdownStart != nil && c.phase == phaseNew:
		end = earlier(end, shutdownStart.Add(newConnGrace))
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

// renew sets the deadline that holds now, also for a reading that waits.
func (c *connection) refreshDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	// It fails only for a connection that is closed, as the next reading will.
	_ = c.applyDeadline(c.readDeadline())
}

// set sets a deadline, unless it is set already. The mutex is held.
func (c *connection) applyDeadline(deadline time.Time) error {
	if deadline.Equal(c.currentDeadline) {
		return nil
	}
	c.currentDeadline = deadline
	return c.Conn.SetReadDeadline(deadline)
}

// prolonged tells whether the bound was raised since it began to run, so that the connection goes on. One that was lowered holds for
// connections that begin to rest from then on.
func (c *connection) extendDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timeout = max(c.timeout, c.server.timeoutFor(c.phase))
	deadline := c.readDeadline()
	return (deadline.IsZero() || time.Now().Before(deadline)) && c.applyDeadline(deadline) == nil
}

// look reads what has come, without waiting and whatever the deadline is: a reading whose deadline has passed does not try, though bytes
// may have come before, as after a standstill of the process; and a stop may set one at any moment. Only the goroutine that reads the
// connection may call it. It returns os.ErrDeadlineExceeded when there is nothing.
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

// readNow reads from a descriptor that does not block.
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
