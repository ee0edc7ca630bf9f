package callers

import (
	"net/http"
	"strconv"
	"time"
)

// keepAlive is the Keep-Alive header for an idle timeout.
type keepAlive struct {
	idleTimeout time.Duration
	// values are the values of the header; nil if the timeout is too short to be announced in whole seconds.
	values []string
}

// newKeepAlive returns the header for an idle timeout. It announces four fifths of it, because callers start to count when they have received a
// response, which may be late.
func newKeepAlive(idleTimeout time.Duration) *keepAlive {
	k := &keepAlive{idleTimeout: idleTimeout}
	if seconds := (idleTimeout - idleTimeout/5) / time.Second; seconds > 0 {
		k.values = []string{"timeout=" + strconv.FormatInt(int64(seconds), 10)}
	}
	return k
}

// maxTimeoutMargin is the most by which a connection outlasts a timeout. It covers the round trip and the scheduling of a caller that keeps to the
// timeout.
const maxTimeoutMargin = time.Second

// timeoutMargin returns how long a connection stays open after its idle timeout or header timeout. Requests that come in that time are served. A
// short timeout is extended by half.
func timeoutMargin(timeout time.Duration) time.Duration { return min(timeout/2, maxTimeoutMargin) }

// keepAliveOption is the value of the Connection header that goes with a Keep-Alive header (RFC 9110, 7.6.1).
var keepAliveOption = []string{"keep-alive"}

// announceIdleTimeout adds a Keep-Alive header to the response to a request, unless the connection closes behind it.
func (c *connection) announceIdleTimeout(response http.Header, r *http.Request) {
	idleTimeout := c.server.timeoutFor(phaseIdle)
	c.mu.Lock()
	c.promisedIdle = idleTimeout
	c.mu.Unlock()
	if idleTimeout == noTimeout || r.Close || !r.ProtoAtLeast(1, 1) || c.server.shutdownStart.Load() != nil {
		return
	}
	announced := c.server.announced.Load()
	if announced == nil || announced.idleTimeout != idleTimeout {
		announced = newKeepAlive(idleTimeout)
		c.server.announced.Store(announced)
	}
	if announced.values != nil {
		response["Connection"], response["Keep-Alive"] = keepAliveOption, announced.values
	}
}
