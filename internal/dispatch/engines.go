package dispatch

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/placement"
)

// engineState is what the owner knows of an engine: the view of the router and exact counts of its own runs.
type engineState struct {
	view EngineView
	// Exact sums over the reserved requests.
	running             int
	pendingPromptTokens int
	pendingOutputTokens int
	memoryUsed          int
	reading             placement.ReadingMeter
	// circuitUntil is set after failures; recoveringSince when the engine came back.
	circuitUntil    time.Time
	recoveringSince time.Time
	// refusedGeneration is the generation at which the engine refused work: it is ahead of our record.
	refusedGeneration uint64
	// fullUntil is set after the engine refused work because it had no room.
	fullUntil time.Time
}

// fullPause is how long an engine that refused for lack of room gets nothing.
const fullPause = 100 * time.Millisecond

// SetEngines takes the router's view of all engines. Engines that are missing from it get nothing new.
func (c *Core) SetEngines(now time.Time, views []EngineView, effects *core.Effects) {
	known := make(map[string]bool, len(views))
	for _, view := range views {
		known[view.Name] = true
		c.setEngine(now, view)
	}
	for name, state := range c.engines {
		if known[name] {
			continue
		}
		state.view.Owned = false
		state.view.Leaving = true
		if state.running == 0 {
			delete(c.engines, name)
			c.prefixes.Forget(name)
		}
	}
	c.names = lo.Keys(c.engines)
	slices.Sort(c.names)
	c.leaveRestarted(now, effects)
	c.schedule(now, effects)
}

// UpdateEngines takes the router's view of some engines. What is known of the others stays.
func (c *Core) UpdateEngines(now time.Time, views []EngineView, effects *core.Effects) {
	for _, view := range views {
		if _, known := c.engines[view.Name]; !known {
			at, _ := slices.BinarySearch(c.names, view.Name)
			c.names = slices.Insert(c.names, at, view.Name)
		}
		c.setEngine(now, view)
	}
	c.schedule(now, effects)
}

// leaveRestarted goes on with the requests whose engine is known to have restarted: it forgot their runs.
func (c *Core) leaveRestarted(now time.Time, effects *core.Effects) {
	for _, entry := range slices.Clone(c.order) {
		state := c.engines[entry.engine]
		atEngine := entry.phase == phaseSubmitted || entry.phase == phaseAttaching || entry.phase == phaseRunning || entry.phase == phaseCancelling
		if state != nil && atEngine && entry.incarnation < state.view.Incarnation {
			c.handleLostRun(now, entry, effects)
		}
	}
}

// setEngine takes the view of one engine.
func (c *Core) setEngine(now time.Time, view EngineView) {
	state, ok := c.engines[view.Name]
	if !ok {
		c.engines[view.Name] = &engineState{view: view}
		return
	}
	restarted := view.Incarnation != state.view.Incarnation
	changed := view.Configuration.Role != state.view.Configuration.Role || view.Configuration.Model != state.view.Configuration.Model
	if restarted || changed {
		c.prefixes.Forget(view.Name)
		state.recoveringSince = now
	}
	if restarted {
		state.refusedGeneration = 0
	}
	state.view = view
}

// placementEngines returns the owned engines as placement sees them for one request.
func (c *Core) placementEngines(now time.Time, entry *request) []placement.Engine {
	engines := make([]placement.Engine, 0, len(c.names))
	for _, name := range c.names {
		state := c.engines[name]
		if state.view.Owned {
			engines = append(engines, c.placementEngine(now, entry, state))
		}
	}
	return engines
}

// placementEngine returns one engine as placement sees it.
func (c *Core) placementEngine(now time.Time, entry *request, state *engineState) placement.Engine {
	view := state.view
	return placement.Engine{
		Name:                view.Name,
		Groups:              []string{view.Group},
		Zone:                view.Zone,
		Configuration:       view.Configuration,
		Draining:            view.Draining || state.refusedGeneration > view.Generation,
		Changing:            view.Changing,
		Leaving:             view.Leaving,
		Unready:             !view.Ready,
		CircuitOpen:         now.Before(state.circuitUntil) || now.Before(state.fullUntil),
		Running:             state.running,
		PendingPromptTokens: state.pendingPromptTokens,
		PendingOutputTokens: state.pendingOutputTokens,
		MemoryUsed:          state.memoryUsed,
		MemoryTotal:         view.MemoryTotal,
		ReadingShare:        state.reading.Share(now),
		CachedTokens:        c.cachedTokens(entry, view.Name),
		Recovering:          c.recovering(now, state),
	}
}

// cachedTokens is how much of the prompt the engine probably has.
func (c *Core) cachedTokens(entry *request, name string) int {
	return c.prefixes.CachedBlocks(name, entry.work.GetPrefixBlocks()) * engine.PrefixBlockTokens
}

// bestCached is the most of the prompt that any owned engine probably has.
func (c *Core) bestCached(entry *request) int {
	best := 0
	for _, name := range c.names {
		if c.mayServe(entry, c.engines[name]) {
			best = max(best, c.cachedTokens(entry, name))
		}
	}
	return best
}

// recovering falls from 1 to 0 over the recovery time.
func (c *Core) recovering(now time.Time, state *engineState) float64 {
	if state.recoveringSince.IsZero() {
		return 0
	}
	passed := now.Sub(state.recoveringSince)
	return max(0, 1-passed.Seconds()/c.settings.RecoveryTime.Seconds())
}

// reserve counts a request at its engine.
func (c *Core) reserve(entry *request) {
	state := c.engines[entry.engine]
	if entry.reserved || state == nil {
		return
	}
	entry.reserved = true
	state.running++
	state.pendingOutputTokens += int(entry.work.GetMaxTokens())
	state.memoryUsed += memoryNeed(entry)
	if !entry.started {
		state.pendingPromptTokens += entry.uncached
	}
}

// release undoes reserve.
func (c *Core) release(entry *request) {
	state := c.engines[entry.engine]
	if !entry.reserved || state == nil {
		return
	}
	entry.reserved = false
	state.running--
	state.pendingOutputTokens -= int(entry.work.GetMaxTokens())
	state.memoryUsed -= memoryNeed(entry)
	if !entry.started {
		state.pendingPromptTokens -= entry.uncached
	}
}

// markStarted moves the prompt of a request out of the pending sum.
func (c *Core) markStarted(entry *request) {
	if entry.started {
		return
	}
	if state := c.engines[entry.engine]; state != nil && entry.reserved {
		state.pendingPromptTokens -= entry.uncached
	}
	entry.started = true
}

// memoryNeed is the KV cache of a run at its end, in tokens.
func memoryNeed(entry *request) int {
	return int(entry.work.GetPromptTokens() + entry.work.GetMaxTokens())
}

// fail opens the circuit of an engine.
func (c *Core) fail(now time.Time, name string) {
	state := c.engines[name]
	if state == nil {
		return
	}
	state.circuitUntil = now.Add(c.settings.CircuitTime)
	state.recoveringSince = state.circuitUntil
}
