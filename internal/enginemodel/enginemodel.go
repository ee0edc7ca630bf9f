// Package enginemodel estimates the speed of workers from observed requests, so that speeds need no configuration.
//
// Workers of the same group and role form a class and are assumed to be equally fast, unless one of them is
// clearly slower. For each class, a linear regression models the time from sending a prompt until it is prefilled as a
// function of the tokens that the engine has to prefill until then. A Model is a pure state machine: it has no clock
// and no goroutine, and it is not safe for concurrent use.
//
// Invariants: the estimated prefill time is finite, not negative, and increases with the tokens; without recent
// observations estimates revert to the prior.
package enginemodel

import (
	"math"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
)

// Class identifies workers that are assumed to be equally fast.
type Class struct {
	Group string
	Role  backend.Role
}

// ClassOf returns the class of a worker.
func ClassOf(worker *backend.Worker) Class { return Class{Group: worker.Group, Role: worker.Role} }

// PrefillSample is the observation of one prefill.
type PrefillSample struct {
	// QueuedTokens is the number of tokens queued at the worker when the prompt was sent.
	QueuedTokens int
	// Tokens is the number of tokens of the prompt that the worker was expected to prefill.
	Tokens int
	// Duration is the time from sending the prompt until it was prefilled.
	Duration time.Duration
}

// Parameters of the estimation.
const (
	// decayTime is the time after which the weight of an observation has dropped to 1/e.
	decayTime = 20 * time.Second
	// Once the weights of the observations sum to more than clipMinSamples, each further one is clipped to between
	// 1/clipFactor and clipFactor times the estimate.
	clipFactor     = 4.0
	clipMinSamples = 10.0
	// The prior for prefill is a rate of 50,000 tokens per second. Its base time weighs as much as priorBaseWeight
	// observations, and its time per token as much as one prompt of priorPromptTokens.
	priorBaseSeconds     = 0.008
	priorSecondsPerToken = 1.0 / 50_000
	priorBaseWeight      = 10.0
	priorPromptTokens    = 1000.0
	// decodePrefillFactor is the prior for the time per token of prefill on decode engines, relative to that on the
	// prefill engines of the group.
	decodePrefillFactor = 2.0
)

// Estimate is the expected performance of a class.
type Estimate struct {
	// BaseSeconds is the fixed time of a prefill, and SecondsPerToken the time per token.
	BaseSeconds     float64
	SecondsPerToken float64
	// PrefillSamples is the decayed weight of the prefill observations.
	PrefillSamples float64
	// ServiceSeconds is the mean time for which a request occupies a worker, and RequestSamples the decayed number of
	// observations of it.
	ServiceSeconds float64
	RequestSamples float64
}

// classStats holds the observations of a class.
type classStats struct {
	prefill     regression
	serviceTime decayingMean
	workers     map[string]*workerStats
	transients  transients
	typicalPace typicalPace
}

// workerStats holds the observations of one worker. The mean of logSlowdown is that of the logarithm of the prefill time
// relative to the estimate of its class.
type workerStats struct {
	logSlowdown decayingMean
	pace        pace
}

// Model holds the observations of all classes.
type Model struct{ classes map[Class]*classStats }

// New returns a Model without observations.
func New() *Model { return &Model{classes: map[Class]*classStats{}} }

// statsOf returns the observations of a class, and creates them if needed.
func (m *Model) statsOf(class Class) *classStats {
	stats, found := m.classes[class]
	if !found {
		stats = &classStats{workers: map[string]*workerStats{}}
		m.classes[class] = stats
	}
	return stats
}

// ObservePrefill records a prefill. The weight of the sample is the fourth power of the share of its own tokens in all
// that the engine had to prefill, because the known queue length may be outdated.
func (m *Model) ObservePrefill(now time.Time, class Class, id string, sample PrefillSample) {
	if sample.Tokens <= 0 || sample.Duration <= 0 || sample.QueuedTokens < 0 {
		return
	}
	stats := m.statsOf(class)
	expected := m.Estimate(now, class)
	tokens := float64(sample.QueuedTokens + sample.Tokens)
	seconds := sample.Duration.Seconds()
	predicted := expected.BaseSeconds + expected.SecondsPerToken*tokens
	if stats.prefill.weight > clipMinSamples {
		seconds = min(max(seconds, predicted/clipFactor), predicted*clipFactor)
	}
	ownShare := float64(sample.Tokens) / tokens
	weight := ownShare * ownShare * ownShare * ownShare
	stats.prefill.add(now, tokens, seconds, weight)
	stats.workerOf(id).observePrefill(now, expected, tokens, seconds, weight)
}

// observePrefill records a prefill relative to the estimate of the class. Only the time for the tokens counts, as the base time is mostly that of
// the network, and the weight is the square of its share.
func (w *workerStats) observePrefill(now time.Time, expected Estimate, tokens, seconds, weight float64) {
	perTokens := expected.SecondsPerToken * tokens
	share := perTokens / (expected.BaseSeconds + perTokens)
	factor := min(max((seconds-expected.BaseSeconds)/perTokens, 1/clipFactor), clipFactor)
	w.logSlowdown.add(now, math.Log(factor), weight*share*share)
}

// ObserveRequest records the time for which a request occupied a worker.
func (m *Model) ObserveRequest(now time.Time, class Class, duration time.Duration) {
	if duration <= 0 {
		return
	}
	m.statsOf(class).serviceTime.add(now, duration.Seconds(), 1)
}

// Estimate returns the expected performance of a class. The prior of a decode class is derived from the prefill class
// of its group.
func (m *Model) Estimate(now time.Time, class Class) Estimate {
	base, perToken := priorBaseSeconds, priorSecondsPerToken
	if class.Role == backend.RoleDecode {
		if prefillClass, found := m.classes[Class{Group: class.Group, Role: backend.RolePrefill}]; found {
			base, perToken = prefillClass.prefill.solve(now, base, perToken)
		}
		perToken *= decodePrefillFactor
	}
	stats, found := m.classes[class]
	if !found {
		return Estimate{BaseSeconds: base, SecondsPerToken: perToken, ServiceSeconds: priorServiceSeconds}
	}
	estimate := Estimate{PrefillSamples: stats.prefill.weightAt(now), RequestSamples: stats.serviceTime.weightAt(now)}
	estimate.BaseSeconds, estimate.SecondsPerToken = stats.prefill.solve(now, base, perToken)
	estimate.ServiceSeconds = stats.serviceTime.value(now, priorServiceSeconds)
	return estimate
}

// priorServiceSeconds is the prior for the service time of a request.
const priorServiceSeconds = 0.030

// Slowdown returns how many times as long as its class a worker takes for a prefill; below 1 if it is faster. It is 1 unless the worker is
// clearly faster or slower, and is rounded, so that equally fast workers get equal estimates.
func (m *Model) Slowdown(now time.Time, class Class, id string) float64 {
	stats, found := m.classes[class]
	if !found {
		return 1
	}
	worker, found := stats.workers[id]
	if !found || worker.logSlowdown.weightAt(now) < slowdownMinSamples {
		return 1
	}
	steps := math.Trunc(worker.logSlowdown.value(now, 0) / slowdownLogStep)
	if steps == 0 {
		return 1
	}
	// The middle of the step.
	return math.Exp(slowdownLogStep * (steps + math.Copysign(0.5, steps)))
}

// A worker is clearly faster or slower if the logarithm of its relative time is at least a slowdownLogStep away from zero, over observations
// with a decayed weight of at least slowdownMinSamples. The logarithm is rounded to the middle of such a step.
const (
	slowdownMinSamples = 2.0
	slowdownLogStep    = 0.223 // a factor of 1.25
)

// ForgetWorker deletes the observations of one worker.
func (m *Model) ForgetWorker(id string) {
	for _, stats := range m.classes {
		delete(stats.workers, id)
	}
}
