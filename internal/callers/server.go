// Package callers serves the connections of callers: it bounds their rest and the coming of heads, ends them at a stop, and sees callers
// leave.
//
// Invariants: no connection on which a request has begun to come is closed for the bounds of its rest or because the process stops; a
// connection ends only by the goroutine that reads it, after a last look that found no byte; and who of both sides ended it is known.
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

	"github.com/granitebay/granitebay/internal/forward"
)

// Observer is told what becomes of connections.
type Observer interface {
	// RestedOut tells that the bound on rest ended a connection.
	RestedOut()
	// HeadUnanswered tells that a connection ended before the head of a request was there, or was handed on, by whom, and for how long the
	// request had been coming.
	HeadUnanswered(closedBy forward.Closer, peer string, elapsed time.Duration)
}

// Traffic is what connections have used: bytes received and sent, and how many are open.
type Traffic struct{ Received, Sent, Open atomic.Int64 }

// Server serves connections, of callers above all. Unlike those of http.Server its bounds may change while it runs, and neither they
// nor a stop closes a connection on which a request has come.
type Server struct {
	server   *http.Server
	traffic  *Traffic
	observer Observer

	// between bounds the rest between two requests, and first the time until a head is there, in nanoseconds.
	idleTimeout, headerTimeout atomic.Int64
	// stopping is since when connections rest no more; nil before.
	shutdownStart atomic.Pointer[time.Time]
	// endWaits ends the contexts of requests that may wait for news at a stop; nil where none do.
	cancelLongPolls context.CancelFunc

	mu       sync.Mutex
	listener net.Listener
	conns    map[*connection]struct{}
	// accepting is how many loops accept connections. One that is about to begin a connection has not added it yet.
	acceptLoops int
	// ended is closed once there are no connections any more, and none can come, after stopping; nil before.
	drained chan struct{}
}

// NewServer returns a server of callers that does not serve yet.
func NewServer(handler http.Handler, traffic *Traffic, observer Observer, logger *logrus.Entry) *Server {
	return wrapServer(newHTTPServer(handler, logger), traffic, observer, defaultIdleTimeout)
}

// defaultIdleTimeout bounds resting connections before a configuration is known.
const defaultIdleTimeout = 15 * time.Second

// Limits that no configuration changes.
const (
	maxHeaderBytes    = 64 << 10
	readHeaderTimeout = 10 * time.Second
)

// serverOf returns a server that has bounds of its own beside those of net/http.
func wrapServer(server *http.Server, traffic *Traffic, observer Observer, idleTimeout time.Duration) *Server {
	s := &Server{server: server, traffic: traffic, observer: observer, conns: map[*connection]struct{}{}}
	server.Handler = trackHandler(server.Handler)
	server.ConnState, server.ConnContext = onConnState, connContext
	s.idleTimeout.Store(int64(idleTimeout))
	s.headerTimeout.Store(int64(readHeaderTimeout))
	return s
}

// newHTTPServer returns a server with the limits that no configuration changes.
func newHTTPServer(handler http.Handler, logger *logrus.Entry) *http.Server {
	return &http.Server{
		Handler: handler, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: readHeaderTimeout,
		ErrorLog: log.New(errorLogWriter{logger}, "", 0),
	}
}

// NewSideServer returns a server for other gateways, operators and those who ask where to connect. Their connections may rest for as long
// as they like, and use nothing of what callers do. Questions that wait for news are answered when the gateway stops: their contexts end.
func NewSideServer(handler http.Handler, observer Observer, logger *logrus.Entry) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	server := newHTTPServer(handler, logger)
	server.BaseContext = func(net.Listener) context.Context { return ctx }
	side := wrapServer(server, &Traffic{}, observer, noTimeout)
	side.cancelLongPolls = cancel
	return side
}

// errorLines takes the lines that servers of net/http write, of panics among others, into the log.
type errorLogWriter struct{ logger *logrus.Entry }

// Write is part of io.Writer.
func (e errorLogWriter) Write(line []byte) (int, error) {
	e.logger.Error(strings.TrimSpace(string(line)))
	return len(line), nil
}

// unbounded is the bound of what may last.
const noTimeout = 0

// SetTimeouts changes the bounds of the rest between two requests and of the time until the head of one is there: from the opening for
// the first of a connection, and from their first bytes for others. Bounds of zero stay as they were. A raised bound holds for all
// connections, a lowered one for those that it begins to bound from now on.
func (s *Server) SetTimeouts(idleTimeout, headerTimeout time.Duration) {
	if idleTimeout > 0 {
		s.idleTimeout.Store(int64(idleTimeout))
	}
	if headerTimeout > 0 {
		s.headerTimeout.Store(int64(headerTimeout))
	}
}

// boundOf returns the bound of a phase.
func (s *Server) timeoutFor(of phase) time.Duration {
	if of == phaseIdle {
		return time.Duration(s.idleTimeout.Load())
	}
	return time.Duration(s.headerTimeout.Load())
}

// Serve serves the connections of a listener until that is closed.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.listener = listener
	s.acceptLoops++
	s.mu.Unlock()
	defer s.acceptLoopDone()
	if s.shutdownStart.Load() != nil {
		_ = listener.Close()
	}
	return s.server.Serve(&trackingListener{listener, s})
}

// acceptedLast notes that a loop that accepted connections has ended.
func (s *Server) acceptLoopDone() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acceptLoops--
	s.signalIfDrained()
}

// silenceWhileStopping is how long a new connection on which nothing has come may stay open after a stop began to close connections: its
// first request may be on its way. Nothing else in a stop waits for silent callers.
const newConnGrace = 300 * time.Millisecond

// ShutDown closes the listeners of servers and the connections that rest, and waits until a time for those on which a request or a head has
// begun to come; when that has passed, for as long as for new connections. Before this moment no connection is closed from this side: a
// request may be on its way on any of them.
func ShutDown(deadline time.Time, servers ...*Server) {
	if earliest := time.Now().Add(newConnGrace); deadline.Before(earliest) {
		deadline = earliest
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	var group sync.WaitGroup
	for _, server := range servers {
		group.Go(func() { server.shutDown(ctx) })
	}
	group.Wait()
}

// shutDown closes the listener and the connections that rest, and waits for those on which a request has begun to come. Those that were
// just opened have a moment for their first request. Each is closed by the goroutine that reads it; http.Server.Shutdown would close those
// whose request was just read.
func (s *Server) shutDown(ctx context.Context) {
	now := time.Now()
	s.shutdownStart.Store(&now)
	if s.cancelLongPolls != nil {
		s.cancelLongPolls()
	}
	for _, conn := range s.stopAccepting() {
		conn.refreshDeadline()
	}
	select {
	case <-s.drained:
	case <-ctx.Done():
	}
}

// stopAccepting closes the listener and returns the connections that there are.
func (s *Server) stopAccepting() []*connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close()
	}
	s.drained = make(chan struct{})
	conns := make([]*connection, 0, len(s.conns))
	for conn := range s.conns {
		conns = append(conns, conn)
	}
	s.signalIfDrained()
	return conns
}

// endIfNone notes the end of a stop when there are no connections and none can come. The mutex is held.
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

// Close closes everything at once.
func (s *Server) Close() { _ = s.server.Close() }

// add takes a connection in.
func (s *Server) add(conn *connection) {
	s.traffic.Open.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn] = struct{}{}
}

// remove forgets a connection.
func (s *Server) remove(conn *connection) {
	s.traffic.Open.Add(-1)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
	s.signalIfDrained()
}

// acceptor accepts connections of callers.
type trackingListener struct {
	net.Listener
	server *Server
}

// Accept is part of net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := newConnection(accepted, l.server)
	l.server.add(conn)
	return conn, nil
}
