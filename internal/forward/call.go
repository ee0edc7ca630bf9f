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
	identity *identity
	attempts attempts
	relay    relay
	// brokenOff returns the event that ends a stream which broke off; nil where the protocol has none.
	brokenOff func(Reason) []byte
	// reads counts the readings that engines took up.
	reads int
	// readFailures counts prompts that could not be read elsewhere.
	readFailures int
	// readAt is the engine that has read the prompt in vain: its handle was refused, but the parts may still be there.
	readAt *backend.Worker
	// isSolo is set while the call is the one copy of a suspect that runs.
	isSolo bool
	// counted is set once the request has begun to run, and so counts as used.
	counted bool
	// lastError is the answer of a worker that failed, to be passed on when there is no better one.
	lastError *wholeAnswer
}

// maxReadFailures is how often a prompt is read elsewhere in vain before the runner reads it itself.
const maxReadFailures = 2

// run offers the request to workers until one has answered it or nothing is left to try.
func (c *call) run(ctx context.Context) finish {
	defer c.endSolo()
	for {
		if time.Until(c.deadline) < c.handler.settings.LeastTime {
			return c.giveUp(failureDeadline, c.attempts.final(failureDeadline))
		}
		standing, bar := c.identity.standing()
		if standing == poison.Judged || standing == poison.Barred {
			return c.giveUpSuspect(ReasonJudged)
		}
		if !c.maySolo(standing, bar) {
			return c.giveUpSuspect(ReasonSuspected)
		}
		options := c.placeOptions(standing)
		placement, found := c.handler.dispatcher.Place(c.request, c.match.Group, options)
		if !found && options.Apart == "" {
			if c.awaitWorker(ctx) {
				continue
			}
			return c.giveUp(failureRefused, c.attempts.final(failureRefused))
		}
		if !found {
			if ended, answer := c.awaitTurn(ctx, options.Apart); ended {
				return answer
			}
			continue
		}
		worker, failed := c.try(ctx, placement)
		if failed == failureNone {
			c.identity.endedWell()
			return finishWhole
		}
		c.identity.awaitProbe(ctx)
		c.attempts.record(worker, failed)
		decided := c.attempts.next(failed, c.handler.dispatcher.Repeats(c.match.Group.Name))
		if decided != nextAgain || (c.relay.started && !c.resumable()) {
			c.identity.awaitTold(ctx)
			return c.giveUp(failed, decided)
		}
	}
}

// placeOptions say how a request of a standing may be placed now. Suspects are placed apart from each other.
func (c *call) placeOptions(standing poison.Standing) PlaceOptions {
	options := PlaceOptions{Excluded: c.attempts.excluded, Direct: c.direct()}
	if standing == poison.Suspected {
		options.Apart = c.identity.asked().String()
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
func (c *call) direct() bool {
	switch {
	case c.readFailures >= maxReadFailures || c.readAt != nil:
		return true
	case c.reads == 0 || c.match.Group.Engine == nil:
		return false
	default:
		return !c.handler.dispatcher.Repeats(c.match.Group.Name).spend()
	}
}

// try offers the request to the workers of a placement. It returns the worker that failed.
func (c *call) try(ctx context.Context, placement *Placement) (string, failure) {
	record := Try{Begun: time.Now(), Deferred: placement.Deferred}
	runner := placement.Runner
	var prompt *Prompt
	if placement.Reader != nil {
		reader := placement.Reader.Worker
		record.Reader = reader.ID
		record.Score, record.Candidates = placement.Reader.Score, placement.Reader.Candidates
		read, failed := c.readPrompt(ctx, placement)
		record.ReadIn = time.Since(record.Begun)
		if failed != failureNone {
			c.endTry(record, "read: ", failed)
			return reader.ID, failed.notRun()
		}
		found := false
		runner, found = c.handler.dispatcher.PlaceRunner(c.request, c.match.Group, c.attempts.excluded, placement.Reader)
		if !found {
			c.release(read)
			c.endTry(record, "no runner: ", failureUnreachable)
			return "", failureUnreachable
		}
		prompt = read
	}
	record.Worker = runner.Worker.ID
	if prompt == nil {
		record.Score, record.Candidates = runner.Score, runner.Candidates
	}
	failed := c.runAt(ctx, runner, RunOptions{
		Deadline: c.deadline, Prompt: prompt, FetchFrom: c.fetchFrom(prompt, placement.FetchFrom), Deferred: placement.Deferred,
	})
	if failed == failureNone {
		c.handler.dispatcher.HasRead(runner.Worker, c.request)
	}
	c.endTry(record, "", failed)
	if prompt != nil && failed == failureRefused {
		c.readAt = prompt.Reader
	}
	return record.Worker, failed
}

// notRun turns the failure to read a prompt into one that left nothing run.
func (f failure) notRun() failure {
	if f.mayHaveRun() {
		return failureRefused
	}
	return f
}

// endTry adds a try to the report.
func (c *call) endTry(record Try, prefix string, failed failure) {
	record.Ended = time.Now()
	if failed != failureNone {
		record.Failure = prefix + failed.String()
	}
	if failed == failureBroken && c.report.Asked == nil {
		digest := c.identity.asked()
		c.report.Asked = &digest
	}
	c.report.Tries = append(c.report.Tries, record)
}

// runAt has a worker run the request and passes its answer on.
func (c *call) runAt(ctx context.Context, runner *Assignment, options RunOptions) failure {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c.relay.onAnswer = func() {
		runner.answered()
		c.countUsed()
	}
	silence := &silence{}
	c.relay.mayPass = silence.end
	if patience := c.patience(runner); patience > 0 {
		timer := time.AfterFunc(patience, func() { c.leave(silence, cancel, runner.Worker.ID) })
		defer timer.Stop()
	}
	options.ResumeAfter = c.relay.lastEvent
	answer, err := c.handler.workers.Run(ctx, runner.Worker, c.request, options)
	if err == nil {
		err = c.pass(answer)
	}
	failed := classify(ctx, err)
	if failed != failureNone {
		c.report.Err = err
		c.release(options.Prompt)
	}
	c.identity.failed(runner.Worker, failed, err)
	c.handler.dispatcher.noteRefused(runner.Worker, err)
	if c.match.Group.Engine == nil && failed.reachedWorker() {
		c.countUsed()
	}
	runner.finish(failed.outcome())
	return failed
}

// countUsed counts the request for its tenant, once however often it runs: engines begin with the first token, plain workers as soon
// as they have the request.
func (c *call) countUsed() {
	if c.counted || c.request.Tenant == "" || c.handler.began == nil {
		return
	}
	c.counted = true
	c.handler.began(c.request.Tenant)
}

// fetchFrom returns the engine from which the runner takes what is kept of the prompt, or nil.
func (c *call) fetchFrom(prompt *Prompt, keeper *backend.Worker) *backend.Worker {
	switch {
	case c.readAt != nil:
		return c.readAt
	case prompt == nil:
		return keeper
	default:
		return nil
	}
}
