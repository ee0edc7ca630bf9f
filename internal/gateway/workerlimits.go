package gateway

import (
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/peersync"
)

// workerLimitTracker tracks the rate limits that workers state in their responses and passes them on to the other
// gateways and operators. A limit is divided among a few gateways; the others send the worker nothing and learn of its
// limit only from updates. It is safe for concurrent use.
type workerLimitTracker struct {
	gateway *Gateway

	mu sync.Mutex
	// active holds the limits in force, by worker incarnation ID, and ended those that ended recently, so that late
	// reports do not reinstate them.
	active, ended map[string]*workerLimit
	// notify signals that there is something to send; nil until set.
	notify func(urgent bool)
	// activeCount is len(active). It lets responses without a limit skip the mutex while no limit is in force.
	activeCount atomic.Int64
}

// workerLimit is the rate limit of a worker.
type workerLimit struct {
	perSecond float64
	// since is when the limit came into force, and statedAt when its current value was stated.
	since, statedAt time.Time
	// attempts counts the requests sent to the worker while the limit was in force.
	attempts int
	// isLocal is set if a response to this gateway stated or ended the limit. A limit that only other gateways reported is
	// not sent.
	isLocal bool
	// remainingSends is the number of full updates that still include the limit. A response that states it sets it to 1.
	remainingSends int
	// urgent is set until the next update, full or not, has included the limit.
	urgent bool
}

// endedLimitSends is how many times the end of a limit is sent, once a second. A gateway without a share of the limit
// that misses its end does not use the worker until the worker restarts, so the end is sent for longer than partitions
// between gateways usually last.
const endedLimitSends = 30

// newWorkerLimitTracker returns a tracker without limits.
func newWorkerLimitTracker(g *Gateway) *workerLimitTracker {
	return &workerLimitTracker{gateway: g, active: map[string]*workerLimit{}, ended: map[string]*workerLimit{}}
}

// setNotify sets the function that signals pending announcements. It must not block.
func (t *workerLimitTracker) setNotify(notify func(urgent bool)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notify = notify
}

// handle processes the limit, or its absence, in a worker's response.
func (t *workerLimitTracker) handle(worker *backend.Worker, notice backend.Notice) {
	if notice.Limit == 0 && t.activeCount.Load() == 0 {
		return
	}
	now := time.Now()
	if notice.Limit == 0 {
		t.endLimit(worker.ID, now.Sub(notice.RequestedAt), sourceAnswer)
		return
	}
	t.gateway.metrics.countNotice(worker.Group, noticeLimit)
	t.applyLimit(worker.ID, notice.Limit, 0, sourceAnswer)
}

// handlePeer processes limits reported by another gateway.
func (t *workerLimitTracker) handlePeer(limits []peersync.Limit) {
	for _, limit := range limits {
		age := time.Duration(max(limit.AgeMs, 0)) * time.Millisecond
		switch {
		case limit.PerSecond == 0:
			t.endLimit(limit.Worker, age, sourcePeer)
		case limit.PerSecond > 0 && !math.IsInf(limit.PerSecond, 0):
			t.applyLimit(limit.Worker, limit.PerSecond, age, sourcePeer)
		}
	}
}

// applyLimit handles a limit that was stated the given time ago.
func (t *workerLimitTracker) applyLimit(id string, perSecond float64, ago time.Duration, source string) {
	if t.recordLimit(id, perSecond, ago, source) {
		t.report(id, noticeLimit, "The worker stated a limit on the requests per second of all gateways together.",
			map[string]string{"per_second": fmt.Sprint(perSecond), "source": source})
	}
}

// recordLimit stores a limit and reports whether it is new. Reports older than a known end of the limit are ignored.
func (t *workerLimitTracker) recordLimit(id string, perSecond float64, ago time.Duration, source string) bool {
	statedAt := time.Now().Add(-ago)
	t.mu.Lock()
	defer t.mu.Unlock()
	if ended := t.ended[id]; ended != nil && statedAt.Before(ended.statedAt) {
		return false
	}
	delete(t.ended, id)
	isNew := t.gateway.dispatcher.SetLimit(id, perSecond, ago)
	limit, found := t.active[id]
	if !found {
		limit = &workerLimit{since: statedAt}
		t.active[id] = limit
		t.activeCount.Store(int64(len(t.active)))
	}
	if statedAt.Before(limit.statedAt) {
		return isNew
	}
	limit.perSecond, limit.statedAt = perSecond, statedAt
	if source == sourceAnswer {
		limit.isLocal, limit.remainingSends = true, 1
		t.announceNow(limit, isNew)
	}
	return isNew
}

// endLimit handles a response without a limit to a request that was sent the given time ago.
func (t *workerLimitTracker) endLimit(id string, ago time.Duration, source string) {
	if limit, found := t.recordLimitEnd(id, ago, source); found {
		t.report(id, noticeLimit+" over", "The worker no longer states a limit on the requests per second.", map[string]string{
			"tries": fmt.Sprint(limit.attempts), "for_ms": fmt.Sprint(time.Since(limit.since).Milliseconds()), "source": source,
		})
	}
}

// recordLimitEnd ends a limit and returns it, or false if none ended.
func (t *workerLimitTracker) recordLimitEnd(id string, ago time.Duration, source string) (workerLimit, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := t.active[id]
	if limit == nil || !t.gateway.dispatcher.RemoveLimit(id, ago) {
		return workerLimit{}, false
	}
	delete(t.active, id)
	t.activeCount.Store(int64(len(t.active)))
	limit.perSecond, limit.statedAt = 0, time.Now().Add(-ago)
	limit.isLocal, limit.remainingSends = source == sourceAnswer, endedLimitSends
	t.ended[id] = limit
	t.announceNow(limit, limit.isLocal)
	return *limit, true
}

// announceNow triggers an immediate announcement of a new state. The mutex must be held.
func (t *workerLimitTracker) announceNow(limit *workerLimit, isNew bool) {
	if !isNew || t.notify == nil {
		return
	}
	limit.urgent = true
	t.notify(true)
}

// report logs a change of a worker's limit and records it as a decision, if the worker is known.
func (t *workerLimitTracker) report(id, kind, reason string, inputs map[string]string) {
	if worker := t.gateway.worker(id); worker != nil {
		t.gateway.notices.report(worker, kind, reason, inputs)
	}
}

// takeUpdate returns the limits to send to other gateways: urgent ones or, if full is set, all with sends remaining.
func (t *workerLimitTracker) takeUpdate(full bool) []peersync.Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	var announced []peersync.Limit
	for _, limits := range []map[string]*workerLimit{t.active, t.ended} {
		for id, limit := range limits {
			if limit.remainingSends == 0 || (!full && !limit.urgent) || len(announced) >= maxAnnouncements {
				continue
			}
			limit.urgent = false
			if full {
				limit.remainingSends--
			}
			if !limit.isLocal {
				continue
			}
			announced = append(announced, peersync.Limit{Worker: id, PerSecond: limit.perSecond, AgeMs: time.Since(limit.statedAt).Milliseconds()})
		}
	}
	t.ended = lo.OmitBy(t.ended, func(_ string, limit *workerLimit) bool { return limit.remainingSends == 0 })
	return announced
}

// countAttempt counts a request sent to a worker at a given time and reports whether a limit was in force.
func (t *workerLimitTracker) countAttempt(id string, sentAt time.Time) bool {
	if t.activeCount.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := t.active[id]
	if limit == nil || sentAt.Before(limit.since) {
		return false
	}
	limit.attempts++
	return true
}
