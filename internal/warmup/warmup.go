// Package warmup decides what a gateway assumes about engines after a start at which no other gateway could tell it their
// load: the requests of the previous gateways may still run there, and all callers return at once.
//
// Engines report their load themselves. Until then an engine counts as half full.
package warmup

import "time"

// Settings configures a Table.
type Settings struct {
	// MaxQueries bounds the number of engines that one gateway asks.
	MaxQueries int
	// Timeout is the time after which the load of all engines is considered known, whether they reported it or not.
	Timeout time.Duration
	// LoadLifetime is the time within which reported load decays to zero: it ends, and none is added by others.
	LoadLifetime time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{MaxQueries: 1024, Timeout: 300 * time.Millisecond, LoadLifetime: 2 * time.Second}
}

// Table holds the reported load of engines. It is a pure state machine and not safe for concurrent use. Engines are
// identified by incarnation, so that a report never outlives a restart of the engine.
//
// Invariants: each engine is asked at most once, and at most MaxQueries are; a report of an engine that was not passed to
// Begin has no effect; after Timeout, every engine counts as known.
type Table struct {
	settings Settings
	// begunAt is when the warm-up began; zero if it did not. hasEnded is set once no reported load is left.
	begunAt  time.Time
	hasEnded bool
	engines  map[string]*engine
	// queue holds the engines that have not been asked, in the order in which they are.
	queue []string
	// asked counts the engines that were asked, and reported those that reported their load.
	asked, reported int
}

// engine is what is known of one engine.
type engine struct {
	// reportedAt is when the engine made its report; zero while it has not.
	reportedAt time.Time
	// running is the number of requests there that no known gateway accounts for.
	running int
}

// New returns a table without engines. Until Begin is called, everything counts as known.
func New(settings Settings) *Table {
	return &Table{settings: settings, engines: map[string]*engine{}}
}

// Begin starts the warm-up with the engines in the order in which they are to be asked. Only the first call has an
// effect, and returns true.
func (t *Table) Begin(now time.Time, engines []string) bool {
	if !t.begunAt.IsZero() {
		return false
	}
	t.begunAt = now
	for _, id := range engines {
		if t.engines[id] == nil {
			t.engines[id] = &engine{}
			t.queue = append(t.queue, id)
		}
	}
	return true
}

// Next returns an engine to ask, or false if there is none left. Engines whose report has arrived from another gateway
// are skipped.
func (t *Table) Next(now time.Time) (string, bool) {
	for len(t.queue) > 0 && t.asked < t.settings.MaxQueries && now.Sub(t.begunAt) < t.settings.Timeout {
		id := t.queue[0]
		t.queue = t.queue[1:]
		if state := t.engines[id]; state != nil && state.reportedAt.IsZero() {
			t.asked++
			return id, true
		}
	}
	return "", false
}

// Record records that an engine runs the given number of requests which no known gateway accounts for, as of reportedAt.
// It reports whether that is the first report of an engine in the table.
func (t *Table) Record(reportedAt time.Time, id string, running int) bool {
	state := t.engines[id]
	if state == nil || !state.reportedAt.IsZero() {
		return false
	}
	state.reportedAt, state.running = reportedAt, max(running, 0)
	t.reported++
	return true
}

// Forget removes an engine that has ended.
func (t *Table) Forget(id string) {
	state := t.engines[id]
	if state == nil {
		return
	}
	if !state.reportedAt.IsZero() {
		t.reported--
	}
	delete(t.engines, id)
}

// InUse reports whether Load may return anything but zero.
func (t *Table) InUse() bool { return !t.begunAt.IsZero() && !t.hasEnded }

// Expire ends the warm-up once all reported load has decayed.
func (t *Table) Expire(now time.Time) {
	if t.InUse() && now.Sub(t.begunAt) >= t.settings.Timeout+t.settings.LoadLifetime {
		t.hasEnded = true
		t.engines, t.queue = map[string]*engine{}, nil
	}
}

// Active reports whether the load of some engines is still unknown.
func (t *Table) Active(now time.Time) bool { return t.KnownShare(now) < 1 }

// KnownShare returns the share of the engines whose load is known, from 0 to 1. It is 1 before Begin, after Timeout and
// without engines.
func (t *Table) KnownShare(now time.Time) float64 {
	if t.begunAt.IsZero() || len(t.engines) == 0 || now.Sub(t.begunAt) >= t.settings.Timeout {
		return 1
	}
	return float64(t.reported) / float64(len(t.engines))
}

// Load returns the number of requests to assume at an engine with the given slots beyond those that known gateways account
// for: half of the slots while its load is unknown, and then what it reported, less with its age.
func (t *Table) Load(now time.Time, id string, slots int) int {
	state := t.engines[id]
	switch {
	case state == nil:
		return 0
	case state.reportedAt.IsZero() && t.Active(now):
		return slots / 2
	case state.reportedAt.IsZero():
		return 0
	}
	remaining := t.settings.LoadLifetime - now.Sub(state.reportedAt)
	if remaining <= 0 {
		return 0
	}
	share := min(float64(remaining)/float64(t.settings.LoadLifetime), 1)
	return int(share * float64(state.running))
}
