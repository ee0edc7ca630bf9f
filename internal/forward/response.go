package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/granitebay/granitebay/internal/completeness"
	"github.com/granitebay/granitebay/internal/routing"
)

// closeBehind makes the server close the connection behind the response with a header.
func closeBehind(header http.Header) {
	header.Set("Connection", "close")
	header.Del("Keep-Alive")
}

// giveUp answers a request for which all attempts have failed. It aborts the connection only if the response has started. A caller that
// seems to be gone is answered as well: it may have closed only its sending half, and the context may have ended for another reason.
func (c *call) giveUp(failure failureKind, decided decision) connAction {
	c.report.Reason = reasonOf(failure)
	if failure == failureCallerGone {
		// The contexts of all further requests on the connection have ended, too.
		closeBehind(c.writer.Header())
	}
	switch {
	case c.relay.started && failure == failureCallerGone:
		return connAbort
	case c.relay.started:
		c.writeTruncationEvent()
		return connAbort
	case c.lastError != nil:
		c.report.Status = c.lastError.status
		extendWriteDeadline(c.writer, c.deadline)
		c.lastError.write(c.writer)
		return connKeep
	case failure == failureCallerGone || failure == failureStopping:
		return c.respondInterrupted(failure, decided)
	case failure == failureDeadline && decided == decisionNotRun:
		return respondRetryAfter(c.writer, c.report, ReasonTimeout, c.handler.settings.RefusedRetryAfter)
	case decided == decisionNotRun:
		return c.refuseWithRetryAfter()
	case failure == failureDeadline:
		return respondError(c.writer, c.report, http.StatusGatewayTimeout, ReasonTimeout)
	default:
		return respondError(c.writer, c.report, http.StatusBadGateway, ReasonWorkerFailed)
	}
}

// respondInterrupted answers a request that was given up, not because of its workers or its time.
func (c *call) respondInterrupted(failure failureKind, decided decision) connAction {
	if decided != decisionNotRun {
		return respondError(c.writer, c.report, http.StatusBadGateway, c.report.Reason)
	}
	after := c.handler.settings.RefusedRetryAfter
	if failure == failureStopping {
		after = c.handler.settings.StoppingRetryAfter
	}
	return respondRetryAfter(c.writer, c.report, c.report.Reason, after)
}

// writeTruncationEvent ends a stream that was cut off with an event that names the reason, if the caller's protocol has such an event. The
// connection is closed after it.
func (c *call) writeTruncationEvent() {
	if c.newTruncationEvent == nil {
		return
	}
	extendWriteDeadline(c.writer, c.deadline)
	// A write error means that the caller has disconnected.
	if _, err := c.writer.Write(c.newTruncationEvent(c.report.Reason)); err == nil {
		_ = http.NewResponseController(c.writer).Flush()
	}
}

// reasonOf returns the reason that the report gives for a failure.
func reasonOf(failure failureKind) Reason {
	switch failure {
	case failureCallerGone:
		return ReasonCallerGone
	case failureStopping:
		return ReasonStopping
	case failureDeadline:
		return ReasonTimeout
	case failureError:
		return ReasonWorkerError
	case failureUnreachable, failureRefused, failureMisdirected, failureBarred:
		return ReasonNoWorker
	default:
		return ReasonResponseTruncated
	}
}

// forwardResponse sends the response of a worker to the caller. An error response is kept and not sent yet, since a retry may succeed.
func (c *call) forwardResponse(ctx context.Context, response *Response) error {
	defer response.Body.Close()
	if c.match.Rule.Kind == routing.KindStream && response.Status == http.StatusOK && !c.request.Unstreamed {
		return c.forwardStream(ctx, response)
	}
	buffered, err := readBuffered(response, c.relay.held)
	if err == nil {
		err = c.guarded.confirmEnd(ctx, response, completeness.SettleTime)
	}
	if err != nil {
		return err
	}
	if c.relay.started {
		// The caller has the beginning of a stream, which another response must not follow.
		return &WorkerError{Status: buffered.status}
	}
	// The result is ignored: a complete response is served even if the worker was just abandoned as silent.
	c.relay.acceptResponse()
	c.relay.onResponse()
	if meansNotRun(buffered.status) {
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

// meansNotRun reports whether a status of this gateway tells the caller that its request has not run and never will.
func meansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// forwardStream passes an event stream to the caller.
func (c *call) forwardStream(ctx context.Context, response *Response) error {
	err := c.relay.stream(response)
	if c.relay.started {
		c.report.Status, c.report.Reason = http.StatusOK, ReasonServed
	}
	if err != nil {
		return err
	}
	return c.guarded.confirmEnd(ctx, response, completeness.StreamSettleTime)
}
