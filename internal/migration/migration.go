// Package migration decides on runs that are under way: whether a copy of their state is kept at another engine, when a run has stalled, and
// where a run that stalled or broke continues. The decisions are pure: nothing here has a clock, a goroutine or a connection.
package migration

import "time"

// Run describes a run under way.
type Run struct {
	// Group is the group of the engine, and Zone its zone.
	Group, Zone string
	// Rule is the name of the rule that the request matched.
	Rule string
	// Engine is the ID of the engine that runs the request, and Backup that of the engine that holds a copy; empty if there is none.
	Engine, Backup string
	// Resumable is set if the rule and the caller allow a new run that continues after the last event.
	Resumable bool
	// Tokens is the size of the state of the run.
	Tokens int
	// Started is set once the caller has an event after which the run can continue.
	Started bool
	// Deadline is when the caller leaves.
	Deadline time.Time
}

// Decision is what happens to a run. It is a Keep, a Resume, a FromCopy or a GiveUp.
type Decision interface{ isDecision() }

// Keep leaves the run as it is and decides again at Recheck; never if that is zero.
type Keep struct{ Recheck time.Time }

// Resume starts a new run after the last event at another engine.
type Resume struct{ Reason string }

// FromCopy continues the same run at the engine that holds its copy.
type FromCopy struct{ Reason string }

// GiveUp ends the response, since nothing can continue it.
type GiveUp struct{ Reason string }

func (Keep) isDecision()     {}
func (Resume) isDecision()   {}
func (FromCopy) isDecision() {}
func (GiveUp) isDecision()   {}
