// Package callers serves HTTP connections, mainly those of callers: it enforces idle and header timeouts, closes connections at
// shutdown, and detects callers that disconnect.
//
// Invariants: a connection on which a request has started to arrive is not closed by the idle timeout or by the start of
// shutdown; a timeout or the start of shutdown closes a connection only from the goroutine that reads it, after a final read
// that found no data; the start of shutdown closes a listener only from the goroutine that accepts, after it has found the
// queue empty; and CloserOf returns which side closed a connection.
package callers

import (
	"context"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/drain"
	"github.com/granitebay/granitebay/internal/forward"
	"github.com/granitebay/granitebay/internal/intake"
	"github.com/granitebay/granitebay/internal/netdial"
)

// Observer receives events about connections.
type Observer interface {
	// IdleTimeout reports a connection closed by the idle timeout.
	IdleTimeout()
	// RequestNotHandled reports a connection that was closed after part of a request arrived and before its handler ran, with
	// the side that closed it and how long the request had been arriving.
	RequestNotHandled(closedBy forward.Closer, peer string, elapsed time.Duration)
	// Unread reports bytes that have arrived and that nobody reads.
	Unread(bytes UnreadBytes)
	// RequestPastIdleTimeout reports a request that came after the idle timeout of its connection, or on a new one after the header timeout, and
	// before the connection was closed.
	RequestPastIdleTimeout()
	// HeaderRefused reports a request that was refused with a status before its header was parsed, and its connection closed.
	HeaderRefused(refusal HeaderRefusal, status int, peer string)
	// Evicted reports a connection that has lost its place, and is closed unless its caller uses it before.
	Evicted(eviction Eviction)
	// RequestAfterClose reports that a caller has sent more, usually a request, after this side closed its sending side behind a response that was
	// on its way, with why it was closed and for how long it had been. Such a request gets no response.
	RequestAfterClose(closedBy forward.Closer, peer string, elapsed time.Duration)
}

// Traffic counts bytes received and sent, and open connections.
type Traffic struct{ Received, Sent, Open atomic.Int64 }

// Server serves connections, mainly those of callers. Unlike http.Server it lets timeouts change at run time, and
// neither a timeout nor shutdown closes a connection on which a request has arrived.
type Server struct {
	server   *http.Server
	traffic  *Traffic
	observer Observer

	// idleTimeout limits the time between two requests; headerTimeout the time to a complete header, from the accept or, for
	// later requests, from their first byte. Both are in nanoseconds.
	idleTimeout, headerTimeout atomic.Int64
	// maxHeaderBytes limits the size of a header as it arrives, with the request line.
	maxHeaderBytes atomic.Int64
	// intake bounds what the connections hold; nil if nothing does.
	intake *intake.Listener
	// headerTooLarge is set by SetHeaderTooLarge; nil without.
	headerTooLarge func() (status int, retryAfter time.Duration)
	// announced is the Keep-Alive header for the last idle timeout that was announced.
	announced atomic.Pointer[keepAlive]
	// shutdownStart is when shutdown began; nil before that.
	shutdownStart atomic.Pointer[time.Time]
	// closing is set once all connections are closed, whatever they do.
	closing atomic.Bool
	// cancelRequests ends the contexts of all requests.
	cancelRequests context.CancelCauseFunc
	// hasLongPolls is set if contexts end as shutdown begins, so that long polls return, and not at its end.
	hasLongPolls bool

	mu       sync.Mutex
	listener netdial.Listener
	conns    map[*connection]struct{}
	// acceptLoops counts running accept loops. Such a loop may hold an accepted connection that is not in conns yet.
	acceptLoops int
	// drained is closed once shutdown has begun, no connections are left and no more can be accepted; nil before
	// shutdown.
	drained chan struct{}
}

// NewServer returns a server for callers. Call Serve to start it.
func NewServer(handler http.Handler, traffic *Traffic, observer Observer, logger *logrus.Entry) *Server {
	return wrapServer(newHTTPServer(handler, logger), traffic, observer, defaultIdleTimeout)
}

// defaultIdleTimeout applies until a configuration is loaded.
const defaultIdleTimeout = 15 * time.Second

// defaultHeaderTimeout limits the time to a complete header until SetTimeouts changes it.
const defaultHeaderTimeout = 10 * time.Second

// wrapServer returns a Server that adds its own timeouts to those of an http.Server.
func wrapServer(server *http.Server, traffic *Traffic, observer Observer, idleTimeout time.Duration) *Server {
	s := &Server{server: server, traffic: traffic, observer: observer, conns: map[*connection]struct{}{}}
	ctx, cancel := context.WithCancelCause(context.Background())
	server.BaseContext = func(net.Listener) context.Context { return ctx }
	s.cancelRequests = cancel
	server.Handler = trackHandler(server.Handler)
	server.ConnState, server.ConnContext = onConnState, connContext
	s.idleTimeout.Store(int64(idleTimeout))
	s.headerTimeout.Store(int64(defaultHeaderTimeout))
	s.SetMaxHeaderBytes(defaultMaxHeaderBytes)
	return s
}

// newHTTPServer returns an http.Server with the default header timeout and the error log.
func newHTTPServer(handler http.Handler, logger *logrus.Entry) *http.Server {
	return &http.Server{
		Handler: handler, MaxHeaderBytes: maxParsedBytes, ReadHeaderTimeout: defaultHeaderTimeout,
		ErrorLog: log.New(errorLogWriter{logger}, "", 0),
	}
}

// NewInternalServer returns a server for other gateways, operators and endpoint discovery. Its connections have no idle
// timeout and are not counted as caller traffic. At shutdown the contexts of its requests are cancelled, so that long
// polls are answered.
func NewInternalServer(handler http.Handler, observer Observer, logger *logrus.Entry) *Server {
	internal := wrapServer(newHTTPServer(handler, logger), &Traffic{}, observer, noTimeout)
	internal.hasLongPolls = true
	internal.SetMaxHeaderBytes(maxInternalHeaderBytes)
	return internal
}

// errorLogWriter forwards the error log of net/http, which includes panics of handlers, to the logger.
type errorLogWriter struct{ logger *logrus.Entry }

// Write implements io.Writer.
func (e errorLogWriter) Write(line []byte) (int, error) {
	e.logger.Error(strings.TrimSpace(string(line)))
	return len(line), nil
}

// SetIntake bounds what the connections of the server hold. It must be called before Serve.
func (s *Server) SetIntake(bounds *intake.Listener) { s.intake = bounds }

// noTimeout disables a timeout.
const noTimeout = 0

// SetTimeouts changes the idle timeout and the header timeout. The header timeout runs from the accept for the first
// request of a connection, and from the first byte for later ones. A zero value leaves a timeout unchanged. An increase
// applies to all connections, a decrease only to header timeouts that start afterwards, and to the idle timeouts behind requests whose handlers begin
// afterwards.
func (s *Server) SetTimeouts(idleTimeout, headerTimeout time.Duration) {
	if idleTimeout > 0 {
		s.idleTimeout.Store(int64(idleTimeout))
	}
	if headerTimeout > 0 {
		s.headerTimeout.Store(int64(headerTimeout))
	}
}

// timeoutFor returns the timeout of a phase.
func (s *Server) timeoutFor(p phase) time.Duration {
	if p == phaseIdle {
		return time.Duration(s.idleTimeout.Load())
	}
	return time.Duration(s.headerTimeout.Load())
}

// Serve serves the connections of a listener until shutdown has emptied its queue.
func (s *Server) Serve(listener netdial.Listener) error {
	s.mu.Lock()
	s.listener = listener
	s.acceptLoops++
	s.mu.Unlock()
	defer s.acceptLoopDone()
	if s.shutdownStart.Load() != nil {
		drainQueue(listener)
	}
	return s.server.Serve(&trackingListener{listener, s})
}

// acceptLoopDone records that an accept loop has ended.
func (s *Server) acceptLoopDone() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acceptLoops--
	s.signalIfDrained()
}

// NewConnGrace is how long a new connection without data stays open during shutdown, because its first request may be in
// transit. Shutdown does not wait for any other idle connection.
const NewConnGrace = 300 * time.Millisecond

// abortGrace is how long requests that are unfinished at the deadline of shutdown have to be answered.
const abortGrace = 200 * time.Millisecond

// Shutdown accepts the connections in the queues of the listeners, closes the listeners and idle connections of the servers, and waits until a
// deadline for connections on which a request has started to arrive. It waits at least NewConnGrace. At the deadline it ends the contexts of the requests
// with drain.ErrGraceOver, and waits for at most abortGrace longer. Apart from timeouts, no connection may be closed
// from this side before the call, because a request may be in transit on any of them.
func Shutdown(deadline time.Time, servers ...*Server) {
	if earliest := time.Now().Add(NewConnGrace); deadline.Before(earliest) {
		deadline = earliest
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	var group sync.WaitGroup
	for _, server := range servers {
		group.Go(func() { server.shutdown(ctx) })
	}
	group.Wait()
}

// shutdown lets the accept loop close the listener, closes idle connections, and waits for those on which a request has started to arrive. New
// connections have NewConnGrace to send their first request. Each connection is closed by the goroutine that reads it;
// http.Server.Shutdown could close one whose request was just read.
func (s *Server) shutdown(ctx context.Context) {
	now := time.Now()
	s.shutdownStart.Store(&now)
	if s.hasLongPolls {
		s.cancelRequests(drain.ErrGraceOver)
	}
	for _, conn := range s.stopAccepting() {
		conn.refreshDeadline()
	}
	select {
	case <-s.drained:
		return
	case <-ctx.Done():
	}
	s.cancelRequests(drain.ErrGraceOver)
	timer := time.NewTimer(abortGrace)
	defer timer.Stop()
	select {
	case <-s.drained:
	case <-timer.C:
	}
}

// stopAccepting makes the accept loop empty the queue of the listener and close it, and returns the open connections.
func (s *Server) stopAccepting() []*connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		drainQueue(s.listener)
	}
	s.drained = make(chan struct{})
	conns := s.openConns()
	s.signalIfDrained()
	return conns
}

// openConns returns the open connections. mu must be held.
func (s *Server) openConns() []*connection {
	conns := make([]*connection, 0, len(s.conns))
	for conn := range s.conns {
		conns = append(conns, conn)
	}
	return conns
}

// signalIfDrained closes s.drained if no connections are left and no more can be accepted. mu must be held.
func (s *Server) signalIfDrained() {
	if s.drained == nil || len(s.conns) > 0 || s.acceptLoops > 0 {
		return
	}
	select {
	case <-s.drained:
	default:
		close(s.drained)
	}
}

// Close closes the listener and all connections immediately.
func (s *Server) Close() {
	s.closing.Store(true)
	_ = s.server.Close()
}

// add registers a connection.
func (s *Server) add(conn *connection) {
	s.traffic.Open.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn] = struct{}{}
}

// remove unregisters a connection.
func (s *Server) remove(conn *connection) {
	s.traffic.Open.Add(-1)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
	s.signalIfDrained()
}
