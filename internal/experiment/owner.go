package experiment

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/samber/lo"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/dispatch"
	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/placement"
	"github.com/granitebay/granitebay/internal/roleplan"
)

// Labels and names by which a request goes through the owner.
const (
	ownerName     = "router"
	ownerGroup    = "group"
	agentName     = "agent"
	labelPriority = "priority"
)

// owner runs the dispatch core of the routers in place of the queue of the front: the same code that serves, for one router
// that owns all engines. The front still counts the work at engines and changes their roles.
type owner struct {
	front   *front
	core    *dispatch.Core
	effects core.Effects
	// busy is set while effects are carried out; what they cause is added behind them.
	busy bool
}

func newOwner(f *front, settings placement.Settings, seed uint64) *owner {
	result := &owner{front: f}
	result.core = dispatch.New(dispatch.Settings{
		Self:      ownerName,
		Placement: settings,
		PolicyFor: policyOf,
	}, nil, rand.New(rand.NewPCG(seed, seed)))
	result.showEngines(epoch)
	return result
}

// policyOf is the rule of a request: its priority comes by a label.
func policyOf(work *granitebayv1.Work) (dispatch.Policy, bool) {
	priority, err := strconv.ParseInt(work.GetLabels()[labelPriority], 10, 32)
	return dispatch.Policy{Rule: "all", Groups: []string{ownerGroup}, Priority: int32(priority), Weight: 1}, err == nil
}

// showEngines tells the core the state of all engines.
func (o *owner) showEngines(now time.Time) {
	views := lo.Map(o.front.engines, func(state *engineState, _ int) dispatch.EngineView {
		return dispatch.EngineView{
			Name:          state.name,
			Group:         ownerGroup,
			Incarnation:   incarnation,
			Generation:    state.generation,
			Configuration: state.configuration,
			Draining:      state.phase == phaseDraining,
			Changing:      state.phase == phaseChanging,
			Ready:         state.phase == phaseServing,
			Owned:         true,
			MemoryTotal:   state.memoryTotal,
		}
	})
	o.core.SetEngines(now, views, &o.effects)
	o.settle(now)
}

// arrive hands a request to the core as an agent does.
func (o *owner) arrive(now time.Time, request *Request) {
	message := &granitebayv1.Generate{
		Work: &granitebayv1.Work{
			RequestId:    request.ID,
			Tenant:       request.Tenant,
			Labels:       map[string]string{labelPriority: strconv.Itoa(int(request.Priority))},
			Model:        modelName,
			PromptTokens: uint32(request.PromptTokens),
			PrefixBlocks: request.PrefixBlocks,
			MaxTokens:    uint32(request.OutputTokens),
			Repeatable:   true,
		},
		Attempt:         1,
		RemainingMillis: request.TimeLimit.Milliseconds(),
		AgentName:       agentName,
		DeadlineNamed:   true,
	}
	o.core.HandleGenerate(now, message, &o.effects)
	o.settle(now)
}

// handle gives an event of an engine to the core.
func (o *owner) handle(now time.Time, event engine.Event) {
	o.core.HandleEngineEvent(now, event, &o.effects)
	o.settle(now)
}

// tick lets the core look at deadlines and its queue.
func (o *owner) tick(now time.Time) {
	o.core.Tick(now, &o.effects)
	o.settle(now)
}

// settle carries out the effects, and those that they cause.
func (o *owner) settle(now time.Time) {
	if o.busy {
		return
	}
	o.busy = true
	for len(o.effects.Engine)+len(o.effects.Messages) > 0 {
		commands, messages := o.effects.Engine, o.effects.Messages
		o.effects = core.Effects{}
		for _, message := range messages {
			o.tell(now, message.Envelope)
		}
		for _, command := range commands {
			o.send(now, command)
		}
	}
	o.effects.Reset()
	o.busy = false
}

// tell takes a message to the agent: only outcomes count, as tokens are counted at the engine.
func (o *owner) tell(now time.Time, envelope *granitebayv1.Envelope) {
	if progress := envelope.GetProgress(); progress.GetFinished() {
		finished := &granitebayv1.Progressed{RequestId: progress.GetRequestId(), Finished: true}
		o.core.HandleProgressed(now, finished, &o.effects)
	}
	outcome := envelope.GetOutcome()
	given, known := o.front.calls[outcome.GetRequestId()]
	if !known {
		return
	}
	if given.engine != "" {
		o.front.engines[o.front.fleet.index[given.engine]].release(given)
	}
	given.shed = outcome.GetKind() == granitebayv1.OutcomeKind_OUTCOME_KIND_NOT_RUN
	delete(o.front.calls, given.request.ID)
}

// send gives a command to its engine, and counts a submit there.
func (o *owner) send(now time.Time, command engine.Command) {
	if submit, isSubmit := command.(engine.Submit); isSubmit {
		if given, known := o.front.calls[submit.RequestID]; known && given.engine == "" {
			o.front.countSubmit(now, given, submit.Engine)
		}
	}
	o.front.send(now, command)
}

// demand is what the core reports for the role plan.
func (o *owner) demand(now time.Time) roleplan.Demand {
	return roleplan.Demand{Classes: lo.Map(o.core.Demand(now), func(class *granitebayv1.DemandClass, _ int) roleplan.ClassDemand {
		return roleplan.ClassDemand{
			Name:         class.GetName(),
			Requests:     roleplan.Averages{Fast: class.GetRequestsFast(), Slow: class.GetRequestsSlow()},
			PromptTokens: roleplan.Averages{Fast: class.GetPromptTokensFast(), Slow: class.GetPromptTokensSlow()},
			OutputTokens: roleplan.Averages{Fast: class.GetOutputTokensFast(), Slow: class.GetOutputTokensSlow()},
			Deadline:     time.Duration(class.GetDeadlineMillis()) * time.Millisecond,
			Worth:        1,
			Queued:       int(class.GetQueued()),
			QueueAge:     time.Duration(class.GetOldestQueuedMillis()) * time.Millisecond,
		}
	})}
}
