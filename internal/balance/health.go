package balance

import "time"

// Outcome is what one request showed of the health of its worker.
type Outcome int

// The outcomes.
const (
	// OutcomeNone showed nothing, for example because the caller left.
	OutcomeNone Outcome = iota
	// OutcomeGood is a whole answer.
	OutcomeGood
	// OutcomeFull is a refusal of a worker that has no room.
	OutcomeFull
	// OutcomeError is an answer by which the worker says that it failed.
	OutcomeError
	// OutcomeBroken is an answer that broke off, or bytes that are no answer.
	OutcomeBroken
	// OutcomeSilent is no answer within the time in which others answer.
	OutcomeSilent
	// OutcomeUnreachable is a connection that could not be opened.
	OutcomeUnreachable
)

// HealthSettings say when a worker is set aside.
type HealthSettings struct {
	// FailureWeight is the part by which one outcome moves the failure rate of a worker, between 0 and 1.
	FailureRateSmoothing float64
	// EjectRate is the failure rate above which a worker is set aside.
	EjectionThreshold float64
	// FirstEjection is how long a worker is set aside for the first time; each further time takes twice as long.
	InitialEjection time.Duration
	// LongestEjection bounds it.
	MaxEjection time.Duration
	// FirstRefusal is how long a worker is passed over after it refused a request; each further refusal in a row takes twice as
	// long, up to LongestRefusal. A worker that refuses looks idle, and would draw every request.
	InitialRefusalPause time.Duration
	MaxRefusalPause     time.Duration
	// LeastHealthyShare of the workers is always used, healthy or not.
	MinHealthyShare float64
	// DoubtSeconds is the cost of a worker that is used although it is set aside.
	EjectedPenaltySeconds float64
}

// DefaultHealthSettings set a worker aside after about two failures in a row.
func DefaultHealthSettings() HealthSettings {
	return HealthSettings{
		FailureRateSmoothing:  0.3,
		EjectionThreshold:     0.5,
		InitialEjection:       time.Second,
		MaxEjection:           4 * time.Second,
		InitialRefusalPause:   100 * time.Millisecond,
		MaxRefusalPause:       800 * time.Millisecond,
		MinHealthyShare:       0.34,
		EjectedPenaltySeconds: 0.5,
	}
}

// failureCosts say how much an outcome speaks against a worker, from 0 to 1. An error that the worker itself answers is
// often the request's fault.
var failureSeverity = map[Outcome]float64{
	OutcomeGood:        0,
	OutcomeError:       0.7,
	OutcomeBroken:      1,
	OutcomeSilent:      1,
	OutcomeUnreachable: 1,
}

// unreachableWeight is the weight of a connection that could not be opened: one is enough to set a worker aside.
const unreachableSmoothing = 0.6

// health is the recent record of one worker.
type health struct {
	failureRate  float64
	ejections    int
	refusals     int
	ejectedUntil time.Time
}

// ejected tells whether the worker is set aside.
func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// record takes one outcome, and tells whether the worker is set aside for it.
func (h *health) record(now time.Time, outcome Outcome, settings *HealthSettings) bool {
	if outcome == OutcomeFull {
		h.recordRefusal(now, settings)
		return false
	}
	severity, counts := failureSeverity[outcome]
	if !counts {
		return false
	}
	h.refusals = 0
	smoothing := settings.FailureRateSmoothing
	if outcome == OutcomeUnreachable {
		smoothing = unreachableSmoothing
	}
	h.failureRate += smoothing * (severity - h.failureRate)
	if outcome == OutcomeGood && h.failureRate < settings.EjectionThreshold/2 {
		h.ejections = 0
	}
	if h.failureRate <= settings.EjectionThreshold || h.ejected(now) {
		return false
	}
	h.eject(now, settings)
	return true
}

// refuse passes the worker over for a while.
func (h *health) recordRefusal(now time.Time, settings *HealthSettings) {
	if h.ejected(now) {
		return
	}
	h.ejectedUntil = now.Add(min(settings.InitialRefusalPause<<min(h.refusals, 8), settings.MaxRefusalPause))
	h.refusals++
}

// eject sets the worker aside. Afterwards one more failure sets it aside again.
func (h *health) eject(now time.Time, settings *HealthSettings) {
	pause := min(settings.InitialEjection<<min(h.ejections, 8), settings.MaxEjection)
	h.ejectedUntil = now.Add(pause)
	h.ejections++
	h.failureRate = settings.EjectionThreshold * (1 - settings.FailureRateSmoothing)
}
