package forward

import (
	"slices"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/routing"
)

// Causes for which the context of an attempt is cancelled.
var (
	errDeadline = errors.New("the request deadline has passed")
	errSilent   = errors.New("the worker was silent for too long")
	errStalled  = errors.New("the worker stopped sending events")
)

// errBarred is why a request is not sent to a worker that has been chosen for it.
var errBarred = errors.New("the request or a part of its prompt was barred meanwhile")

// decision is what to do after a failed attempt.
type decision int

const (
	// decisionRetry tries another worker.
	decisionRetry decision = iota
	// decisionNotRun tells the caller that the request did not run.
	decisionNotRun
	// decisionFail tells the caller that the request failed and may have run.
	decisionFail
)

// Limits on the number of workers tried for one request. Connection failures are cheap, so their limit is higher.
const (
	maxReachedWorkers     = 4
	maxUnreachableWorkers = 8
)

// attempts tracks the attempts of one request and decides whether to make another.
//
// Invariants:
//   - a request that must not run twice is never sent again after an attempt that may have run;
//   - a request never runs at more workers than its rule allows;
//   - the caller is told that the request did not run only if no attempt may have run it.
type attempts struct {
	rule *routing.Rule
	// runOnce is set if the caller forbids running the request again.
	runOnce bool
	// unreachable counts workers to which nothing was sent.
	unreachable int
	// reached counts workers that received the request, whether or not they ran it.
	reached int
	// possibleRuns counts workers that may have run the request.
	possibleRuns int
	// interrupted is set if the request was given up, not because of a worker, after it may have reached one.
	interrupted bool
	// excluded are the ids of workers at which the request failed.
	excluded []string
	// refused are the excluded workers that refused the request.
	refused []string
	// unresponsive are the excluded workers that did not answer the opening of a connection. They may only be silent for a moment.
	unresponsive []string
	// retryPrepaid is set if the next retry has already been taken from the budget.
	retryPrepaid atomic.Bool
}

// retrySource is a budget that limits the number of retries.
type retrySource interface {
	// takeRetry takes one retry and reports whether one was available.
	takeRetry() bool
}

// record adds a failed attempt at a worker.
func (a *attempts) record(worker string, failure failureKind) {
	a.excluded = append(a.excluded, worker)
	if failure == failureRefused {
		a.refused = append(a.refused, worker)
	}
	if failure == failureUnreachable {
		a.unreachable++
		// Nothing arrived at a worker, so the retry that the attempt took, if any, is left for the next one.
		a.retryPrepaid.Store(a.reached > 0)
	} else {
		a.reached++
	}
	if failure.mayHaveRun() {
		a.possibleRuns++
	}
}

// recordInterruption records that an attempt ended with an error because the request was given up.
func (a *attempts) recordInterruption(err error) {
	if !provesNotRun(err) {
		a.interrupted = true
	}
}

// failed returns the workers at which the request failed without being refused.
func (a *attempts) failed() []string {
	return slices.DeleteFunc(slices.Clone(a.excluded), func(worker string) bool { return slices.Contains(a.refused, worker) })
}

// reincludeRefused makes all workers that refused the request eligible again.
func (a *attempts) reincludeRefused() {
	a.excluded = slices.DeleteFunc(a.excluded, func(worker string) bool { return slices.Contains(a.refused, worker) })
	a.refused = nil
}

// recordUnresponsive records that a worker, at which an attempt failed, has not answered the opening of a connection.
func (a *attempts) recordUnresponsive(worker string) { a.unresponsive = append(a.unresponsive, worker) }

// forgetUnresponsive records that a worker does not accept connections for another reason than silence.
func (a *attempts) forgetUnresponsive(worker string) {
	a.unresponsive = slices.DeleteFunc(a.unresponsive, func(id string) bool { return id == worker })
}

// notUnresponsive returns the excluded workers except those that have not answered.
func (a *attempts) notUnresponsive() []string {
	return slices.DeleteFunc(slices.Clone(a.excluded), func(worker string) bool { return slices.Contains(a.unresponsive, worker) })
}

// reinclude makes an unresponsive worker eligible again.
func (a *attempts) reinclude(worker string) {
	a.forgetUnresponsive(worker)
	a.excluded = slices.DeleteFunc(a.excluded, func(id string) bool { return id == worker })
}

// decide returns what to do after a failed attempt that has been recorded.
func (a *attempts) decide(failure failureKind, retries retrySource) decision {
	if failure.endsRequest() || !a.allowsAnother() || !a.takeRetry(retries) {
		return a.final()
	}
	return decisionRetry
}

// allowsAnother reports whether the limits and the rule allow another attempt.
func (a *attempts) allowsAnother() bool {
	if a.reached >= maxReachedWorkers || a.unreachable >= maxUnreachableWorkers {
		return false
	}
	if a.possibleRuns == 0 {
		return true
	}
	return a.repeatable() && a.possibleRuns < a.rule.MaxAttempts
}

// allowsAfterRun reports whether the limits and the rule allow another attempt after a run that is in progress.
func (a *attempts) allowsAfterRun() bool {
	return a.reached+1 < maxReachedWorkers && a.repeatable() && a.possibleRuns+1 < a.rule.MaxAttempts
}

// allowsAfterPrefill reports whether the limits and the rule allow another attempt after a prefill call that is in progress.
func (a *attempts) allowsAfterPrefill() bool {
	return a.reached+1 < maxReachedWorkers && a.allowsAnother()
}

// repeatable reports whether the request may run more than once.
func (a *attempts) repeatable() bool { return a.rule.Repeatable() && !a.runOnce }

// takeRetry takes a retry from the budget if the request has reached a worker before.
func (a *attempts) takeRetry(retries retrySource) bool {
	return a.reached == 0 || a.retryPrepaid.Swap(false) || retries.takeRetry()
}

// final returns the decision when there is no further attempt.
func (a *attempts) final() decision {
	if a.possibleRuns == 0 && !a.interrupted {
		return decisionNotRun
	}
	return decisionFail
}
