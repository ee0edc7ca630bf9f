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
	memory = 20 * time.Second
	// clipFactor bounds how far one observation may lie off the estimate, once enough were made.
	clipFactor = 4.0
	clipAfter  = 10.0
	// assumedStart and assumedPerToken hold for engines that read prompts while nothing was observed: a cautious pace of 50,000
	// tokens a second. startWeight is the number of observations that the assumed start counts for, and tokensWeight is the
	// length of the one prompt that the assumed pace counts for.
	assumedStart    = 0.008
	assumedPerToken = 1.0 / 50_000
	startWeight     = 10.0
	tokensWeight    = 1000.0
	// decodeFactor is how much slower engines read that write answers too, while nothing was observed.
	decodeFactor = 2.0
)

// Estimate is what a class is expected to do.
type Estimate struct {
	// StartSeconds is the time that a reading takes besides its tokens, and SecondsPerToken that of each token.
	StartSeconds    float64
	SecondsPerToken float64
	// Readings is how many observations this rests on, old ones counted in part.
	Readings float64
	// RunSeconds is the mean time for which a request occupies a worker, and Runs how many observations that rests on.
	RunSeconds float64
	Runs       float64
}

// class is what was observed of the workers of a class.
type class struct {
	line    line
	runs    mean
	workers map[string]*worker
}

// worker is what was observed of one worker in particular: the logarithm of how much longer it took than its class.
type worker struct{ slowness mean }

// Model holds what was learnt of all classes.
type Model struct{ classes map[Class]*class }

// New returns a model that has observed nothing.
func New() *Model { return &Model{classes: map[Class]*class{}} }

// of returns the observations of a class.
func (m *Model) of(name Class) *class {
	known, found := m.classes[name]
	if !found {
		known = &class{workers: map[string]*worker{}}
		m.classes[name] = known
	}
	return known
}

// ObserveReading takes one reading of a worker. Readings behind long queues tell little of the pace, because what is known of
// queues is old.
func (m *Model) ObserveReading(now time.Time, name Class, id string, reading Reading) {
	if reading.Tokens <= 0 || reading.Took <= 0 || reading.Ahead < 0 {
		return
	}
	known := m.of(name)
	expected := m.Estimate(now, name)
	tokens := float64(reading.Ahead + reading.Tokens)
	seconds := reading.Took.Seconds()
	predicted := expected.StartSeconds + expected.SecondsPerToken*tokens
	if known.line.weight > clipAfter {
		seconds = min(max(seconds, predicted/clipFactor), predicted*clipFactor)
	}
	share := float64(reading.Tokens) / tokens
	weight := share * share * share * share
	known.line.add(now, tokens, seconds, weight)
	one, found := known.workers[id]
	if !found {
		one = &worker{}
		known.workers[id] = one
	}
	one.slowness.add(now, math.Log(seconds/predicted), weight)
}

// ObserveRun takes the time for which a request occupied a worker.
func (m *Model) ObserveRun(now time.Time, name Class, took time.Duration) {
	if took <= 0 {
		return
	}
	m.of(name).runs.add(now, took.Seconds(), 1)
}

// Estimate returns what a class is expected to do.
func (m *Model) Estimate(now time.Time, name Class) Estimate {
	start, perToken := assumedStart, assumedPerToken
	if name.Role == backend.RoleDecode {
		if readers, found := m.classes[Class{Group: name.Group, Role: backend.RolePrefill}]; found {
			start, perToken = readers.line.solve(now, start, perToken)
		}
		perToken *= decodeFactor
	}
	known, found := m.classes[name]
	if !found {
		return Estimate{StartSeconds: start, SecondsPerToken: perToken, RunSeconds: assumedRun}
	}
	estimate := Estimate{Readings: known.line.weightAt(now), Runs: known.runs.weightAt(now)}
	estimate.StartSeconds, estimate.SecondsPerToken = known.line.solve(now, start, perToken)
	estimate.RunSeconds = known.runs.value(now, assumedRun)
	return estimate
}

// assumedRun is the time of a run while none was observed.
const assumedRun = 0.030

// Slowness returns how many times as long a worker takes as its class. It is one for all but workers that stand out clearly, so
// that those which are alike are estimated alike.
func (m *Model) Slowness(now time.Time, name Class, id string) float64 {
	known, found := m.classes[name]
	if !found {
		return 1
	}
	one, found := known.workers[id]
	if !found || one.slowness.weightAt(now) < slownessAfter {
		return 1
	}
	factor := math.Exp(one.slowness.value(now, 0))
	if factor < slownessFrom {
		return 1
	}
	return math.Round(factor*slownessSteps) / slownessSteps
}

// A worker stands out from slownessFrom times the time of its class on, seen at slownessAfter readings; its factor is rounded
// to a part of one.
const (
	slownessAfter = 5.0
	slownessFrom  = 1.6
	slownessSteps = 2.0
)

// ForgetWorker drops what was observed of one worker in particular.
func (m *Model) ForgetWorker(id string) {
	for _, known := range m.classes {
		delete(known.workers, id)
	}
}
