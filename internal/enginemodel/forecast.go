package enginemodel

import (
	"math"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
)

// Response describes the response that a request wants from an engine.
type Response struct {
	// Events is the expected number of events of the response, at least 1, and MaxEvents the most that it can have; zero if unknown.
	Events, MaxEvents float64
	// Spread is the standard deviation of the logarithm of the number of events.
	Spread float64
	// StartWithin is the time within which the first event is wanted; zero if there is no such objective, negative if it is missed.
	StartWithin time.Duration
	// PauseObjective is the target for the longest pause between two events; zero if there is none.
	PauseObjective time.Duration
	// Remaining is the time until the caller's deadline; zero if there is none.
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

// Forecast returns the expected course of a response at a decode engine with the given load. Without observations it is zero. The risks are
// rounded, so that engines whose risks are small are equal.
func (m *Model) Forecast(now time.Time, worker *backend.Worker, response Response, load backend.Load) Forecast {
	stats, found := m.classes[ClassOf(worker)]
	if !found || response.Events < 1 {
		return Forecast{}
	}
	logInterval, found := stats.logInterval(now, stats.workers[worker.ID])
	if !found {
		return Forecast{}
	}
	interval := math.Exp(logInterval)
	intervals := response.intervals(response.Events)
	mean := interval * stats.transients.meanFactor()
	forecast := Forecast{Interval: duration(mean), End: duration(mean * intervals)}
	if intervals == 0 {
		return forecast
	}
	forecast.DeadlineRisk = roundRisk(response.deadlineRisk(mean))
	if response.PauseObjective > 0 {
		held := 0.0
		if load.PrefillTokens > 0 {
			held = float64(load.PrefillTokens) * m.secondsPerToken(now, worker)
		}
		forecast.PauseRisk = roundRisk(stats.transients.pauseRisk(interval, held, intervals, response.PauseObjective.Seconds()))
	}
	return forecast
}

// AddedPauseRisk returns by how much a prefill of the given time raises the probability that a response which an engine is decoding has a
// pause over the objective. It is between 0 and 1.
func (m *Model) AddedPauseRisk(now time.Time, worker *backend.Worker, objective time.Duration, prefillSeconds float64) float64 {
	stats, found := m.classes[ClassOf(worker)]
	if !found || objective <= 0 || prefillSeconds <= 0 {
		return 0
	}
	logInterval, found := stats.logInterval(now, stats.workers[worker.ID])
	if !found {
		return 0
	}
	interval := math.Exp(logInterval)
	with, _ := stats.transients.exceeding((objective.Seconds() - prefillSeconds) / interval)
	without, _ := stats.transients.exceeding(objective.Seconds() / interval)
	return roundRisk(max(with-without, 0))
}

// intervals returns the number of intervals in a response of the given number of events, bounded by MaxEvents.
func (r Response) intervals(events float64) float64 {
	if r.MaxEvents > 0 {
		events = min(events, r.MaxEvents)
	}
	return max(events-1, 0)
}

// deadlineRisk returns the probability that the last event comes after the deadline, if the number of events is lognormal and each takes the
// given time.
func (r Response) deadlineRisk(secondsPerEvent float64) float64 {
	remaining := r.Remaining.Seconds()
	longest := r.intervals(math.MaxFloat64) * secondsPerEvent
	switch expected := r.intervals(r.Events) * secondsPerEvent; {
	case r.Remaining == 0 || (r.MaxEvents > 0 && longest <= remaining):
		return 0
	case remaining <= 0:
		return 1
	default:
		return normalDistribution(math.Log(expected/remaining) / max(r.Spread, minSpread))
	}
}

// LateStartRisk returns the probability that the first event is late if it is expected to wait for a slot for the given time. It is 0 without
// a wait.
func (r Response) LateStartRisk(wait time.Duration) float64 {
	switch {
	case wait <= 0 || r.StartWithin == 0:
		return 0
	case r.StartWithin < 0:
		return 1
	default:
		return normalDistribution(math.Log(wait.Seconds()/r.StartWithin.Seconds()) / waitSpread)
	}
}

// waitSpread is the standard deviation of the logarithm of a wait for a slot relative to what was expected.
const waitSpread = 0.7

// minSpread is the lower bound of the spread of the number of events.
const minSpread = 0.1

// normalDistribution is the distribution function of the standard normal distribution.
func normalDistribution(x float64) float64 { return math.Erfc(-x/math.Sqrt2) / 2 }

// pauseRisk returns the probability that at least one of the intervals of a response exceeds the objective. The first is longer by the time
// that the engine is held up with prefilling.
func (t *transients) pauseRisk(interval, held, intervals, objective float64) float64 {
	_, perSecond := t.exceeding(objective / interval)
	share, _ := t.exceeding((objective - held) / interval)
	return 1 - (1-share)*math.Exp(-perSecond*interval*max(intervals-1, 0))
}

// riskStep is the step to which risks are rounded.
const riskStep = 0.01

// roundRisk rounds a risk.
func roundRisk(risk float64) float64 {
	return min(max(math.Round(risk/riskStep)*riskStep, 0), 1)
}

// duration returns seconds as a duration, bounded to a day.
func duration(seconds float64) time.Duration {
	return time.Duration(min(max(seconds, 0), maxSeconds) * float64(time.Second))
}

// maxSeconds is the longest expected time.
const maxSeconds = 86400.0

// secondsPerToken returns the prefill time per token of an engine.
func (m *Model) secondsPerToken(now time.Time, worker *backend.Worker) float64 {
	class := ClassOf(worker)
	return m.Estimate(now, class).SecondsPerToken * m.Slowdown(now, class, worker.ID)
}
