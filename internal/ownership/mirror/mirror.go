// Package mirror keeps a copy of all keys of the key-value service that share a prefix: it lists them once, watches
// them from there, and lists them again at long intervals, after a gap in the watch, or when asked to.
//
// The copy never goes back for a key: what is older than what is known of the key is ignored. A Mirror is part of a
// core: it is single-threaded and has no clock.
package mirror

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/ownership/backoff"
	"github.com/granitebay/granitebay/internal/platform"
	"github.com/samber/lo"
)

// Defaults of Settings.
const (
	DefaultRequestTimeout = 3 * time.Second
	DefaultResyncInterval = 2 * time.Minute
	DefaultBackoffBase    = 200 * time.Millisecond
	DefaultBackoffMax     = 5 * time.Second
	// resyncPerKey is the least time between two Lists for each key, so that their bytes a second do not grow.
	resyncPerKey = 500 * time.Millisecond
)

// ResyncAfter is the time from one List of some keys to the next while the watch works.
func ResyncAfter(interval time.Duration, keys int) time.Duration {
	return max(interval, time.Duration(keys)*resyncPerKey)
}

// Settings of a Mirror. Zero durations take the defaults.
type Settings struct {
	// Prefix of the keys.
	Prefix string
	// RequestTimeout is how long a List, or the opening of a watch, may take before it is asked again.
	RequestTimeout time.Duration
	// ResyncInterval is the time between two Lists while the watch works, against changes that the watch missed. It is
	// longer for many keys: see ResyncAfter.
	ResyncInterval time.Duration
}

// known is what the mirror knows of one key.
type known struct {
	entry   platform.Entry
	present bool
	// asOf is the highest revision for which this is known to be true.
	asOf uint64
}

// Mirror is the copy.
type Mirror struct {
	settings Settings
	ids      *core.RequestIDs
	random   *rand.Rand

	listBackoff  backoff.Backoff
	watchBackoff backoff.Backoff

	keys    map[string]known
	changed map[string]bool
	ready   bool
	// revision up to which the copy is whole.
	revision uint64
	// listed is the revision of the latest List.
	listed uint64

	list       platform.RequestID
	listSentAt time.Time
	listAt     time.Time
	listFailed bool
	// watch is the open watch, or the one that is being opened until watchOpen.
	watch       platform.RequestID
	watchOpen   bool
	watchSentAt time.Time
	watchAt     time.Time
}

// New returns an empty mirror, which asks for its first List at the first Tick.
func New(settings Settings, ids *core.RequestIDs, random *rand.Rand) *Mirror {
	settings.RequestTimeout = lo.CoalesceOrEmpty(settings.RequestTimeout, DefaultRequestTimeout)
	settings.ResyncInterval = lo.CoalesceOrEmpty(settings.ResyncInterval, DefaultResyncInterval)
	return &Mirror{
		settings:     settings,
		ids:          ids,
		random:       random,
		listBackoff:  backoff.Backoff{Base: DefaultBackoffBase, Max: DefaultBackoffMax},
		watchBackoff: backoff.Backoff{Base: DefaultBackoffBase, Max: DefaultBackoffMax},
		keys:         map[string]known{},
		changed:      map[string]bool{},
		listAt:       AtOnce(),
	}
}

// AtOnce is a time that is past by any clock: what is due then is due at the first Tick. It is not the zero time, which
// means never.
func AtOnce() time.Time { return time.Unix(0, 0) }

// Ready tells whether the keys were listed at least once.
func (m *Mirror) Ready() bool { return m.ready }

// Revision up to which the copy holds every change; zero before the first List.
func (m *Mirror) Revision() uint64 { return m.revision }

// Entry returns a key of the copy.
func (m *Mirror) Entry(key string) (platform.Entry, bool) {
	entry := m.keys[key]
	return entry.entry, entry.present
}

// Keys returns the keys that exist, sorted.
func (m *Mirror) Keys() []string {
	keys := lo.Keys(lo.PickBy(m.keys, func(_ string, entry known) bool { return entry.present }))
	slices.Sort(keys)
	return keys
}

// TakeChanged returns the keys that changed since the last call, sorted.
func (m *Mirror) TakeChanged() []string {
	if len(m.changed) == 0 {
		return nil
	}
	keys := lo.Keys(m.changed)
	slices.Sort(keys)
	clear(m.changed)
	return keys
}

// Refresh brings the next List forward to the next Tick, unless the last one was a moment ago or failed.
func (m *Mirror) Refresh(now time.Time) {
	soonest := m.listSentAt.Add(DefaultBackoffBase)
	if now.After(soonest) {
		soonest = now
	}
	if !m.listFailed && m.listAt.After(soonest) {
		m.listAt = soonest
	}
}

// Observe takes the answer to a Get of one key.
func (m *Mirror) Observe(key string, response platform.Response) {
	if len(response.Entries) == 0 {
		m.remove(key, response.Revision)
		return
	}
	m.put(response.Entries[0], max(response.Revision, response.Entries[0].ModRevision))
}

// Tick asks for what is due.
func (m *Mirror) Tick(now time.Time, effects *core.Effects) {
	if m.list != 0 && !now.Before(m.listSentAt.Add(m.settings.RequestTimeout)) {
		m.list = 0
		m.delayList(now, 0)
	}
	if m.list == 0 && !now.Before(m.listAt) {
		m.list = m.ids.Next()
		m.listSentAt = now
		effects.Ask(m.list, platform.List{Prefix: m.settings.Prefix})
	}
	if m.opening() && !now.Before(m.watchSentAt.Add(m.settings.RequestTimeout)) {
		m.restartWatch(now, platform.FailureUnknown, 0)
	}
	if m.watch == 0 && m.Ready() && !now.Before(m.watchAt) {
		m.watch = m.ids.Next()
		m.watchOpen = false
		m.watchSentAt = now
		effects.Ask(m.watch, platform.Watch{Prefix: m.settings.Prefix, FromRevision: m.revision})
	}
}

// NextWake tells when Tick is due next.
func (m *Mirror) NextWake() time.Time {
	wake := m.listAt
	if m.list != 0 {
		wake = m.listSentAt.Add(m.settings.RequestTimeout)
	}
	if m.opening() {
		wake = core.Earliest(wake, m.watchSentAt.Add(m.settings.RequestTimeout))
	}
	if m.watch == 0 && m.Ready() {
		wake = core.Earliest(wake, m.watchAt)
	}
	return wake
}

// HandleResponse takes a response. It returns false when the response is not to a request of this mirror.
func (m *Mirror) HandleResponse(now time.Time, response platform.Response) bool {
	switch {
	case response.ID == 0:
		return false
	case response.ID == m.list:
		m.list = 0
		m.handleList(now, response)
		return true
	case response.ID == m.watch:
		if response.Failure != platform.FailureNone {
			m.restartWatch(now, response.Failure, response.RetryAfter)
		}
		m.watchOpen = true
		return true
	default:
		return false
	}
}

// HandleWatch takes changes. It returns false when they are not from the watch of this mirror.
func (m *Mirror) HandleWatch(now time.Time, event platform.WatchEvent) bool {
	if event.ID == 0 || event.ID != m.watch {
		return false
	}
	m.watchOpen = true
	m.watchBackoff.Reset()
	changed := map[string]bool{}
	for _, entry := range event.Changed {
		changed[entry.Key] = true
		m.put(entry, entry.ModRevision)
	}
	for _, key := range event.Deleted {
		if !changed[key] {
			m.remove(key, event.Revision)
		}
	}
	m.revision = max(m.revision, event.Revision)
	if event.Closed {
		m.restartWatch(now, platform.FailureUnavailable, 0)
	}
	return true
}

// opening tells whether a watch was asked for and did not answer yet.
func (m *Mirror) opening() bool { return m.watch != 0 && !m.watchOpen }

func (m *Mirror) handleList(now time.Time, response platform.Response) {
	if response.Failure != platform.FailureNone {
		m.delayList(now, response.RetryAfter)
		return
	}
	m.listBackoff.Reset()
	m.listFailed = false
	m.listAt = now.Add(ResyncAfter(m.settings.ResyncInterval, len(response.Entries)))
	present := map[string]bool{}
	for _, entry := range response.Entries {
		present[entry.Key] = true
		m.put(entry, max(response.Revision, entry.ModRevision))
	}
	for _, key := range m.Keys() {
		if !present[key] {
			m.remove(key, response.Revision)
		}
	}
	m.ready = true
	m.listed = max(m.listed, response.Revision)
	m.revision = max(m.revision, response.Revision)
	m.keys = lo.PickBy(m.keys, func(_ string, entry known) bool { return entry.present || entry.asOf > m.listed })
}

func (m *Mirror) delayList(now time.Time, retryAfter time.Duration) {
	m.listFailed = true
	m.listAt = now.Add(m.listBackoff.Next(m.random, retryAfter))
}

func (m *Mirror) restartWatch(now time.Time, failure platform.Failure, retryAfter time.Duration) {
	m.watch = 0
	m.watchAt = now.Add(m.watchBackoff.Next(m.random, retryAfter))
	if failure == platform.FailureCompacted {
		m.ready = false
		m.listAt = now
	}
}

// put takes an entry that is known to be true at revision asOf.
func (m *Mirror) put(entry platform.Entry, asOf uint64) {
	before := m.keys[entry.Key]
	if !strings.HasPrefix(entry.Key, m.settings.Prefix) || asOf <= max(before.asOf, m.listed) {
		return
	}
	if !before.present || before.entry.ModRevision != entry.ModRevision {
		m.changed[entry.Key] = true
	}
	m.keys[entry.Key] = known{entry: entry, present: true, asOf: asOf}
}

// remove takes the absence of a key, which is known at revision asOf.
func (m *Mirror) remove(key string, asOf uint64) {
	before := m.keys[key]
	if asOf <= max(before.asOf, m.listed) {
		return
	}
	if before.present {
		m.changed[key] = true
	}
	m.keys[key] = known{asOf: asOf}
}
