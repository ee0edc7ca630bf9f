package forward

import (
	"net/http"
	"time"

	"github.com/granitebay/granitebay/internal/routing"
)

// giveUp gives the final answer to a request that no worker answered.
func (c *call) giveUp(failed failure, decided next) finish {
	c.report.Reason = reasonOf(failed)
	switch {
	case failed == failureCallerGone:
		return finishAbort
	case c.relay.started:
		c.tellBrokenOff()
		return finishAbort
	case c.lastError != nil:
		c.report.Status = c.lastError.status
		allowWriting(c.writer, c.deadline)
		c.lastError.write(c.writer)
		return finishWhole
	case decided == nextRefuse:
		return c.refuseNow()
	case failed == failureDeadline && c.attempts.sent == 0:
		return refuse(c.writer, c.report, ReasonTimeout, c.handler.settings.RefusedRetryAfter)
	case failed == failureDeadline:
		return fail(c.writer, c.report, http.StatusGatewayTimeout, ReasonTimeout)
	default:
		return fail(c.writer, c.report, http.StatusBadGateway, ReasonWorker)
	}
}

// tellBrokenOff tells the caller of a stream that it broke off, and why, where its protocol has a word for that. The connection ends after it.
func (c *call) tellBrokenOff() {
	if c.brokenOff == nil {
		return
	}
	// An error is that of a caller that has left.
	if _, err := c.writer.Write(c.brokenOff(c.report.Reason)); err == nil {
		_ = http.NewResponseController(c.writer).Flush()
	}
}

// reasonOf names a failure for the report.
func reasonOf(failed failure) Reason {
	switch failed {
	case failureCallerGone:
		return ReasonCallerGone
	case failureDeadline:
		return ReasonTimeout
	case failureError:
		return ReasonWorkerError
	case failureUnreachable, failureRefused, failureMoved:
		return ReasonNoWorker
	default:
		return ReasonBrokenOff
	}
}

// pass gives the answer of a worker to the caller. The answer of a worker that failed is kept back while there may be a
// better one.
func (c *call) pass(answer *Answer) error {
	defer answer.Body.Close()
	if c.match.Rule.Kind == routing.KindStream && answer.Status == http.StatusOK && !c.request.Whole {
		return c.passEvents(answer)
	}
	whole, err := readWhole(answer)
	if err != nil {
		return err
	}
	// What is whole is served, also when the worker was given up just then.
	c.relay.mayPass()
	c.relay.onAnswer()
	if promisesNotRun(whole.status) {
		// The worker did not say that it has not run; told by this gateway, the status would.
		return &WorkerError{Status: whole.status}
	}
	if whole.status >= http.StatusInternalServerError {
		c.lastError = whole
		return &WorkerError{Status: whole.status}
	}
	c.report.Status, c.report.Reason, c.report.FirstByte = whole.status, ReasonServed, time.Now()
	allowWriting(c.writer, c.deadline)
	whole.write(c.writer)
	return nil
}

// promisesNotRun tells whether a status promises a caller that its request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// passEvents gives a stream to the caller.
func (c *call) passEvents(answer *Answer) error {
	err := c.relay.stream(answer)
	c.report.FirstByte = c.relay.firstByte
	if c.relay.started {
		c.report.Status, c.report.Reason = http.StatusOK, ReasonServed
	}
	return err
}
