// Package backoff computes growing delays with jitter between the tries of one request.
package backoff

import (
	"math/rand/v2"
	"time"
)

// Backoff doubles its delay with each failure. The zero value has no delay; set Base and Max.
type Backoff struct {
	// Base is the delay after the first failure, Max the longest delay.
	Base, Max time.Duration

	failures int
}

// Next counts one more failure and returns the delay until the next try: between half and the whole of the present
// step, and on top of atLeast, which the service may have asked for.
func (b *Backoff) Next(random *rand.Rand, atLeast time.Duration) time.Duration {
	step := b.Base
	for range b.failures {
		if step >= b.Max {
			break
		}
		step *= 2
	}
	step = min(step, b.Max)
	b.failures++
	return atLeast + step/2 + time.Duration(random.Float64()*float64(step)/2)
}

// Reset forgets the failures.
func (b *Backoff) Reset() { b.failures = 0 }
