package enginemodel

import (
	"maps"
	"math"
	"time"
)

// Parameters of the lengths of responses.
const (
	// hintSpread is the standard deviation of the logarithm of the number of events if only a hint of it is known, and unknownSpread that
	// if nothing is known.
	hintSpread    = 0.5
	unknownSpread = 1.0
	// lengthMinSamples is the number of responses from which what was learnt of their lengths counts.
	lengthMinSamples = 8.0
	// maxLogLength bounds the logarithm of one observation.
	maxLogLength = 10.0
)

// Lengths learns how many events the responses of each rule have. Like a Model it has no clock and is not safe for concurrent use.
type Lengths struct{ byRule map[string]*ruleLengths }

// ruleLengths holds the logarithms of the numbers of events: those of responses with a hint relative to it, and those of all others.
type ruleLengths struct{ hinted, unhinted logNormal }

// logNormal estimates a lognormal distribution from decaying observations.
type logNormal struct{ mean, square decayingMean }

// add adds an observation of a logarithm.
func (l *logNormal) add(now time.Time, value float64) {
	value = min(max(value, -maxLogLength), maxLogLength)
	l.mean.add(now, value, 1)
	l.square.add(now, value*value, 1)
}

// solve returns the median and the standard deviation of the logarithm, or those of the prior if too little was observed.
func (l *logNormal) solve(now time.Time, median, spread float64) (float64, float64) {
	if l.mean.weightAt(now) < lengthMinSamples {
		return median, spread
	}
	mean := l.mean.value(now, median)
	variance := l.square.value(now, median*median+spread*spread) - mean*mean
	return mean, math.Sqrt(max(variance, 0))
}

// NewLengths returns Lengths without observations.
func NewLengths() *Lengths { return &Lengths{byRule: map[string]*ruleLengths{}} }

// Observe records that a response of a rule had the given number of events. hinted is the number that the request named, or zero.
func (l *Lengths) Observe(now time.Time, rule string, hinted float64, events int) {
	if events < 1 {
		return
	}
	lengths, found := l.byRule[rule]
	if !found {
		l.forgetIdle(now)
		lengths = &ruleLengths{}
		l.byRule[rule] = lengths
	}
	logEvents := math.Log(float64(events))
	if hinted >= 1 {
		lengths.hinted.add(now, logEvents-math.Log(hinted))
		return
	}
	lengths.unhinted.add(now, logEvents)
}

// maxRules is the number of rules from which idle ones are forgotten.
const maxRules = 1024

// forgetIdle forgets the rules without recent responses if there are many, because rules come and go.
func (l *Lengths) forgetIdle(now time.Time) {
	if len(l.byRule) < maxRules {
		return
	}
	maps.DeleteFunc(l.byRule, func(_ string, lengths *ruleLengths) bool {
		return lengths.hinted.mean.weightAt(now)+lengths.unhinted.mean.weightAt(now) < 1
	})
}

// Expect returns the median number of events of a response of a rule and the standard deviation of its logarithm. The median is at least 1,
// and 1 if nothing is known.
func (l *Lengths) Expect(now time.Time, rule string, hinted float64) (events, spread float64) {
	lengths, found := l.byRule[rule]
	if !found {
		lengths = &ruleLengths{}
	}
	if hinted >= 1 {
		logFactor, spread := lengths.hinted.solve(now, 0, hintSpread)
		return max(hinted*math.Exp(logFactor), 1), spread
	}
	logEvents, spread := lengths.unhinted.solve(now, 0, unknownSpread)
	return max(math.Exp(logEvents), 1), spread
}
