package enginemodel

import (
	"math"
	"time"
)

// fade returns by how much observations fade between two moments.
func fade(from, to time.Time) float64 {
	if from.IsZero() || !to.After(from) {
		return 1
	}
	return math.Exp(-to.Sub(from).Seconds() / memory.Seconds())
}

// line is a straight line through observations that fade: weighted least squares with an assumed line as a prior (ridge
// regression).
type line struct {
	// weight and the weighted sums of tokens, seconds, their squares and their products.
	weight, tokens, seconds, squares, products float64
	last                                       time.Time
}

// add takes one observation.
func (l *line) add(now time.Time, tokens, seconds, weight float64) {
	factor := fade(l.last, now)
	l.weight = l.weight*factor + weight
	l.tokens = l.tokens*factor + weight*tokens
	l.seconds = l.seconds*factor + weight*seconds
	l.squares = l.squares*factor + weight*tokens*tokens
	l.products = l.products*factor + weight*tokens*seconds
	l.last = now
}

// weightAt returns for how many observations the line counts at a moment.
func (l *line) weightAt(now time.Time) float64 { return l.weight * fade(l.last, now) }

// solve returns the line that fits best at a moment, given the assumed one.
func (l *line) solve(now time.Time, start, perToken float64) (float64, float64) {
	const tokensPrior = tokensWeight * tokensWeight
	factor := fade(l.last, now)
	// The normal equations of the sum of squared errors with both priors.
	a11, a12, a22 := factor*l.weight+startWeight, factor*l.tokens, factor*l.squares+tokensPrior
	b1, b2 := factor*l.seconds+startWeight*start, factor*l.products+tokensPrior*perToken
	determinant := a11*a22 - a12*a12
	if determinant <= 0 {
		return start, perToken
	}
	fitted := (a11*b2 - a12*b1) / determinant
	// A line that falls, or nearly does, says that tokens are not what takes the time.
	fitted = max(fitted, perToken*leastSlope)
	return max((b1-fitted*a12)/a11, 0), fitted
}

// leastSlope is the least time of a token, as a part of the assumed one.
const leastSlope = 1e-3

// mean is a mean of observations that fade.
type mean struct {
	weight, sum float64
	last        time.Time
}

// add takes one observation.
func (m *mean) add(now time.Time, value, weight float64) {
	factor := fade(m.last, now)
	m.weight = m.weight*factor + weight
	m.sum = m.sum*factor + weight*value
	m.last = now
}

// weightAt returns for how many observations the mean counts at a moment.
func (m *mean) weightAt(now time.Time) float64 { return m.weight * fade(m.last, now) }

// value returns the mean at a moment, in which the assumed one counts as one observation.
func (m *mean) value(now time.Time, assumed float64) float64 {
	factor := fade(m.last, now)
	return (factor*m.sum + assumed) / (factor*m.weight + 1)
}
