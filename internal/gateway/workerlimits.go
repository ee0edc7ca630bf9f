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
type workerLimits struct {
	gateway *Gateway

	mu sync.Mutex
	// known are the limits in force, by the ids of the workers' incarnations, and over those that ended of late: a word of before that comes
	// late does not bring them back.
	known, over map[string]*namedLimit
	// notify tells that there is something to tell; nil tells nobody.
	notify func(urgent bool)
	// inForce counts the limits, for answers of which nearly all name none while none is known.
	inForce atomic.Int64
}

// namedLimit is the limit that a worker names.
type namedLimit struct {
	perSecond float64
	// since is when it was heard first, and said when the word was said that holds.
	since, said time.Time
	// tries were sent to the worker meanwhile.
	tries int
	// isOwn is set if an answer to this gateway said so; else another one tells it. Tells is how often others are still to be told, at once
	// and then once a second; a limit is told again whenever an answer names it.
	isOwn  bool
	tells  int
	urgent bool
}

// overTells is how often others are told that a limit is over, once a second: for longer than the links between gateways are usually cut. One
// that holds no part and misses all of them would leave the worker alone until its next life.
const overTells = 30

// newWorkerLimits knows of no limit.
func newWorkerLimits(g *Gateway) *workerLimits {
	return &workerLimits{gateway: g, known: map[string]*namedLimit{}, over: map[string]*namedLimit{}}
}

// shareWith has what is to be told gathered. Notify must not wait.
func (l *workerLimits) shareWith(notify func(urgent bool)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notify = notify
}

// hear takes what a worker says of its limit in an answer. Its word binds from here on.
func (l *workerLimits) hear(worker *backend.Worker, notice backend.Notice) {
	if notice.Limit == 0 && l.inForce.Load() == 0 {
		return
	}
	now := time.Now()
	if notice.Limit == 0 {
		l.end(worker.ID, now.Sub(notice.Asked), sourceAnswer)
		return
	}
	l.gateway.metrics.noticeHeard(worker.Group, noticeLimit)
	l.begin(worker.ID, notice.Limit, 0, sourceAnswer)
}

// hearPeer takes what another gateway tells of limits.
func (l *workerLimits) hearPeer(told []loadshare.Limit) {
	for _, each := range told {
		ago := time.Duration(max(each.AgeMs, 0)) * time.Millisecond
		switch {
		case each.PerSecond == 0:
			l.end(each.Worker, ago, sourcePeer)
		case each.PerSecond > 0 && !math.IsInf(each.PerSecond, 0):
			l.begin(each.Worker, each.PerSecond, ago, sourcePeer)
		}
	}
}

// begin takes a limit that was named so long ago.
func (l *workerLimits) begin(id string, perSecond float64, ago time.Duration, source string) {
	if l.noteBegin(id, perSecond, ago, source) {
		l.tell(id, noticeLimit, "The worker takes only so many requests a second, of all gateways together.",
			map[string]string{"per_second": fmt.Sprint(perSecond), "source": source})
	}
}

// noteBegin has a limit kept, and tells whether it is news. A word from before the end of a limit that was told late is none.
func (l *workerLimits) noteBegin(id string, perSecond float64, ago time.Duration, source string) bool {
	said := time.Now().Add(-ago)
	l.mu.Lock()
	defer l.mu.Unlock()
	if ended := l.over[id]; ended != nil && said.Before(ended.said) {
		return false
	}
	delete(l.over, id)
	news := l.gateway.dispatcher.Limit(id, perSecond, ago)
	known, found := l.known[id]
	if !found {
		known = &namedLimit{since: said}
		l.known[id] = known
		l.inForce.Store(int64(len(l.known)))
	}
	if said.Before(known.said) {
		return news
	}
	known.perSecond, known.said = perSecond, said
	if source == sourceAnswer {
		known.isOwn, known.tells = true, 1
		l.hasten(known, news)
	}
	return news
}

// end takes that a worker named no limit in the answer to a request which was sent so long ago.
func (l *workerLimits) end(id string, ago time.Duration, source string) {
	if ended, was := l.noteEnd(id, ago, source); was {
		l.tell(id, noticeLimit+" over", "The worker names no limit any more.", map[string]string{
			"tries": fmt.Sprint(ended.tries), "for_ms": fmt.Sprint(time.Since(ended.since).Milliseconds()), "source": source,
		})
	}
}

// noteEnd has a limit ended, and returns it, or false if there was none.
func (l *workerLimits) noteEnd(id string, ago time.Duration, source string) (namedLimit, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ended := l.known[id]
	if ended == nil || !l.gateway.dispatcher.Unlimit(id, ago) {
		return namedLimit{}, false
	}
	delete(l.known, id)
	l.inForce.Store(int64(len(l.known)))
	ended.perSecond, ended.said = 0, time.Now().Add(-ago)
	ended.isOwn, ended.tells = source == sourceAnswer, overTells
	l.over[id] = ended
	l.hasten(ended, ended.isOwn)
	return *ended, true
}

// hasten has others told at once of what is news. The mutex is held.
func (l *workerLimits) hasten(one *namedLimit, news bool) {
	if !news || l.notify == nil {
		return
	}
	one.urgent = true
	l.notify(true)
}

// tell writes a line and a decision about the limit of a worker, if it is in use.
func (l *workerLimits) tell(id, what, reason string, inputs map[string]string) {
	if worker := l.gateway.worker(id); worker != nil {
		l.gateway.notices.tell(worker, what, reason, inputs)
	}
}

// drain returns the limits of which other gateways are to be told: what is news, and with full set all that answers said since the last time.
func (l *workerLimits) drain(full bool) []loadshare.Limit {
	l.mu.Lock()
	defer l.mu.Unlock()
	var told []loadshare.Limit
	for _, each := range []map[string]*namedLimit{l.known, l.over} {
		for id, one := range each {
			if one.tells == 0 || (!full && !one.urgent) || len(told) >= mostUntold {
				continue
			}
			one.urgent = false
			if full {
				one.tells--
			}
			if !one.isOwn {
				continue
			}
			told = append(told, loadshare.Limit{Worker: id, PerSecond: one.perSecond, AgeMs: time.Since(one.said).Milliseconds()})
		}
	}
	l.over = lo.OmitBy(l.over, func(_ string, one *namedLimit) bool { return one.tells == 0 })
	return told
}

// count counts a try that was sent to a worker at a moment, and tells whether a limit was in force there.
func (l *workerLimits) count(id string, at time.Time) bool {
	if l.inForce.Load() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.known[id]
	if known == nil || at.Before(known.since) {
		return false
	}
	known.tries++
	return true
}
