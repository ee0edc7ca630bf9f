package peersync

import "time"

// OfferedLoad is the work that callers have offered to a group through one gateway.
type OfferedLoad struct {
	_     struct{} `cbor:",toarray"`
	Group string
	// Tokens counts the prompt tokens for engines since the start of the sender.
	Tokens int64
}

// minRateInterval is the minimum interval over which a rate is computed.
const minRateInterval = 500 * time.Millisecond

// Rate converts an increasing count to a rate. The zero value has no counts yet.
type Rate struct {
	count     int64
	updatedAt time.Time
	perSecond float64
}

// Update adds a count. A decrease means that the counter restarted.
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
