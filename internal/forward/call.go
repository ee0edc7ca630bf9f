package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/poison"
	"github.com/granitebay/granitebay/internal/routing"
)

// call is one request on its way.
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
	// brokenOff returns the event that ends a stream which broke off; nil where the protocol has none.
	truncationEvent func(Reason) []byte
	// reads counts the readings that engines took up.
	prefills int
	// readFailures counts prompts that could not be read elsewhere.
	prefillFailures int
	// readAt is the engine that has read the prompt in vain: its handle was refused, but the parts may still be there.
	prefilledAt *backend.Worker
	// isSolo is set while the call is the one copy of a suspect that runs.
	isExclusive bool
	// counted is set once the request has begun to run, and so counts as used.
	usageCounted bool
	// lastError is the answer of a worker that failed, to be passed on when there is no better one.
	lastError *bufferedAnswer
}

// maxReadFailures is how often a prompt is read elsewhere in vain before the runner reads it itself.
const maxPrefillFailures = 2

// run offers the request to workers until one has answered it or nothing is left to try.
func (c *call) run(ctx context.Context) connAction {
	defer c.endExclusive()
	for {
		if time.Until(c.deadline) < c.handler.settings.MinRemaining {
			return c.giveUp(failureDeadline, c.attempts.final(failureDeadline))
		}
		status, bar := c.guarded.status()
		if status == poison.Judged || status == poison.Barred {
			return c.refuseSuspect(ReasonVerdictPending)
		}
		if !c.mayRunExclusively(status, bar) {
			return c.refuseSuspect(ReasonSuspected)
		}
		options := c.placeOptions(status)
		placement, found := c.handler.dispatcher.Place(c.request, c.match.Group, options)
		if !found && options.Apart == "" {
			if c.awaitWorker(ctx) {
				continue
			}
			return c.giveUp(failureRefused, c.attempts.final(failureRefused))
		}
		if !found {
			if isDone, action := c.awaitTurn(ctx, options.Apart); isDone {
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
		decided := c.attempts.decide(failed, c.handler.dispatcher.Repeats(c.match.Group.Name))
		if decided != decisionRetry || (c.relay.started && !c.resumable()) {
			c.guarded.awaitPeersNotified(ctx)
			return c.giveUp(failed, decided)
		}
	}
}

// placeOptions say how a request of a standing may be placed now. Suspects are placed apart from each other.
func (c *call) placeOptions(status poison.Standing) PlaceOptions {
	options := PlaceOptions{Excluded: c.attempts.excluded, Direct: c.mustColocate()}
	if status == poison.Suspected {
		options.Apart = c.guarded.requestDigest().String()
	}
	options.Objective = c.match.Rule.Objective
	options.Left = options.Objective - time.Since(c.report.Arrived)
	return options
}

// resumable tells whether the stream may go on at another worker.
func (c *call) resumable() bool { return c.match.Rule.Resumable && !c.attempts.runOnce }

// direct tells whether the runner is to read the prompt itself: when it could not be read elsewhere, when its parts lie at an
// engine that has read it in vain, or when no repeat is left for one more reading. The first reading that an engine takes up
// is no repeat.
func (c *call) mustColocate() bool {
	switch {
	case c.prefillFailures >= maxPrefillFailures || c.prefilledAt != nil:
		return true
	case c.prefills == 0 || c.match.Group.Engine == nil:
		return false
	default:
		return !c.handler.dispatcher.Repeats(c.match.Group.Name).spend()
	}
}

// try offers the request to the workers of a placement. It returns the worker that failed.
func (c *call) attempt(ctx context.Context, placement *Placement) (string, failure) {
	record := Try{Begun: time.Now(), Deferred: placement.Deferred}
	runner := placement.Runner
	var prompt *Prompt
	if placement.Reader != nil {
		prefillEngine := placement.Reader.Worker
		record.Reader = prefillEngine.ID
		record.Score, record.Candidates = placement.Reader.Score, placement.Reader.Candidates
		prefilled, failed := c.prefill(ctx, placement)
		record.ReadIn = time.Since(record.Begun)
		if failed != failureNone {
			c.recordAttempt(record, "read: ", failed)
			return prefillEngine.ID, failed.asNotRun()
		}
		found := false
		runner, found = c.handler.dispatcher.PlaceRunner(c.request, c.match.Group, c.attempts.excluded, placement.Reader)
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
		c.handler.dispatcher.HasRead(runner.Worker, c.request)
	}
	c.recordAttempt(record, "", failed)
	if prompt != nil && failed == failureRefused {
		c.prefilledAt = prompt.Reader
	}
	return record.Worker, failed
}

// notRun turns the failure to read a prompt into one that left nothing run.
func (f failure) asNotRun() failure {
	if f.mayHaveRun() {
		return failureRefused
	}
	return f
}

// endTry adds a try to the report.
func (c *call) recordAttempt(record Try, prefix string, failed failure) {
	record.Ended = time.Now()
	if failed != failureNone {
		record.Failure = prefix + failed.String()
	}
	if failed == failureBroken && c.report.Asked == nil {
		digest := c.guarded.requestDigest()
		c.report.Asked = &digest
	}
	c.report.Tries = append(c.report.Tries, record)
}

// runAt has a worker run the request and passes its answer on.
func (c *call) runOn(ctx context.Context, runner *Assignment, options RunOptions) failure {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c.relay.onResponse = func() {
		runner.answered()
		c.countUsage()
	}
	gate := &responseGate{}
	c.relay.acceptResponse = gate.accept
	if timeout := c.responseTimeout(runner); timeout > 0 {
		timer := time.AfterFunc(timeout, func() { c.abandonSilent(gate, cancel, runner.Worker.ID) })
		defer timer.Stop()
	}
	options.ResumeAfter = c.relay.lastEvent
	answer, err := c.handler.workers.Run(ctx, runner.Worker, c.request, options)
	if err == nil {
		err = c.forwardAnswer(answer)
	}
	failed := classify(ctx, err)
	if failed != failureNone {
		c.report.Err = err
		c.releasePrompt(options.Prompt)
	}
	c.guarded.reportFailure(runner.Worker, failed, err)
	c.handler.dispatcher.noteRefused(runner.Worker, err)
	if c.match.Group.Engine == nil && failed.reachedWorker() {
		c.countUsage()
	}
	runner.finish(failed.outcome())
	return failed
}

// countUsed counts the request for its tenant, once however often it runs: engines begin with the first token, plain workers as soon
// as they have the request.
func (c *call) countUsage() {
	if c.usageCounted || c.request.Tenant == "" || c.handler.onTenantStart == nil {
		return
	}
	c.usageCounted = true
	c.handler.onTenantStart(c.request.Tenant)
}

// fetchFrom returns the engine from which the runner takes what is kept of the prompt, or nil.
func (c *call) fetchFrom(prompt *Prompt, holder *backend.Worker) *backend.Worker {
	switch {
	case c.prefilledAt != nil:
		return c.prefilledAt
	case prompt == nil:
		return holder
	default:
		return nil
	}
}
