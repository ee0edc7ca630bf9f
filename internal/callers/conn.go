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
	"github.com/granitebay/granitebay/internal/intake"
)

// phase is the state of a caller's connection in its request cycle.
type phase uint8

const (
	// phaseNew waits for the first byte of the first request.
	phaseNew phase = iota
	// phaseIdle waits for the first byte of the next request.
	phaseIdle
	// phaseReadingHeader has received part of a request header.
	phaseReadingHeader
	// phaseActive has received a complete request header.
	phaseActive
)

// connection is the server side of a caller's connection. It counts bytes, enforces the idle and header timeouts, and
// records which side closed it.
//
// Invariant: only the goroutine that reads the connection closes it on a timeout or at shutdown, and only after a final
// non-blocking read that found no data, right behind which it is shut down. If a timer or another goroutine closed
// it, or if anything else were done in between, a request that has just arrived would be lost.
type connection struct {
	net.Conn
	server *Server

	// mu guards the fields that determine the read deadline.
	mu    sync.Mutex
	phase phase
	// pipelined is set when the first byte of the next request arrived while a request was active.
	pipelined bool
	// timeoutStart is when the current timeout started: when the connection was accepted, when a response ended, or at
	// the first byte of a later request.
	timeoutStart time.Time
	timeout      time.Duration
	// promisedIdle is the idle timeout that was in effect when the handler of the last request began, from which the Keep-Alive header of its response
	// was derived. The next idle timeout is not shorter.
	promisedIdle time.Duration
	// requestedDeadline is the deadline set by net/http, currentDeadline the one set on the socket; zero means none.
	requestedDeadline, currentDeadline time.Time

	// header follows the header that is arriving. Only the goroutine that reads the connection uses it.
	header headerReader

	// headerSize is the size of the header of the active request. It is set before the handler runs.
	headerSize int

	// share is what the connection holds; nil if that is not bounded.
	share *intake.Conn
	// lacksRoom is set if the header of the active request exceeds what all connections may hold. It is set before the handler runs.
	lacksRoom bool

	// writeDeadline is the deadline set by net/http for writes, in Unix nanoseconds; zero means none.
	writeDeadline atomic.Int64

	closed atomic.Bool
	// failed is set when a read or a write failed or the peer closed the connection.
	failed atomic.Bool
	// closingSide is the forward.Closer on this side that closed the connection or made it unusable; forward.CloserUnknown if none did.
	closingSide atomic.Int32
	// cancelRequest ends the context of the active request with a cause; nil if there is none.
	cancelRequest atomic.Pointer[context.CancelCauseFunc]
	// inHandler is set while the handler runs; responseStarted is set once bytes were written for the current request.
	inHandler, responseStarted atomic.Bool
	// resets is set if Close must reset the connection, and hijacked if its handler has taken it over and ends it in its own way.
	resets, hijacked atomic.Bool
	// unreadReported is set while unread bytes are reported. Only the goroutine that looks for them uses it.
	unreadReported bool
}

// newConnection wraps a connection that was just accepted.
func newConnection(accepted net.Conn, server *Server) *connection {
	return &connection{Conn: accepted, server: server, timeoutStart: time.Now(), timeout: server.timeoutFor(phaseNew)}
}

// Read implements net.Conn. It returns a timeout error only if a final read after the deadline found no data, except to background reads of net/http,
// which it interrupts by a deadline.
func (c *connection) Read(buffer []byte) (int, error) {
	if len(buffer) > backgroundReadBytes && len(buffer) < readerBytes {
		c.nextRequestBuffered()
	}
	if len(buffer) == backgroundReadBytes {
		// The whole request has arrived.
		c.share.Serve()
	}
	if len(c.header.ready) > 0 {
		n := c.header.take(buffer)
		c.bytesReceived(len(buffer))
		return c.follow(buffer, n, nil)
	}
	n, err := c.receive(buffer)
	if n == 0 {
		return 0, err
	}
	return c.follow(buffer, n, err)
}

// follow passes on bytes that were read into a buffer, or keeps them if they are part of an incomplete header.
func (c *connection) follow(buffer []byte, n int, err error) (int, error) {
	if len(buffer) > backgroundReadBytes && c.isReadingHeader() && !c.header.isComplete {
		return c.readHeader(buffer, n, err)
	}
	c.header.note(buffer[:n])
	return n, err
}

// inBody reports whether a read into a buffer of a size is one of the body of the active request.
func (c *connection) inBody(bufferSize int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == phaseActive && bufferSize > backgroundReadBytes
}

// isReadingHeader reports whether part of a header has arrived and net/http has not got all of it.
func (c *connection) isReadingHeader() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == phaseReadingHeader
}

// receive reads from the socket, as Read does.
func (c *connection) receive(buffer []byte) (int, error) {
	c.refreshDeadline()
	for {
		n, err := c.Conn.Read(buffer)
		if isDeadlineExceeded(err) {
			switch {
			case c.share.IsEvicted():
				if n, err = c.endEvicted(buffer); isEvictedError(err) {
					return 0, err
				}
			case c.hasOwnTimeout() && c.tryExtendDeadline():
				continue
			case c.hasOwnTimeout():
				n, err = c.finalRead(buffer)
			case len(buffer) > backgroundReadBytes:
				// Part of a body.
				n, err = c.readArrived(buffer)
			}
		}
		if n > 0 {
			c.keepPlace()
		}
		c.recordRead(n, len(buffer), err)
		if n > 0 && c.inBody(len(buffer)) {
			c.share.Arrived(n)
		}
		return n, err
	}
}

// isDeadlineExceeded reports whether a read ended at its deadline. TCP timeouts reported by the kernel also satisfy
// net.Error.Timeout, so the error is compared directly. It runs for each request and therefore avoids errors.Is.
func isDeadlineExceeded(err error) bool {
	if opErr, ok := err.(*net.OpError); ok {
		err = opErr.Err
	}
	return err == os.ErrDeadlineExceeded
}

// recordRead updates the state after a read of n bytes into a buffer of bufferSize bytes.
func (c *connection) recordRead(n, bufferSize int, err error) {
	c.server.traffic.Received.Add(int64(n))
	if n > 0 {
		c.bytesReceived(bufferSize)
	}
	switch {
	case err == nil || c.closed.Load():
	case !isDeadlineExceeded(err):
		c.disconnected(err)
	case c.abandonOnTimeout():
		// Without this, net/http would answer a partial request line with 400. Close fails only if the connection is
		// already closed.
		_ = c.Close()
	}
}

// backgroundReadBytes is the buffer size with which net/http reads in the background while a request is active, to
// detect that the peer closes the connection. Such a read returns the beginning of the next request; request bodies are
// read into larger buffers.
const backgroundReadBytes = 1

// readerBytes is the size of the buffer from which net/http parses requests. A read that waits for the first byte of a request offers all of it; one
// that offers less completes a request whose first bytes arrived together with the request before it.
const readerBytes = 4 << 10

// nextRequestBuffered updates the phase if net/http already has the first bytes of the next request, of which no read tells.
func (c *connection) nextRequestBuffered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseIdle {
		c.startPhase(phaseReadingHeader)
	}
}

// bytesReceived updates the phase after data arrived. The header timeout of the first request keeps running from the
// accept.
func (c *connection) bytesReceived(bufferSize int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if (c.phase == phaseNew || c.phase == phaseIdle) && c.timeout != noTimeout && time.Since(c.timeoutStart) > c.timeout {
		c.server.observer.RequestPastIdleTimeout()
	}
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

// disconnected records that the connection ended from outside, and ends the context of the active request. net/http ends it too, but names
// no cause.
func (c *connection) disconnected(err error) {
	c.failed.Store(true)
	if cancel := c.cancelRequest.Load(); cancel != nil {
		(*cancel)(&forward.DisconnectError{Cause: err})
	}
}

// SetReadDeadline implements net.Conn. An earlier deadline from the connection's own timeouts stays in effect. net/http sets a deadline between two
// requests only once it has the first bytes of the second.
func (c *connection) SetReadDeadline(deadline time.Time) error {
	if !deadline.IsZero() {
		c.nextRequestBuffered()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestedDeadline = deadline
	return c.applyDeadline(c.readDeadline())
}

// SetDeadline implements net.Conn.
func (c *connection) SetDeadline(deadline time.Time) error {
	return errors.CombineErrors(c.SetReadDeadline(deadline), c.SetWriteDeadline(deadline))
}

// CloseWrite closes the sending side, so that net/http can deliver a response before it closes a connection with unread
// data.
func (c *connection) CloseWrite() error {
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return halfCloser.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. Behind a response it first waits for the caller to receive it. If part of a request has arrived
// and its handler has not run, it tells the observer, because nothing else records such a request.
func (c *connection) Close() error {
	if !c.closed.Swap(true) {
		defer c.server.remove(c)
		defer c.share.Close()
		if elapsed, notStarted := c.requestProgress(); !notStarted && !c.inHandler.Load() && !c.responseStarted.Load() {
			c.server.observer.RequestNotHandled(c.closedBy(), c.RemoteAddr().String(), elapsed)
		}
		if c.mustLinger() {
			c.linger()
		}
	}
	return c.Conn.Close()
}

// requestProgress returns how long the current request has been arriving, and whether none of it has arrived.
func (c *connection) requestProgress() (elapsed time.Duration, notStarted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.timeoutStart), c.phase == phaseNew || c.phase == phaseIdle
}

// peerClosedWhilePipelined reports whether the peer closed the connection after it sent the first byte of the next
// request. After that byte net/http does not read until the active request is answered, so it does not detect the close.
func (c *connection) peerClosedWhilePipelined() bool {
	c.mu.Lock()
	pipelined := c.pipelined
	c.mu.Unlock()
	raw, ok := c.Conn.(syscall.Conn)
	return pipelined && ok && peerHasClosed(raw)
}

// closedBy returns who closed the connection. A connection that this side closed without setting
// closingSide was closed by Server.Close at the end of shutdown.
func (c *connection) closedBy() forward.Closer {
	closer := forward.Closer(c.closingSide.Load())
	switch {
	case closer != forward.CloserUnknown:
		return closer
	case c.failed.Load():
		return forward.CloserCaller
	case c.closed.Load():
		return forward.CloserShutdown
	default:
		return forward.CloserUnknown
	}
}

// onConnState is the ConnState hook of the server. net/http calls it from the goroutine that reads the connection, while
// no other goroutine reads.
func onConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*connection)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		// The write deadline of the last request must not apply to the next response, including those that net/http
		// sends itself. The call fails only if the connection is closed.
		_ = c.SetWriteDeadline(time.Time{})
		c.inHandler.Store(false)
		c.responseStarted.Store(false)
		c.header.next()
		c.share.Release()
		c.share.AwaitCaller()
		c.enterPhase(phaseIdle)
	case http.StateActive:
		c.headerSize = c.header.size
		c.lacksRoom = !c.header.isComplete && !c.holdResumedHeader()
		c.share.AwaitCaller()
		c.enterPhase(phaseActive)
	case http.StateHijacked:
		c.hijacked.Store(true)
		c.share.Serve()
	case http.StateNew, http.StateClosed:
	}
}

// enterPhase switches to a phase and updates the read deadline.
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
	// This fails only if the connection is closed, and then the next read fails too.
	_ = c.applyDeadline(c.readDeadline())
}

// startPhase switches to a phase that has its own timeout. mu must be held.
func (c *connection) startPhase(next phase) {
	c.phase, c.timeoutStart, c.timeout = next, time.Now(), c.server.timeoutFor(next)
	if next == phaseIdle && c.timeout != noTimeout {
		c.timeout = max(c.timeout, c.promisedIdle)
	}
}

// connKey is the context key of the connection.
type connKey struct{}

// connContext is the ConnContext hook of the server.
func connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// CloserOf returns who closed the connection of the request that ctx belongs to.
func CloserOf(ctx context.Context) forward.Closer {
	if conn, ok := ctx.Value(connKey{}).(*connection); ok {
		return conn.closedBy()
	}
	return forward.CloserUnknown
}

// HeaderSize returns the size of the header of the request that ctx belongs to, as it arrived, without what arrived together with the request before.
// Zero means that this is all of it.
func HeaderSize(ctx context.Context) int {
	if conn, ok := ctx.Value(connKey{}).(*connection); ok {
		return conn.headerSize
	}
	return 0
}

// Undelivered returns how many bytes the caller of the request that ctx belongs to has not acknowledged.
func Undelivered(ctx context.Context) int {
	if conn, ok := ctx.Value(connKey{}).(*connection); ok {
		return unacknowledgedBytes(conn.Conn)
	}
	return 0
}

// trackHandler returns a handler that marks the connection while a request is being handled, and announces how long it may be idle afterwards.
func trackHandler(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connKey{}).(*connection)
		if !ok {
			handler.ServeHTTP(w, r)
			return
		}
		conn.inHandler.Store(true)
		conn.announceIdleTimeout(w.Header(), r)
		isAborted := true
		defer func() {
			if isAborted && !r.ProtoAtLeast(1, 1) {
				conn.resetOnClose()
			}
		}()
		if conn.lacksRoom {
			respondOverload(w)
		} else {
			handler.ServeHTTP(w, r)
		}
		isAborted = false
	})
}

// resetOnClose makes Close reset the connection. The end of the connection would complete a response without a length, as HTTP/1.0 has them.
func (c *connection) resetOnClose() {
	c.resets.Store(true)
	if conn, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		// This fails only if the connection is closed.
		_ = conn.SetLinger(0)
	}
}
