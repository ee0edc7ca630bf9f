package balance

import "time"

// Outcome is what the result of a request says about the health of its worker.
type Outcome int

// Outcomes of requests.
const (
	// OutcomeNone says nothing about the worker, for example because the client disconnected.
	OutcomeNone Outcome = iota
	// OutcomeGood is a complete response.
	OutcomeGood
	// OutcomeRefused is a refusal by a worker at capacity.
	OutcomeRefused
	// OutcomeError is an error response.
	OutcomeError
	// OutcomeMalformed is a truncated or malformed response.
	OutcomeMalformed
	// OutcomeTimeout is a timeout.
	OutcomeTimeout
	// OutcomeUnreachable is a failed connection attempt.
	OutcomeUnreachable
)

// HealthSettings configures the ejection of failing workers.
type HealthSettings struct {
	// FailureRateSmoothing is the weight of the newest outcome in the moving average of the failure rate, between 0
	// and 1.
	FailureRateSmoothing float64
	// EjectionThreshold is the failure rate above which a worker is ejected.
	EjectionThreshold float64
	// InitialEjection is the duration of the first ejection; it doubles with each further one.
	InitialEjection time.Duration
	// MaxEjection limits the duration of an ejection.
	MaxEjection time.Duration
	// InitialRefusalPause is how long a worker is ejected after it refused a request; it doubles with each
	// consecutive refusal, up to MaxRefusalPause. Without the pause, a refusing worker would look idle and attract
	// every request.
	InitialRefusalPause time.Duration
	MaxRefusalPause     time.Duration
	// MinHealthyShare is the share of healthy workers below which ejected workers are used too.
	MinHealthyShare float64
	// EjectedPenaltySeconds is the cost added to an ejected worker that is used.
	EjectedPenaltySeconds float64
}

// DefaultHealthSettings returns settings that eject a worker after one failed connection attempt, two consecutive
// timeouts or malformed responses, or four consecutive error responses.
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

// failureSeverity is the failure rate that each outcome counts as, from 0 to 1. An error response counts less because
// the request may have caused it.
var failureSeverity = map[Outcome]float64{
	OutcomeGood:        0,
	OutcomeError:       0.7,
	OutcomeMalformed:   1,
	OutcomeTimeout:     1,
	OutcomeUnreachable: 1,
}

// unreachableSmoothing is the weight of a failed connection attempt. It exceeds the default EjectionThreshold, so a
// single one ejects the worker.
const unreachableSmoothing = 0.6

// health tracks the recent outcomes of one worker.
type health struct {
	failureRate          float64
	consecutiveEjections int
	consecutiveRefusals  int
	ejectedUntil         time.Time
}

// ejected reports whether the worker is ejected.
func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// record updates the failure rate with one outcome, and reports whether the worker is ejected because of it.
func (h *health) record(now time.Time, outcome Outcome, settings *HealthSettings) bool {
	if outcome == OutcomeRefused {
		h.recordRefusal(now, settings)
		return false
	}
	severity, counts := failureSeverity[outcome]
	if !counts {
		return false
	}
	h.consecutiveRefusals = 0
	smoothing := settings.FailureRateSmoothing
	if outcome == OutcomeUnreachable {
		smoothing = unreachableSmoothing
	}
	h.failureRate += smoothing * (severity - h.failureRate)
	if outcome == OutcomeGood && h.failureRate < settings.EjectionThreshold/2 {
		h.consecutiveEjections = 0
	}
	if h.failureRate <= settings.EjectionThreshold || h.ejected(now) {
		return false
	}
	h.eject(now, settings)
	return true
}

// recordRefusal ejects the worker for a pause that grows with consecutive refusals.
func (h *health) recordRefusal(now time.Time, settings *HealthSettings) {
	if h.ejected(now) {
		return
	}
	h.ejectedUntil = now.Add(min(settings.InitialRefusalPause<<min(h.consecutiveRefusals, 8), settings.MaxRefusalPause))
	h.consecutiveRefusals++
}

// eject ejects the worker and lowers its failure rate so that one more failure ejects it again.
func (h *health) eject(now time.Time, settings *HealthSettings) {
	pause := min(settings.InitialEjection<<min(h.consecutiveEjections, 8), settings.MaxEjection)
	h.ejectedUntil = now.Add(pause)
	h.consecutiveEjections++
	h.failureRate = settings.EjectionThreshold * (1 - settings.FailureRateSmoothing)
}
