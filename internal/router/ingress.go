package router

import (
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/configuration"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/dispatch"
	"github.com/granitebay/granitebay/internal/ingress"
)

// maximumHops bounds the routers that pass a request on.
const maximumHops = 3

// forwardRetention is how long it is remembered where a request went.
const forwardRetention = 30 * time.Second

// noOwnerRetryAfter is when it is worth asking again while no engine serves a request.
const noOwnerRetryAfter = time.Second

// forward is where an attempt of a request was sent, so that a repeated message goes the same way.
type forward struct {
	attempt uint32
	owner   string
	address string
	at      time.Time
}

// handleGenerate takes a request from an agent, or from another router.
func (c *Core) handleGenerate(now time.Time, message *granitebayv1.Generate, effects *core.Effects) {
	if message.GetHops() > 0 {
		if c.dispatch.HandleGenerate(now, message, effects) == dispatch.AdmissionTaken {
			return
		}
		c.route(now, message, []string{c.settings.Self.GetName()}, effects)
		return
	}
	if c.stopping {
		c.refuse(message, "This router is stopping.", true, effects)
		return
	}
	if earlier := c.forwarded[message.GetWork().GetRequestId()]; earlier != nil && earlier.attempt >= message.GetAttempt() {
		c.pass(now, message, earlier.owner, earlier.address, effects)
		return
	}
	if message.GetRun().GetEngine() != "" {
		c.routeToRun(now, message, effects)
		return
	}
	c.route(now, message, nil, effects)
}

// routeToRun sends a request that has a run to the owner of its engine.
func (c *Core) routeToRun(now time.Time, message *granitebayv1.Generate, effects *core.Effects) {
	for _, name := range c.ownership.DispatchOrder(message.GetRun().GetEngine()) {
		if c.live(name) {
			c.pass(now, message, name, c.addressOf(name), effects)
			return
		}
	}
	c.refuse(message, "No live router owns engine "+message.GetRun().GetEngine()+".", true, effects)
}

// route chooses an owner and passes the request to it.
func (c *Core) route(now time.Time, message *granitebayv1.Generate, excluded []string, effects *core.Effects) {
	work := message.GetWork()
	policy, ok := c.policyFor(work)
	if !ok {
		c.refuse(message, "No rule of the configuration matches the labels of the request.", c.configuration.Snapshot() == nil, effects)
		return
	}
	if message.GetHops() >= maximumHops {
		c.refuse(message, "No owner took the request.", true, effects)
		return
	}
	choice, ok := c.owners.Choose(now, ingressRequest(work, policy, excluded), c.live)
	if !ok {
		c.refuse(message, "No engine that serves model "+work.GetModel()+" under rule "+policy.Rule+" is known to be ready.", true, effects)
		return
	}
	effects.Decide(decision.Record{
		Kind:           decision.KindRoute,
		Subject:        work.GetRequestId(),
		Outcome:        choice.Name,
		Reason:         choice.Reason,
		Candidates:     choice.Candidates,
		Inputs:         map[string]string{"rule": policy.Rule, "attempt": strconv.FormatUint(uint64(message.GetAttempt()), 10)},
		ConfigRevision: c.configuration.Revision(),
	})
	c.pass(now, message, choice.Name, choice.Address, effects)
}

// ingressRequest is what the choice of an owner needs to know.
func ingressRequest(work *granitebayv1.Work, policy dispatch.Policy, excluded []string) ingress.Request {
	return ingress.Request{
		ID:           work.GetRequestId(),
		Model:        work.GetModel(),
		Groups:       policy.Groups,
		PromptTokens: int(work.GetPromptTokens()),
		OutputTokens: int(work.GetMaxTokens()),
		PrefixBlocks: work.GetPrefixBlocks(),
		Excluded:     excluded,
	}
}

// reroute passes a request that waits at this owner to one that has room. It implements dispatch.Settings.Reroute.
func (c *Core) reroute(now time.Time, message *granitebayv1.Generate, effects *core.Effects) bool {
	policy, ok := c.policyFor(message.GetWork())
	if !ok || message.GetHops() >= maximumHops {
		return false
	}
	request := ingressRequest(message.GetWork(), policy, []string{c.settings.Self.GetName()})
	choice, ok := c.owners.ChooseFree(now, request, c.live)
	if !ok {
		return false
	}
	c.pass(now, message, choice.Name, choice.Address, effects)
	return true
}

// pass hands a request to an owner, which may be this router.
func (c *Core) pass(now time.Time, message *granitebayv1.Generate, owner, address string, effects *core.Effects) {
	c.remember(now, message, owner, address)
	passed := proto.CloneOf(message)
	passed.Hops++
	if owner == c.settings.Self.GetName() {
		if c.dispatch.HandleGenerate(now, passed, effects) == dispatch.AdmissionElsewhere {
			c.route(now, passed, []string{owner}, effects)
		}
		return
	}
	effects.Send(owner, address, &granitebayv1.Envelope{Body: &granitebayv1.Envelope_Generate{Generate: passed}})
}

// remember notes where a request went and forgets old ones.
func (c *Core) remember(now time.Time, message *granitebayv1.Generate, owner, address string) {
	id := message.GetWork().GetRequestId()
	if c.forwarded[id] == nil {
		c.forwardOrder = append(c.forwardOrder, id)
	}
	c.forwarded[id] = &forward{attempt: message.GetAttempt(), owner: owner, address: address, at: now}
	for len(c.forwardOrder) > 0 {
		oldest := c.forwardOrder[0]
		if now.Sub(c.forwarded[oldest].at) < forwardRetention {
			return
		}
		delete(c.forwarded, oldest)
		c.forwardOrder = c.forwardOrder[1:]
	}
}

// refuse tells the agent that this router did not run the request.
func (c *Core) refuse(message *granitebayv1.Generate, reason string, elsewhere bool, effects *core.Effects) {
	id := message.GetWork().GetRequestId()
	effects.Decide(decision.Record{
		Kind:           decision.KindShed,
		Subject:        id,
		Outcome:        "not run",
		Reason:         reason,
		ConfigRevision: c.configuration.Revision(),
	})
	outcome := &granitebayv1.Outcome{
		RequestId:        id,
		Attempt:          message.GetAttempt(),
		Kind:             granitebayv1.OutcomeKind_OUTCOME_KIND_NOT_RUN,
		Reason:           reason,
		RetryAfterMillis: noOwnerRetryAfter.Milliseconds(),
		Step:             "route",
		Peer:             c.settings.Self.GetName(),
		Elsewhere:        elsewhere,
	}
	effects.Send(message.GetAgentName(), message.GetAgentAddress(), &granitebayv1.Envelope{Body: &granitebayv1.Envelope_Outcome{Outcome: outcome}})
}

// handleCancel passes a cancel to the router that has the request; without a trace of one it is settled here.
func (c *Core) handleCancel(now time.Time, from *granitebayv1.Peer, message *granitebayv1.Cancel, effects *core.Effects) {
	passed := proto.CloneOf(message)
	if passed.GetAgentName() == "" {
		passed.AgentName = from.GetName()
		passed.AgentAddress = from.GetAddress()
	}
	earlier := c.forwarded[message.GetRequestId()]
	if earlier == nil || earlier.owner == c.settings.Self.GetName() || passed.GetHops() > 0 {
		c.dispatch.HandleCancel(now, passed, effects)
		return
	}
	passed.Hops++
	effects.Send(earlier.owner, earlier.address, &granitebayv1.Envelope{Body: &granitebayv1.Envelope_Cancel{Cancel: passed}})
}

// policyFor returns what the rules say of a piece of work.
func (c *Core) policyFor(work *granitebayv1.Work) (dispatch.Policy, bool) {
	snapshot := c.configuration.Snapshot()
	if snapshot == nil {
		return dispatch.Policy{}, false
	}
	labels := requestLabels(work)
	c.seen.add(labels)
	rule, ok := snapshot.RuleFor(labels)
	if !ok {
		return dispatch.Policy{}, false
	}
	tenant := snapshot.Tenant(work.GetTenant())
	model, _ := snapshot.Model(work.GetModel())
	limits := snapshot.LimitsOf(rule, work.GetTenant())
	return dispatch.Policy{
		Rule:        rule.Name,
		Groups:      rule.Groups,
		Priority:    rule.Priority,
		Weight:      rule.Weight * tenant.Weight,
		MaxInFlight: limits.MaximumInFlight,
		MaxQueued:   rule.MaximumQueue,

		TokensPerSecond:      limits.TokensPerSecond,
		DefaultDeadline:      rule.DefaultDeadline.Std(),
		MaximumDeadline:      rule.MaximumDeadline.Std(),
		MaximumContextTokens: model.MaximumContextTokens,
	}, true
}

// requestLabels joins the labels of the caller with those that the system sets.
func requestLabels(work *granitebayv1.Work) map[string]string {
	labels := make(map[string]string, len(work.GetLabels())+4)
	for key, value := range work.GetLabels() {
		labels[key] = value
	}
	labels[configuration.LabelTenant] = work.GetTenant()
	labels[configuration.LabelModel] = work.GetModel()
	labels[configuration.LabelRepeatable] = strconv.FormatBool(work.GetRepeatable())
	if work.GetAdapter() != "" {
		labels[configuration.LabelAdapter] = work.GetAdapter()
	}
	return labels
}
