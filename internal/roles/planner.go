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
func (e Engine) targetRole() backend.Role {
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
func (g *Group) applyChange(change *Change) {
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
	SmoothingTime time.Duration
	// Memory is the time after which a peak of the demand counts 1/e.
	PeakDecay time.Duration
	// Room is by how much the capacity of a role is to exceed the peak of its demand.
	Headroom float64
	// LeastUse is the part of the readers that must have been busy for more of them to be made, and FullUse the part of the
	// places of writers.
	MinPrefillUse float64
	MaxDecodeUse  float64
	// LeastShare is the part of the engines that each role keeps, whatever the mix of the moment. LeastOfRole takes its place
	// where operators give numbers.
	MinShare   float64
	MinEngines map[backend.Role]int
	// Pause between two changes among PauseEngines engines or fewer; among more it is shorter in proportion, so that a fleet of any
	// size follows its mix in the same time.
	ChangeInterval        time.Duration
	ChangeIntervalEngines int
	// Tick is how often changes are asked for. Those that fall due in between are made together.
	TickInterval time.Duration
	// Calm is for how long after writers were made for lost ones no writer is made a reader again, but for a first one; it doubles
	// with each further loss up to LongestCalm, and falls back once there was none for twice as long. Writers that end again and
	// again else take as many orders each time as the first, and as many back. Writers read prompts themselves meanwhile.
	RecoveryHold, MaxRecoveryHold time.Duration
}

// DefaultSettings of a planner.
func DefaultSettings() Settings {
	return Settings{
		SmoothingTime:  time.Second,
		PeakDecay:      20 * time.Second,
		Headroom:       1.4,
		MinPrefillUse:  0.4,
		MaxDecodeUse:   0.9,
		MinShare:       1.0 / 3,
		ChangeInterval: 700 * time.Millisecond,
		// The largest group for which the pause was measured.
		ChangeIntervalEngines: 18,
		TickInterval:          250 * time.Millisecond,
		RecoveryHold:          5 * time.Second,
		MaxRecoveryHold:       time.Minute,
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
	prefillPeak, decodePeak decayingPeak
	// runs are the runs of the moment, averaged.
	decodeLoad movingAverage
	nextChange time.Time
	// engines is the size of the group.
	groupSize int
	recovery  recoveryState
	// precautions counts the changes that were made before any demand was known.
	earlyChanges int
}

// NewPlanner returns a planner that has seen nothing.
func NewPlanner(settings Settings) *Planner { return &Planner{settings: settings} }

// side sums up the engines that have a role or will have it soon.
type roleSummary struct {
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
func summarize(now time.Time, group *Group, role backend.Role) roleSummary {
	summary := roleSummary{role: role}
	for _, engine := range group.Engines {
		if engine.Worker.Role == role {
			// Engines that are about to change finish what they run.
			summary.runs += engine.Load.Writing()
		}
		if engine.targetRole() != role || engine.Worker.Draining {
			continue
		}
		summary.count++
		summary.slots += engine.Worker.Slots
		if !engine.Gone || (now.Before(engine.BackAt) && engine.BackAt.Before(now.Add(group.RoleChange))) {
			summary.live++
		} else {
			summary.gone++
		}
		if engine.Usable {
			summary.ready = append(summary.ready, engine)
		}
	}
	return summary
}

// Next returns the next change, or nil. It is asked again after a change, with the group as it is then.
func (p *Planner) Next(now time.Time, group *Group) *Change {
	prefill, decode := summarize(now, group, backend.RolePrefill), summarize(now, group, backend.RoleDecode)
	p.groupSize = prefill.count + decode.count
	if decode.slots == 0 {
		return nil
	}
	slots := float64(decode.slots) / float64(decode.count)
	decodeLoad := p.decodeLoad.update(now, float64(decode.runs)/slots, p.settings.SmoothingTime)
	decodePeak := p.decodePeak.update(now, decodeLoad, p.settings.PeakDecay)
	prefillPeak := p.prefillPeak.update(now, group.ReadingDemand, p.settings.PeakDecay)
	if now.Before(p.nextChange) {
		return nil
	}
	noDemand := prefillPeak == 0 && decodePeak == 0
	prefillBusy := prefillPeak > p.settings.MinPrefillUse*float64(prefill.count)
	decodeHasHeadroom := float64(decode.live-1) >= p.settings.Headroom*decodePeak && !p.recovery.holds(now)
	decodeFull := decodeLoad > p.settings.MaxDecodeUse*float64(decode.count)
	switch {
	case noDemand && decode.count-prefill.count >= 2 && p.canSpare(decode, prefill) && p.allowEarlyChange((decode.count-prefill.count)/2):
		return p.change(now, decode, backend.RolePrefill, "Nothing is known of the mix yet, so each role gets half.")
	case p.belowMin(prefill, decode) && p.canSpare(decode, prefill) && (prefill.count == 0 || !p.recovery.holds(now)):
		return p.change(now, decode, backend.RolePrefill, "There are fewer readers than the least share.")
	case p.belowMin(decode, prefill) && p.canSpare(prefill, decode):
		return p.change(now, prefill, backend.RoleDecode, "There are fewer writers than the least share.")
	case prefillBusy && decodeHasHeadroom && p.canSpare(decode, prefill):
		return p.change(now, decode, backend.RolePrefill, "The prompts that come keep readers busy while writers have room.")
	case decodeFull && p.canSpare(prefill, decode):
		return p.change(now, prefill, backend.RoleDecode, "Runs fill the writers.")
	default:
		return nil
	}
}

// precautionFactor times the square root of the number of engines is the most that are moved for a demand that is not known yet: the spread
// of a demand grows with the square root of its size, as in staffing by the square root.
const earlyChangeFactor = 1.5

// takesPrecaution counts a change for a demand that is not known yet, and tells whether it may be made: so many more are missing until both
// roles have half. Where that takes more than the bound, a part of it would make no difference, and a fleet of ten thousand engines would
// be ordered about by the hundreds for nothing.
func (p *Planner) allowEarlyChange(remaining int) bool {
	if float64(p.earlyChanges+remaining) > earlyChangeFactor*math.Sqrt(float64(p.groupSize)) {
		return false
	}
	p.earlyChanges++
	return true
}

// fewer tells whether a side has fewer engines than its least share, because some were lost.
func (p *Planner) belowMin(summary, other roleSummary) bool {
	return summary.count < p.minEngines(summary.role, summary.count+other.count)
}

// least is how many of the engines keep a role.
func (p *Planner) minEngines(role backend.Role, engines int) int {
	if len(p.settings.MinEngines) > 0 {
		return max(p.settings.MinEngines[role], 1)
	}
	return max(int(math.Ceil(p.settings.MinShare*float64(engines))), 1)
}

// canGive tells whether a side can do with one engine less.
func (p *Planner) canSpare(from, to roleSummary) bool {
	return len(from.ready) > 0 && from.live-1 >= p.minEngines(from.role, from.count+to.count)
}

// change picks the engine with the least to do.
func (p *Planner) change(now time.Time, from roleSummary, role backend.Role, reason string) *Change {
	idlest := slices.MinFunc(from.ready, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.workload(), b.workload()), strings.Compare(a.Worker.ID, b.Worker.ID))
	})
	p.delayNextChange(now)
	return &Change{Worker: idlest.Worker, Role: role, Reason: reason}
}

// postpone puts off the next change by the pause of a group of this size.
func (p *Planner) delayNextChange(now time.Time) {
	pause := p.settings.ChangeInterval
	if p.groupSize > p.settings.ChangeIntervalEngines {
		pause = pause * time.Duration(p.settings.ChangeIntervalEngines) / time.Duration(p.groupSize)
	}
	from := now
	if due := now.Add(-p.settings.TickInterval); pause < p.settings.TickInterval {
		from = due
		if p.nextChange.After(due) {
			from = p.nextChange
		}
	}
	p.nextChange = from.Add(pause)
}

// work is how much an engine has to do, in requests; a request is taken to read a thousand tokens.
func (e Engine) workload() int { return e.Load.Running + e.Load.ReadingTokens/1000 }
