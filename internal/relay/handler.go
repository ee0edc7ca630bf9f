package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/netdial"
)

// Handler relays connections for other gateways.
type Handler struct {
	dialer *Dialer
	// active counts the connections that are being relayed.
	active atomic.Int64
}

// NewHandler returns a handler that connects directly with a dialer.
func NewHandler(dialer *Dialer) *Handler { return &Handler{dialer: dialer} }

// Active returns the number of connections that are being relayed.
func (h *Handler) Active() int64 { return h.active.Load() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !h.dialer.Enabled() || r.Header.Get("Upgrade") != protocolName {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	address, known := h.dialer.source().WorkerAddress(r.Header.Get(headerWorker))
	if !known {
		h.reject(w, OutcomeUnknown, resultUnknown, http.StatusNotFound)
		return
	}
	worker, err := h.dialer.dialForPeer(r.Context(), address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		h.reject(w, OutcomeRefused, resultRefused, http.StatusBadGateway)
	case errors.Is(err, errSilentAtPeer):
		h.reject(w, OutcomeSilent, resultSilent, http.StatusGatewayTimeout)
	case err != nil:
		h.reject(w, OutcomeUnreachable, resultUnreachable, http.StatusGatewayTimeout)
	case h.active.Load() >= int64(h.dialer.settings.MaxRelayed):
		_ = worker.Close()
		h.reject(w, OutcomeNoRoom, resultNoRoom, http.StatusServiceUnavailable)
	default:
		h.dialer.observe(Event{Served: true, Outcome: OutcomeConnected})
		h.relay(w, worker)
	}
}

// reject answers that the connection is not relayed.
func (h *Handler) reject(w http.ResponseWriter, outcome Outcome, result string, status int) {
	h.dialer.observe(Event{Served: true, Outcome: outcome})
	w.Header().Set(headerResult, result)
	w.WriteHeader(status)
}

// relay forwards bytes between the requester and a worker until one of them closes its connection.
func (h *Handler) relay(w http.ResponseWriter, worker net.Conn) {
	h.active.Add(1)
	defer h.active.Add(-1)
	defer worker.Close()
	requester, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	defer requester.Close()
	response := "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + protocolName + "\r\n\r\n"
	if _, err := io.WriteString(requester, response); err != nil {
		return
	}
	requests := &requestWriter{worker: worker}
	var toWorker sync.WaitGroup
	toWorker.Go(func() {
		forwardRequests(requests, buffered.Reader)
		// The requester closes its connection when it gives the request up, so the worker must learn of it.
		_ = worker.Close()
		_ = requester.Close()
	})
	forwardChunks(requester, worker, requests)
	// This ends a write to a worker that no longer reads.
	_ = worker.Close()
	// Without the end mark, the requester takes the response for broken off.
	closeSendingHalf(requester)
	toWorker.Wait()
}

// forwardRequests forwards the bytes of a requester until it closes its connection. If the worker accepts no more of them, it may have responded
// nevertheless, so the rest is read and dropped.
func forwardRequests(worker io.Writer, requester io.Reader) {
	buffer := make([]byte, bufferSize)
	_, _ = io.CopyBuffer(onlyWriter{worker}, onlyReader{requester}, buffer)
	_, _ = io.CopyBuffer(onlyWriter{io.Discard}, onlyReader{requester}, buffer)
}

// requestWriter writes requests to a worker. It is safe for concurrent use.
type requestWriter struct {
	worker net.Conn

	// mu is held during a write, and err is the error of the first one that failed.
	mu  sync.Mutex
	err error
}

// Write implements io.Writer.
func (w *requestWriter) Write(content []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil {
		return 0, w.err
	}
	n, err := w.worker.Write(content)
	w.err = err
	return n, err
}

// tookEnd reports whether a write took the error by which the connection to the worker ended, so that it seems closed to its reader. It ends the
// writes.
func (w *requestWriter) tookEnd() bool {
	_ = w.worker.SetWriteDeadline(time.Now())
	w.mu.Lock()
	defer w.mu.Unlock()
	return netdial.TookEnd(w.err)
}

// closeTimeout is how long a requester may take to close a connection whose worker has closed its own.
const closeTimeout = 500 * time.Millisecond

// closeSendingHalf ends the response, and the reading of the requests after closeTimeout. The kernel resets a connection that is closed while
// it has unread data, and the end of the response would be lost with it.
func closeSendingHalf(requester net.Conn) {
	// Both fail only if the connection has been closed, which ends the reading, too.
	_ = requester.SetReadDeadline(time.Now().Add(closeTimeout))
	if half, ok := requester.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
		return
	}
	_ = requester.Close()
}

// bufferSize is the size of the buffer of each direction. Headers and events are small.
const bufferSize = 4 << 10

// forwardChunks forwards the bytes of a worker in chunks, and an end mark if the worker closed its connection, to which the requests are written.
func forwardChunks(requester io.Writer, worker io.Reader, requests *requestWriter) {
	output := bufio.NewWriterSize(requester, bufferSize+chunkOverhead)
	chunks := httputil.NewChunkedWriter(output)
	buffer := make([]byte, bufferSize)
	for {
		n, err := worker.Read(buffer)
		if n > 0 {
			if _, err := chunks.Write(buffer[:n]); err != nil {
				return
			}
			if output.Flush() != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) && !requests.tookEnd() {
			_ = chunks.Close()
			_, _ = io.WriteString(output, "\r\n")
			_ = output.Flush()
		}
		if err != nil {
			return
		}
	}
}

// chunkOverhead bounds the size of the header and the end of a chunk.
const chunkOverhead = 16

// onlyWriter and onlyReader hide the other methods of a connection, so that io.CopyBuffer uses its buffer.
type (
	onlyWriter struct{ io.Writer }
	onlyReader struct{ io.Reader }
)

// dialForPeer connects to a worker directly, on behalf of another gateway. The error says that the worker refuses connections or does not
// answer only while this gateway reaches another worker of the group: one that is cut off itself can't tell.
func (d *Dialer) dialForPeer(ctx context.Context, address string) (net.Conn, error) {
	if d.IsLost(address) {
		return nil, errUnreachableAtPeer
	}
	timeout := peerDialFactor * d.settings.hedgeDelay(false)
	conn, err := net.Conn(nil), errSilentAtPeer
	if !d.hungRecently(address) {
		conn, err = d.dialDirect(ctx, address, timeout)
	}
	switch {
	case err == nil:
		return conn, nil
	case !d.reachesAny(ctx, d.source().Siblings(address, maxControls), timeout):
		return nil, errUnreachableAtPeer
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, err
	default:
		return nil, errSilentAtPeer
	}
}

const (
	// peerDialFactor multiplies the hedge delay to get the time that a relaying gateway may take to connect to a worker.
	peerDialFactor = 2
	// maxControls is the number of other workers that are tried to tell whether this gateway is cut off.
	maxControls = 3
)

// reachesAny reports whether this gateway connects to one of some workers. The first is tried alone, as it mostly answers.
func (d *Dialer) reachesAny(ctx context.Context, addresses []string, timeout time.Duration) bool {
	if len(addresses) == 0 {
		return false
	}
	if d.reaches(ctx, addresses[0], timeout) {
		return true
	}
	reached := make(chan bool, len(addresses))
	for _, address := range addresses[1:] {
		go func() { reached <- d.reaches(ctx, address, timeout) }()
	}
	for range addresses[1:] {
		if <-reached {
			return true
		}
	}
	return false
}

// reaches reports whether this gateway connects to a worker directly. The connection is kept for later use.
func (d *Dialer) reaches(ctx context.Context, address string, timeout time.Duration) bool {
	conn, err := d.dialDirect(ctx, address, timeout)
	if err == nil {
		d.keepConn(conn, address)
	}
	return err == nil
}

// hungRecently reports whether an attempt of this gateway at an address got no answer a moment ago.
func (d *Dialer) hungRecently(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	hungAt, hung := d.hungAt[address]
	return hung && time.Since(hungAt) < d.settings.checkInterval()
}
