package enginemodel

import (
	"math"
	"time"
)

// fade returns by how much observations fade between two moments.
func decay(from, to time.Time) float64 {
	if from.IsZero() || !to.After(from) {
		return 1
	}
	return math.Exp(-to.Sub(from).Seconds() / decayTime.Seconds())
}

// line is a straight line through observations that fade: weighted least squares with an assumed line as a prior (ridge
// regression).
type regression struct {
	// weight and the weighted sums of tokens, seconds, their squares and their products.
	weight, tokens, seconds, squares, products float64
	last                                       time.Time
}

// add takes one observation.
func (l *regression) add(now time.Time, tokens, seconds, weight float64) {
	factor := decay(l.last, now)
	l.weight = l.weight*factor + weight
	l.tokens = l.tokens*factor + weight*tokens
	l.seconds = l.seconds*factor + weight*seconds
	l.squares = l.squares*factor + weight*tokens*tokens
	l.products = l.products*factor + weight*tokens*seconds
	l.last = now
}

// weightAt returns for how many observations the line counts at a moment.
func (l *regression) weightAt(now time.Time) float64 { return l.weight * decay(l.last, now) }

// solve returns the line that fits best at a moment, given the assumed one.
func (l *regression) solve(now time.Time, base, perToken float64) (float64, float64) {
	const squaresPrior = priorPromptTokens * priorPromptTokens
	factor := decay(l.last, now)
	// The normal equations of the sum of squared errors with both priors.
	a11, a12, a22 := factor*l.weight+priorBaseWeight, factor*l.tokens, factor*l.squares+squaresPrior
	b1, b2 := factor*l.seconds+priorBaseWeight*base, factor*l.products+squaresPrior*perToken
	determinant := a11*a22 - a12*a12
	if determinant <= 0 {
		return base, perToken
	}
	slope := (a11*b2 - a12*b1) / determinant
	// A line that falls, or nearly does, says that tokens are not what takes the time.
	slope = max(slope, perToken*minSlopeFactor)
	return max((b1-slope*a12)/a11, 0), slope
}

// leastSlope is the least time of a token, as a part of the assumed one.
const minSlopeFactor = 1e-3

// mean is a mean of observations that fade.
type decayingMean struct {
	weight, sum float64
	last        time.Time
}

// add takes one observation.
func (m *decayingMean) add(now time.Time, value, weight float64) {
	factor := decay(m.last, now)
	m.weight = m.weight*factor + weight
	m.sum = m.sum*factor + weight*value
	m.last = now
}

// weightAt returns for how many observations the mean counts at a moment.
func (m *decayingMean) weightAt(now time.Time) float64 { return m.weight * decay(m.last, now) }

// value returns the mean at a moment, in which the assumed one counts as one observation.
func (m *decayingMean) value(now time.Time, prior float64) float64 {
	factor := decay(m.last, now)
	return (factor*m.sum + prior) / (factor*m.weight + 1)
}
