package simulation

import (
	"strings"
	"time"

	"github.com/samber/lo"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/platform"
)

// naiveRouter is a router without leases, claims, drains or resumes. It serves while nothing fails, and breaks promises
// otherwise: a simulation that finds nothing wrong with it finds nothing.
type naiveRouter struct {
	host     *processHost
	engines  []Machine
	next     int
	wake     time.Time
	epoch    uint64
	requests map[string]*granitebayv1.Generate
	offsets  map[string]uint32
	changes  int
}

func newNaiveRouter(host *processHost) core.Node {
	engines := lo.Filter(host.world.deployment.Engines, func(machine Machine, _ int) bool { return machine.Zone == host.machine.Zone })
	return &naiveRouter{host: host, engines: engines, epoch: host.incarnation, wake: host.localNow(),
		requests: map[string]*granitebayv1.Generate{}, offsets: map[string]uint32{}}
}

func (r *naiveRouter) HandleEnvelope(_ time.Time, envelope *granitebayv1.Envelope, effects *core.Effects) {
	generate := envelope.GetGenerate()
	if generate == nil {
		return
	}
	work := generate.GetWork()
	r.requests[work.GetRequestId()] = generate
	r.offsets[work.GetRequestId()] = generate.GetResumeOffset()
	r.next++
	target := r.engines[r.next%len(r.engines)].Name
	effects.Command(engine.Submit{Engine: target, ExpectedIncarnation: r.host.world.engines[target].incarnation,
		ExpectedGeneration: r.host.world.engines[target].model.Fence().Generation, RequestID: work.GetRequestId(), Model: work.GetModel(),
		PromptDigest: work.GetPromptDigest(), PromptTokens: work.GetPromptTokens(), MaxTokens: work.GetMaxTokens(),
		StreamOffset: generate.GetResumeOffset()})
}

func (r *naiveRouter) HandleEngineEvent(_ time.Time, event engine.Event, effects *core.Effects) {
	switch event := event.(type) {
	case engine.Tokens:
		if generate := r.requests[event.RequestID]; generate != nil {
			r.progress(generate, event, effects)
		}
	case engine.Refused:
		r.giveUp(event.RequestID, granitebayv1.OutcomeKind_OUTCOME_KIND_NOT_RUN, effects)
	case engine.Unreachable:
		r.giveUp(event.RequestID, granitebayv1.OutcomeKind_OUTCOME_KIND_NOT_RUN, effects)
	}
}

func (r *naiveRouter) progress(generate *granitebayv1.Generate, event engine.Tokens, effects *core.Effects) {
	if event.Error != "" {
		r.giveUp(event.RequestID, granitebayv1.OutcomeKind_OUTCOME_KIND_FAILED, effects)
		return
	}
	effects.Send(generate.GetAgentName(), "", &granitebayv1.Envelope{Body: &granitebayv1.Envelope_Progress{Progress: &granitebayv1.Progress{
		RequestId: event.RequestID, Attempt: generate.GetAttempt(), Offset: event.Offset, Tokens: event.Tokens,
		Finished: event.Finished, TotalTokens: event.Total, Started: true,
		Run: &granitebayv1.RunReference{Engine: event.Engine, EngineIncarnation: event.Incarnation}}}})
}

func (r *naiveRouter) giveUp(id string, kind granitebayv1.OutcomeKind, effects *core.Effects) {
	generate := r.requests[id]
	if generate == nil {
		return
	}
	effects.Send(generate.GetAgentName(), "", &granitebayv1.Envelope{Body: &granitebayv1.Envelope_Outcome{
		Outcome: &granitebayv1.Outcome{RequestId: id, Attempt: generate.GetAttempt(), Kind: kind, EveryAttempt: true}}})
}

// Tick orders all engines of the zone again and again, with another role each time.
func (r *naiveRouter) Tick(now time.Time, effects *core.Effects) {
	if now.Before(r.wake) || !strings.HasSuffix(r.host.machine.Name, "-1") {
		return
	}
	r.wake = now.Add(20 * time.Second)
	r.changes++
	role := engine.Roles()[r.changes%2]
	for _, machine := range r.engines {
		effects.Command(engine.Order{Engine: machine.Name, ExpectedIncarnation: r.host.world.engines[machine.Name].incarnation,
			Fence:         engine.Fence{Epoch: r.epoch, Generation: uint64(r.changes)},
			Configuration: engine.Configuration{Role: role, Model: r.host.world.deployment.Model, ModelVersion: "1"}})
	}
}

func (r *naiveRouter) NextWake() time.Time {
	if !strings.HasSuffix(r.host.machine.Name, "-1") {
		return time.Time{}
	}
	return r.wake
}

func (r *naiveRouter) HandlePeerUnreachable(time.Time, string, *core.Effects)             {}
func (r *naiveRouter) HandlePlatformResponse(time.Time, platform.Response, *core.Effects) {}
func (r *naiveRouter) HandlePlatformWatch(time.Time, platform.WatchEvent, *core.Effects)  {}
func (r *naiveRouter) Stop(time.Time, *core.Effects)                                      {}
func (r *naiveRouter) Stopped(time.Time) bool                                             { return true }
