package enginemodel

import (
	"math/rand/v2"
	"time"

	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/engine"
)

// ClientEvent is an event for one client of the engine.
type ClientEvent struct {
	// Client is the name under which the command came.
	Client string
	Event  engine.Event
}

// Model is one incarnation of an engine. It is not safe for use by several goroutines at once.
type Model struct {
	settings Settings
	random   *rand.Rand
	observer Observer
	started  bool
	crashed  bool
	events   []ClientEvent

	fence         engine.Fence
	configuration engine.Configuration
	change        change

	runs map[string]*run
	// answers and tombstones list the ended runs that are still kept.
	answers    expiryQueue
	tombstones expiryQueue
	waiting    waitingQueue
	batch      batch

	cache     prefixCache
	cacheLog  cacheLog
	transfers []transfer
	reports   loadReports
}

// New returns a started engine that has no role and no model. It panics if the settings are not valid.
func New(settings Settings, random *rand.Rand) *Model {
	if err := settings.Validate(); err != nil {
		panic(err)
	}
	m := &Model{
		settings:      settings,
		random:        random,
		observer:      settings.Observer,
		configuration: canonical(settings.InitialConfiguration),
		runs:          make(map[string]*run),
	}
	if m.observer == nil {
		m.observer = NopObserver{}
	}
	m.cache = newPrefixCache(&m.cacheLog)
	m.resizeCache()
	if !settings.Start.IsZero() {
		m.start(settings.Start)
	}
	return m
}

// Name returns the name of the engine.
func (m *Model) Name() string { return m.settings.Name }

// Incarnation returns the incarnation of the engine.
func (m *Model) Incarnation() uint64 { return m.settings.Incarnation }

// Fence returns the fence of the last accepted order.
func (m *Model) Fence() engine.Fence { return m.fence }

// Configuration returns the configuration that the engine has, or is changing to.
func (m *Model) Configuration() engine.Configuration { return m.configuration }

// Runs returns the number of runs in the batch and in the queue, as they are now.
func (m *Model) Runs() (running, waiting int) { return m.batch.size(), m.waiting.len() }

// Crashed tells whether the engine crashed. It then does nothing more; the harness starts a new Model with a higher
// incarnation in its place.
func (m *Model) Crashed() bool { return m.crashed }

// TakeEvents returns the events since the last call, in order.
func (m *Model) TakeEvents() []ClientEvent {
	events := m.events
	m.events = nil
	return events
}

// Tick runs what is due.
func (m *Model) Tick(now time.Time) { m.advance(now) }

// NextWake tells when Tick is due next. The zero time means never.
func (m *Model) NextWake() time.Time {
	if m.crashed || !m.started {
		return time.Time{}
	}
	next := core.Earliest(m.change.nextWake(), m.batch.nextWake())
	next = core.Earliest(next, m.cacheLog.nextWake())
	next = core.Earliest(next, m.nextTransfer())
	return core.Earliest(next, m.reports.next)
}

// Kill ends the engine at once, as a crash of its process does. Nothing is sent to clients.
func (m *Model) Kill(now time.Time) {
	if m.crashed {
		return
	}
	m.advance(now)
	m.crash(now)
}

func (m *Model) crash(now time.Time) {
	if m.crashed {
		return
	}
	m.crashed = true
	for _, r := range m.batch.all() {
		m.observer.RunCut(now, m.record(r), CutCrash)
	}
}

func (m *Model) start(now time.Time) {
	m.started = true
	m.takeReport(now)
}

// advance runs all that is due up to now, each at the moment at which it was due.
func (m *Model) advance(now time.Time) {
	if m.crashed {
		return
	}
	if !m.started {
		m.start(now)
	}
	for {
		due := m.NextWake()
		if due.IsZero() || due.After(now) {
			break
		}
		m.runDue(due)
	}
	m.batch.sync(now)
	m.expire(now)
}

func (m *Model) runDue(now time.Time) {
	if isDue(m.change.crashAt, now) {
		m.crash(now)
		return
	}
	if isDue(m.change.until, now) {
		m.change = change{}
	}
	if isDue(m.batch.nextWake(), now) {
		m.settle(now)
	}
	m.runCacheLog(now)
	m.finishTransfers(now)
	if isDue(m.reports.next, now) {
		m.takeReport(now)
	}
}

func isDue(due, now time.Time) bool { return !due.IsZero() && !due.After(now) }

func (m *Model) send(client string, event engine.Event) {
	if client != "" {
		m.events = append(m.events, ClientEvent{Client: client, Event: event})
	}
}

func (m *Model) resizeCache() {
	room := min(m.settings.PrefixCacheTokens, m.settings.MemoryTokens-m.batch.reserved)
	m.cache.resize(room / engine.PrefixBlockTokens)
}
