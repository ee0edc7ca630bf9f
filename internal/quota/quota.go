package quota

import "time"

// Quota is this gateway's share of one limit, as a token bucket that fills at the share's rate. It starts empty, since
// the requests that an earlier process sent are unknown. It is a pure state machine and not safe for concurrent use.
type Quota struct {
	rate float64
	// credits is the number of requests earned up to updatedAt, with the given share of the limit.
	credits   float64
	updatedAt time.Time
	share     float64
}

// New returns an empty quota of a limit with the given rate in requests per second.
func New(now time.Time, rate, share float64) *Quota {
	return &Quota{rate: rate, updatedAt: now, share: share}
}

// Rate returns the rate of the limit for all gateways together.
func (q *Quota) Rate() float64 { return q.rate }

// SetRate changes the rate of the limit. The share is the one that results from the new rate.
func (q *Quota) SetRate(now time.Time, rate, share float64) {
	q.Accrue(now, min(share, q.share))
	q.rate = rate
	q.Accrue(now, share)
}

// Accrue adds the credits earned up to now. Call it before and after each change of the share: between two calls the
// smaller share applies, and a quota without a share loses its credits, as another gateway now holds the share.
func (q *Quota) Accrue(now time.Time, share float64) {
	if elapsed := now.Sub(q.updatedAt); elapsed > 0 {
		q.credits += q.rate * min(share, q.share) * elapsed.Seconds()
		q.updatedAt = now
	}
	q.share = share
	q.credits = min(q.credits, q.capacity())
	if share == 0 {
		q.credits = 0
	}
}

// capacity is the maximum number of credits: those earned in burstInterval, but at least one whole request.
func (q *Quota) capacity() float64 { return max(q.rate*q.share*burstInterval.Seconds(), 1) }

// Available returns how many requests may be sent now, as a fractional number.
func (q *Quota) Available(now time.Time, share float64) float64 {
	q.Accrue(now, share)
	return q.credits
}

// minCredits is the credit needed for a request: one, less the rounding error of summed fractions.
const minCredits = 1 - 1e-9

// CanSpend reports whether a request may be sent now.
func (q *Quota) CanSpend(now time.Time, share float64) bool {
	return q.Available(now, share) >= minCredits
}

// Spend takes one request from the quota and reports whether there was one.
func (q *Quota) Spend(now time.Time, share float64) bool {
	if !q.CanSpend(now, share) {
		return false
	}
	q.credits = max(q.credits-1, 0)
	return true
}

// NextAt returns when the next request may be sent, or false if this gateway holds no share.
func (q *Quota) NextAt(now time.Time, share float64) (time.Time, bool) {
	missing := minCredits - q.Available(now, share)
	if share == 0 {
		return time.Time{}, false
	}
	return now.Add(time.Duration(max(missing, 0) / (q.rate * share) * float64(time.Second))), true
}
