package dispatch

import (
	"time"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/decision"
)

// maxTokensPerMessage bounds a Progress, so that a resumed long answer goes in pieces.
const maxTokensPerMessage = 512

// HandleProgressed takes word of what the agent holds.
func (c *Core) HandleProgressed(now time.Time, message *granitebayv1.Progressed, effects *core.Effects) {
	entry := c.requests[message.GetRequestId()]
	if entry == nil || entry.ended() {
		return
	}
	if message.GetFinished() {
		c.agentFinished(now, entry, effects)
		return
	}
	if message.GetMissing() {
		c.sendFrom(now, entry, message.GetOffset(), effects)
	}
}

// sendFrom tells the agent the tokens from an offset on. Tokens before the base come from the engine once more.
func (c *Core) sendFrom(now time.Time, entry *request, offset uint32, effects *core.Effects) {
	if offset >= entry.base {
		c.sendProgress(now, entry, offset, effects)
		return
	}
	entry.base = offset
	entry.tokens = nil
	entry.complete = false
	if entry.phase == phaseAnswered || entry.phase == phaseRunning || entry.phase == phaseAttaching {
		c.reserve(entry)
		c.attach(now, entry, effects)
	}
}

// agentFinished forgets a request that the agent no longer waits for. A run that goes on stays at its engine: the agent
// may have gone on with it through another router.
func (c *Core) agentFinished(now time.Time, entry *request, effects *core.Effects) {
	c.queue.remove(entry)
	c.release(entry)
	c.close(now, entry)
	c.schedule(now, effects)
}

// close ends an entry without an outcome.
func (c *Core) close(now time.Time, entry *request) {
	entry.phase = phaseClosed
	entry.endedAt = now
	entry.retryAt = time.Time{}
}

// end closes an entry with an outcome and tells the agent.
func (c *Core) end(now time.Time, entry *request, outcome *granitebayv1.Outcome, effects *core.Effects) {
	outcome.RequestId = entry.id()
	entry.outcome = outcome
	c.close(now, entry)
	if c.requests[entry.id()] == nil {
		c.insert(now, entry)
	}
	c.sendOutcome(entry, effects)
}

// sendOutcome tells the agent the outcome under its latest attempt.
func (c *Core) sendOutcome(entry *request, effects *core.Effects) {
	outcome := &granitebayv1.Outcome{
		RequestId:        entry.id(),
		Attempt:          entry.attempt,
		Kind:             entry.outcome.GetKind(),
		Reason:           entry.outcome.GetReason(),
		RetryAfterMillis: entry.outcome.GetRetryAfterMillis(),
		Step:             entry.outcome.GetStep(),
		Peer:             entry.outcome.GetPeer(),
		Elsewhere:        entry.outcome.GetElsewhere(),
		EveryAttempt:     entry.withdrawn,
		PassedBy:         entry.passedBy,
	}
	c.send(entry, &granitebayv1.Envelope{Body: &granitebayv1.Envelope_Outcome{Outcome: outcome}}, effects)
}

// sendAccepted tells the agent that this router answers for the request.
func (c *Core) sendAccepted(entry *request, effects *core.Effects) {
	accepted := &granitebayv1.Accepted{
		RequestId: entry.id(),
		Attempt:   entry.attempt,
		Queued:    entry.phase == phaseQueued,
		Run:       entry.run(),
	}
	c.send(entry, &granitebayv1.Envelope{Body: &granitebayv1.Envelope_Accepted{Accepted: accepted}}, effects)
}

// sendProgress tells the agent the tokens from an offset on; none if it has them all.
func (c *Core) sendProgress(now time.Time, entry *request, offset uint32, effects *core.Effects) {
	entry.lastProgress = now
	total := entry.length()
	for {
		until := min(total, offset+maxTokensPerMessage)
		if offset > until {
			offset = until
		}
		last := until == total
		progress := &granitebayv1.Progress{
			RequestId: entry.id(),
			Attempt:   entry.attempt,
			Run:       entry.run(),
			Offset:    offset,
			Tokens:    entry.tokens[offset-entry.base : until-entry.base : until-entry.base],
			Started:   entry.started,
		}
		if last && entry.complete {
			progress.Finished = true
			progress.TotalTokens = total
		}
		c.send(entry, &granitebayv1.Envelope{Body: &granitebayv1.Envelope_Progress{Progress: progress}}, effects)
		if last {
			return
		}
		offset = until
	}
}

// reasonStopping is why requests are moved at a planned stop.
const reasonStopping = "This router is stopping: the agent goes on through another router."

// move tells the agent to go on through another router, and forgets the request.
func (c *Core) move(now time.Time, entry *request, reason string, effects *core.Effects) {
	effects.Decide(decision.Record{
		Kind:           decision.KindRetry,
		Subject:        entry.id(),
		Outcome:        "moved",
		Reason:         reason,
		ConfigRevision: c.configRevision(),
	})
	c.sendMoved(entry, effects)
	c.queue.remove(entry)
	c.release(entry)
	c.close(now, entry)
}

// sendMoved tells the agent that the request is no longer here.
func (c *Core) sendMoved(entry *request, effects *core.Effects) {
	moved := &granitebayv1.Moved{RequestId: entry.id(), Attempt: entry.attempt, Run: entry.run()}
	c.send(entry, &granitebayv1.Envelope{Body: &granitebayv1.Envelope_Moved{Moved: moved}}, effects)
}

// send sends an envelope to the agent of a request.
func (c *Core) send(entry *request, envelope *granitebayv1.Envelope, effects *core.Effects) {
	if entry.agentName == "" {
		return
	}
	effects.Send(entry.agentName, entry.agentAddress, envelope)
}

// outcomeName names an outcome for people.
func outcomeName(kind granitebayv1.OutcomeKind) string {
	switch kind {
	case granitebayv1.OutcomeKind_OUTCOME_KIND_NOT_RUN:
		return "not run"
	case granitebayv1.OutcomeKind_OUTCOME_KIND_FAILED:
		return "failed"
	default:
		return "unknown"
	}
}
