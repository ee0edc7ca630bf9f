// Package drain says what a gateway that is being stopped still does: until when it accepts requests, and when it ends those that are unfinished.
//
// A Schedule is a value without a clock. Its times are compared with the clock at each use: a flag that a timer sets is late in a process that gets
// little processor time.
package drain

import (
	"context"
	"time"
)

// ErrGraceOver is the cause for which the contexts of requests end at the end of the grace period. It is a context.Canceled, because it says nothing
// about workers. Unlike a request whose caller has gone, such a request still gets what has arrived of its response.
var ErrGraceOver error = graceOverError{}

// graceOverError is the type of ErrGraceOver.
type graceOverError struct{}

// Error implements error.
func (graceOverError) Error() string { return "the grace period of the gateway is over" }

// Is reports whether the target is context.Canceled.
func (graceOverError) Is(target error) bool { return target == context.Canceled }

// Schedule holds the times of a graceful stop. Its sender counts them from when it sent the signal, the process from when it noticed the signal.
//
// Invariant: requests that arrive at AcceptUntil or later are refused, and AcceptUntil comes at most acceptTime after the signal was sent unless the
// process noticed it later than noticeMargin.
type Schedule struct {
	// Begun is when the process noticed the signal.
	Begun time.Time
	// AcceptUntil is until when new requests are accepted, for callers that have cached the address of the gateway.
	AcceptUntil time.Time
	// FinishBy is when requests that are unfinished are ended.
	FinishBy time.Time
}

// AcceptTime is how long requests are accepted after the signal was noticed, unless the grace period is short.
const AcceptTime = acceptTime - noticeMargin

// Times of a stop.
const (
	// acceptTime is how long after the signal was sent callers may still come at an address that they have cached.
	acceptTime = 3 * time.Second
	// noticeMargin is how much later than it was sent the signal may be noticed: several times as long as a process without a quota of processor time
	// left waits for the next one.
	noticeMargin = 500 * time.Millisecond
	// finishMargin is how long before the end of the grace period unfinished requests are ended, so that they are answered before the process is killed.
	finishMargin = 500 * time.Millisecond
)

// NewSchedule returns the schedule of a stop whose signal was noticed at a time and that may take the given grace period. Half of a short one is left
// for the requests that were accepted.
func NewSchedule(begun time.Time, grace time.Duration) Schedule {
	finishTime := grace - finishMargin
	return Schedule{Begun: begun, AcceptUntil: begun.Add(min(AcceptTime, finishTime/2)), FinishBy: begun.Add(finishTime)}
}

// Accepts reports whether a request that arrives at a time is accepted.
func (s Schedule) Accepts(arrived time.Time) bool { return arrived.Before(s.AcceptUntil) }
