package simulation

import (
	"time"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/agent"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/engine"
)

// agentNode is the core of an agent as callers use it.
type agentNode interface {
	core.Node
	SubmitForID(now time.Time, call uint64, request agent.CallerRequest, effects *core.Effects) (string, error)
	CallerGone(now time.Time, call uint64, effects *core.Effects)
}

var _ agentNode = (*stoppableAgent)(nil)

// askAgainAfterKill is how long a caller waits until it asks again when its agent was killed.
const askAgainAfterKill = 300 * time.Millisecond

// openCall is a call that has not ended.
type openCall struct {
	number    uint64
	requestID string
	host      *processHost
	request   agent.CallerRequest
	patience  time.Duration
	asked     bool
}

// callers make the calls of a run and note what they get.
type callers struct {
	world *world
	last  uint64
	open  map[uint64]*openCall
}

func newCallers(w *world) *callers { return &callers{world: w, open: map[uint64]*openCall{}} }

// start plans all first calls.
func (c *callers) start() {
	for _, planned := range drawCalls(c.world.seed, c.world.deployment, c.world.phases) {
		c.world.at(planned.at, func() { c.begin(planned) })
	}
}

// begin makes a first call and plans what follows from it.
func (c *callers) begin(planned plannedCall) {
	number := c.ask(planned.agent, planned.request, planned.patience)
	if planned.leaves > 0 {
		c.world.after(planned.leaves, func() { c.leave(number) })
	}
	if planned.again > 0 {
		c.world.after(planned.again, func() { c.ask(planned.againAgent, planned.request, planned.patience) })
	}
}

// ask makes a call at an agent, or at the next one that takes calls.
func (c *callers) ask(agentName string, request agent.CallerRequest, patience time.Duration) uint64 {
	host := c.takingCalls(agentName)
	if host == nil {
		return 0
	}
	c.last++
	made := &openCall{number: c.last, host: host, request: request, patience: patience}
	c.open[made.number] = made
	if request.IdempotencyKey != "" {
		made.requestID = request.Tenant + "/" + request.IdempotencyKey
		c.observeAsked(made)
	}
	deadline := c.world.now + patience
	host.do(func(now time.Time, effects *core.Effects) { c.submit(made, deadline, now, effects) })
	return made.number
}

// takingCalls returns an agent that accepts connections, if there is one. A paused one does.
func (c *callers) takingCalls(agentName string) *processHost {
	first := c.world.processes[agentName]
	if first.state != processDead && !first.stopping {
		return first
	}
	for _, machine := range c.world.deployment.Agents {
		if host := c.world.processes[machine.Name]; host.state != processDead && !host.stopping {
			return host
		}
	}
	return nil
}

// submit hands a call to the core of the agent. A caller without a key that went away before a paused agent took its
// connection was never heard of.
func (c *callers) submit(made *openCall, deadline time.Duration, now time.Time, effects *core.Effects) {
	if c.open[made.number] == nil && !made.asked {
		return
	}
	node := made.host.node.(agentNode)
	request := made.request
	request.Deadline = made.host.clock.read(deadline)
	id, err := node.SubmitForID(now, made.number, request, effects)
	if made.requestID == "" {
		made.requestID = id
		c.observeAsked(made)
	}
	if err != nil && c.open[made.number] != nil {
		c.end(made, EndNotRun, err.Error())
	}
}

// observeAsked notes a call, once.
func (c *callers) observeAsked(made *openCall) {
	if made.asked {
		return
	}
	made.asked = true
	c.world.observe(CallAsked{Seen: c.world.seen(), Call: made.number, RequestID: made.requestID, Agent: made.host.machine.Name,
		Repeatable: made.request.Repeatable, Deadline: c.world.now + made.patience, Labels: made.request.Labels,
		Expected: engine.AnswerTokens(made.request.PromptDigest, 0, made.request.MaxTokens)})
}

// leave lets a caller go away.
func (c *callers) leave(number uint64) {
	made := c.open[number]
	if made == nil {
		return
	}
	made.host.do(func(now time.Time, effects *core.Effects) {
		made.host.node.(agentNode).CallerGone(now, number, effects)
	})
	if !made.asked {
		delete(c.open, number)
		return
	}
	c.end(made, EndLeft, "")
}

// receive takes what an agent gives to a caller.
func (c *callers) receive(host *processHost, given core.CallerEvent) {
	made := c.open[given.Call]
	if made == nil {
		return
	}
	if len(given.Tokens) > 0 {
		c.world.observe(CallTokens{Seen: c.world.seen(), Call: made.number, RequestID: made.requestID, Offset: given.Offset,
			Tokens: given.Tokens})
	}
	switch {
	case given.Finished:
		c.end(made, EndAnswered, "")
	case given.Outcome != nil:
		c.end(made, endingOf(given.Outcome.GetKind()), given.Outcome.GetReason())
	}
}

// endingOf returns how an outcome looks to a caller.
func endingOf(kind granitebayv1.OutcomeKind) Ending {
	switch kind {
	case granitebayv1.OutcomeKind_OUTCOME_KIND_NOT_RUN:
		return EndNotRun
	case granitebayv1.OutcomeKind_OUTCOME_KIND_FAILED:
		return EndFailed
	default:
		return EndUnknown
	}
}

// end notes the end of a call.
func (c *callers) end(made *openCall, ending Ending, reason string) {
	delete(c.open, made.number)
	c.world.observe(CallEnded{Seen: c.world.seen(), Call: made.number, RequestID: made.requestID, Ending: ending, Reason: reason})
}

// agentEnded breaks the calls at an agent that ended. Callers with a key ask again with it through another agent.
func (c *callers) agentEnded(host *processHost) {
	for number := uint64(1); number <= c.last; number++ {
		made := c.open[number]
		if made == nil || made.host != host {
			continue
		}
		c.observeAsked(made)
		c.end(made, EndBroken, "the connection to the agent broke")
		if made.request.IdempotencyKey != "" {
			c.world.after(askAgainAfterKill, func() { c.ask(host.machine.Name, made.request, made.patience) })
		}
	}
}
