package quota

import "time"

// Quota is the part of one bound that this gateway holds. What it holds is earned bit by bit as time passes, and nothing of it is there when
// it begins: nobody knows what was used before. It is a pure state machine and not safe for concurrent use.
type Quota struct {
	perSecond float64
	// credits were earned until at, with a part.
	credits float64
	at      time.Time
	part    float64
}

// New returns a quota that has earned nothing, of a bound of so many requests a second.
func New(now time.Time, perSecond, part float64) *Quota {
	return &Quota{perSecond: perSecond, at: now, part: part}
}

// PerSecond returns the rate of the bound, of all gateways together.
func (q *Quota) PerSecond() float64 { return q.perSecond }

// SetRate replaces the rate of the bound. The part is that which follows from it.
func (q *Quota) SetRate(now time.Time, perSecond, part float64) {
	q.Earn(now, min(part, q.part))
	q.perSecond = perSecond
	q.Earn(now, part)
}

// Earn takes what was earned until now. It is called before and after each change of the part: between two calls the smaller one counts, and
// one that holds nothing keeps nothing, as others hold it.
func (q *Quota) Earn(now time.Time, part float64) {
	if passed := now.Sub(q.at); passed > 0 {
		q.credits += q.perSecond * min(part, q.part) * passed.Seconds()
		q.at = now
	}
	q.part = part
	q.credits = min(q.credits, q.most())
	if part == 0 {
		q.credits = 0
	}
}

// most is how much may be kept: what is earned in Burst, and a whole request at least, of which parts below one are a part.
func (q *Quota) most() float64 { return max(q.perSecond*q.part*Burst.Seconds(), 1) }

// Left returns how many requests may be sent now.
func (q *Quota) Left(now time.Time, part float64) float64 {
	q.Earn(now, part)
	return q.credits
}

// enough is a whole request, less what sums of parts lose.
const enough = 1 - 1e-9

// Takes tells whether a request may be sent now.
func (q *Quota) Takes(now time.Time, part float64) bool { return q.Left(now, part) >= enough }

// Spend takes a request from the quota, and tells whether there was one.
func (q *Quota) Spend(now time.Time, part float64) bool {
	if !q.Takes(now, part) {
		return false
	}
	q.credits = max(q.credits-1, 0)
	return true
}

// Next returns when the next request may be sent, or false if this gateway holds nothing.
func (q *Quota) Next(now time.Time, part float64) (time.Time, bool) {
	missing := enough - q.Left(now, part)
	if part == 0 {
		return time.Time{}, false
	}
	return now.Add(time.Duration(max(missing, 0) / (q.perSecond * part) * float64(time.Second))), true
}
