package enginemodel

import (
	"math"
	"time"
)

// decay returns the share of the weight of observations, from 0 to 1, that remains after the time between from and to.
// It is 1 if from is zero.
func decay(from, to time.Time) float64 {
	if from.IsZero() || !to.After(from) {
		return 1
	}
	return math.Exp(-to.Sub(from).Seconds() / decayTime.Seconds())
}

// regression is a weighted least squares fit of a line to decaying observations, with a line as the prior (ridge
// regression).
type regression struct {
	// weight is the sum of the weights; the others are the weighted sums of the tokens, the seconds, the squared
	// tokens, and the products of tokens and seconds.
	weight, tokens, seconds, squares, products float64
	updatedAt                                  time.Time
}

// add adds an observation.
func (r *regression) add(now time.Time, tokens, seconds, weight float64) {
	factor := decay(r.updatedAt, now)
	r.weight = r.weight*factor + weight
	r.tokens = r.tokens*factor + weight*tokens
	r.seconds = r.seconds*factor + weight*seconds
	r.squares = r.squares*factor + weight*tokens*tokens
	r.products = r.products*factor + weight*tokens*seconds
	r.updatedAt = now
}

// weightAt returns the decayed weight of the observations.
func (r *regression) weightAt(now time.Time) float64 { return r.weight * decay(r.updatedAt, now) }

// solve returns the base time and the time per token of the best fit, given those of the prior.
func (r *regression) solve(now time.Time, base, perToken float64) (float64, float64) {
	const squaresPrior = priorPromptTokens * priorPromptTokens
	factor := decay(r.updatedAt, now)
	// Normal equations of the sum of squared errors with both priors.
	a11, a12, a22 := factor*r.weight+priorBaseWeight, factor*r.tokens, factor*r.squares+squaresPrior
	b1, b2 := factor*r.seconds+priorBaseWeight*base, factor*r.products+squaresPrior*perToken
	determinant := a11*a22 - a12*a12
	if determinant <= 0 {
		return base, perToken
	}
	slope := (a11*b2 - a12*b1) / determinant
	// With a zero or negative slope, tokens would take no time.
	slope = max(slope, perToken*minSlopeFactor)
	return max((b1-slope*a12)/a11, 0), slope
}

// minSlopeFactor is the minimum time per token relative to the prior.
const minSlopeFactor = 1e-3

// decayingMean is the weighted mean of decaying observations.
type decayingMean struct {
	weight, sum float64
	updatedAt   time.Time
}

// add adds an observation.
func (m *decayingMean) add(now time.Time, value, weight float64) {
	factor := decay(m.updatedAt, now)
	m.weight = m.weight*factor + weight
	m.sum = m.sum*factor + weight*value
	m.updatedAt = now
}

// weightAt returns the decayed weight of the observations.
func (m *decayingMean) weightAt(now time.Time) float64 { return m.weight * decay(m.updatedAt, now) }

// value returns the mean, in which the prior counts as one observation.
func (m *decayingMean) value(now time.Time, prior float64) float64 {
	factor := decay(m.updatedAt, now)
	return (factor*m.sum + prior) / (factor*m.weight + 1)
}
