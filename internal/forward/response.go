package forward

import (
	"net/http"
	"time"

	"github.com/granitebay/granitebay/internal/routing"
)

// giveUp answers a request for which all attempts have failed, or aborts its connection.
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

// writeTruncationEvent ends a stream that was cut off with an event that names the reason, if the caller's protocol has such an event. The
// connection is closed after it.
func (c *call) writeTruncationEvent() {
	if c.truncationEvent == nil {
		return
	}
	// A write error means that the caller has disconnected.
	if _, err := c.writer.Write(c.truncationEvent(c.report.Reason)); err == nil {
		_ = http.NewResponseController(c.writer).Flush()
	}
}

// reasonOf returns the reason that the report gives for a failure.
func reasonOf(failed failure) Reason {
	switch failed {
	case failureCallerGone:
		return ReasonCallerGone
	case failureDeadline:
		return ReasonTimeout
	case failureError:
		return ReasonWorkerError
	case failureUnreachable, failureRefused, failureMisdirected:
		return ReasonNoWorker
	default:
		return ReasonResponseTruncated
	}
}

// forwardResponse passes the response of a worker to the caller. The response of a worker that failed is held back, since a retry may produce
// a better one.
func (c *call) forwardResponse(response *Response) error {
	defer response.Body.Close()
	if c.match.Rule.Kind == routing.KindStream && response.Status == http.StatusOK && !c.request.Unstreamed {
		return c.forwardStream(response)
	}
	buffered, err := readBuffered(response)
	if err != nil {
		return err
	}
	// A complete response is served even if the worker was just given up as silent.
	c.relay.acceptResponse()
	c.relay.onResponse()
	if promisesNotRun(buffered.status) {
		// The status would tell the caller that the request did not run, but the worker did not guarantee that.
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

// promisesNotRun reports whether a status tells a caller that its request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// forwardStream passes an event stream to the caller.
func (c *call) forwardStream(response *Response) error {
	err := c.relay.stream(response)
	c.report.FirstByte = c.relay.firstByte
	if c.relay.started {
		c.report.Status, c.report.Reason = http.StatusOK, ReasonServed
	}
	return err
}
