package experiment

import (
	"time"

	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/roleplan"
)

// epochOfOrders is the epoch of all orders of an experiment.
const epochOfOrders = 1

// startChange takes an engine out of dispatch. The order with the old content raises the fence, so that a load report
// at this generation which shows nothing running proves that the engine is empty.
func (f *front) startChange(now time.Time, change roleplan.Change) {
	state := f.engines[f.fleet.index[change.Engine]]
	if state.phase != phaseServing {
		return
	}
	state.phase = phaseDraining
	state.target = change.To
	f.order(now, state, state.configuration)
	f.showOwner(now)
}

func (f *front) order(now time.Time, state *engineState, wanted engine.Configuration) {
	state.generation++
	f.send(now, engine.Order{
		Engine:              state.name,
		ExpectedIncarnation: incarnation,
		Fence:               engine.Fence{Epoch: epochOfOrders, Generation: state.generation},
		Configuration:       wanted,
		Sender:              clientName,
	})
}

// handleStatus takes a load report and drives the change of the engine on.
func (f *front) handleStatus(now time.Time, status engine.Status) {
	state := f.engines[f.fleet.index[status.Engine]]
	state.report = status
	if status.Fence.Generation < state.generation {
		return
	}
	switch state.phase {
	case phaseDraining:
		if status.Running+status.Waiting == 0 && state.running == 0 {
			state.phase = phaseChanging
			f.order(now, state, configuration(state.target))
			f.showOwner(now)
		}
	case phaseChanging:
		if !status.Changing {
			state.phase = phaseServing
			state.configuration = status.Configuration
			state.changedAt = now
			f.prefixes.Forget(state.name)
			f.showOwner(now)
			f.schedule(now)
		}
	}
}

// showOwner tells the dispatch core that an engine changed, where it is run.
func (f *front) showOwner(now time.Time) {
	if f.owner != nil {
		f.owner.showEngines(now)
	}
}

// planEngines returns the engines as the role plan sees them.
func (f *front) planEngines() []roleplan.Engine {
	result := make([]roleplan.Engine, 0, len(f.engines))
	for _, each := range f.engines {
		result = append(result, roleplan.Engine{
			Name:      each.name,
			Role:      each.configuration.Role,
			Changing:  each.phase != phaseServing,
			Target:    each.target,
			ChangedAt: each.changedAt,
			Pending:   f.pending(each),
		})
	}
	return result
}

// pending is the time that the work at an engine takes.
func (f *front) pending(state *engineState) time.Duration {
	speed := f.speeds.Speeds[state.configuration.Role]
	batch := max(1, min(state.running, speed.Slots))
	step := speed.StepSeconds + speed.StepSecondsPerRun*float64(batch-1)
	seconds := float64(state.pendingPromptTokens)/speed.PromptTokensPerSecond +
		float64(state.pendingOutputTokens)*step/float64(batch)
	return time.Duration(seconds * float64(time.Second))
}

// demand returns what arrives, with the queues of tenants within their share.
func (f *front) demand(now time.Time) roleplan.Demand {
	if f.owner != nil {
		return f.owner.demand(now)
	}
	f.meter.Tick(now)
	demand := f.meter.Demand()
	for index := range demand.Classes {
		class := &demand.Classes[index]
		for _, each := range f.queue.all() {
			if each.request.Class == class.Name && f.offered.demand(now, each.request.Tenant) == 1 {
				class.Queued++
				class.QueueAge = max(class.QueueAge, now.Sub(each.arrived))
			}
		}
	}
	return demand
}
