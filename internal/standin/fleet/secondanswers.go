package fleet

import (
	"context"
	"fmt"
	"net"
	"net/http"
)

// Refusals is how a worker refuses requests.
type Refusals int

// The ways to refuse a request. A second copy of a refusal follows late: in the place where the next response on the connection is due.
const (
	// RefusesOnce names the request in the refusal, and sends it once.
	RefusesOnce Refusals = iota
	// RefusesTwice sends a second copy of each other refusal.
	RefusesTwice
	// RefusesUnnamed does not name the request.
	RefusesUnnamed
	// RefusesUnnamedTwice does not name the request, and sends a second copy of each other refusal.
	RefusesUnnamedTwice
)

// String returns a short description.
func (r Refusals) String() string {
	return []string{"named refusals", "named refusals, some twice", "unnamed refusals", "unnamed refusals, some twice"}[r]
}

// isNamed reports whether refusals name the request, and isRepeated whether some are sent twice.
func (r Refusals) isNamed() bool    { return r == RefusesOnce || r == RefusesTwice }
func (r Refusals) isRepeated() bool { return r == RefusesTwice || r == RefusesUnnamedTwice }

// SetRefusals sets how the worker refuses requests.
func (w *Worker) SetRefusals(refusals Refusals) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.refusals = refusals
}

// clientConn is a connection to the worker. The server handles one request at a time on it, so that it needs no mutex.
type clientConn struct {
	net.Conn
	// late are bytes that are sent when the next request has arrived.
	late []byte
}

// clientConnKey is the key of a request's clientConn in its context.
type clientConnKey struct{}

// withClientConn is the ConnContext of a worker's server.
func withClientConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, &clientConn{Conn: conn})
}

// clientConnOf returns the connection of a request, or nil if the request was not served by the worker's own server.
func clientConnOf(request *http.Request) *clientConn {
	conn, _ := request.Context().Value(clientConnKey{}).(*clientConn)
	return conn
}

// sendLateBytes sends what is due before the response to a request that has just arrived.
func sendLateBytes(request *http.Request) {
	conn := clientConnOf(request)
	if conn == nil || len(conn.late) == 0 {
		return
	}
	_, _ = conn.Write(conn.late)
	conn.late = nil
}

// refuse answers that a request was not executed, in the worker's way.
func (w *Worker) refuse(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Request-Id")
	w.mutex.Lock()
	w.refusalCount++
	refusals, repeats := w.refusals, w.refusals.isRepeated() && w.refusalCount%2 == 0
	w.mutex.Unlock()
	w.fleet.recordRefusal(id)
	named := ""
	if refusals.isNamed() {
		named = "Request-Id: " + id + "\r\n"
	} else {
		writer.Header().Del("Request-Id")
	}
	if conn := clientConnOf(request); conn != nil && repeats {
		status := http.StatusServiceUnavailable
		conn.late = fmt.Appendf(conn.late, "HTTP/1.1 %d %s\r\n%sNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), named)
	}
	writer.Header().Set("Not-Executed", "1")
	writer.WriteHeader(http.StatusServiceUnavailable)
}

// recordRefusal counts a refusal of a request.
func (f *Fleet) recordRefusal(id string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.refusals[id]++
}

// Refusals returns how often workers have refused each request, by request ID.
func (f *Fleet) Refusals() map[string]int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	counts := make(map[string]int, len(f.refusals))
	for id, count := range f.refusals {
		counts[id] = count
	}
	return counts
}
