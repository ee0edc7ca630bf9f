package forward

import (
	"net/http"
	"time"

	"github.com/granitebay/granitebay/internal/routing"
)

// giveUp gives the final answer to a request that no worker answered.
func (c *call) giveUp(failed failure, decided decision) connAction {
	c.report.Reason = reasonOf(failed)
	switch {
	case failed == failureCallerGone:
		return connAbort
	case c.relay.started:
		c.writeTruncationEvent()
		return connAbort
	case c.lastError != nil:
		c.report.Status = c.lastError.status
		extendWriteDeadline(c.writer, c.deadline)
		c.lastError.write(c.writer)
		return connKeep
	case decided == decisionNotRun:
		return c.refuseWithRetryAfter()
	case failed == failureDeadline && c.attempts.reached == 0:
		return respondRetryAfter(c.writer, c.report, ReasonTimeout, c.handler.settings.RefusedRetryAfter)
	case failed == failureDeadline:
		return respondError(c.writer, c.report, http.StatusGatewayTimeout, ReasonTimeout)
	default:
		return respondError(c.writer, c.report, http.StatusBadGateway, ReasonWorkerFailed)
	}
}

// tellBrokenOff tells the caller of a stream that it broke off, and why, where its protocol has a word for that. The connection ends after it.
func (c *call) writeTruncationEvent() {
	if c.truncationEvent == nil {
		return
	}
	// An error is that of a caller that has left.
	if _, err := c.writer.Write(c.truncationEvent(c.report.Reason)); err == nil {
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
		return ReasonAnswerTruncated
	}
}

// pass gives the answer of a worker to the caller. The answer of a worker that failed is kept back while there may be a
// better one.
func (c *call) forwardAnswer(answer *Answer) error {
	defer answer.Body.Close()
	if c.match.Rule.Kind == routing.KindStream && answer.Status == http.StatusOK && !c.request.Whole {
		return c.forwardStream(answer)
	}
	buffered, err := readBuffered(answer)
	if err != nil {
		return err
	}
	// What is whole is served, also when the worker was given up just then.
	c.relay.acceptResponse()
	c.relay.onResponse()
	if promisesNotRun(buffered.status) {
		// The worker did not say that it has not run; told by this gateway, the status would.
		return &WorkerError{Status: buffered.status}
	}
	if buffered.status >= http.StatusInternalServerError {
		c.lastError = buffered
		return &WorkerError{Status: buffered.status}
	}
	c.report.Status, c.report.Reason, c.report.FirstByte = buffered.status, ReasonServed, time.Now()
	extendWriteDeadline(c.writer, c.deadline)
	buffered.write(c.writer)
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
func (c *call) forwardStream(answer *Answer) error {
	err := c.relay.stream(answer)
	c.report.FirstByte = c.relay.firstByte
	if c.relay.started {
		c.report.Status, c.report.Reason = http.StatusOK, ReasonServed
	}
	return err
}
