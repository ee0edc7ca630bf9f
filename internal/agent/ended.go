package agent

import (
	"time"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
)

// endedRequest is what is remembered of a request after its end: enough to answer late messages and callers that
// repeat their key, and to tell the truth about attempts made before.
type endedRequest struct {
	id       string
	key      string
	work     *granitebayv1.Work
	answered bool
	tokens   []string
	started  bool
	attempts []attempt
	run      *granitebayv1.RunReference
	until    time.Time
}

// endedRequests remembers the latest ended requests for a while.
type endedRequests struct {
	keep  time.Duration
	count int
	byID  map[string]*endedRequest
	byKey map[string]*endedRequest
	// order of their ends, oldest first.
	order []*endedRequest
}

func newEndedRequests(settings Settings) endedRequests {
	return endedRequests{
		keep:  settings.KeepEnded,
		count: settings.KeepEndedCount,
		byID:  make(map[string]*endedRequest),
		byKey: make(map[string]*endedRequest),
	}
}

func (e *endedRequests) add(now time.Time, entry *endedRequest) {
	entry.until = now.Add(e.keep)
	e.byID[entry.id] = entry
	if entry.key != "" {
		e.byKey[entry.key] = entry
	}
	e.order = append(e.order, entry)
	e.expire(now)
}

// expire forgets what is too old or too much.
func (e *endedRequests) expire(now time.Time) {
	for len(e.order) > e.count || (len(e.order) > 0 && now.After(e.order[0].until)) {
		oldest := e.order[0]
		e.order[0] = nil
		e.order = e.order[1:]
		if e.byID[oldest.id] == oldest {
			delete(e.byID, oldest.id)
		}
		if e.byKey[oldest.key] == oldest {
			delete(e.byKey, oldest.key)
		}
	}
}

// forget drops an entry whose request lives again. Its place in the order expires later.
func (e *endedRequests) forget(entry *endedRequest) {
	delete(e.byID, entry.id)
	if e.byKey[entry.key] == entry {
		delete(e.byKey, entry.key)
	}
}
