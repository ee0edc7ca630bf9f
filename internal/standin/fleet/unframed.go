package fleet

import (
	"io"
	"maps"
	"net/http"
	"time"
)

// unframedPause is the time between the two halves of a plain response without a length.
const unframedPause = 100 * time.Millisecond

// SetUnframed sets whether responses have neither a length nor chunks, so that they end with their connection.
func (w *Worker) SetUnframed(unframed bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.unframed = unframed
}

// isUnframed reports whether responses end with their connection.
func (w *Worker) isUnframed() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.unframed
}

// setUnframed makes a response have neither a length nor chunks, so that it ends with its connection.
func setUnframed(writer http.ResponseWriter) { writer.Header().Set("Transfer-Encoding", "identity") }

// writeUnframed writes a plain response in two halves that ends with its connection.
func (w *Worker) writeUnframed(writer http.ResponseWriter, request *http.Request, id, answer string) {
	setUnframed(writer)
	half := len(answer) / 2
	_, _ = io.WriteString(writer, answer[:half])
	_ = http.NewResponseController(writer).Flush()
	if !waitFor(unframedPause, request.Context().Done()) {
		w.recordCut(id)
		return
	}
	_, _ = io.WriteString(writer, answer[half:])
}

// recordCut records that a response was cut which looks whole, if the worker has ended.
func (w *Worker) recordCut(id string) {
	w.mutex.Lock()
	ended := w.crashed
	w.mutex.Unlock()
	if !ended {
		return
	}
	w.fleet.mutex.Lock()
	defer w.fleet.mutex.Unlock()
	w.fleet.cuts[id]++
}

// Cuts returns how often the end of a worker cut each request's response so that it looked whole, by request ID.
func (f *Fleet) Cuts() map[string]int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return maps.Clone(f.cuts)
}
