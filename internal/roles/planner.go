// Package roles assigns the prefill and decode roles to engines, so that the roles match the mix of requests. Planner decides on the
// changes, and Controller sends the orders from the process that holds the controller key.
package roles

import (
	"math"
	"slices"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
)

// Engine is the state of an engine as the planner sees it.
type Engine struct {
	Worker *backend.Worker
	// Load is the combined load from all gateways.
	Load backend.Load
	// Pace is the time that the engine takes for an event, relative to what is typical of its group; 0 if unknown.
	Pace float64
	// Usable is set if the engine is in service, not backing off and not ejected.
	Usable bool
	// TargetRole is the role that the engine was ordered to take, or empty.
	TargetRole backend.Role
	// Ended is set if this gateway saw that the engine's process has ended.
	Ended bool
	// ExpectedAt is when a replacement of an ended engine is expected, zero if unknown.
	ExpectedAt time.Time
}

// targetRole returns the role that the engine has or was ordered to take.
func (e Engine) targetRole() backend.Role {
	if e.TargetRole != backend.RoleNone {
		return e.TargetRole
	}
	return e.Worker.Role
}

// Group is the state of the engines whose roles are planned together.
type Group struct {
	Engines []Engine
	// PrefillDemand is the number of prefill engines that the offered prompts would keep busy.
	PrefillDemand float64
	// HadDecode is set once the group had decode engines. Until then missing ones don't count as lost, because their records may not have
	// arrived yet.
	HadDecode bool
	// RoleChangeTime is how long an engine takes to change its role.
	RoleChangeTime time.Duration
}

// applyChange marks the engine of a planned change as changing.
func (g *Group) applyChange(change *Change) {
	for i := range g.Engines {
		if engine := &g.Engines[i]; engine.Worker.ID == change.Worker.ID {
			engine.TargetRole, engine.Usable = change.Role, false
			return
		}
	}
}

// Change is an engine and the role that it should take.
type Change struct {
	Worker *backend.Worker
	Role   backend.Role
	Reason string
	// Urgent is set for changes that restore a lost role, without which no request completes.
	Urgent bool
}

// Settings configures a planner.
type Settings struct {
	// SmoothingTime is the time constant of the averaged decode load.
	SmoothingTime time.Duration
	// PeakDecay is the time after which a peak of the prefill demand or the decode load has decayed to 1/e.
	PeakDecay time.Duration
	// Headroom is the required ratio of the decode capacity to the peak decode load.
	Headroom float64
	// MaxPrefillUse is the utilization of prefill engines above which more are added, and MaxDecodeUse the slot utilization of decode
	// engines above which more of those are added.
	MaxPrefillUse float64
	MaxDecodeUse  float64
	// MinShare is the minimum share of the engines per role.
	MinShare float64
	// MinEngines is the minimum number of engines per role. It replaces MinShare if it is not empty.
	MinEngines map[backend.Role]int
	// ChangeInterval is the minimum interval between changes in groups of up to ChangeIntervalEngines engines. In larger groups it shrinks
	// in proportion, so that groups of any size adapt in the same time. The default of ChangeIntervalEngines is the largest group for which
	// the interval was measured.
	ChangeInterval        time.Duration
	ChangeIntervalEngines int
	// TickInterval is how often the planner runs. Changes that become due in between are made together.
	TickInterval time.Duration
	// RecoveryHold is how long decode engines keep their role after a recovery, unless no prefill engine is left. A recovery changes prefill
	// engines to the decode role to replace lost decode engines; see Planner.Recover. The hold limits the orders when decode engines crash
	// repeatedly; meanwhile decode engines can prefill the prompts of the requests that they decode.
	RecoveryHold time.Duration
	// MaxRecoveryHold is the maximum hold. The hold doubles with each further loss of decode engines that requires a recovery, and is reset
	// to RecoveryHold if more than twice its length passes between two recoveries.
	MaxRecoveryHold time.Duration
	// PaceDelay is how long a decode engine must be clearly slower than typical before it is exchanged for a faster prefill engine, and
	// PaceHold how long engines that were exchanged are not exchanged again.
	PaceDelay, PaceHold time.Duration
	// MaxExchangeShare is the share of the engines that may change their role at a time because of their pace.
	MaxExchangeShare float64
	// MaxSlowPrefillShare is the share of prefill engines that may be clearly slower than typical after an exchange.
	MaxSlowPrefillShare float64
}

// DefaultSettings returns the default settings of a planner.
func DefaultSettings() Settings {
	return Settings{
		SmoothingTime:         time.Second,
		PeakDecay:             20 * time.Second,
		Headroom:              1.4,
		MaxPrefillUse:         0.4,
		MaxDecodeUse:          0.9,
		MinShare:              1.0 / 3,
		ChangeInterval:        700 * time.Millisecond,
		ChangeIntervalEngines: 18,
		TickInterval:          250 * time.Millisecond,
		RecoveryHold:          5 * time.Second,
		MaxRecoveryHold:       time.Minute,
		PaceDelay:             2 * time.Second,
		PaceHold:              30 * time.Second,
		MaxExchangeShare:      0.1,
		MaxSlowPrefillShare:   0.7,
	}
}

// Planner plans the roles of the engines of one group. The decode role gets enough engines for its peak load plus headroom. Other engines
// become prefill engines if prompts keep those busy, because a prefill engine can prefill the prompt of any request, whereas a decode engine
// prefills only prompts of requests that it decodes itself.
// Until any demand is seen, prefill engines are added up to half of the group, unless that takes too many changes. It is a pure state
// machine and not safe for concurrent use.
//
// Invariant: a change returned by Next leaves the role that gives up an engine its minimum number of live engines, and at least one.
type Planner struct {
	settings Settings
	// prefillPeak and decodePeak are the peaks of the prefill demand and the decode load, in engines.
	prefillPeak, decodePeak decayingPeak
	// decodeLoad is the averaged number of busy decode engines.
	decodeLoad movingAverage
	nextChange time.Time
	// groupSize is the number of engines in the group.
	groupSize int
	// changing is the number of engines that change their role.
	changing int
	recovery recoveryState
	paces    paceState
	// earlyChanges counts the changes made before any demand was seen.
	earlyChanges int
}

// NewPlanner returns a planner without any history.
func NewPlanner(settings Settings) *Planner { return &Planner{settings: settings} }

// roleSummary sums up the engines that have a role or were ordered to take it.
type roleSummary struct {
	role  backend.Role
	count int
	// live engines are running, or expected back before another engine could change its role.
	live int
	// ended engines have ended and are not expected back that soon.
	ended int
	slots int
	// requests is the number of requests that the engines decode, or that wait there for a slot.
	requests int
	// ready engines have the role and are usable, so one of them can change. Engines that are ejected for failures are not ready, but
	// are counted, because they come back.
	ready []Engine
	// changing is the number of engines that were ordered to take the role and do not have it yet.
	changing int
}

// summarize returns the summary of a role.
func summarize(now time.Time, group *Group, role backend.Role) roleSummary {
	summary := roleSummary{role: role}
	for _, engine := range group.Engines {
		if engine.Worker.Role == role {
			// Engines that are about to change finish their requests.
			summary.requests += engine.Load.Decoding()
		}
		if engine.targetRole() != role || engine.Worker.Draining {
			continue
		}
		summary.count++
		if engine.Worker.Role != role {
			summary.changing++
		}
		summary.slots += engine.Worker.Slots
		if !engine.Ended || (now.Before(engine.ExpectedAt) && engine.ExpectedAt.Before(now.Add(group.RoleChangeTime))) {
			summary.live++
		} else {
			summary.ended++
		}
		if engine.Usable {
			summary.ready = append(summary.ready, engine)
		}
	}
	return summary
}

// Next returns the next change, or nil. The caller applies a change to the group before it calls Next again.
func (p *Planner) Next(now time.Time, group *Group) *Change {
	prefill, decode := summarize(now, group, backend.RolePrefill), summarize(now, group, backend.RoleDecode)
	prefill.ready, decode.ready = p.withoutFailed(now, prefill.ready), p.withoutFailed(now, decode.ready)
	p.groupSize, p.changing = prefill.count+decode.count, prefill.changing+decode.changing
	p.paces.update(now, group.Engines, &p.settings)
	if decode.slots == 0 {
		return nil
	}
	slots := float64(decode.slots) / float64(decode.count)
	decodeLoad := p.decodeLoad.update(now, float64(decode.requests)/slots, p.settings.SmoothingTime)
	decodePeak := p.decodePeak.update(now, decodeLoad, p.settings.PeakDecay)
	prefillPeak := p.prefillPeak.update(now, group.PrefillDemand, p.settings.PeakDecay)
	if now.Before(p.nextChange) {
		return p.exchange(now, group, prefill, decode)
	}
	noDemand := prefillPeak == 0 && decodePeak == 0
	prefillBusy := prefillPeak > p.settings.MaxPrefillUse*float64(prefill.count)
	decodeHasHeadroom := float64(decode.live-1) >= p.settings.Headroom*decodePeak && !p.recovery.holds(now)
	decodeFull := decodeLoad > p.settings.MaxDecodeUse*float64(decode.count)
	switch {
	case noDemand && decode.count-prefill.count >= 2 && p.canSpare(decode, prefill) && p.allowEarlyChange((decode.count-prefill.count)/2):
		return p.change(now, p.toPrefill(group, decode, prefill), backend.RolePrefill, "No demand is known yet, so each role gets half of the engines.")
	case p.belowMin(prefill, decode) && p.canSpare(decode, prefill) && (prefill.count == 0 || !p.recovery.holds(now)):
		return p.change(now, p.toPrefill(group, decode, prefill), backend.RolePrefill, "There are fewer prefill engines than the minimum.")
	case p.belowMin(decode, prefill) && p.canSpare(prefill, decode):
		return p.change(now, prefill.ready, backend.RoleDecode, "There are fewer decode engines than the minimum.")
	case prefillBusy && decodeHasHeadroom && p.canSpare(decode, prefill):
		return p.change(now, p.toPrefill(group, decode, prefill), backend.RolePrefill, "Prompts keep the prefill engines busy, and the decode engines have headroom.")
	case decodeFull && p.canSpare(prefill, decode):
		return p.change(now, prefill.ready, backend.RoleDecode, "The decode engines are full.")
	default:
		return p.exchange(now, group, prefill, decode)
	}
}

// withoutFailed returns the engines that did not fail an order recently.
func (p *Planner) withoutFailed(now time.Time, engines []Engine) []Engine {
	if len(p.recovery.failedUntil) == 0 {
		return engines
	}
	return slices.DeleteFunc(slices.Clone(engines), func(engine Engine) bool { return p.recovery.failureRank(now, engine.Worker.ID) > 0 })
}

// earlyChangeFactor limits the changes made before any demand is seen to this multiple of the square root of the group size, so their share
// of the engines shrinks as groups grow: at most 9 changes in a group of 36 engines, and 15 in a group of 100.
const earlyChangeFactor = 1.5

// allowEarlyChange reports whether a change may be made before any demand is seen, and counts it. The changes remaining until both roles
// have half of the engines must stay within the limit, because in a large group some of them would make little difference.
func (p *Planner) allowEarlyChange(remaining int) bool {
	if float64(p.earlyChanges+remaining) > earlyChangeFactor*math.Sqrt(float64(p.groupSize)) {
		return false
	}
	p.earlyChanges++
	return true
}

// belowMin reports whether a role has fewer engines than its minimum.
func (p *Planner) belowMin(summary, other roleSummary) bool {
	return summary.count < p.minEngines(summary.role, summary.count+other.count)
}

// minEngines returns the minimum number of engines of a role in a group with the given number of engines.
func (p *Planner) minEngines(role backend.Role, engines int) int {
	if len(p.settings.MinEngines) > 0 {
		return max(p.settings.MinEngines[role], 1)
	}
	return max(int(math.Ceil(p.settings.MinShare*float64(engines))), 1)
}

// canSpare reports whether a role can give up one engine.
func (p *Planner) canSpare(from, to roleSummary) bool {
	return len(from.ready) > 0 && from.live-1 >= p.minEngines(from.role, from.count+to.count)
}

// change moves the slowest engine to the prefill role, or the fastest to the decode role, and the one with the least work of those that are
// alike.
func (p *Planner) change(now time.Time, candidates []Engine, role backend.Role, reason string) *Change {
	engine := slices.MinFunc(candidates, p.paces.compare(role))
	p.delayNextChange(now)
	return &Change{Worker: engine.Worker, Role: role, Reason: reason}
}

// delayNextChange applies the change interval for the size of the group. An interval shorter than a tick is counted from the time at which
// the previous one ended, but at most one tick back, so that the changes due within a tick are made together.
func (p *Planner) delayNextChange(now time.Time) {
	pause := p.settings.ChangeInterval
	if p.groupSize > p.settings.ChangeIntervalEngines {
		pause = pause * time.Duration(p.settings.ChangeIntervalEngines) / time.Duration(p.groupSize)
	}
	from := now
	if earliest := now.Add(-p.settings.TickInterval); pause < p.settings.TickInterval {
		from = earliest
		if p.nextChange.After(earliest) {
			from = p.nextChange
		}
	}
	p.nextChange = from.Add(pause)
}

// workload returns the work of an engine in requests, counting 1000 prompt tokens as one request.
func (e Engine) workload() int { return e.Load.Running + e.Load.PrefillTokens/1000 }
