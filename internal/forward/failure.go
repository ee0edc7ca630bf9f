package forward

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/balance"
	"github.com/granitebay/granitebay/internal/drain"
	"github.com/granitebay/granitebay/internal/httpclient"
)

// That a request has not run is a conclusion, and this file is where it is drawn. These facts prove it, and no others:
//
//   - Nothing was sent: no connection was open, or the request was stopped before its first byte (httpclient.Error.NothingSent). A relaying gateway
//     gets the request only once it has connected to the worker, so the same holds for relayed connections.
//   - The worker refused this send (Refusal). The client accepts a refusal only if no other send on its connection can have caused it.
//   - The call was a prefill call, which runs nothing (asNotRun).
//   - The request was barred before it was sent (errBarred).
//
// Whatever else happens, such as silence, a reset or a malformed response, the request may have run. Each of these facts is about one send; a request has
// not run if that is proved of all its sends (attempts.final).

// failureKind classifies how an attempt failed.
type failureKind int

const (
	// failureNone means success.
	failureNone failureKind = iota
	// failureUnreachable means that nothing was sent to the worker.
	failureUnreachable
	// failureRefused means that the worker guaranteed not to have run the request.
	failureRefused
	// failureMisdirected means that the worker's address now belongs to another worker. Reports call it "moved".
	failureMisdirected
	// failureBarred means that nothing was sent, because the request or a part of its prompt was barred after the worker had been chosen.
	failureBarred
	// failureSilent means that the worker did not start to respond within the response timeout. The request may have run.
	failureSilent
	// failureStalled means that the worker stopped sending events within a response that could continue at another worker.
	failureStalled
	// failureBroken means that the connection broke or the response was malformed. The request may have run.
	failureBroken
	// failureError means that the worker returned an error response. The request may have run.
	failureError
	// failureDeadline means that the deadline of the request has passed.
	failureDeadline
	// failureCallerGone means that the caller has disconnected, or that the context of the request ended for an unknown reason.
	failureCallerGone
	// failureStopping means that the grace period of the gateway is over.
	failureStopping
)

// failureNames are the names of failures in reports.
var failureNames = map[failureKind]string{
	failureNone:        "none",
	failureUnreachable: "unreachable",
	failureRefused:     "refused",
	failureMisdirected: "moved",
	failureBarred:      "barred",
	failureSilent:      "silent",
	failureStalled:     "stalled",
	failureBroken:      "broken",
	failureError:       "error",
	failureDeadline:    "deadline",
	failureCallerGone:  "caller gone",
	failureStopping:    "gateway stopping",
}

// String returns the name of the failure as it appears in reports.
func (f failureKind) String() string { return failureNames[f] }

// mayHaveRun reports whether the failure counts as a possible run of the request. After failures that end the
// request, the result is false although the worker may have run it. This is safe because decide never retries after them,
// and final returns decisionFail if attempts.interrupted is set.
func (f failureKind) mayHaveRun() bool {
	switch f {
	case failureSilent, failureStalled, failureBroken, failureError:
		return true
	default:
		return false
	}
}

// endsRequest reports whether the failure ends the request, whatever its workers do.
func (f failureKind) endsRequest() bool {
	switch f {
	case failureDeadline, failureCallerGone, failureStopping:
		return true
	default:
		return false
	}
}

// mayHaveBeenAccepted reports whether the worker may have accepted the request.
func (f failureKind) mayHaveBeenAccepted() bool {
	switch f {
	case failureUnreachable, failureRefused, failureMisdirected, failureBarred:
		return false
	default:
		return true
	}
}

// outcome maps the failure to the outcome that the balancer records for the worker.
func (f failureKind) outcome() balance.Outcome {
	switch f {
	case failureNone:
		return balance.OutcomeGood
	case failureUnreachable, failureMisdirected:
		return balance.OutcomeUnreachable
	case failureRefused:
		return balance.OutcomeRefused
	case failureSilent, failureStalled, failureDeadline:
		return balance.OutcomeTimeout
	case failureBroken:
		return balance.OutcomeMalformed
	case failureError:
		return balance.OutcomeError
	default:
		return balance.OutcomeNone
	}
}

// classify maps the error of an attempt to a failure. The context is that of the attempt.
func classify(ctx context.Context, err error) failureKind {
	if err == nil {
		return failureNone
	}
	if cause := context.Cause(ctx); cause != nil {
		switch {
		case errors.Is(cause, errSilent):
			return failureSilent
		case errors.Is(cause, errStalled):
			return failureStalled
		case errors.Is(cause, errDeadline):
			return failureDeadline
		case errors.Is(cause, drain.ErrGraceOver):
			return failureStopping
		default:
			return failureCallerGone
		}
	}
	var callerError *CallerError
	if errors.As(err, &callerError) {
		return failureCallerGone
	}
	var workerError *WorkerError
	if errors.As(err, &workerError) {
		return failureError
	}
	var refusal *Refusal
	if errors.As(err, &refusal) {
		if refusal.Misdirected {
			return failureMisdirected
		}
		return failureRefused
	}
	if errors.Is(err, errBarred) {
		return failureBarred
	}
	if nothingSent(err) {
		return failureUnreachable
	}
	return failureBroken
}

// provesNotRun reports whether the error of an attempt proves that the worker has not run the request and never will.
func provesNotRun(err error) bool {
	var refusal *Refusal
	return errors.As(err, &refusal) || errors.Is(err, errBarred) || nothingSent(err)
}

// nothingSent reports whether an attempt failed before any part of the request can have reached the worker.
func nothingSent(err error) bool {
	var transport *httpclient.Error
	return errors.As(err, &transport) && transport.NothingSent()
}

// asNotRun returns the failure of a request whose prefill call failed. Failures that would mean that the request may have run become
// failureRefused, because a prefill call does not run the request.
func (f failureKind) asNotRun() failureKind {
	if f.mayHaveRun() {
		return failureRefused
	}
	return f
}
