package dispatch

import (
	"fmt"
	"time"

	"golang.org/x/time/rate"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
)

const (
	// tokenBurst is how long a tenant's unused tokens add up.
	tokenBurst = 5 * time.Second
	// limiterRetention is how long the limiter of a silent tenant is kept.
	limiterRetention = time.Minute
)

// limiterKey names the limiter of a tenant under a rule.
type limiterKey struct{ tenant, rule string }

// tokenLimiter bounds the tokens of one tenant under one rule.
type tokenLimiter struct {
	limiter  *rate.Limiter
	lastUsed time.Time
}

// tokenLimits holds the limiters of this owner.
type tokenLimits struct {
	limiters map[limiterKey]*tokenLimiter
}

// take takes the tokens of a request, or tells after which time they would be there. A request that is larger than the burst
// passes when the bucket is full.
func (l *tokenLimits) take(now time.Time, entry *request) (wait time.Duration, ok bool) {
	perSecond := entry.policy.TokensPerSecond
	if perSecond <= 0 {
		return 0, true
	}
	known := l.limiterOf(now, entry)
	burst := max(1, int(perSecond*tokenBurst.Seconds()))
	known.limiter.SetLimitAt(now, rate.Limit(perSecond))
	known.limiter.SetBurstAt(now, burst)
	reservation := known.limiter.ReserveN(now, min(burst, memoryNeed(entry)))
	if wait = reservation.DelayFrom(now); wait == 0 {
		return 0, true
	}
	reservation.CancelAt(now)
	return wait, false
}

// limiterOf returns the limiter of a request.
func (l *tokenLimits) limiterOf(now time.Time, entry *request) *tokenLimiter {
	if l.limiters == nil {
		l.limiters = make(map[limiterKey]*tokenLimiter)
	}
	key := limiterKey{tenant: entry.work.GetTenant(), rule: entry.policy.Rule}
	known := l.limiters[key]
	if known == nil {
		perSecond := entry.policy.TokensPerSecond
		known = &tokenLimiter{limiter: rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*tokenBurst.Seconds())))}
		l.limiters[key] = known
	}
	known.lastUsed = now
	return known
}

// drop forgets the limiters of silent tenants.
func (l *tokenLimits) drop(now time.Time) {
	for key, known := range l.limiters {
		if now.Sub(known.lastUsed) >= limiterRetention {
			delete(l.limiters, key)
		}
	}
}

// applyDeadline bounds the deadline of a request as its rule says.
func applyDeadline(entry *request, message *granitebayv1.Generate) {
	limit := entry.policy.MaximumDeadline
	if !message.GetDeadlineNamed() && entry.policy.DefaultDeadline > 0 {
		limit = entry.policy.DefaultDeadline
	}
	if latest := entry.arrived.Add(limit); limit > 0 && entry.deadline.After(latest) {
		entry.deadline = latest
	}
}

// tooLong tells why a request can never fit its model, or returns an empty string.
func tooLong(entry *request) string {
	limit := entry.policy.MaximumContextTokens
	if limit <= 0 || memoryNeed(entry) <= limit {
		return ""
	}
	return fmt.Sprintf("Prompt and answer take %d tokens together; model %s allows %d.", memoryNeed(entry), entry.work.GetModel(), limit)
}
