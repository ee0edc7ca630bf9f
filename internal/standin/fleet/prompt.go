package fleet

import (
	"net/http"
)

// slowReading is by how much longer a worker reads between the tokens of others.
const slowReading = 2

// readPrompt reads what the engine does not keep of a prompt, or takes it from another one, and tells whether the caller is
// still there.
func (w *Worker) readPrompt(request *http.Request, slowdown float64) bool {
	parts := partsOf(request.Header.Get("Prompt-Prefix"))
	gone := request.Context().Done()
	if other := w.fleet.worker(request.Header.Get("Kv-Fetch")); other != nil && other.model != nil {
		fetched := w.model.missing(parts) - other.model.missing(parts)
		if fetched > 0 && !w.model.move(fetched, gone) {
			return false
		}
		if fetched > 0 && len(parts) > 1 {
			w.model.keep(parts[:len(parts)-1])
		}
	}
	if !w.model.read(w.model.missing(parts), slowdown, gone) {
		return false
	}
	w.model.keep(parts)
	return true
}

// takePrompt gets the memory of a prompt from the worker that has read it, or reads it.
func (w *Worker) takePrompt(request *http.Request) bool {
	if request.Header.Get("Kv-Source") == "" {
		return w.readPrompt(request, slowReading)
	}
	parts := partsOf(request.Header.Get("Prompt-Prefix"))
	if !w.model.move(w.model.missing(parts), request.Context().Done()) {
		return false
	}
	w.model.keep(parts)
	return true
}
