package simulation

import (
	"fmt"
	"time"
)

// Promise names one of the things that must always hold.
type Promise string

// The promises.
const (
	PromiseNoConflictingOrders Promise = "an engine never receives conflicting orders"
	PromiseNoCutByChange       Promise = "no request is cut short by a planned change of role or model"
	PromiseNoOrderWithoutLease Promise = "orders from a process that has lost its authority have no effect"
	PromiseWholeAnswer         Promise = "each caller gets the whole answer to its own request"
	PromiseNotRunIsTrue        Promise = "a request that was told not run was not run"
	PromiseAtMostOnce          Promise = "a request that may not be repeated runs at most once"
	PromiseLeavingGetsNothing  Promise = "a leaving back end gets no new work after a few seconds"
	PromisePlannedStopCutsNone Promise = "a planned stop cuts no request"
	PromiseConfiguration       Promise = "an accepted configuration is in force everywhere within seconds and never reverts"
	PromiseLiveness            Promise = "after the last fault every request ends and every engine is owned"
	PromiseRetriesBounded      Promise = "retries of a request are bounded"
	PromiseAnswered            Promise = "each run answers what it could"
)

// Violation is a promise that was broken.
type Violation struct {
	Promise Promise
	At      time.Duration
	// Subjects are the requests, engines and processes that it is about.
	Subjects []string
	Reason   string
}

// String describes the violation in one line.
func (v Violation) String() string { return fmt.Sprintf("%v: %s: %s", v.At, v.Promise, v.Reason) }

// Checker judges a history.
type Checker interface {
	// Check returns what it finds broken, in order of time.
	Check(history *History) []Violation
}

// CheckerFunc is a function that is a Checker.
type CheckerFunc func(history *History) []Violation

// Check implements Checker.
func (f CheckerFunc) Check(history *History) []Violation { return f(history) }

// Checkers returns a checker for each promise.
func Checkers() []Checker {
	return []Checker{
		CheckerFunc(checkConflictingOrders),
		CheckerFunc(checkCutByChange),
		CheckerFunc(checkAuthority),
		CheckerFunc(checkWholeAnswer),
		CheckerFunc(checkNotRun),
		CheckerFunc(checkAtMostOnce),
		CheckerFunc(checkLeaving),
		CheckerFunc(checkPlannedStop),
		CheckerFunc(checkConfiguration),
		CheckerFunc(checkEdits),
		CheckerFunc(checkLiveness),
		CheckerFunc(checkRetries),
		CheckerFunc(checkAnswered),
	}
}

// Check runs all checkers.
func Check(history *History) []Violation {
	var violations []Violation
	for _, checker := range Checkers() {
		violations = append(violations, checker.Check(history)...)
	}
	return violations
}
