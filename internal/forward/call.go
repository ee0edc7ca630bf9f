package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/poison"
	"github.com/granitebay/granitebay/internal/routing"
)

// call is one request in progress.
type call struct {
	handler  *Handler
	writer   http.ResponseWriter
	request  *Request
	match    routing.Match
	deadline time.Time
	report   *Report
	guarded  *guardedRequest
	attempts attempts
	relay    relay
	// truncationEvent returns the event that ends a stream that was cut off; nil if the protocol has none.
	truncationEvent func(Reason) []byte
	// prefills counts prefill calls that an engine accepted.
	prefills int
	// prefillFailures counts failed prefill calls.
	prefillFailures int
	// prefilledAt is the engine whose prompt handle was refused. Its cache may still hold the prompt.
	prefilledAt *backend.Worker
	// isExclusive is set while this call holds the exclusive run of a suspect request.
	isExclusive bool
	// usageCounted is set once the request has been counted for its tenant.
	usageCounted bool
	// lastError is the response of a worker that failed, sent to the caller if no attempt succeeds.
	lastError *bufferedResponse
}

// maxPrefillFailures is the number of failed prefill calls after which the runner prefills the prompt itself.
const maxPrefillFailures = 2

// run makes attempts until one succeeds or no further attempt is allowed.
func (c *call) run(ctx context.Context) connAction {
	defer c.endExclusive()
	for {
		if time.Until(c.deadline) < c.handler.settings.MinRemaining {
			return c.giveUp(failureDeadline, c.attempts.final(failureDeadline))
		}
		status, bar := c.guarded.status()
		if status == poison.Pending || status == poison.Barred {
			return c.refuseSuspect(ReasonVerdictPending)
		}
		if !c.mayRunExclusively(status, bar) {
			return c.refuseSuspect(ReasonSuspected)
		}
		options := c.placeOptions(status)
		placement, found := c.handler.dispatcher.Place(c.request, c.match.Group, options)
		if !found && options.SuspectKey == "" {
			if c.awaitWorker(ctx) {
				continue
			}
			return c.giveUp(failureRefused, c.attempts.final(failureRefused))
		}
		if !found {
			if isDone, action := c.awaitTurn(ctx, options.SuspectKey); isDone {
				return action
			}
			continue
		}
		worker, failed := c.attempt(ctx, placement)
		if failed == failureNone {
			c.guarded.reportSuccess()
			return connKeep
		}
		c.guarded.awaitProbe(ctx)
		c.attempts.record(worker, failed)
		decided := c.attempts.decide(failed, c.handler.dispatcher.RetryBudget(c.match.Group.Name))
		if decided != decisionRetry || (c.relay.started && !c.resumable()) {
			c.guarded.awaitPeersNotified(ctx)
			return c.giveUp(failed, decided)
		}
	}
}

// placeOptions returns the placement constraints for the next attempt. Suspect requests are kept on separate workers.
func (c *call) placeOptions(status poison.Status) PlaceOptions {
	options := PlaceOptions{Excluded: c.attempts.excluded, Colocated: c.mustColocate()}
	if status == poison.Suspected {
		options.SuspectKey = c.guarded.requestDigest().String()
	}
	options.Objective = c.match.Rule.Objective
	options.Left = options.Objective - time.Since(c.report.Arrived)
	return options
}

// resumable reports whether another worker may continue the stream.
func (c *call) resumable() bool { return c.match.Rule.Resumable && !c.attempts.runOnce }

// mustColocate reports whether the runner has to prefill the prompt itself: after too many failed prefill calls, if another engine's cache
// still holds the prompt, or if the budget has no retry for another prefill call. The first prefill call is not a retry.
func (c *call) mustColocate() bool {
	switch {
	case c.prefillFailures >= maxPrefillFailures || c.prefilledAt != nil:
		return true
	case c.prefills == 0 || c.match.Group.Engine == nil:
		return false
	default:
		return !c.handler.dispatcher.RetryBudget(c.match.Group.Name).spend()
	}
}

// attempt sends the request to the workers of a placement. On failure it returns the id of the worker that failed.
func (c *call) attempt(ctx context.Context, placement *Placement) (string, failure) {
	record := Attempt{Start: time.Now(), Deferred: placement.Deferred}
	runner := placement.Runner
	var prompt *PrefilledPrompt
	if placement.Prefill != nil {
		prefillEngine := placement.Prefill.Worker
		record.PrefillEngine = prefillEngine.ID
		record.Score, record.Candidates = placement.Prefill.Score, placement.Prefill.Candidates
		prefilled, failed := c.prefill(ctx, placement)
		record.PrefillTime = time.Since(record.Start)
		if failed != failureNone {
			c.recordAttempt(record, "read: ", failed)
			return prefillEngine.ID, failed.asNotRun()
		}
		found := false
		runner, found = c.handler.dispatcher.PlaceRunner(c.request, c.match.Group, c.attempts.excluded, placement.Prefill)
		if !found {
			c.releasePrompt(prefilled)
			c.recordAttempt(record, "no runner: ", failureUnreachable)
			return "", failureUnreachable
		}
		prompt = prefilled
	}
	record.Worker = runner.Worker.ID
	if prompt == nil {
		record.Score, record.Candidates = runner.Score, runner.Candidates
	}
	failed := c.runOn(ctx, runner, RunOptions{
		Deadline: c.deadline, Prompt: prompt, FetchFrom: c.fetchFrom(prompt, placement.FetchFrom), Deferred: placement.Deferred,
	})
	if failed == failureNone {
		c.handler.dispatcher.RecordPrefilled(runner.Worker, c.request)
	}
	c.recordAttempt(record, "", failed)
	if prompt != nil && failed == failureRefused {
		c.prefilledAt = prompt.Engine
	}
	return record.Worker, failed
}

// asNotRun converts the failure of a prefill call, after which the request itself cannot have run.
func (f failure) asNotRun() failure {
	if f.mayHaveRun() {
		return failureRefused
	}
	return f
}

// recordAttempt adds an attempt to the report.
func (c *call) recordAttempt(record Attempt, prefix string, failed failure) {
	record.End = time.Now()
	if failed != failureNone {
		record.Failure = prefix + failed.String()
	}
	if failed == failureBroken && c.report.RequestDigest == nil {
		digest := c.guarded.requestDigest()
		c.report.RequestDigest = &digest
	}
	c.report.Attempts = append(c.report.Attempts, record)
}

// runOn runs the request at a worker and forwards the response.
func (c *call) runOn(ctx context.Context, runner *Assignment, options RunOptions) failure {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c.relay.onResponse = func() {
		runner.prefilled()
		c.countUsage()
	}
	gate := &responseGate{}
	c.relay.acceptResponse = gate.accept
	if timeout := c.responseTimeout(runner); timeout > 0 {
		timer := time.AfterFunc(timeout, func() { c.abandonSilent(gate, cancel, runner.Worker.ID) })
		defer timer.Stop()
	}
	options.ResumeAfter = c.relay.lastEvent
	response, err := c.handler.workers.Run(ctx, runner.Worker, c.request, options)
	if err == nil {
		err = c.forwardResponse(response)
	}
	failed := classify(ctx, err)
	if failed != failureNone {
		c.report.Err = err
		c.releasePrompt(options.Prompt)
	}
	c.guarded.reportFailure(runner.Worker, failed, err)
	c.handler.dispatcher.recordIfRefused(runner.Worker, err)
	if c.match.Group.Engine == nil && failed.reachedWorker() {
		c.countUsage()
	}
	runner.finish(failed.outcome())
	return failed
}

// countUsage counts the request for its tenant, at most once over all attempts. Engines count from the first token, plain workers as soon
// as they have received the request.
func (c *call) countUsage() {
	if c.usageCounted || c.request.Tenant == "" || c.handler.onTenantStart == nil {
		return
	}
	c.usageCounted = true
	c.handler.onTenantStart(c.request.Tenant)
}

// fetchFrom returns the engine from which the runner fetches the cached part of the prompt, or nil.
func (c *call) fetchFrom(prompt *PrefilledPrompt, holder *backend.Worker) *backend.Worker {
	switch {
	case c.prefilledAt != nil:
		return c.prefilledAt
	case prompt == nil:
		return holder
	default:
		return nil
	}
}
