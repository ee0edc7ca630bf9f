package callers

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/forward"
)

// phase is what a connection of a caller is doing.
type phase uint8

const (
	// phaseNew waits for the first bytes of the first head.
	phaseNew phase = iota
	// phaseResting waits for the first bytes of the next head.
	phaseResting
	// phaseHead has some bytes of a head.
	phaseHead
	// phaseInHand has a whole head.
	phaseInHand
)

// connection is a connection of a caller. It counts its bytes, bounds its own rest and the coming of heads, and knows who of this side
// ended it.
//
// Invariant: only the goroutine that reads the connection ends it for its bounds or because the gateway stops, after a last look that
// found no byte. A timer or another goroutine would close a connection whose next request has just come.
type connection struct {
	net.Conn
	server *Server

	// mu guards what bounds the reading.
	mu    sync.Mutex
	phase phase
	// ahead is set when the first byte of the next head came while a request was in hand.
	ahead bool
	// since is when the bound began to run: at the opening, at the end of an answer or at the first byte of a head after one.
	since time.Time
	bound time.Duration
	// given is the deadline that net/http asks for, and deadline the one that is set; zero is none.
	given, deadline time.Time

	closed atomic.Bool
	// failed is set when the connection broke or was ended from the other side.
	failed atomic.Bool
	// closer is who of this side ended the connection, a forward.Closer; forward.CloserCaller until then.
	closer atomic.Int32
	// handed is set while a request is in the hands of the handler, and answered once bytes were sent since the last request began.
	handed, answered atomic.Bool
}

// newConnection returns a connection that was just accepted.
func newConnection(accepted net.Conn, server *Server) *connection {
	return &connection{Conn: accepted, server: server, since: time.Now(), bound: server.boundOf(phaseNew)}
}

// Read is part of net.Conn. It reports a timeout only when a bound has passed and nothing had come then.
func (c *connection) Read(buffer []byte) (int, error) {
	c.renew()
	for {
		n, err := c.Conn.Read(buffer)
		if isTimeout(err) && c.bounded() {
			if n, err = c.look(buffer); isTimeout(err) && c.prolonged() {
				continue
			}
		}
		c.took(n, len(buffer), err)
		return n, err
	}
}

// isTimeout tells whether a reading ended at its deadline; the system calls a connection that TCP gave up a timeout as well. It is asked
// for each request, whose watch ends so, and looks at the two forms of the error that there are.
func isTimeout(err error) bool {
	if failed, wrapped := err.(*net.OpError); wrapped {
		err = failed.Err
	}
	return err == os.ErrDeadlineExceeded
}

// took notes what a reading into so many bytes brought.
func (c *connection) took(n, room int, err error) {
	c.server.traffic.Received.Add(int64(n))
	if n > 0 {
		c.heard(room)
	}
	switch {
	case err == nil || c.closed.Load():
	case !isTimeout(err):
		c.failed.Store(true)
	case c.timedOut():
		// Without this net/http would answer the part of a request line that it has. An error is that of a connection that is closed.
		_ = c.Close()
	}
}

// watchBytes is the room that net/http reads into while a request is in hand, to see the connection end. What it reads is the beginning
// of the next head; bodies are read into more.
const watchBytes = 1

// heard notes that bytes have come. The bound of a first head goes on from the opening.
func (c *connection) heard(room int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.phase {
	case phaseNew:
		c.phase = phaseHead
	case phaseResting:
		c.begin(phaseHead)
	case phaseInHand:
		c.ahead = room == watchBytes
	case phaseHead:
	}
}

// Write is part of net.Conn.
func (c *connection) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.server.traffic.Sent.Add(int64(n))
	if n > 0 {
		c.answered.Store(true)
	}
	return n, err
}

// SetReadDeadline is part of net.Conn. Bounds of the connection that end earlier go on.
func (c *connection) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.given = deadline
	return c.set(c.until())
}

// SetDeadline is part of net.Conn.
func (c *connection) SetDeadline(deadline time.Time) error {
	return errors.CombineErrors(c.SetReadDeadline(deadline), c.SetWriteDeadline(deadline))
}

// CloseWrite ends what is sent, so that net/http can have an answer arrive before it closes a connection with unread bytes.
func (c *connection) CloseWrite() error {
	if half, can := c.Conn.(interface{ CloseWrite() error }); can {
		return half.CloseWrite()
	}
	return nil
}

// Close is part of net.Conn. A request that has begun to come and was not handed to the handler is told to the figures: nobody else
// knows of it.
func (c *connection) Close() error {
	if !c.closed.Swap(true) {
		c.server.remove(c)
		if inHand, unheard := c.unanswered(); !unheard && !c.handed.Load() && !c.answered.Load() {
			c.server.observer.HeadUnanswered(c.closedBy(), c.RemoteAddr().String(), inHand)
		}
	}
	return c.Conn.Close()
}

// unanswered returns for how long a request has been coming, and whether none has begun to.
func (c *connection) unanswered() (inHand time.Duration, unheard bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.since), c.phase == phaseNew || c.phase == phaseResting
}

// leftWhileAhead tells whether the other side has ended the connection after it had sent the first byte of the next head: net/http reads
// no further while a request is in hand, and does not see it.
func (c *connection) leftWhileAhead() bool {
	c.mu.Lock()
	ahead := c.ahead
	c.mu.Unlock()
	raw, isRaw := c.Conn.(syscall.Conn)
	return ahead && isRaw && hasEnded(raw)
}

// closedBy returns who ended the connection. What this side closes without a name is closed by its end.
func (c *connection) closedBy() forward.Closer {
	closer := forward.Closer(c.closer.Load())
	if closer == forward.CloserCaller && c.closed.Load() && !c.failed.Load() {
		return forward.CloserStop
	}
	return closer
}

// stateChanged is the ConnState hook of the server of callers. net/http calls it from the goroutine that reads the connection, while no
// other reads.
func stateChanged(conn net.Conn, state http.ConnState) {
	c, ofCaller := conn.(*connection)
	if !ofCaller {
		return
	}
	switch state {
	case http.StateIdle:
		// The time of the last request bounds no answer to the next one, also not one that net/http gives by itself. An error is that of a
		// connection that is closed.
		_ = c.SetWriteDeadline(time.Time{})
		c.handed.Store(false)
		c.answered.Store(false)
		c.enter(phaseResting)
	case http.StateActive:
		c.enter(phaseInHand)
	case http.StateNew, http.StateClosed, http.StateHijacked:
	}
}

// enter begins a phase.
func (c *connection) enter(next phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case next != phaseResting:
		c.phase = next
	case c.ahead:
		c.begin(phaseHead)
	default:
		c.begin(phaseResting)
	}
	c.ahead = false
	// It fails only for a connection that is closed, as the next reading will.
	_ = c.set(c.until())
}

// begin begins a phase with a bound of its own. The mutex is held.
func (c *connection) begin(next phase) {
	c.phase, c.since, c.bound = next, time.Now(), c.server.boundOf(next)
}

// connKey is the key of the connection in the contexts of its requests.
type connKey struct{}

// withConn is the ConnContext of a server of callers.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// CloserOf returns who ended the connection on which the request of a context came.
func CloserOf(ctx context.Context) forward.Closer {
	if conn, known := ctx.Value(connKey{}).(*connection); known {
		return conn.closedBy()
	}
	return forward.CloserCaller
}

// handing returns a handler that notes on the connections of callers that a request is in hand.
func handing(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, known := r.Context().Value(connKey{}).(*connection); known {
			conn.handed.Store(true)
		}
		handler.ServeHTTP(w, r)
	})
}
