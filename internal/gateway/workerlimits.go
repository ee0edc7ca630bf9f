package gateway

import (
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/loadshare"
)

// workerLimits hears which workers name limits in their answers, has them kept, and tells the other gateways and operators of them: most
// gateways hold no part of a limit, are sent no answer, and know it by others alone. It is safe for concurrent use.
type limitTracker struct {
	gateway *Gateway

	mu sync.Mutex
	// known are the limits in force, by the ids of the workers' incarnations, and over those that ended of late: a word of before that comes
	// late does not bring them back.
	active, ended map[string]*workerLimit
	// notify tells that there is something to tell; nil tells nobody.
	notify func(urgent bool)
	// inForce counts the limits, for answers of which nearly all name none while none is known.
	activeCount atomic.Int64
}

// namedLimit is the limit that a worker names.
type workerLimit struct {
	perSecond float64
	// since is when it was heard first, and said when the word was said that holds.
	since, statedAt time.Time
	// tries were sent to the worker meanwhile.
	attempts int
	// isOwn is set if an answer to this gateway said so; else another one tells it. Tells is how often others are still to be told, at once
	// and then once a second; a limit is told again whenever an answer names it.
	isLocal        bool
	remainingSends int
	urgent         bool
}

// overTells is how often others are told that a limit is over, once a second: for longer than the links between gateways are usually cut. One
// that holds no part and misses all of them would leave the worker alone until its next life.
const endedLimitSends = 30

// newWorkerLimits knows of no limit.
func newLimitTracker(g *Gateway) *limitTracker {
	return &limitTracker{gateway: g, active: map[string]*workerLimit{}, ended: map[string]*workerLimit{}}
}

// shareWith has what is to be told gathered. Notify must not wait.
func (t *limitTracker) setNotify(notify func(urgent bool)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notify = notify
}

// hear takes what a worker says of its limit in an answer. Its word binds from here on.
func (t *limitTracker) handle(worker *backend.Worker, notice backend.Notice) {
	if notice.Limit == 0 && t.activeCount.Load() == 0 {
		return
	}
	now := time.Now()
	if notice.Limit == 0 {
		t.end(worker.ID, now.Sub(notice.Asked), sourceAnswer)
		return
	}
	t.gateway.metrics.countNotice(worker.Group, noticeLimit)
	t.begin(worker.ID, notice.Limit, 0, sourceAnswer)
}

// hearPeer takes what another gateway tells of limits.
func (t *limitTracker) handlePeer(limits []loadshare.Limit) {
	for _, limit := range limits {
		ago := time.Duration(max(limit.AgeMs, 0)) * time.Millisecond
		switch {
		case limit.PerSecond == 0:
			t.end(limit.Worker, ago, sourcePeer)
		case limit.PerSecond > 0 && !math.IsInf(limit.PerSecond, 0):
			t.begin(limit.Worker, limit.PerSecond, ago, sourcePeer)
		}
	}
}

// begin takes a limit that was named so long ago.
func (t *limitTracker) begin(id string, perSecond float64, ago time.Duration, source string) {
	if t.recordBegin(id, perSecond, ago, source) {
		t.report(id, noticeLimit, "The worker takes only so many requests a second, of all gateways together.",
			map[string]string{"per_second": fmt.Sprint(perSecond), "source": source})
	}
}

// noteBegin has a limit kept, and tells whether it is news. A word from before the end of a limit that was told late is none.
func (t *limitTracker) recordBegin(id string, perSecond float64, ago time.Duration, source string) bool {
	statedAt := time.Now().Add(-ago)
	t.mu.Lock()
	defer t.mu.Unlock()
	if ended := t.ended[id]; ended != nil && statedAt.Before(ended.statedAt) {
		return false
	}
	delete(t.ended, id)
	news := t.gateway.dispatcher.Limit(id, perSecond, ago)
	limit, found := t.active[id]
	if !found {
		limit = &workerLimit{since: statedAt}
		t.active[id] = limit
		t.activeCount.Store(int64(len(t.active)))
	}
	if statedAt.Before(limit.statedAt) {
		return news
	}
	limit.perSecond, limit.statedAt = perSecond, statedAt
	if source == sourceAnswer {
		limit.isLocal, limit.remainingSends = true, 1
		t.announceNow(limit, news)
	}
	return news
}

// end takes that a worker named no limit in the answer to a request which was sent so long ago.
func (t *limitTracker) end(id string, ago time.Duration, source string) {
	if limit, found := t.recordEnd(id, ago, source); found {
		t.report(id, noticeLimit+" over", "The worker names no limit any more.", map[string]string{
			"tries": fmt.Sprint(limit.attempts), "for_ms": fmt.Sprint(time.Since(limit.since).Milliseconds()), "source": source,
		})
	}
}

// noteEnd has a limit ended, and returns it, or false if there was none.
func (t *limitTracker) recordEnd(id string, ago time.Duration, source string) (workerLimit, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := t.active[id]
	if limit == nil || !t.gateway.dispatcher.Unlimit(id, ago) {
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

// hasten has others told at once of what is news. The mutex is held.
func (t *limitTracker) announceNow(limit *workerLimit, news bool) {
	if !news || t.notify == nil {
		return
	}
	limit.urgent = true
	t.notify(true)
}

// tell writes a line and a decision about the limit of a worker, if it is in use.
func (t *limitTracker) report(id, kind, reason string, inputs map[string]string) {
	if worker := t.gateway.worker(id); worker != nil {
		t.gateway.notices.report(worker, kind, reason, inputs)
	}
}

// drain returns the limits of which other gateways are to be told: what is news, and with full set all that answers said since the last time.
func (t *limitTracker) drain(full bool) []loadshare.Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	var announced []loadshare.Limit
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
			announced = append(announced, loadshare.Limit{Worker: id, PerSecond: limit.perSecond, AgeMs: time.Since(limit.statedAt).Milliseconds()})
		}
	}
	t.ended = lo.OmitBy(t.ended, func(_ string, limit *workerLimit) bool { return limit.remainingSends == 0 })
	return announced
}

// count counts a try that was sent to a worker at a moment, and tells whether a limit was in force there.
func (t *limitTracker) countAttempt(id string, sentAt time.Time) bool {
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
