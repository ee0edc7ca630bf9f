package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/balance"
	"github.com/granitebay/granitebay/internal/httpclient"
	"github.com/granitebay/granitebay/internal/poison"
	"github.com/granitebay/granitebay/internal/routing"
	"github.com/granitebay/granitebay/internal/standstill"
	"github.com/granitebay/granitebay/internal/streamversion"
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
	// newTruncationEvent returns the event that ends a truncated stream; nil if the protocol has none.
	newTruncationEvent func(Reason) []byte
	// stream is the software version that began the stream; zero while it has not begun.
	stream streamversion.Finding
	// begunBy tells which incarnation of its worker began the stream; nil if the id of the request did.
	begunBy *identification
	// streamRef names the stream to other gateways.
	streamRef streamversion.Stream
	// prefills counts prefill calls that an engine accepted.
	prefills int
	// prefillFailures counts failed prefill calls.
	prefillFailures int
	// prefilledEngine is the engine that prefilled a prompt whose handle the runner refused. Its cache may still hold the prompt, so the
	// next runner fetches it from there.
	prefilledEngine *backend.Worker
	// isExclusive is set while this call is the only copy of a suspect request that may run, or the only request with a suspect part.
	// exclusiveDigest is the digest of that request or part.
	isExclusive     bool
	exclusiveDigest poison.Digest
	// usageCounted is set once the request has been counted for its tenant.
	usageCounted bool
	// lastError is the response of a worker that failed, sent to the caller if no attempt succeeds.
	lastError *bufferedResponse
	// hasWaited is set once the request has waited at the gateway for room.
	hasWaited bool
}

// maxPrefillFailures is the number of failed prefill calls after which the runner prefills the prompt itself.
const maxPrefillFailures = 2

// run makes attempts until one succeeds or no further attempt is allowed.
func (c *call) run(ctx context.Context) connAction {
	defer c.endExclusive()
	for {
		if time.Until(c.deadline) < c.handler.settings.MinRemaining {
			return c.giveUp(failureDeadline, c.attempts.final())
		}
		if err := ctx.Err(); err != nil {
			failure := classify(ctx, err)
			return c.giveUp(failure, c.attempts.final())
		}
		status, bar := c.guarded.status()
		if status == poison.Pending || status == poison.Barred {
			return c.refuseBlocked(status, bar)
		}
		if !c.mayRunExclusively(status, bar) {
			return c.refuseSuspect(ReasonSuspected)
		}
		c.learnVersion(ctx, identifyPatience)
		options := c.placeOptions(status, bar)
		options.GatewayEnds = c.gatewayEnds()
		placement, found := c.handler.dispatcher.Place(c.request, c.match.Group, options)
		if !found {
			if isDone, action := c.withoutWorker(ctx, options); isDone {
				return action
			}
			continue
		}
		if placement.Outlasts {
			return respondRetryAfter(c.writer, c.report, ReasonStopping, c.handler.settings.StoppingRetryAfter)
		}
		if placement.HeldBack != nil {
			if isDone, action := c.holdBack(ctx, placement.HeldBack); isDone {
				return action
			}
			continue
		}
		worker, failure := c.attempt(ctx, placement)
		if failure == failureNone {
			c.guarded.reportSuccess()
			return connKeep
		}
		if failure == failureBarred {
			// The bar is the answer. No retry is needed for it.
			continue
		}
		c.guarded.awaitProbe(ctx)
		c.attempts.record(worker, failure)
		decided := c.attempts.decide(failure, c.handler.dispatcher.RetryBudget(c.match.Group.Name))
		if decided == decisionFail && !failure.mayHaveBeenAccepted() && c.awaitRetry(ctx) {
			decided = decisionRetry
		}
		if decided != decisionRetry || (c.relay.started && !c.resumable()) {
			c.guarded.delayFailure(ctx)
			return c.giveUp(failure, decided)
		}
	}
}

// withoutWorker waits for a worker that takes the request, if one is expected in time. Otherwise it ends the request and returns true.
func (c *call) withoutWorker(ctx context.Context, options PlaceOptions) (bool, connAction) {
	if c.guarded.endVersionTrial() {
		return false, connKeep
	}
	if status, bar := c.statusAtVersions(options.Versions); status >= poison.Pending {
		return true, c.refuseBlocked(status, bar)
	}
	isOfVersion := c.handler.dispatcher.hasVersion(c.match.Group, versionFilter{bound: options.Versions.bound}, c.attempts.failed())
	switch {
	case isOfVersion && options.SuspectKey != "":
		return c.awaitTurn(ctx, options)
	case isOfVersion && c.awaitWorker(ctx):
		return false, connKeep
	case c.awaitUnresponsive(ctx):
		return false, connKeep
	case !isOfVersion:
		return true, c.endWithoutVersion()
	default:
		return true, c.giveUp(failureRefused, c.attempts.final())
	}
}

// placeOptions returns the placement constraints for the next attempt. Suspect requests, or those with a suspect part, are kept on separate
// workers.
func (c *call) placeOptions(status poison.Status, bar poison.Bar) PlaceOptions {
	options := PlaceOptions{Excluded: c.attempts.excluded, Versions: c.versions(), Colocated: c.decideColocation()}
	if status == poison.Suspected {
		options.SuspectKey = bar.Digest.String()
	}
	options.Rule, options.Deadline = c.match.Rule, c.deadline
	options.Admission = c.admissionRequest()
	options.DemandCounted = c.hasWaited || c.attempts.reached+c.attempts.unreachable > 0
	if !c.relay.started {
		// The objective is that of the first event.
		options.Objective = c.match.Rule.Objective
		options.Remaining = options.Objective - time.Since(c.report.Arrived)
	}
	return options
}

// resumable reports whether another worker may continue the stream.
func (c *call) resumable() bool { return c.match.Rule.Resumable && !c.attempts.runOnce }

// decideColocation reports whether the runner has to prefill the prompt itself. If not, and this is not the first prefill call, it takes a
// retry from the budget.
func (c *call) decideColocation() bool {
	switch {
	case c.prefillFailures >= maxPrefillFailures || c.prefilledEngine != nil:
		// Too many prefill calls have failed, or another engine's cache still holds the prompt.
		return true
	case c.prefills == 0 || c.match.Group.Engine == nil:
		return false
	default:
		return !c.handler.dispatcher.RetryBudget(c.match.Group.Name).takeRetry()
	}
}

// attempt sends the request to the workers of a placement. It returns the id of the worker that served the request or failed; empty if no
// runner was found.
func (c *call) attempt(ctx context.Context, placement *Placement) (string, failureKind) {
	record := Attempt{Start: time.Now(), Deferred: placement.Deferred, Urgency: placement.Urgency, UrgencyReason: placement.UrgencyReason}
	if c.relay.started {
		record.Continues = ContinuesLastEvent
	}
	runner, prompt, failure := c.prepareRunner(ctx, placement, &record)
	if failure != failureNone {
		return record.PrefillEngine, failure
	}
	record.Worker, record.SoftwareVersion = runner.Worker.ID, runner.Worker.SoftwareVersion
	if prompt == nil {
		record.Score, record.Candidates = runner.Score, runner.Candidates
	}
	if c.guarded.maySendTo(runner.Worker) != nil {
		// A part of the prompt was barred while an engine prefilled it.
		c.releasePrompt(prompt)
		runner.finish(balance.OutcomeNone)
		c.recordAttempt(record, "", failureBarred)
		return record.Worker, failureBarred
	}
	if failure := c.confirmVersion(ctx, runner); failure != failureNone {
		c.releasePrompt(prompt)
		c.recordAttempt(record, "confirm: ", failure)
		return record.Worker, failure
	}
	held := c.keepCopy(runner)
	if held != nil {
		record.Backup = held.engine.ID
	}
	failure = c.runOn(ctx, runner, RunOptions{
		Deadline: c.deadline, Prompt: prompt, FetchFrom: c.fetchFrom(prompt, placement.FetchFrom), Urgency: placement.Urgency,
		Backup: backupOf(held),
	}, held)
	if failure == failureNone {
		c.handler.dispatcher.RecordPrefilled(runner.Worker, c.request)
	}
	record.Course = runner.course()
	c.recordAttempt(record, "", failure)
	if prompt != nil && failure == failureRefused {
		c.prefilledEngine = prompt.Engine
	}
	return record.Worker, c.continueFromCopy(ctx, held, runner.Worker, failure)
}

// prepareRunner returns the runner of a placement and, if a separate engine has to prefill it first, the prefilled prompt. A failure is recorded
// as an attempt; the record names the prefill engine if that failed.
func (c *call) prepareRunner(ctx context.Context, placement *Placement, record *Attempt) (*Assignment, *PrefilledPrompt, failureKind) {
	if placement.Prefill == nil {
		return placement.Runner, nil, failureNone
	}
	record.PrefillEngine = placement.Prefill.Worker.ID
	record.Score, record.Candidates = placement.Prefill.Score, placement.Prefill.Candidates
	prompt, failure := c.prefill(ctx, placement)
	record.PrefillTime = time.Since(record.Start)
	if failure != failureNone {
		c.recordAttempt(*record, "read: ", failure)
		return nil, nil, failure.asNotRun()
	}
	runner, found := c.handler.dispatcher.PlaceRunner(c.request, c.match.Group, c.attempts.excluded, placement.Prefill)
	if !found {
		c.releasePrompt(prompt)
		c.recordAttempt(*record, "no runner: ", failureUnreachable)
		record.PrefillEngine = ""
		return nil, nil, failureUnreachable
	}
	return runner, prompt, failureNone
}

// recordAttempt adds an attempt to the report.
func (c *call) recordAttempt(record Attempt, prefix string, failure failureKind) {
	record.End = time.Now()
	if failure != failureNone {
		record.Failure = prefix + failure.String()
	}
	if failure == failureRefused || failure == failureMisdirected {
		errors.As(c.report.Err, &record.Refusal)
	}
	if failure == failureBroken && c.report.RequestDigest == nil {
		digest := c.guarded.requestDigest()
		c.report.RequestDigest = &digest
	}
	c.report.Attempts = append(c.report.Attempts, record)
}

// runOn runs the request at a worker and forwards the response. Held is the copy that the run gets, or nil.
func (c *call) runOn(ctx context.Context, runner *Assignment, options RunOptions, held *runCopy) failureKind {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	isEnded := false
	defer runner.finishUnless(&isEnded)
	start := time.Now()
	options.Arrivals = &httpclient.Arrivals{}
	watch := c.watchStalls(ctx, cancel, runner.Worker, held, options.Arrivals)
	defer watch.Stop()
	c.relay.watch = watch
	c.guarded.beginAttempt(runner.Worker)
	c.relay.onResponse = func() {
		runner.responseStarted()
		c.countUsage()
		c.guarded.answerBegins()
	}
	c.relay.onEvent = func(forwarding time.Duration) {
		runner.eventArrived(forwarding)
		c.guarded.eventArrived()
	}
	var identify func(ctx context.Context) (string, error)
	c.relay.checkResponse = func() error { return c.checkIncarnation(ctx, runner.Worker, identify) }
	c.relay.onFirstEvent = func() { c.streamBegins(ctx, runner.Worker, identify) }
	gate := &responseGate{}
	c.relay.acceptResponse = gate.accept
	if timeout := c.responseTimeout(runner); timeout > 0 {
		defer gate.close()
		others := c.othersThan(runner.Worker)
		patience := httpclient.NewPatience(timeout, options.Arrivals, func() {
			go c.abandonSilent(ctx, gate, cancel, options.Arrivals, others)
		})
		defer patience.Stop()
	}
	options.MaySend = func() error { return c.guarded.beginSend(runner.Worker) }
	options.ResumeAfter, options.Identify = c.relay.lastEvent, c.identifyIncarnation(runner.Worker, held)
	response, err := c.handler.workers.Run(ctx, runner.Worker, c.request, options)
	if err == nil {
		if !c.isStream() {
			c.guarded.answerBegins()
		}
		identify = response.Identify
		err = c.forwardResponse(ctx, response)
	}
	failure := classify(ctx, err)
	if failure.endsRequest() {
		c.attempts.recordInterruption(err)
	}
	switch {
	case failure != failureNone:
		c.report.Err = err
		c.releasePrompt(options.Prompt)
	case c.copyable() && !options.Continue:
		c.handler.dispatcher.recordStream(c.match.Rule.Name, time.Since(start))
	}
	if isUnresponsive(err) && !failure.endsRequest() {
		c.attempts.recordUnresponsive(runner.Worker.ID)
	}
	c.guarded.reportFailure(runner.Worker, failure, err)
	c.handler.dispatcher.recordIfRefused(runner.Worker, err)
	if c.match.Group.Engine == nil && failure.mayHaveBeenAccepted() && !nothingSent(err) {
		c.countUsage()
	}
	runner.finish(c.outcome(failure))
	isEnded = true
	return failure
}

// outcome returns what a failure that was just noticed says about its worker. A deadline that is noticed late says nothing: this process has
// stood still.
func (c *call) outcome(failure failureKind) balance.Outcome {
	if failure == failureDeadline && standstill.IsLate(time.Now(), c.deadline) {
		return balance.OutcomeNone
	}
	return failure.outcome()
}

// countUsage counts the request for its tenant, at most once over all attempts. Requests to engines are counted from the first token,
// requests to plain workers once a worker may have accepted them, even if it fails.
func (c *call) countUsage() {
	if c.usageCounted || c.request.Tenant == "" || c.handler.onTenantStart == nil {
		return
	}
	c.usageCounted = true
	c.handler.onTenantStart(c.request.Tenant)
}

// fetchFrom returns the engine from which the runner fetches the cached prefix of the prompt, or nil.
func (c *call) fetchFrom(prompt *PrefilledPrompt, source *backend.Worker) *backend.Worker {
	switch {
	case c.prefilledEngine != nil:
		return c.prefilledEngine
	case prompt == nil:
		return source
	default:
		return nil
	}
}
