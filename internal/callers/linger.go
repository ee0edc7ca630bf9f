package callers

import (
	"io"
	"time"

	"github.com/granitebay/granitebay/internal/forward"
)

// Bounds of how long a connection is read after its last response, for callers that don't close it.
const (
	lingerTime  = time.Second
	lingerBytes = 4 << 20
)

// mustLinger reports whether the connection is closed behind a response that the caller may not have received, by a side that knows of the
// response.
func (c *connection) mustLinger() bool {
	return c.responseStarted.Load() && !c.failed.Load() && !c.resets.Load() && !c.hijacked.Load() && !c.server.closing.Load() &&
		forward.Closer(c.closingSide.Load()) == forward.CloserUnknown
}

// linger ends the sending side, and reads and discards what the caller sends until it closes the connection (RFC 9112, 9.6). The kernel resets a
// connection that is closed with unread bytes, and drops what the caller has not received. What is read is not part of any request.
func (c *connection) linger() {
	if c.CloseWrite() != nil {
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	discarded, _ := io.CopyN(io.Discard, c.Conn, lingerBytes)
	c.server.traffic.Received.Add(discarded)
}
