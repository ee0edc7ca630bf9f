package platformmodel

import (
	"time"

	"golang.org/x/time/rate"
)

// limiter holds the token buckets of one service.
type limiter struct {
	limits  Limits
	service *rate.Limiter
	clients map[string]*rate.Limiter
}

func newLimiter(limits Limits) *limiter {
	return &limiter{limits: limits, service: newBucket(limits.Service), clients: map[string]*rate.Limiter{}}
}

func newBucket(limit Limit) *rate.Limiter {
	if limit.PerSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(limit.PerSecond), max(limit.Burst, 1))
}

// take takes one token from the bucket of the client and one from that of the service. When either is empty it takes none
// and returns how long the client should wait, which is more than zero.
func (l *limiter) take(now time.Time, client string) time.Duration {
	bucket, known := l.clients[client]
	if !known {
		bucket = newBucket(l.limits.Client)
		l.clients[client] = bucket
	}
	clientToken := bucket.ReserveN(now, 1)
	if wait := clientToken.DelayFrom(now); wait > 0 {
		clientToken.CancelAt(now)
		return wait
	}
	serviceToken := l.service.ReserveN(now, 1)
	if wait := serviceToken.DelayFrom(now); wait > 0 {
		serviceToken.CancelAt(now)
		clientToken.CancelAt(now)
		return wait
	}
	return 0
}
