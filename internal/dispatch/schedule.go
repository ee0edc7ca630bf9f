package dispatch

import (
	"fmt"
	"slices"
	"time"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/placement"
)

// maxCandidatesShown bounds the candidates in a decision.
const maxCandidatesShown = 8

// Hold keeps new work from engines until a moment, for a process that was not run for a while and must first hear what
// changed meanwhile.
func (c *Core) Hold(until time.Time) { c.holdUntil = until }

// schedule dispatches waiting requests, in the order of the queue, to engines that have room. A request that finds no
// room does not hold up those after it, unless they want the same group and model and role of engines.
func (c *Core) schedule(now time.Time, effects *core.Effects) {
	if c.stopping || c.queue.length() == 0 || now.Before(c.holdUntil) {
		return
	}
	blocked := make(map[string]bool)
	for _, entry := range c.queue.entries() {
		class := placementClass(entry)
		if blocked[class] || now.Before(entry.notBefore) {
			continue
		}
		if !c.place(now, entry, effects) {
			blocked[class] = true
		}
	}
}

// placementClass groups requests that compete for the same engines.
func placementClass(entry *request) string {
	return fmt.Sprintf("%s\x00%v\x00%s\x00%v\x00%v", entry.work.GetModel(), entry.policy.Groups, entry.work.GetAdapter(), entry.excluded, entry.tombstoned)
}

// placementRequest is a request as placement sees it.
func placementRequest(entry *request) placement.Request {
	return placement.Request{
		ID:              entry.id(),
		AllowedGroups:   entry.policy.Groups,
		Model:           entry.work.GetModel(),
		Adapter:         entry.work.GetAdapter(),
		PromptTokens:    int(entry.work.GetPromptTokens()),
		OutputTokens:    int(entry.work.GetMaxTokens()) - len(entry.tokens),
		ExcludedEngines: slices.Concat(entry.excluded, entry.tombstoned),
	}
}

// place chooses an engine for a waiting request and dispatches it; false if there is no room.
func (c *Core) place(now time.Time, entry *request, effects *core.Effects) bool {
	result := placement.Place(placementRequest(entry), c.placementEngines(now, entry), c.settings.Placement)
	if result.Engine == "" {
		return false
	}
	if !entry.repeatable() && c.tooOld(now, entry) {
		c.giveUp(now, entry, granitebayv1.OutcomeKind_OUTCOME_KIND_NOT_RUN, "The request waited so long that engines may have forgotten an earlier run of it.", effects)
		return true
	}
	if c.untouched(entry) && result.FinishSeconds > c.allowedSeconds(now, entry) {
		c.refuseLate(now, entry, result.FinishSeconds, effects)
		return true
	}
	state := c.engines[result.Engine]
	c.queue.remove(entry)
	c.shares.record(now, entry)
	entry.engine = result.Engine
	entry.incarnation = state.view.Incarnation
	entry.failures = 0
	entry.uncached = max(0, int(entry.work.GetPromptTokens())-c.cachedTokens(entry, entry.engine))
	state.reading.Record(now, entry.uncached, c.settings.Placement.Speeds[state.view.Configuration.Role])
	c.reserve(entry)
	c.prefixes.RecordDispatch(entry.engine, entry.incarnation, entry.work.GetPrefixBlocks())
	effects.Decide(c.dispatchDecision(now, entry, result))
	if entry.repeatable() {
		c.submit(now, entry, effects)
		return true
	}
	c.claim(now, entry, &granitebayv1.ClaimValue{Engine: entry.engine, EngineIncarnation: entry.incarnation}, effects)
	return true
}

// dispatchDecision records why an engine was chosen.
func (c *Core) dispatchDecision(now time.Time, entry *request, result placement.Result) decision.Record {
	candidates := result.Candidates
	if len(candidates) > maxCandidatesShown {
		candidates = candidates[:maxCandidatesShown]
	}
	return decision.Record{
		Kind:       decision.KindDispatch,
		Subject:    entry.id(),
		Outcome:    result.Engine,
		Reason:     result.Reason,
		Candidates: candidates,
		Inputs: map[string]string{
			"rule":          entry.policy.Rule,
			"prompt_tokens": fmt.Sprint(entry.work.GetPromptTokens()),
			"max_tokens":    fmt.Sprint(entry.work.GetMaxTokens()),
			"waited":        now.Sub(entry.arrived).Round(time.Millisecond).String(),
		},
		ConfigRevision: c.configRevision(),
	}
}

// submit sends a Submit to the chosen engine. It never goes to an engine that is closed to new work: under the
// generation of a draining record the engine would take the request, and the change that waits for it would cut it.
func (c *Core) submit(now time.Time, entry *request, effects *core.Effects) {
	if now.Before(c.holdUntil) {
		entry.phase = phaseSubmitted
		entry.retryAt = c.holdUntil
		return
	}
	if c.closedTo(entry) {
		c.leaveClosed(now, entry, effects)
		return
	}
	entry.phase = phaseSubmitted
	entry.submitted = true
	entry.retryAt = now.Add(c.settings.ResendInterval)
	work := entry.work
	command := engine.Submit{
		Engine:              entry.engine,
		ExpectedIncarnation: entry.incarnation,
		ExpectedGeneration:  c.generationOf(entry.engine),
		RequestID:           entry.id(),
		Model:               work.GetModel(),
		Adapter:             work.GetAdapter(),
		Prompt:              work.GetPrompt(),
		PromptDigest:        work.GetPromptDigest(),
		PromptTokens:        work.GetPromptTokens(),
		PrefixBlocks:        work.GetPrefixBlocks(),
		MaxTokens:           work.GetMaxTokens(),
		Priority:            entry.policy.Priority,
		StreamOffset:        entry.length(),
	}
	if entry.repeatable() {
		command.ContinueFrom = uint32(len(entry.tokens))
		command.PriorTokens = entry.tokens
	}
	effects.Command(command)
}

// closedTo tells whether the chosen engine takes no new work of a request: it drains, it leaves, or the configuration no
// longer lets it serve the request.
func (c *Core) closedTo(entry *request) bool {
	state := c.engines[entry.engine]
	if state == nil {
		return true
	}
	return state.view.Draining || state.view.Leaving || !contains(entry.policy.Groups, state.view.Group)
}

// leaveClosed takes a request away from an engine that closed before the request was submitted. Claimed work may already
// run there through another router, which an Attach finds out without starting it.
func (c *Core) leaveClosed(now time.Time, entry *request, effects *core.Effects) {
	if entry.repeatable() {
		c.requeue(now, entry, "", fmt.Sprintf("Engine %s takes no new work: it drains, leaves or serves other requests now.", entry.engine), effects)
		return
	}
	c.attach(now, entry, effects)
}

// generationOf returns the generation of the record of an engine.
func (c *Core) generationOf(name string) uint64 {
	if state := c.engines[name]; state != nil {
		return state.view.Generation
	}
	return 0
}

// attach asks the engine for the stream of a run that may exist.
func (c *Core) attach(now time.Time, entry *request, effects *core.Effects) {
	entry.phase = phaseAttaching
	entry.submitted = true
	entry.retryAt = now.Add(c.settings.ResendInterval)
	effects.Command(engine.Attach{
		Engine:              entry.engine,
		ExpectedIncarnation: entry.incarnation,
		RequestID:           entry.id(),
		StreamOffset:        entry.length(),
	})
}

// resume takes up a run that another router began.
func (c *Core) resume(now time.Time, entry *request, message *granitebayv1.Generate, effects *core.Effects) {
	entry.engine = message.GetRun().GetEngine()
	entry.incarnation = message.GetRun().GetEngineIncarnation()
	entry.started = message.GetResumeOffset() > 0
	if !entry.repeatable() {
		entry.base = message.GetResumeOffset()
	}
	c.reserve(entry)
	effects.Decide(decision.Record{
		Kind:           decision.KindRetry,
		Subject:        entry.id(),
		Outcome:        entry.engine,
		Reason:         fmt.Sprintf("The agent came from another router: the run at %s is taken up at token %d.", entry.engine, message.GetResumeOffset()),
		ConfigRevision: c.configRevision(),
	})
	c.attach(now, entry, effects)
}

// retry repeats the command that got no answer.
func (c *Core) retry(now time.Time, entry *request, effects *core.Effects) {
	entry.retryAt = time.Time{}
	switch entry.phase {
	case phaseSubmitted:
		if c.closedTo(entry) {
			// The engine may have taken the Submit before it closed.
			c.attach(now, entry, effects)
			return
		}
		c.submit(now, entry, effects)
	case phaseAttaching, phaseRunning:
		c.attach(now, entry, effects)
	case phaseCancelling:
		c.sendCancel(now, entry, effects)
	}
}

// requeue puts a request back into the queue, away from the engine that did not run it to the end.
func (c *Core) requeue(now time.Time, entry *request, avoid string, reason string, effects *core.Effects) {
	c.release(entry)
	entry.engine = ""
	entry.incarnation = 0
	entry.phase = phaseQueued
	entry.started = false
	entry.retryAt = time.Time{}
	if avoid != "" {
		entry.excluded = append(entry.excluded, avoid)
	}
	effects.Decide(decision.Record{
		Kind:           decision.KindRetry,
		Subject:        entry.id(),
		Outcome:        "queue",
		Reason:         reason,
		ConfigRevision: c.configRevision(),
	})
	if c.stopping {
		c.move(now, entry, reasonStopping, effects)
		return
	}
	if !c.servesEver(now, entry) {
		entry.excluded = nil
	}
	if !c.servesEver(now, entry) {
		c.giveUpUnserved(now, entry, effects)
		return
	}
	c.delayReturn(now, entry)
	entry.queuedAt = now
	c.queue.push(entry)
	c.schedule(now, effects)
}

// The delay of a request that comes back to the queue often, which doubles each time.
const (
	returnsWithoutDelay = 2
	firstReturnDelay    = 50 * time.Millisecond
	longestReturnDelay  = 2 * time.Second
	maximumDoublings    = 8
)

// delayReturn keeps a request that engines refuse again and again from going round without a pause.
func (c *Core) delayReturn(now time.Time, entry *request) {
	entry.returns++
	if entry.returns <= returnsWithoutDelay {
		return
	}
	doublings := min(entry.returns-returnsWithoutDelay-1, maximumDoublings)
	entry.notBefore = now.Add(min(firstReturnDelay<<doublings, longestReturnDelay))
}

// giveUpUnserved leaves a request that no engine of this router can run any more. Another router may have one, unless the
// request was cancelled at an engine before.
func (c *Core) giveUpUnserved(now time.Time, entry *request, effects *core.Effects) {
	if len(entry.tombstoned) == 0 {
		c.move(now, entry, "The engines of this router no longer serve the request: the agent goes on through another router.", effects)
		return
	}
	if c.reroute(now, entry, effects) {
		return
	}
	const reason = "The request was cancelled before at every engine of this router that could run it."
	if c.untouched(entry) {
		c.refuse(now, entry, &refusal{reason: reason, elsewhere: true}, effects)
		return
	}
	kind := granitebayv1.OutcomeKind_OUTCOME_KIND_UNKNOWN
	if entry.length() > 0 {
		kind = granitebayv1.OutcomeKind_OUTCOME_KIND_FAILED
	}
	c.giveUp(now, entry, kind, reason, effects)
}
