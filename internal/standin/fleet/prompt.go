package fleet

import (
	"net/http"
)

// slowReading is by how much longer a worker reads between the tokens of others.
const decodePrefillSlowdown = 2

// readPrompt reads what the engine does not keep of a prompt, or takes it from another one, and tells whether the caller is
// still there.
func (w *Worker) prefillPrompt(request *http.Request, slowdown float64) bool {
	parts := parsePromptParts(request.Header.Get("Prompt-Prefix"))
	done := request.Context().Done()
	if source := w.fleet.worker(request.Header.Get("Kv-Fetch")); source != nil && source.model != nil {
		fetched := w.model.uncachedTokens(parts) - source.model.uncachedTokens(parts)
		if fetched > 0 && !w.model.transfer(fetched, done) {
			return false
		}
		if fetched > 0 && len(parts) > 1 {
			w.model.addToCache(parts[:len(parts)-1])
		}
	}
	if !w.model.prefill(w.model.uncachedTokens(parts), slowdown, done) {
		return false
	}
	w.model.addToCache(parts)
	return true
}

// takePrompt gets the memory of a prompt from the worker that has read it, or reads it.
func (w *Worker) obtainPrompt(request *http.Request) bool {
	if request.Header.Get("Kv-Source") == "" {
		return w.prefillPrompt(request, decodePrefillSlowdown)
	}
	parts := parsePromptParts(request.Header.Get("Prompt-Prefix"))
	if !w.model.transfer(w.model.uncachedTokens(parts), request.Context().Done()) {
		return false
	}
	w.model.addToCache(parts)
	return true
}
