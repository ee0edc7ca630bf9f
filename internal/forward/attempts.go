package forward

import (
	"context"
	"slices"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/balance"
	"github.com/granitebay/granitebay/internal/httpclient"
	"github.com/granitebay/granitebay/internal/routing"
)

// Causes for which the context of a try ends.
var (
	errDeadline = errors.New("the time of the request is over")
	errSilent   = errors.New("the worker was silent for too long")
)

// failure says how one try failed.
type failure int

const (
	// failureNone is no failure.
	failureNone failure = iota
	// failureUnreachable means that nothing was sent.
	failureUnreachable
	// failureRefused is the worker's word that it did not run the request.
	failureRefused
	// failureMoved is the word of another worker at the address: the one that was meant is gone.
	failureMoved
	// failureSilent, failureBroken and failureError may have run, or have.
	failureSilent
	failureBroken
	failureError
	// failureDeadline means that the time of the request is over.
	failureDeadline
	// failureCallerGone means that nobody waits for the answer any more.
	failureCallerGone
)

// failureNames are the names of failures in reports.
var failureNames = map[failure]string{
	failureNone:        "none",
	failureUnreachable: "unreachable",
	failureRefused:     "refused",
	failureMoved:       "moved",
	failureSilent:      "silent",
	failureBroken:      "broken",
	failureError:       "error",
	failureDeadline:    "deadline",
	failureCallerGone:  "caller gone",
}

// String returns the name of a failure.
func (f failure) String() string { return failureNames[f] }

// mayHaveRun tells whether the worker may have run the request.
func (f failure) mayHaveRun() bool {
	switch f {
	case failureSilent, failureBroken, failureError:
		return true
	default:
		return false
	}
}

// reachedWorker tells whether a worker has the request, and has not refused it.
func (f failure) reachedWorker() bool {
	switch f {
	case failureUnreachable, failureRefused, failureMoved:
		return false
	default:
		return true
	}
}

// outcome is what the failure shows of the health of the worker.
func (f failure) outcome() balance.Outcome {
	switch f {
	case failureNone:
		return balance.OutcomeGood
	case failureUnreachable, failureMoved:
		return balance.OutcomeUnreachable
	case failureRefused:
		return balance.OutcomeFull
	case failureSilent, failureDeadline:
		return balance.OutcomeSilent
	case failureBroken:
		return balance.OutcomeBroken
	case failureError:
		return balance.OutcomeError
	default:
		return balance.OutcomeNone
	}
}

// classify turns the error of a port into a failure. The context is that of the try.
func classify(ctx context.Context, err error) failure {
	if err == nil {
		return failureNone
	}
	if cause := context.Cause(ctx); cause != nil {
		switch {
		case errors.Is(cause, errSilent):
			return failureSilent
		case errors.Is(cause, errDeadline):
			return failureDeadline
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
		if refusal.Moved {
			return failureMoved
		}
		return failureRefused
	}
	var transport *httpclient.Error
	if errors.As(err, &transport) && transport.NothingSent() {
		return failureUnreachable
	}
	return failureBroken
}

// next is what to do after a failed try.
type decision int

const (
	// nextAgain tries another worker.
	decisionRetry decision = iota
	// nextRefuse tells the caller that the request did not run.
	decisionNotRun
	// nextFail tells the caller that the request failed and may have run.
	decisionFail
)

// Bounds of the workers that one request is offered to, whatever came of it. Those that could not be reached cost little.
const (
	maxReached     = 4
	maxUnreachable = 8
)

// attempts is the state of the tries of one request. It decides whether there is another one.
//
// Invariants: a request that may run once is never sent again after a try that may have run; a request never runs at more
// workers than its rule allows; a refusal is told only when no try may have run.
type attempts struct {
	rule *routing.Rule
	// runOnce is set when the caller forbids that the request runs again.
	runOnce bool
	// unreachable counts workers to which nothing was sent.
	unreachable int
	// sent counts workers that the request reached, whether they ran it or not.
	reached int
	// runs counts those that may have run it.
	possibleRuns int
	// excluded are the ids of workers that failed it.
	excluded []string
	// refused are those of them that did not run it.
	refused []string
	// prepaid is set when the next repeat was taken from the budget already.
	retryPrepaid atomic.Bool
}

// budget grants repeats.
type retrySource interface {
	// spend takes one repeat and tells whether there was one.
	spend() bool
}

// record notes a failed try at a worker.
func (a *attempts) record(worker string, failed failure) {
	a.excluded = append(a.excluded, worker)
	if failed == failureRefused {
		a.refused = append(a.refused, worker)
	}
	if failed == failureUnreachable {
		a.unreachable++
	} else {
		a.reached++
	}
	if failed.mayHaveRun() {
		a.possibleRuns++
	}
}

// askAgain lets the request go to workers again that refused it for a time which is over.
func (a *attempts) reincludeRefused() {
	a.excluded = slices.DeleteFunc(a.excluded, func(worker string) bool { return slices.Contains(a.refused, worker) })
	a.refused = nil
}

// next decides what follows a failed try, which was recorded before.
func (a *attempts) decide(failed failure, retries retrySource) decision {
	if failed == failureDeadline || failed == failureCallerGone || !a.allowsAnother() || !a.takeRetry(retries) {
		return a.final(failed)
	}
	return decisionRetry
}

// another tells whether the rule allows one more try.
func (a *attempts) allowsAnother() bool {
	if a.reached >= maxReached || a.unreachable >= maxUnreachable {
		return false
	}
	if a.possibleRuns == 0 {
		return true
	}
	return a.repeatable() && a.possibleRuns < a.rule.MaxAttempts
}

// repeatable tells whether the request may run more than once.
func (a *attempts) repeatable() bool { return a.rule.Repeatable() && !a.runOnce }

// granted takes a repeat from the budget when the request has reached a worker before.
func (a *attempts) takeRetry(retries retrySource) bool {
	return a.reached == 0 || a.retryPrepaid.Swap(false) || retries.spend()
}

// final returns the answer to give when there is no other try.
func (a *attempts) final(failed failure) decision {
	if a.possibleRuns == 0 && failed != failureDeadline {
		return decisionNotRun
	}
	return decisionFail
}
