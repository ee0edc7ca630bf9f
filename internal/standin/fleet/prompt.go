package fleet

import (
	"net/http"
)

// decodePrefillSlowdown is the factor by which prefill is slower when it is interleaved with decoding.
const decodePrefillSlowdown = 2

// prefillPrompt processes the uncached part of a prompt, after transferring what another engine has cached. It reports whether
// the client is still connected.
func (w *Worker) prefillPrompt(request *http.Request, slowdown float64) bool {
	segments := parsePromptSegments(request.Header.Get("Prompt-Prefix"))
	done := request.Context().Done()
	if source := w.fleet.worker(request.Header.Get("Kv-Fetch")); source != nil && source.model != nil {
		fetched := w.model.uncachedTokens(segments) - source.model.uncachedTokens(segments)
		if fetched > 0 && !w.model.transfer(fetched, done) {
			return false
		}
		if fetched > 0 && len(segments) > 1 {
			w.model.addToCache(segments[:len(segments)-1])
		}
	}
	if !w.model.prefill(w.model.uncachedTokens(segments), slowdown, done) {
		return false
	}
	w.model.addToCache(segments)
	return true
}

// obtainPrompt transfers the prompt's KV cache from the prefill worker if there is one, and otherwise processes the prompt.
func (w *Worker) obtainPrompt(request *http.Request) bool {
	if request.Header.Get("Kv-Source") == "" {
		return w.prefillPrompt(request, decodePrefillSlowdown)
	}
	segments := parsePromptSegments(request.Header.Get("Prompt-Prefix"))
	if !w.model.transfer(w.model.uncachedTokens(segments), request.Context().Done()) {
		return false
	}
	w.model.addToCache(segments)
	return true
}
