// Package roles decides which engine changes its role, so that the engines that read prompts and those that write answers follow
// the mix of requests.
package roles

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
)

// Engine is what the planner knows of one engine.
type Engine struct {
	Worker *backend.Worker
	// Load of all gateways.
	Load backend.Load
	// Usable engines take work now.
	Usable bool
	// Becoming is the role that the engine was ordered to take, or empty.
	Becoming backend.Role
	// Gone is set when the process of the engine has ended, as this gateway saw itself, and BackAt when one like it is expected in
	// its place; zero when that is not known.
	Gone   bool
	BackAt time.Time
}

// role is the one that the engine has, or will have soon.
func (e Engine) role() backend.Role {
	if e.Becoming != backend.RoleNone {
		return e.Becoming
	}
	return e.Worker.Role
}

// Group is what the planner knows of the engines whose roles are planned together.
type Group struct {
	Engines []Engine
	// ReadingDemand is how many engines that only read would be busy with the prompts that callers offer.
	ReadingDemand float64
	// Wrote is set once engines of the group were recorded as writers. Before, their records may only be on their way.
	Wrote bool
	// RoleChange is how long an engine takes to change its role.
	RoleChange time.Duration
}

// note takes a change that is planned: its engine gets no work from now on.
func (g *Group) note(change *Change) {
	for i := range g.Engines {
		if engine := &g.Engines[i]; engine.Worker.ID == change.Worker.ID {
			engine.Becoming, engine.Usable = change.Role, false
			return
		}
	}
}

// Change is a role that an engine is to take.
type Change struct {
	Worker *backend.Worker
	Role   backend.Role
	Reason string
	// Urgent changes bring back a role that is gone: nothing is served until they are done.
	Urgent bool
}

// Settings of a planner.
type Settings struct {
	// Smoothing is the time over which the demand for writers is averaged.
	Smoothing time.Duration
	// Memory is the time after which a peak of the demand counts 1/e.
	Memory time.Duration
	// Room is by how much the capacity of a role is to exceed the peak of its demand.
	Room float64
	// LeastUse is the part of the readers that must have been busy for more of them to be made, and FullUse the part of the
	// places of writers.
	LeastUse float64
	FullUse  float64
	// LeastShare is the part of the engines that each role keeps, whatever the mix of the moment. LeastOfRole takes its place
	// where operators give numbers.
	LeastShare  float64
	LeastOfRole map[backend.Role]int
	// Pause between two changes among PauseEngines engines or fewer; among more it is shorter in proportion, so that a fleet of any
	// size follows its mix in the same time.
	Pause        time.Duration
	PauseEngines int
	// Tick is how often changes are asked for. Those that fall due in between are made together.
	Tick time.Duration
	// Calm is for how long after writers were made for lost ones no writer is made a reader again, but for a first one; it doubles
	// with each further loss up to LongestCalm, and falls back once there was none for twice as long. Writers that end again and
	// again else take as many orders each time as the first, and as many back. Writers read prompts themselves meanwhile.
	Calm, LongestCalm time.Duration
}

// DefaultSettings of a planner.
func DefaultSettings() Settings {
	return Settings{
		Smoothing:  time.Second,
		Memory:     20 * time.Second,
		Room:       1.4,
		LeastUse:   0.4,
		FullUse:    0.9,
		LeastShare: 1.0 / 3,
		Pause:      700 * time.Millisecond,
		// The largest group for which the pause was measured.
		PauseEngines: 18,
		Tick:         250 * time.Millisecond,
		Calm:         5 * time.Second,
		LongestCalm:  time.Minute,
	}
}

// Planner plans the roles of the engines of one group. Writers get the engines that the peak of the runs needs, with room for
// growth; all others read where prompts keep the readers busy, because an engine that reads serves all prompts while a writer
// without runs serves nobody. Before any demand is known, there are at least as many readers as writers. It is a pure state machine and not safe for concurrent use.
//
// Invariant: a change leaves each role its least share of the usable engines, and at least one.
type Planner struct {
	settings Settings
	// reading and writing are the peaks of the demand, in engines.
	reading, writing peak
	// runs are the runs of the moment, averaged.
	runs      average
	notBefore time.Time
	// engines is the size of the group.
	engines int
	rescues rescues
	// precautions counts the changes that were made before any demand was known.
	precautions int
}

// NewPlanner returns a planner that has seen nothing.
func NewPlanner(settings Settings) *Planner { return &Planner{settings: settings} }

// side sums up the engines that have a role or will have it soon.
type side struct {
	role  backend.Role
	count int
	// live engines are those whose processes run, or are expected back before another engine could have changed its role.
	live int
	// gone engines have ended and are not expected back that soon.
	gone  int
	slots int
	// runs that the engines are writing, or that wait there for a place.
	runs int
	// ready engines have the role and take work; one of them may be given away. Engines that are set aside for their failures
	// are not ready, and count all the same: they come back.
	ready []Engine
}

// of returns the engines of a group that have a role at a moment.
func of(now time.Time, group *Group, role backend.Role) side {
	s := side{role: role}
	for _, engine := range group.Engines {
		if engine.Worker.Role == role {
			// Engines that are about to change finish what they run.
			s.runs += engine.Load.Writing()
		}
		if engine.role() != role || engine.Worker.Draining {
			continue
		}
		s.count++
		s.slots += engine.Worker.Slots
		if !engine.Gone || (now.Before(engine.BackAt) && engine.BackAt.Before(now.Add(group.RoleChange))) {
			s.live++
		} else {
			s.gone++
		}
		if engine.Usable {
			s.ready = append(s.ready, engine)
		}
	}
	return s
}

// Next returns the next change, or nil. It is asked again after a change, with the group as it is then.
func (p *Planner) Next(now time.Time, group *Group) *Change {
	readers, writers := of(now, group, backend.RolePrefill), of(now, group, backend.RoleDecode)
	p.engines = readers.count + writers.count
	if writers.slots == 0 {
		return nil
	}
	slots := float64(writers.slots) / float64(writers.count)
	running := p.runs.update(now, float64(writers.runs)/slots, p.settings.Smoothing)
	writing := p.writing.update(now, running, p.settings.Memory)
	reading := p.reading.update(now, group.ReadingDemand, p.settings.Memory)
	if now.Before(p.notBefore) {
		return nil
	}
	unknown := reading == 0 && writing == 0
	busyReaders := reading > p.settings.LeastUse*float64(readers.count)
	room := float64(writers.live-1) >= p.settings.Room*writing && !p.rescues.calm(now)
	fullWriters := running > p.settings.FullUse*float64(writers.count)
	switch {
	case unknown && writers.count-readers.count >= 2 && p.canGive(writers, readers) && p.takesPrecaution((writers.count-readers.count)/2):
		return p.change(now, writers, backend.RolePrefill, "Nothing is known of the mix yet, so each role gets half.")
	case p.fewer(readers, writers) && p.canGive(writers, readers) && (readers.count == 0 || !p.rescues.calm(now)):
		return p.change(now, writers, backend.RolePrefill, "There are fewer readers than the least share.")
	case p.fewer(writers, readers) && p.canGive(readers, writers):
		return p.change(now, readers, backend.RoleDecode, "There are fewer writers than the least share.")
	case busyReaders && room && p.canGive(writers, readers):
		return p.change(now, writers, backend.RolePrefill, "The prompts that come keep readers busy while writers have room.")
	case fullWriters && p.canGive(readers, writers):
		return p.change(now, readers, backend.RoleDecode, "Runs fill the writers.")
	default:
		return nil
	}
}

// precautionFactor times the square root of the number of engines is the most that are moved for a demand that is not known yet: the spread
// of a demand grows with the square root of its size, as in staffing by the square root.
const precautionFactor = 1.5

// takesPrecaution counts a change for a demand that is not known yet, and tells whether it may be made: so many more are missing until both
// roles have half. Where that takes more than the bound, a part of it would make no difference, and a fleet of ten thousand engines would
// be ordered about by the hundreds for nothing.
func (p *Planner) takesPrecaution(missing int) bool {
	if float64(p.precautions+missing) > precautionFactor*math.Sqrt(float64(p.engines)) {
		return false
	}
	p.precautions++
	return true
}

// fewer tells whether a side has fewer engines than its least share, because some were lost.
func (p *Planner) fewer(few, many side) bool {
	return few.count < p.least(few.role, few.count+many.count)
}

// least is how many of the engines keep a role.
func (p *Planner) least(role backend.Role, engines int) int {
	if len(p.settings.LeastOfRole) > 0 {
		return max(p.settings.LeastOfRole[role], 1)
	}
	return max(int(math.Ceil(p.settings.LeastShare*float64(engines))), 1)
}

// canGive tells whether a side can do with one engine less.
func (p *Planner) canGive(from, to side) bool {
	return len(from.ready) > 0 && from.live-1 >= p.least(from.role, from.count+to.count)
}

// change picks the engine with the least to do.
func (p *Planner) change(now time.Time, from side, role backend.Role, reason string) *Change {
	least := slices.MinFunc(from.ready, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.work(), b.work()), strings.Compare(a.Worker.ID, b.Worker.ID))
	})
	p.postpone(now)
	return &Change{Worker: least.Worker, Role: role, Reason: reason}
}

// postpone puts off the next change by the pause of a group of this size.
func (p *Planner) postpone(now time.Time) {
	pause := p.settings.Pause
	if p.engines > p.settings.PauseEngines {
		pause = pause * time.Duration(p.settings.PauseEngines) / time.Duration(p.engines)
	}
	from := now
	if due := now.Add(-p.settings.Tick); pause < p.settings.Tick {
		from = due
		if p.notBefore.After(due) {
			from = p.notBefore
		}
	}
	p.notBefore = from.Add(pause)
}

// work is how much an engine has to do, in requests; a request is taken to read a thousand tokens.
func (e Engine) work() int { return e.Load.Running + e.Load.ReadingTokens/1000 }
