package dispatch

import (
	"fmt"
	"time"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/engine"
)

// retryDelay is the pause before a failed command to an engine is repeated.
const retryDelay = 200 * time.Millisecond

// HandleEngineEvent takes an event of an engine that concerns a request.
func (c *Core) HandleEngineEvent(now time.Time, event engine.Event, effects *core.Effects) {
	switch event := event.(type) {
	case engine.Tokens:
		c.handleTokens(now, event, effects)
	case engine.Refused:
		c.handleRefused(now, event, effects)
	case engine.Cancelled:
		c.handleCancelled(now, event, effects)
	case engine.Unreachable:
		c.handleUnreachable(now, event, effects)
	case engine.CacheEvent:
		c.prefixes.HandleCacheEvent(event)
	}
}

// current returns the live entry that an event concerns, if it comes from the chosen run.
func (c *Core) current(requestID, engineName string) *request {
	entry := c.requests[requestID]
	if entry == nil || entry.ended() || entry.engine != engineName {
		return nil
	}
	return entry
}

// handleTokens keeps new tokens and relays them.
func (c *Core) handleTokens(now time.Time, event engine.Tokens, effects *core.Effects) {
	entry := c.current(event.RequestID, event.Engine)
	if entry == nil || event.Incarnation != entry.incarnation || entry.complete {
		return
	}
	have := entry.length()
	if event.Error != "" {
		c.handleCut(now, entry, event.Error, effects)
		return
	}
	if event.Offset > have {
		c.attach(now, entry, effects)
		return
	}
	c.noteAlive(now, entry)
	if skip := have - event.Offset; skip < uint32(len(event.Tokens)) {
		entry.tokens = append(entry.tokens, event.Tokens[skip:]...)
	}
	if event.Finished && entry.length() == event.Total {
		entry.complete = true
	}
	if entry.length() > have || entry.complete {
		c.sendProgress(now, entry, have, effects)
	}
	if entry.complete {
		c.finish(now, entry, effects)
	}
}

// noteAlive records that the run goes on.
func (c *Core) noteAlive(now time.Time, entry *request) {
	if entry.phase != phaseCancelling {
		entry.phase = phaseRunning
		entry.retryAt = now.Add(c.settings.ResendInterval)
	}
	entry.failures = 0
	c.markStarted(entry)
}

// finish frees the engine. The answer is kept until the agent has it.
func (c *Core) finish(now time.Time, entry *request, effects *core.Effects) {
	c.release(entry)
	entry.phase = phaseAnswered
	entry.retryAt = time.Time{}
	effects.Decide(decision.Record{
		Kind:           decision.KindOutcome,
		Subject:        entry.id(),
		Outcome:        "answered",
		Reason:         fmt.Sprintf("Engine %s produced %d tokens, %s after the request came to this router.", entry.engine, entry.length(), now.Sub(entry.arrived).Round(time.Millisecond)),
		ConfigRevision: c.configRevision(),
	})
	c.schedule(now, effects)
}

// handleCut deals with a run that the engine ended partway.
func (c *Core) handleCut(now time.Time, entry *request, cause string, effects *core.Effects) {
	if entry.phase == phaseCancelling {
		c.endCancelled(now, entry, true, effects)
		return
	}
	if entry.repeatable() {
		c.requeue(now, entry, "", fmt.Sprintf("Engine %s ended the run (%s); it goes on at another engine from token %d.", entry.engine, cause, entry.length()), effects)
		return
	}
	c.failRun(now, entry, fmt.Sprintf("Engine %s ended the run partway: %s. It may not be repeated.", entry.engine, cause), effects)
}

// failRun gives up a request that ran partway.
func (c *Core) failRun(now time.Time, entry *request, reason string, effects *core.Effects) {
	kind := granitebayv1.OutcomeKind_OUTCOME_KIND_FAILED
	if entry.length() == 0 && !entry.started {
		kind = granitebayv1.OutcomeKind_OUTCOME_KIND_UNKNOWN
	}
	c.giveUp(now, entry, kind, reason, effects)
}

// giveUp ends a request with an outcome and records it.
func (c *Core) giveUp(now time.Time, entry *request, kind granitebayv1.OutcomeKind, reason string, effects *core.Effects) {
	peer := entry.engine
	c.queue.remove(entry)
	c.release(entry)
	effects.Decide(decision.Record{
		Kind:           decision.KindOutcome,
		Subject:        entry.id(),
		Outcome:        outcomeName(kind),
		Reason:         reason,
		ConfigRevision: c.configRevision(),
	})
	c.end(now, entry, &granitebayv1.Outcome{
		Kind:             kind,
		Reason:           reason,
		RetryAfterMillis: max(c.expectedWait(entry), minimumRetryAfter).Milliseconds(),
		Step:             "run",
		Peer:             peer,
	}, effects)
	c.schedule(now, effects)
}

// handleRefused deals with an engine that did not take a Submit or Attach.
func (c *Core) handleRefused(now time.Time, event engine.Refused, effects *core.Effects) {
	entry := c.current(event.RequestID, event.Engine)
	if entry == nil || (entry.phase != phaseSubmitted && entry.phase != phaseAttaching) {
		return
	}
	c.noteRefusal(now, event)
	switch event.Refusal {
	case engine.RefusalUnknownRun:
		c.handleUnknownRun(now, entry, effects)
	case engine.RefusalIncarnation:
		c.handleLostRun(now, entry, effects)
	default:
		c.handleNotTaken(now, entry, event, effects)
	}
}

// noteRefusal remembers what a refusal tells of the engine.
func (c *Core) noteRefusal(now time.Time, event engine.Refused) {
	state := c.engines[event.Engine]
	if state == nil {
		return
	}
	switch event.Refusal {
	case engine.RefusalGeneration:
		state.refusedGeneration = max(state.refusedGeneration, event.Generation)
	case engine.RefusalFull:
		state.fullUntil = now.Add(fullPause)
	case engine.RefusalChanging, engine.RefusalModel:
		state.circuitUntil = now.Add(c.settings.CircuitTime)
	}
}

// handleUnknownRun deals with an Attach to a run that the engine never had: it may be submitted.
func (c *Core) handleUnknownRun(now time.Time, entry *request, effects *core.Effects) {
	if entry.repeatable() {
		c.requeue(now, entry, "", fmt.Sprintf("Engine %s has no run of this request.", entry.engine), effects)
		return
	}
	if c.tooOld(now, entry) {
		c.giveUp(now, entry, granitebayv1.OutcomeKind_OUTCOME_KIND_UNKNOWN, fmt.Sprintf("Engine %s has no run of this request, but it may have run it and forgotten.", entry.engine), effects)
		return
	}
	if c.closedTo(entry) {
		// The claim is for this engine alone: a tombstone there lets another engine be claimed.
		c.sendCancel(now, entry, effects)
		return
	}
	c.submit(now, entry, effects)
}

// handleLostRun deals with an engine that restarted and forgot the run, if it had it.
func (c *Core) handleLostRun(now time.Time, entry *request, effects *core.Effects) {
	if entry.repeatable() {
		c.requeue(now, entry, "", fmt.Sprintf("Engine %s restarted; the run goes on from token %d.", entry.engine, entry.length()), effects)
		return
	}
	c.failRun(now, entry, fmt.Sprintf("Engine %s restarted. The request may have run and may not be repeated.", entry.engine), effects)
}

// handleNotTaken deals with a Submit or Attach that the engine refused for its state: it has not run the request.
func (c *Core) handleNotTaken(now time.Time, entry *request, event engine.Refused, effects *core.Effects) {
	if event.Refusal == engine.RefusalTooLong {
		c.giveUp(now, entry, granitebayv1.OutcomeKind_OUTCOME_KIND_NOT_RUN, fmt.Sprintf("The prompt of %d tokens does not fit the memory of engine %s.", entry.work.GetPromptTokens(), entry.engine), effects)
		return
	}
	if entry.repeatable() {
		entry.submitted = false
		if event.Refusal == engine.RefusalCancelled {
			entry.tombstoned = append(entry.tombstoned, event.Engine)
		}
		c.requeue(now, entry, "", fmt.Sprintf("Engine %s refused the request: %s.", entry.engine, event.Refusal), effects)
		return
	}
	// The claim is for this engine alone: a tombstone there lets another engine be claimed. If there is one already, its
	// confirmation tells whether the run had started before.
	entry.cancelReason = ""
	c.sendCancel(now, entry, effects)
}

// handleUnreachable deals with a command that got no answer, or a stream that broke.
func (c *Core) handleUnreachable(now time.Time, event engine.Unreachable, effects *core.Effects) {
	entry := c.current(event.RequestID, event.Engine)
	if entry == nil || entry.complete || entry.phase == phaseClaiming || entry.phase == phaseWithdrawing {
		return
	}
	entry.failures++
	entry.retryAt = now.Add(retryDelay)
	if entry.phase == phaseRunning {
		entry.phase = phaseAttaching
	}
	if entry.phase == phaseCancelling {
		return
	}
	neverSent := event.NotSent && entry.phase == phaseSubmitted && entry.failures == 1 && !entry.started
	if !entry.repeatable() || (!neverSent && entry.failures < c.settings.EngineFailures) {
		return
	}
	c.fail(now, event.Engine)
	c.requeue(now, entry, event.Engine, fmt.Sprintf("Engine %s does not answer (%s); another engine goes on from token %d.", event.Engine, event.Reason, entry.length()), effects)
}
