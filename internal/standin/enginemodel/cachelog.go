package enginemodel

import (
	"slices"
	"time"

	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/engine"
)

// cacheLog gathers the changes of the cache into events, which are sent late and sometimes lost.
type cacheLog struct {
	stored   []uint64
	evicted  []uint64
	sequence uint64
	// gatherAt is when the gathered changes become an event.
	gatherAt time.Time
	pending  []pendingCacheEvent
	watchers []string
}

type pendingCacheEvent struct {
	sendAt time.Time
	event  engine.CacheEvent
}

// cacheChanged starts to gather an event if the cache changed since the last one.
func (m *Model) cacheChanged(now time.Time) {
	l := &m.cacheLog
	if l.gatherAt.IsZero() && len(l.stored)+len(l.evicted) > 0 {
		l.gatherAt = now.Add(m.settings.CacheEventInterval)
	}
}

func (l *cacheLog) nextWake() time.Time {
	if len(l.pending) > 0 {
		return core.Earliest(l.gatherAt, l.pending[0].sendAt)
	}
	return l.gatherAt
}

// runCacheLog gathers and sends the cache events that are due.
func (m *Model) runCacheLog(now time.Time) {
	l := &m.cacheLog
	if isDue(l.gatherAt, now) {
		m.gatherCacheEvent(now)
	}
	for len(l.pending) > 0 && !l.pending[0].sendAt.After(now) {
		for _, watcher := range l.watchers {
			m.send(watcher, l.pending[0].event)
		}
		l.pending = l.pending[1:]
	}
}

// gatherCacheEvent makes an event of the changes. A lost event leaves a gap in the sequence.
func (m *Model) gatherCacheEvent(now time.Time) {
	l := &m.cacheLog
	l.sequence++
	event := engine.CacheEvent{
		Engine:      m.settings.Name,
		Incarnation: m.settings.Incarnation,
		Sequence:    l.sequence,
		Stored:      l.stored,
		Evicted:     l.evicted,
	}
	l.stored, l.evicted, l.gatherAt = nil, nil, time.Time{}
	if m.random.Float64() < m.settings.CacheEventLossProbability {
		return
	}
	l.pending = append(l.pending, pendingCacheEvent{sendAt: now.Add(m.settings.CacheEventLag), event: event})
}

func (l *cacheLog) watch(client string) {
	if !slices.Contains(l.watchers, client) {
		l.watchers = append(l.watchers, client)
	}
}

func (l *cacheLog) unwatch(client string) {
	l.watchers = slices.DeleteFunc(l.watchers, func(watcher string) bool { return watcher == client })
}
