// Package roles decides which engine changes its role, so that the engines that read prompts and those that write answers follow
// the mix of requests.
package roles

import (
	"sort"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
)

// Engine is what the planner knows of one engine.
type Engine struct {
	Worker *backend.Worker
	// Running counts the requests of all gateways there, and ReadingTokens the prompt tokens that are still to be read.
	Running       int
	ReadingTokens int
	// Usable engines take work now.
	Usable bool
}

// Change is a role that an engine is to take.
type Change struct {
	Worker *backend.Worker
	Role   backend.Role
	Reason string
}

// Settings of a planner.
type Settings struct {
	// ReadingTokensPerSecond is the pace of an engine that reads.
	ReadingTokensPerSecond float64
	// Backlog is the mean time that prompts wait, from which there are too few readers.
	Backlog time.Duration
	// Sustained is how long it must be above Backlog.
	Sustained time.Duration
	// FullSlots is the share of slots in use from which engines that write have no room for the work of another one.
	FullSlots float64
	// LeastShare is the part of the engines that each role keeps, whatever the mix of the moment. LeastOfRole takes its place
	// where operators give numbers.
	LeastShare  float64
	LeastOfRole map[backend.Role]int
	// Pause between two changes.
	Pause time.Duration
}

// DefaultSettings of a planner.
func DefaultSettings() Settings {
	return Settings{
		ReadingTokensPerSecond: 50_000,
		Backlog:                250 * time.Millisecond,
		Sustained:              700 * time.Millisecond,
		FullSlots:              0.4,
		LeastShare:             0.5,
		Pause:                  700 * time.Millisecond,
	}
}

// Planner plans the roles of the engines of one group. It is a pure state machine and not safe for concurrent use.
//
// Invariant: a change leaves each role its least share of the usable engines, and at least one.
type Planner struct {
	settings   Settings
	shortSince map[backend.Role]time.Time
	notBefore  time.Time
}

// NewPlanner returns a planner that has seen nothing.
func NewPlanner(settings Settings) *Planner {
	return &Planner{settings: settings, shortSince: map[backend.Role]time.Time{}}
}

// side sums up the engines of one role.
type side struct {
	engines       []Engine
	running       int
	slots         int
	readingTokens int
}

// of returns the usable engines of a role.
func of(engines []Engine, role backend.Role) side {
	var s side
	for _, engine := range engines {
		if engine.Worker.Role != role || !engine.Usable || engine.Worker.Draining {
			continue
		}
		s.engines = append(s.engines, engine)
		s.running += engine.Running
		s.slots += engine.Worker.Slots
		s.readingTokens += engine.ReadingTokens
	}
	return s
}

// backlog is the mean time that prompts wait at the engines of a side.
func (p *Planner) backlog(s side) time.Duration {
	if len(s.engines) == 0 {
		return time.Hour
	}
	seconds := float64(s.readingTokens) / (float64(len(s.engines)) * p.settings.ReadingTokensPerSecond)
	return time.Duration(seconds * float64(time.Second))
}

// usedWithout is the share of slots in use when one engine of a side is taken away.
func usedWithout(s side) float64 {
	count := len(s.engines)
	if count < 2 || s.slots == 0 {
		return 1
	}
	return float64(s.running) / (float64(s.slots) * float64(count-1) / float64(count))
}

// Next returns the next change, or nil.
func (p *Planner) Next(now time.Time, engines []Engine) *Change {
	readers, writers := of(engines, backend.RolePrefill), of(engines, backend.RoleDecode)
	fewReaders := p.backlog(readers) > p.settings.Backlog && usedWithout(writers) < p.settings.FullSlots
	fewWriters := usedWithout(writers) > 2*p.settings.FullSlots && p.backlog(readers) < p.settings.Backlog/4
	fewReaders = p.sustained(now, backend.RolePrefill, fewReaders)
	fewWriters = p.sustained(now, backend.RoleDecode, fewWriters)
	switch {
	case now.Before(p.notBefore):
		return nil
	case fewReaders && p.canGive(writers, readers):
		return p.change(now, writers, backend.RolePrefill, "Prompts wait for readers while engines that write have room.")
	case fewWriters && p.canGive(readers, writers):
		return p.change(now, readers, backend.RoleDecode, "Engines that write are full while readers have nothing to wait for.")
	default:
		return nil
	}
}

// canGive tells whether a side can do with one engine less.
func (p *Planner) canGive(from, to side) bool {
	left := len(from.engines) - 1
	if left < 1 {
		return false
	}
	if len(p.settings.LeastOfRole) > 0 {
		return left >= p.settings.LeastOfRole[from.engines[0].Worker.Role]
	}
	return float64(left) >= p.settings.LeastShare*float64(len(from.engines)+len(to.engines))
}

// sustained tells whether a shortage of a role has lasted.
func (p *Planner) sustained(now time.Time, role backend.Role, short bool) bool {
	if !short {
		delete(p.shortSince, role)
		return false
	}
	since, known := p.shortSince[role]
	if !known {
		p.shortSince[role] = now
		return false
	}
	return now.Sub(since) >= p.settings.Sustained
}

// change picks the engine with the least to do.
func (p *Planner) change(now time.Time, from side, role backend.Role, reason string) *Change {
	sort.Slice(from.engines, func(a, b int) bool {
		one, other := from.engines[a], from.engines[b]
		if one.Running+one.ReadingTokens/1000 != other.Running+other.ReadingTokens/1000 {
			return one.Running+one.ReadingTokens/1000 < other.Running+other.ReadingTokens/1000
		}
		return one.Worker.ID < other.Worker.ID
	})
	p.notBefore = now.Add(p.settings.Pause)
	return &Change{Worker: from.engines[0].Worker, Role: role, Reason: reason}
}
