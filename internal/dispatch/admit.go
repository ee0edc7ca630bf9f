package dispatch

import (
	"time"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/placement"
)

// Admission is what became of a Generate.
type Admission int

// The admissions.
const (
	// AdmissionTaken: this router answers for the request now.
	AdmissionTaken Admission = iota
	// AdmissionElsewhere: no engine of this router can ever run the request; another owner may.
	AdmissionElsewhere
)

// HandleGenerate takes a request as the owner of engines. The answer goes to the agent named in the message.
func (c *Core) HandleGenerate(now time.Time, message *granitebayv1.Generate, effects *core.Effects) Admission {
	if entry, ok := c.requests[message.GetWork().GetRequestId()]; ok {
		if c.rejoin(now, entry, message, effects) {
			return AdmissionTaken
		}
	}
	entry := newRequest(now, message)
	if refused := c.unacceptable(entry, message); refused != nil {
		c.refuse(now, entry, refused, effects)
		return AdmissionTaken
	}
	if message.GetRun() != nil {
		c.insert(now, entry)
		c.resume(now, entry, message, effects)
		return AdmissionTaken
	}
	if !c.servesEver(now, entry) {
		return AdmissionElsewhere
	}
	c.insert(now, entry)
	if refused := c.overload(now, entry); refused != nil {
		c.refuse(now, entry, refused, effects)
		return AdmissionTaken
	}
	c.enqueue(now, entry, effects)
	return AdmissionTaken
}

// unacceptable takes the policy of a request, and returns why the request cannot be taken whatever the load, or nil.
func (c *Core) unacceptable(entry *request, message *granitebayv1.Generate) *refusal {
	if c.stopping {
		return &refusal{reason: "This router is stopping.", elsewhere: true}
	}
	policy, ok := c.settings.PolicyFor(entry.work)
	if !ok {
		return &refusal{reason: "No rule of the configuration matches the labels of the request."}
	}
	entry.policy = policy
	applyDeadline(entry, message)
	if reason := tooLong(entry); reason != "" {
		return &refusal{reason: reason}
	}
	return nil
}

// enqueue puts an admitted request into the queue, counts its demand and dispatches what can be.
func (c *Core) enqueue(now time.Time, entry *request, effects *core.Effects) {
	c.demand.add(now, entry, c.bestCached(entry))
	entry.queuedAt = now
	c.queue.push(entry)
	c.schedule(now, effects)
	if !entry.ended() {
		c.sendAccepted(entry, effects)
	}
}

// newRequest makes the entry of a message.
func newRequest(now time.Time, message *granitebayv1.Generate) *request {
	entry := &request{work: message.GetWork(), arrived: now, lastProgress: now}
	entry.follow(now, message)
	entry.tokens = append(entry.tokens, message.GetPriorTokens()...)
	return entry
}

// follow takes the agent, the attempt and the deadline from a message.
func (r *request) follow(now time.Time, message *granitebayv1.Generate) {
	r.attempt = message.GetAttempt()
	r.agentName = message.GetAgentName()
	r.agentAddress = message.GetAgentAddress()
	r.hops = message.GetHops()
	r.passedBy = message.GetPassedBy()
	r.deadline = now.Add(time.Duration(message.GetRemainingMillis()) * time.Millisecond)
}

// insert adds an entry.
func (c *Core) insert(now time.Time, entry *request) {
	if old, ok := c.requests[entry.id()]; ok {
		c.forget(old)
	}
	c.requests[entry.id()] = entry
	c.order = append(c.order, entry)
	c.armHousekeeping(now)
}

// forget takes an entry out of the order at once.
func (c *Core) forget(entry *request) {
	for index, each := range c.order {
		if each == entry {
			c.order = append(c.order[:index:index], c.order[index+1:]...)
			return
		}
	}
}

// rejoin hands an existing entry to the sender of a repeated message. It returns false if the entry ended without a run
// and the agent asks anew.
func (c *Core) rejoin(now time.Time, entry *request, message *granitebayv1.Generate, effects *core.Effects) bool {
	newer := message.GetAttempt() > entry.attempt || message.GetAgentName() != entry.agentName
	if entry.phase == phaseClosed && newer && c.mayStartAnew(entry) {
		return false
	}
	if newer {
		entry.follow(now, message)
		applyDeadline(entry, message)
	}
	switch {
	case entry.outcome != nil:
		c.sendOutcome(entry, effects)
	case entry.phase == phaseClosed:
		c.sendMoved(entry, effects)
	default:
		c.sendAccepted(entry, effects)
		c.sendFrom(now, entry, message.GetResumeOffset(), effects)
	}
	return true
}

// mayStartAnew tells whether a request that ended here may be asked for again: it went on elsewhere, was refused, or
// may be repeated.
func (c *Core) mayStartAnew(entry *request) bool {
	if entry.outcome == nil || entry.repeatable() {
		return true
	}
	return entry.outcome.GetKind() == granitebayv1.OutcomeKind_OUTCOME_KIND_NOT_RUN
}

// servesEver tells whether an engine of this router can run the request, now or after a passing state.
func (c *Core) servesEver(now time.Time, entry *request) bool {
	result := placement.Place(placementRequest(entry), c.placementEngines(now, entry), c.settings.Placement)
	if result.Engine != "" {
		return true
	}
	for _, candidate := range result.Candidates {
		if placement.Passing(candidate.FilteredBy) {
			return true
		}
	}
	return false
}

// refuse gives a request up that never ran here.
func (c *Core) refuse(now time.Time, entry *request, refused *refusal, effects *core.Effects) {
	c.queue.remove(entry)
	effects.Decide(decision.Record{
		Kind:           decision.KindShed,
		Subject:        entry.id(),
		Outcome:        "not run",
		Reason:         refused.reason,
		ConfigRevision: c.configRevision(),
	})
	c.end(now, entry, &granitebayv1.Outcome{
		Kind:             granitebayv1.OutcomeKind_OUTCOME_KIND_NOT_RUN,
		Reason:           refused.reason,
		RetryAfterMillis: max(refused.wait, minimumRetryAfter).Milliseconds(),
		Step:             "admission",
		Elsewhere:        refused.elsewhere,
	}, effects)
}

// minimumRetryAfter is the shortest time after which it is worth asking again.
const minimumRetryAfter = 100 * time.Millisecond
