package peersync

import "time"

// OfferedLoad counts the work that callers have offered to a group through one gateway.
type OfferedLoad struct {
	_     struct{} `cbor:",toarray"`
	Group string
	// Tokens counts the prompt tokens for engines since the start of the sender.
	Tokens int64
}

// minRateInterval is the minimum interval over which a rate is computed.
const minRateInterval = 500 * time.Millisecond

// Rate computes a rate from readings of an increasing counter. The zero value has no readings yet.
type Rate struct {
	count     int64
	updatedAt time.Time
	perSecond float64
}

// Update records a reading of the counter. A decrease means that the counter restarted. Readings within minRateInterval
// of the last recorded one are ignored.
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

// PerSecond returns the rate between the last two recorded readings.
func (r *Rate) PerSecond() float64 { return r.perSecond }
