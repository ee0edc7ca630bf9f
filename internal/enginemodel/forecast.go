package enginemodel

import "time"

// Answer describes the response that a request wants from an engine.
type Answer struct {
	// Events is the expected number of events of the response, at least 1, and MaxEvents the most that it can have; zero if unknown.
	Events, MaxEvents float64
	// PauseObjective is the target for the longest pause between two events; zero if there is none.
	PauseObjective time.Duration
	// Remaining is the time until the caller's deadline.
	Remaining time.Duration
}

// Forecast is the expected course of a response at an engine.
type Forecast struct {
	// Interval is the expected time between two events.
	Interval time.Duration
	// End is the expected time from the first event until the last.
	End time.Duration
	// PauseRisk is the probability of a pause over the objective, and DeadlineRisk that of an end after the deadline. Both are between 0 and 1.
	PauseRisk, DeadlineRisk float64
}
