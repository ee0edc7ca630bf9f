package callers

import (
	"time"

	"github.com/granitebay/granitebay/internal/forward"
	"github.com/granitebay/granitebay/internal/standstill"
)

// lateWriteTime is how long a response may be written whose write deadline passed while this process stood still.
const lateWriteTime = 2 * time.Second

// Write implements net.Conn. It returns a timeout error only if the caller had time to receive: a write that begins after its deadline returns
// without trying, although the response is ready.
func (c *connection) Write(buffer []byte) (int, error) {
	start := time.Now()
	n, err := c.Conn.Write(buffer)
	if isDeadlineExceeded(err) && c.tryExtendWriteDeadline(start) {
		var rest int
		rest, err = c.Conn.Write(buffer[n:])
		n += rest
	}
	c.recordWrite(n, err)
	return n, err
}

// recordWrite updates the state after a write of n bytes.
func (c *connection) recordWrite(n int, err error) {
	c.server.traffic.Sent.Add(int64(n))
	if n > 0 {
		c.responseStarted.Store(true)
	}
	switch {
	case err == nil || c.closed.Load():
	case isDeadlineExceeded(err):
		c.closingSide.Store(int32(forward.CloserWriteTimeout))
	default:
		c.disconnected(err)
	}
}

// SetWriteDeadline implements net.Conn.
func (c *connection) SetWriteDeadline(deadline time.Time) error {
	nanoseconds := int64(0)
	if !deadline.IsZero() {
		nanoseconds = deadline.UnixNano()
	}
	c.writeDeadline.Store(nanoseconds)
	return c.Conn.SetWriteDeadline(deadline)
}

// tryExtendWriteDeadline reports whether a write that began at start failed only because this process stood still, so that it is tried again.
func (c *connection) tryExtendWriteDeadline(start time.Time) bool {
	deadline := time.Unix(0, c.writeDeadline.Load())
	if !start.After(deadline) && !standstill.IsLate(time.Now(), deadline) {
		return false
	}
	return c.SetWriteDeadline(time.Now().Add(lateWriteTime)) == nil
}
