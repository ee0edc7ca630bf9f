// Package tenantlimit bounds how many requests of one tenant are in hand at once. Each gateway grants its own share of the
// bound, so that no messages are needed.
package tenantlimit

import "sync"

// key names what one tenant has under one rule.
type key struct {
	rule   string
	tenant string
}

// Limiter counts the requests in hand of one gateway. It is safe for concurrent use.
//
// Invariant: after each Begin that grants, the requests of a tenant under a rule are at most the share of this gateway.
type Limiter struct {
	// share returns which share of a bound is this gateway's.
	share func(key string, bound int) int

	mu       sync.Mutex
	inFlight map[key]int
}

// New returns a limiter with nothing in hand. Share returns which share of a bound, named by a key, is this gateway's.
func New(share func(key string, bound int) int) *Limiter {
	return &Limiter{share: share, inFlight: map[key]int{}}
}

// Begin counts a request, or returns false when the tenant has as many as it may. A limit of zero is none.
func (l *Limiter) Begin(rule, tenant string, limit int) bool {
	if tenant == "" {
		return true
	}
	share := 0
	if limit > 0 {
		share = l.share(rule+"/"+tenant, limit)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	k := key{rule, tenant}
	if limit > 0 && l.inFlight[k] >= share {
		return false
	}
	l.inFlight[k]++
	return true
}

// End counts the end of a request that Begin granted.
func (l *Limiter) End(rule, tenant string) {
	if tenant == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	k := key{rule, tenant}
	if l.inFlight[k]--; l.inFlight[k] <= 0 {
		delete(l.inFlight, k)
	}
}
