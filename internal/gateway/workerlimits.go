package gateway

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
)

// workerLimits holds which workers name limits in their answers, and tells operators of it. It is safe for concurrent use.
type workerLimits struct {
	gateway *Gateway

	mu sync.Mutex
	// known are the limits in force, by the ids of the workers' incarnations.
	known map[string]*namedLimit
	// count of them, for answers of which nearly all name none while none is known.
	inForce atomic.Int64
}

// namedLimit is the limit that a worker names.
type namedLimit struct {
	perSecond float64
	// since is when it was heard first, and heard when last.
	since, heard time.Time
	// tries were sent to the worker meanwhile.
	tries int
}

// newWorkerLimits knows of no limit.
func newWorkerLimits(g *Gateway) *workerLimits {
	return &workerLimits{gateway: g, known: map[string]*namedLimit{}}
}

// hear takes what a worker says of its limit in an answer.
func (l *workerLimits) hear(worker *backend.Worker, notice backend.Notice) {
	if notice.Limit == 0 && l.inForce.Load() == 0 {
		return
	}
	if notice.Limit > 0 {
		l.gateway.metrics.noticeHeard(worker.Group, noticeLimit)
	}
	begins, over := l.note(time.Now(), worker.ID, notice)
	if begins {
		l.gateway.notices.tell(worker, noticeLimit, "The worker takes only so many requests a second, of all gateways together.",
			map[string]string{"per_second": fmt.Sprint(notice.Limit), "source": sourceAnswer})
	}
	if over != nil {
		l.gateway.notices.tell(worker, noticeLimit+" over", "The worker names no limit any more.",
			map[string]string{"tries": fmt.Sprint(over.tries), "for_ms": fmt.Sprint(time.Since(over.since).Milliseconds())})
	}
}

// note keeps what a worker said, and returns whether a limit begins or the one that is over. A limit is over once the answer to a request
// names none that was sent after the limit was heard last: answers overtake one another.
func (l *workerLimits) note(now time.Time, id string, notice backend.Notice) (begins bool, over *namedLimit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.known[id]
	switch {
	case notice.Limit > 0 && known == nil:
		l.known[id] = &namedLimit{perSecond: notice.Limit, since: now, heard: now}
		begins = true
	case notice.Limit > 0:
		known.perSecond, known.heard = notice.Limit, now
	case known != nil && notice.Asked.After(known.heard):
		delete(l.known, id)
		over = known
	}
	l.inForce.Store(int64(len(l.known)))
	return begins, over
}

// count counts a try that was sent to a worker at a moment, and tells whether a limit was in force there.
func (l *workerLimits) count(id string, at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.known[id]
	if known == nil || at.Before(known.since) {
		return false
	}
	known.tries++
	return true
}
