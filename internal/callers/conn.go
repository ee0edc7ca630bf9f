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
	phaseIdle
	// phaseHead has some bytes of a head.
	phaseReadingHeader
	// phaseInHand has a whole head.
	phaseActive
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
	pipelined bool
	// since is when the bound began to run: at the opening, at the end of an answer or at the first byte of a head after one.
	timeoutStart time.Time
	timeout      time.Duration
	// given is the deadline that net/http asks for, and deadline the one that is set; zero is none.
	requestedDeadline, currentDeadline time.Time

	closed atomic.Bool
	// failed is set when the connection broke or was ended from the other side.
	failed atomic.Bool
	// closer is who of this side ended the connection, a forward.Closer; forward.CloserCaller until then.
	closer atomic.Int32
	// handed is set while a request is in the hands of the handler, and answered once bytes were sent since the last request began.
	inHandler, responseStarted atomic.Bool
}

// newConnection returns a connection that was just accepted.
func newConnection(accepted net.Conn, server *Server) *connection {
	return &connection{Conn: accepted, server: server, timeoutStart: time.Now(), timeout: server.timeoutFor(phaseNew)}
}

// Read is part of net.Conn. It reports a timeout only when a bound has passed and nothing had come then.
func (c *connection) Read(buffer []byte) (int, error) {
	c.refreshDeadline()
	for {
		n, err := c.Conn.Read(buffer)
		if isDeadlineExceeded(err) && c.hasOwnTimeout() {
			if n, err = c.tryRead(buffer); isDeadlineExceeded(err) && c.extendDeadline() {
				continue
			}
		}
		c.recordRead(n, len(buffer), err)
		return n, err
	}
}

// isTimeout tells whether a reading ended at its deadline; the system calls a connection that TCP gave up a timeout as well. It is asked
// for each request, whose watch ends so, and looks at the two forms of the error that there are.
func isDeadlineExceeded(err error) bool {
	if opErr, ok := err.(*net.OpError); ok {
		err = opErr.Err
	}
	return err == os.ErrDeadlineExceeded
}

// took notes what a reading into so many bytes brought.
func (c *connection) recordRead(n, bufferSize int, err error) {
	c.server.traffic.Received.Add(int64(n))
	if n > 0 {
		c.bytesReceived(bufferSize)
	}
	switch {
	case err == nil || c.closed.Load():
	case !isDeadlineExceeded(err):
		c.failed.Store(true)
	case c.abandonOnTimeout():
		// Without this net/http would answer the part of a request line that it has. An error is that of a connection that is closed.
		_ = c.Close()
	}
}

// watchBytes is the room that net/http reads into while a request is in hand, to see the connection end. What it reads is the beginning
// of the next head; bodies are read into more.
const backgroundReadBytes = 1

// heard notes that bytes have come. The bound of a first head goes on from the opening.
func (c *connection) bytesReceived(bufferSize int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.phase {
	case phaseNew:
		c.phase = phaseReadingHeader
	case phaseIdle:
		c.startPhase(phaseReadingHeader)
	case phaseActive:
		c.pipelined = bufferSize == backgroundReadBytes
	case phaseReadingHeader:
	}
}

// Write is part of net.Conn.
func (c *connection) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.server.traffic.Sent.Add(int64(n))
	if n > 0 {
		c.responseStarted.Store(true)
	}
	return n, err
}

// SetReadDeadline is part of net.Conn. Bounds of the connection that end earlier go on.
func (c *connection) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestedDeadline = deadline
	return c.applyDeadline(c.readDeadline())
}

// SetDeadline is part of net.Conn.
func (c *connection) SetDeadline(deadline time.Time) error {
	return errors.CombineErrors(c.SetReadDeadline(deadline), c.SetWriteDeadline(deadline))
}

// CloseWrite ends what is sent, so that net/http can have an answer arrive before it closes a connection with unread bytes.
func (c *connection) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// Close is part of net.Conn. A request that has begun to come and was not handed to the handler is told to the figures: nobody else
// knows of it.
func (c *connection) Close() error {
	if !c.closed.Swap(true) {
		c.server.remove(c)
		if elapsed, notStarted := c.requestProgress(); !notStarted && !c.inHandler.Load() && !c.responseStarted.Load() {
			c.server.observer.HeadUnanswered(c.closedBy(), c.RemoteAddr().String(), elapsed)
		}
	}
	return c.Conn.Close()
}

// unanswered returns for how long a request has been coming, and whether none has begun to.
func (c *connection) requestProgress() (elapsed time.Duration, notStarted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.timeoutStart), c.phase == phaseNew || c.phase == phaseIdle
}

// leftWhileAhead tells whether the other side has ended the connection after it had sent the first byte of the next head: net/http reads
// no further while a request is in hand, and does not see it.
func (c *connection) peerClosedWhilePipelined() bool {
	c.mu.Lock()
	pipelined := c.pipelined
	c.mu.Unlock()
	raw, ok := c.Conn.(syscall.Conn)
	return pipelined && ok && peerHasClosed(raw)
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
func onConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*connection)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		// The time of the last request bounds no answer to the next one, also not one that net/http gives by itself. An error is that of a
		// connection that is closed.
		_ = c.SetWriteDeadline(time.Time{})
		c.inHandler.Store(false)
		c.responseStarted.Store(false)
		c.enterPhase(phaseIdle)
	case http.StateActive:
		c.enterPhase(phaseActive)
	case http.StateNew, http.StateClosed, http.StateHijacked:
	}
}

// enter begins a phase.
func (c *connection) enterPhase(next phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case next != phaseIdle:
		c.phase = next
	case c.pipelined:
		c.startPhase(phaseReadingHeader)
	default:
		c.startPhase(phaseIdle)
	}
	c.pipelined = false
	// It fails only for a connection that is closed, as the next reading will.
	_ = c.applyDeadline(c.readDeadline())
}

// begin begins a phase with a bound of its own. The mutex is held.
func (c *connection) startPhase(next phase) {
	c.phase, c.timeoutStart, c.timeout = next, time.Now(), c.server.timeoutFor(next)
}

// connKey is the key of the connection in the contexts of its requests.
type connKey struct{}

// withConn is the ConnContext of a server of callers.
func connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// CloserOf returns who ended the connection on which the request of a context came.
func CloserOf(ctx context.Context) forward.Closer {
	if conn, ok := ctx.Value(connKey{}).(*connection); ok {
		return conn.closedBy()
	}
	return forward.CloserCaller
}

// handing returns a handler that notes on the connections of callers that a request is in hand.
func trackHandler(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(*connection); ok {
			conn.inHandler.Store(true)
		}
		handler.ServeHTTP(w, r)
	})
}
