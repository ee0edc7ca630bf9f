package loadshare

import "time"

// Offered is the work that callers have offered for a group through one gateway.
type Offered struct {
	_     struct{} `cbor:",toarray"`
	Group string
	// Tokens of prompts that engines were to read, counted since the start of the sender.
	Tokens int64
}

// rateInterval is the least time over which a rate is taken.
const minRateInterval = 500 * time.Millisecond

// Rate turns a count that rises into a count a second. The zero value has seen nothing.
type Rate struct {
	count     int64
	updatedAt time.Time
	perSecond float64
}

// Update takes the count of a moment.
func (r *Rate) Update(now time.Time, count int64) {
	elapsed := now.Sub(r.updatedAt)
	switch {
	case r.updatedAt.IsZero() || count < r.count:
		r.perSecond = 0
	case elapsed < minRateInterval:
		return
	default:
		r.perSecond = float64(count-r.count) / elapsed.Seconds()
	}
	r.count, r.updatedAt = count, now
}

// PerSecond returns the rate between the last two counts.
func (r *Rate) PerSecond() float64 { return r.perSecond }
