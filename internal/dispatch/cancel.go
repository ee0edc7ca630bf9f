package dispatch

import (
	"strings"
	"time"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/claim"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/engine"
)

// Reasons of outcomes after a cancel.
const (
	reasonDeadline = "The deadline of the request passed."
	reasonCaller   = "The caller went away."
)

// requestOfInstance returns the request id of a claim instance.
func requestOfInstance(instance string) string {
	id, _, _ := strings.Cut(instance, claim.InstanceSeparator)
	return id
}

// HandleCancel stops a request. The outcome goes to the agent.
func (c *Core) HandleCancel(now time.Time, message *granitebayv1.Cancel, effects *core.Effects) {
	entry, ok := c.requests[message.GetRequestId()]
	if !ok {
		c.cancelUnknown(now, message, effects)
		return
	}
	if message.GetAgentName() != "" && message.GetAgentName() != entry.agentName {
		// The same request came through another agent since, whose caller still waits.
		return
	}
	if entry.ended() && message.GetAttempt() > entry.attempt {
		// What became of an earlier attempt here proves nothing about a later one, which went elsewhere.
		c.cancelUnknown(now, message, effects)
		return
	}
	entry.attempt = max(entry.attempt, message.GetAttempt())
	if entry.outcome != nil {
		c.sendOutcome(entry, effects)
		return
	}
	if entry.ended() || entry.complete {
		return
	}
	c.cancel(now, entry, reasonCaller, effects)
}

// cancelUnknown proves what can be proved of a request that this router does not have: a claim can be withdrawn, and a run
// whose engine is known can be cancelled.
func (c *Core) cancelUnknown(now time.Time, message *granitebayv1.Cancel, effects *core.Effects) {
	entry := &request{
		work:         &granitebayv1.Work{RequestId: message.GetRequestId(), Repeatable: message.GetRepeatable()},
		attempt:      message.GetAttempt(),
		agentName:    message.GetAgentName(),
		agentAddress: message.GetAgentAddress(),
		deadline:     now.Add(cancelTime),
		arrived:      now,
		lastProgress: now,
		cancelReason: reasonCaller,
		engine:       message.GetRun().GetEngine(),
		incarnation:  message.GetRun().GetEngineIncarnation(),
	}
	switch {
	case entry.engine != "":
		c.insert(now, entry)
		entry.submitted = true
		c.sendCancel(now, entry, effects)
	case !entry.repeatable():
		c.insert(now, entry)
		c.claim(now, entry, &granitebayv1.ClaimValue{Withdrawn: true}, effects)
	}
}

// cancelTime bounds the cancel of a request that this router did not have.
const cancelTime = 2 * time.Second

// expire deals with a request whose deadline comes near.
func (c *Core) expire(now time.Time, entry *request, effects *core.Effects) {
	switch {
	case entry.phase == phaseAnswered:
		if now.After(entry.deadline) {
			c.close(now, entry)
		}
	case entry.cancelReason == "":
		c.cancel(now, entry, reasonDeadline, effects)
	case now.After(entry.deadline):
		c.failUnconfirmed(now, entry, effects)
	}
}

// cancel stops a request at whatever point it is.
func (c *Core) cancel(now time.Time, entry *request, reason string, effects *core.Effects) {
	entry.cancelReason = reason
	switch entry.phase {
	case phaseQueued:
		c.cancelQueued(now, entry, effects)
	case phaseClaiming:
		entry.phase = phaseWithdrawing
	case phaseSubmitted, phaseAttaching, phaseRunning:
		c.sendCancel(now, entry, effects)
	}
}

// cancelQueued stops a request that is at no engine. Repeatable work that ran partway elsewhere has failed.
func (c *Core) cancelQueued(now time.Time, entry *request, effects *core.Effects) {
	if entry.submitted || entry.length() > 0 {
		kind := granitebayv1.OutcomeKind_OUTCOME_KIND_UNKNOWN
		if entry.length() > 0 {
			kind = granitebayv1.OutcomeKind_OUTCOME_KIND_FAILED
		}
		c.giveUp(now, entry, kind, entry.cancelReason+" It had run partway.", effects)
		return
	}
	c.giveUp(now, entry, granitebayv1.OutcomeKind_OUTCOME_KIND_NOT_RUN, entry.cancelReason+" It was not dispatched.", effects)
}

// sendCancel asks the engine to stop the run and to refuse the request from now on.
func (c *Core) sendCancel(now time.Time, entry *request, effects *core.Effects) {
	entry.phase = phaseCancelling
	entry.retryAt = now.Add(retryDelay)
	effects.Command(engine.Cancel{Engine: entry.engine, RequestID: entry.id()})
}

// handleCancelled takes the tombstone of an engine.
func (c *Core) handleCancelled(now time.Time, event engine.Cancelled, effects *core.Effects) {
	entry := c.current(event.RequestID, event.Engine)
	if entry == nil || entry.phase != phaseCancelling {
		return
	}
	if event.Incarnation != entry.incarnation {
		c.handleLostRun(now, entry, effects)
		return
	}
	c.endCancelled(now, entry, event.Started, effects)
}

// endCancelled goes on after the engine confirmed that the request is stopped there.
func (c *Core) endCancelled(now time.Time, entry *request, started bool, effects *core.Effects) {
	switch {
	case started || entry.length() > 0:
		reason := entry.cancelReason
		if reason == "" {
			reason = "The run was stopped."
		}
		c.giveUp(now, entry, granitebayv1.OutcomeKind_OUTCOME_KIND_FAILED, reason+" It had run partway.", effects)
	case entry.repeatable():
		c.giveUp(now, entry, granitebayv1.OutcomeKind_OUTCOME_KIND_NOT_RUN, entry.cancelReason+" The engine confirmed that it was not run.", effects)
	case c.tooOld(now, entry):
		c.giveUp(now, entry, granitebayv1.OutcomeKind_OUTCOME_KIND_UNKNOWN, entry.cancelReason+" The engine may have run it and forgotten.", effects)
	default:
		c.nextInstance(now, entry, effects)
	}
}

// failUnconfirmed gives up a request whose cancel was not confirmed in time.
func (c *Core) failUnconfirmed(now time.Time, entry *request, effects *core.Effects) {
	kind := granitebayv1.OutcomeKind_OUTCOME_KIND_UNKNOWN
	if entry.length() > 0 {
		kind = granitebayv1.OutcomeKind_OUTCOME_KIND_FAILED
	}
	c.giveUp(now, entry, kind, entry.cancelReason+" The stop was not confirmed in time.", effects)
}
