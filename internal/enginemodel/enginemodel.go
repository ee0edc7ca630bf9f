// Package enginemodel learns how fast workers are from what requests show, so that no pace of an engine stands in the code.
//
// Workers of one group and role are taken to be alike, as long as one of them does not show otherwise. For each such class a
// line is fitted through the observed readings: seconds from sending a prompt to the sign that it was read, against the tokens
// that the engine had to read until then. A Model is a pure state machine: it has no clock and no goroutine, and it is not safe
// for concurrent use.
//
// Invariants: estimates are finite, never negative, and do not fall when there is more to read; a class that was not observed
// for long is estimated as one that was never observed.
package enginemodel

import (
	"math"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
)

// Class names workers that are taken to be alike.
type Class struct {
	Group string
	Role  backend.Role
}

// ClassOf returns the class of a worker.
func ClassOf(worker *backend.Worker) Class { return Class{Group: worker.Group, Role: worker.Role} }

// Reading is one prompt that a worker has read.
type Reading struct {
	// Ahead are the tokens that waited at the worker when the prompt was sent, and Tokens those of the prompt itself that the
	// worker was expected to read.
	Ahead, Tokens int
	// Took is the time from sending the prompt until it was read.
	Took time.Duration
}

// Memory of a model and the strength of its assumptions.
const (
	// memory is the time after which an observation counts 1/e.
	decayTime = 20 * time.Second
	// clipFactor bounds how far one observation may lie off the estimate, once enough were made.
	clipFactor     = 4.0
	clipMinSamples = 10.0
	// assumedStart and assumedPerToken hold for engines that read prompts while nothing was observed: a cautious pace of 50,000
	// tokens a second. startWeight is the number of observations that the assumed start counts for, and tokensWeight is the
	// length of the one prompt that the assumed pace counts for.
	priorBaseSeconds     = 0.008
	priorSecondsPerToken = 1.0 / 50_000
	priorBaseWeight      = 10.0
	priorPromptTokens    = 1000.0
	// decodeFactor is how much slower engines read that write answers too, while nothing was observed.
	decodeSlowdown = 2.0
)

// Estimate is what a class is expected to do.
type Estimate struct {
	// StartSeconds is the time that a reading takes besides its tokens, and SecondsPerToken that of each token.
	BaseSeconds     float64
	SecondsPerToken float64
	// Readings is how many observations this rests on, old ones counted in part.
	PrefillSamples float64
	// RunSeconds is the mean time for which a request occupies a worker, and Runs how many observations that rests on.
	ServiceSeconds float64
	RequestSamples float64
}

// class is what was observed of the workers of a class.
type classStats struct {
	prefill     regression
	serviceTime decayingMean
	workers     map[string]*workerStats
}

// worker is what was observed of one worker in particular: the logarithm of how much longer it took than its class.
type workerStats struct{ logSlowdown decayingMean }

// Model holds what was learnt of all classes.
type Model struct{ classes map[Class]*classStats }

// New returns a model that has observed nothing.
func New() *Model { return &Model{classes: map[Class]*classStats{}} }

// of returns the observations of a class.
func (m *Model) statsOf(class Class) *classStats {
	stats, found := m.classes[class]
	if !found {
		stats = &classStats{workers: map[string]*workerStats{}}
		m.classes[class] = stats
	}
	return stats
}

// ObserveReading takes one reading of a worker. Readings behind long queues tell little of the pace, because what is known of
// queues is old.
func (m *Model) ObserveReading(now time.Time, class Class, id string, reading Reading) {
	if reading.Tokens <= 0 || reading.Took <= 0 || reading.Ahead < 0 {
		return
	}
	stats := m.statsOf(class)
	expected := m.Estimate(now, class)
	tokens := float64(reading.Ahead + reading.Tokens)
	seconds := reading.Took.Seconds()
	predicted := expected.BaseSeconds + expected.SecondsPerToken*tokens
	if stats.prefill.weight > clipMinSamples {
		seconds = min(max(seconds, predicted/clipFactor), predicted*clipFactor)
	}
	ownShare := float64(reading.Tokens) / tokens
	weight := ownShare * ownShare * ownShare * ownShare
	stats.prefill.add(now, tokens, seconds, weight)
	worker, found := stats.workers[id]
	if !found {
		worker = &workerStats{}
		stats.workers[id] = worker
	}
	worker.logSlowdown.add(now, math.Log(seconds/predicted), weight)
}

// ObserveRun takes the time for which a request occupied a worker.
func (m *Model) ObserveRun(now time.Time, class Class, took time.Duration) {
	if took <= 0 {
		return
	}
	m.statsOf(class).serviceTime.add(now, took.Seconds(), 1)
}

// Estimate returns what a class is expected to do.
func (m *Model) Estimate(now time.Time, class Class) Estimate {
	base, perToken := priorBaseSeconds, priorSecondsPerToken
	if class.Role == backend.RoleDecode {
		if prefillClass, found := m.classes[Class{Group: class.Group, Role: backend.RolePrefill}]; found {
			base, perToken = prefillClass.prefill.solve(now, base, perToken)
		}
		perToken *= decodeSlowdown
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

// assumedRun is the time of a run while none was observed.
const priorServiceSeconds = 0.030

// Slowness returns how many times as long a worker takes as its class. It is one for all but workers that stand out clearly, so
// that those which are alike are estimated alike.
func (m *Model) Slowdown(now time.Time, class Class, id string) float64 {
	stats, found := m.classes[class]
	if !found {
		return 1
	}
	worker, found := stats.workers[id]
	if !found || worker.logSlowdown.weightAt(now) < slowdownMinSamples {
		return 1
	}
	factor := math.Exp(worker.logSlowdown.value(now, 0))
	if factor < slowdownThreshold {
		return 1
	}
	return math.Round(factor*slowdownSteps) / slowdownSteps
}

// A worker stands out from slownessFrom times the time of its class on, seen at slownessAfter readings; its factor is rounded
// to a part of one.
const (
	slowdownMinSamples = 5.0
	slowdownThreshold  = 1.6
	slowdownSteps      = 2.0
)

// ForgetWorker drops what was observed of one worker in particular.
func (m *Model) ForgetWorker(id string) {
	for _, stats := range m.classes {
		delete(stats.workers, id)
	}
}
