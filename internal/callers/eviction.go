package callers

import (
	"context"
	"os"
	"time"

	"github.com/granitebay/granitebay/internal/forward"
	"github.com/granitebay/granitebay/internal/intake"
)

// Eviction is a connection that has lost its place because it has waited longest for its caller.
type Eviction struct {
	// Reason is the bound that was reached.
	Reason intake.Reason
	Peer   string
	// Phase names what the connection waits for.
	Phase string
	// Waited is how long it has been in that phase.
	Waited time.Duration
}

// evictedDeadline is a read deadline that has passed.
var evictedDeadline = time.Unix(1, 0)

// admit makes the connection one of those that the server bounds.
func (c *connection) admit() {
	if c.server.intake != nil {
		c.share = c.server.intake.Admit(c.evict)
	}
}

// evict makes the goroutine that reads the connection end it.
func (c *connection) evict(reason intake.Reason) {
	current, waited := c.currentPhase()
	c.server.observer.Evicted(Eviction{Reason: reason, Peer: c.RemoteAddr().String(), Phase: current.String(), Waited: waited})
	c.refreshDeadline()
}

// keepPlace keeps the place of a connection on which a request begins to arrive, even if it was just evicted: its caller could not tell that nobody has
// read the request.
func (c *connection) keepPlace() {
	if current, _ := c.currentPhase(); c.share != nil && (current == phaseNew || current == phaseIdle) {
		c.share.Restore()
	}
}

// endEvicted ends a read of an evicted connection. One that is idle is looked at once more. What comes of a request that has begun does not save it, or a caller could hold its place with a byte at a time.
func (c *connection) endEvicted(buffer []byte) (int, error) {
	switch current, _ := c.currentPhase(); current {
	case phaseNew, phaseIdle:
		return c.finalRead(buffer)
	case phaseActive:
		return 0, &forward.EvictedError{}
	default:
		return 0, os.ErrDeadlineExceeded
	}
}

// isEvictedError reports whether an error is that of an evicted connection. It runs for each read that times out.
func isEvictedError(err error) bool {
	_, isEvicted := err.(*forward.EvictedError)
	return isEvicted
}

// headerLineBytes is what a line of a header takes in memory, in the request and in the copy of its header for the worker.
const headerLineBytes = 256

// HeaderCost returns what a header of a size and a number of lines takes in memory.
func HeaderCost(size, lines int) int { return 2*size + lines*headerLineBytes }

// minLineBytes is the length of the shortest line of a header.
const minLineBytes = 3

// MaxHeaderCost returns the most that a header of a size can take in memory.
func MaxHeaderCost(size int) int { return HeaderCost(size, size/minLineBytes) }

// ShareOf returns what the connection of the request that ctx belongs to holds; nil if that is not bounded.
func ShareOf(ctx context.Context) *intake.Conn {
	if conn, ok := ctx.Value(connKey{}).(*connection); ok {
		return conn.share
	}
	return nil
}
