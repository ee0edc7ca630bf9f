package quota

import "time"

// Quota is the part of one bound that this gateway holds. What it holds is earned bit by bit as time passes, and nothing of it is there when
// it begins: nobody knows what was used before. It is a pure state machine and not safe for concurrent use.
type Quota struct {
	rate float64
	// credits were earned until at, with a part.
	credits   float64
	updatedAt time.Time
	share     float64
}

// New returns a quota that has earned nothing, of a bound of so many requests a second.
func New(now time.Time, rate, share float64) *Quota {
	return &Quota{rate: rate, updatedAt: now, share: share}
}

// PerSecond returns the rate of the bound, of all gateways together.
func (q *Quota) PerSecond() float64 { return q.rate }

// SetRate replaces the rate of the bound. The part is that which follows from it.
func (q *Quota) SetRate(now time.Time, rate, share float64) {
	q.Earn(now, min(share, q.share))
	q.rate = rate
	q.Earn(now, share)
}

// Earn takes what was earned until now. It is called before and after each change of the part: between two calls the smaller one counts, and
// one that holds nothing keeps nothing, as others hold it.
func (q *Quota) Earn(now time.Time, share float64) {
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

// most is how much may be kept: what is earned in Burst, and a whole request at least, of which parts below one are a part.
func (q *Quota) capacity() float64 { return max(q.rate*q.share*burstInterval.Seconds(), 1) }

// Left returns how many requests may be sent now.
func (q *Quota) Left(now time.Time, share float64) float64 {
	q.Earn(now, share)
	return q.credits
}

// enough is a whole request, less what sums of parts lose.
const requestCost = 1 - 1e-9

// Takes tells whether a request may be sent now.
func (q *Quota) Takes(now time.Time, share float64) bool { return q.Left(now, share) >= requestCost }

// Spend takes a request from the quota, and tells whether there was one.
func (q *Quota) Spend(now time.Time, share float64) bool {
	if !q.Takes(now, share) {
		return false
	}
	q.credits = max(q.credits-1, 0)
	return true
}

// Next returns when the next request may be sent, or false if this gateway holds nothing.
func (q *Quota) Next(now time.Time, share float64) (time.Time, bool) {
	missing := requestCost - q.Left(now, share)
	if share == 0 {
		return time.Time{}, false
	}
	return now.Add(time.Duration(max(missing, 0) / (q.rate * share) * float64(time.Second))), true
}
