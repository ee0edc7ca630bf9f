// Package tenantlimit limits how many requests of a tenant are in flight at once. Each gateway enforces its own share
// of the limit, without coordination.
package tenantlimit

import "sync"

// key identifies the requests of one tenant under one rule.
type key struct {
	rule   string
	tenant string
}

// Limiter counts the requests in flight at one gateway. It is safe for concurrent use.
//
// Invariant: when Begin has admitted a request, the requests of that tenant under that rule do not exceed this
// gateway's share of the limit.
type Limiter struct {
	// share returns this gateway's share of the limit with the given key.
	share func(limitKey string, limit int) int

	mu       sync.Mutex
	inFlight map[key]int
}

// New returns a limiter without requests in flight. share returns this gateway's share of the limit of a rule and tenant,
// whose key is rule/tenant.
func New(share func(limitKey string, limit int) int) *Limiter {
	return &Limiter{share: share, inFlight: map[key]int{}}
}

// Begin counts a request, or returns false if the tenant has reached this gateway's share of the limit. A limit of
// zero means no limit, and requests without a tenant are neither limited nor counted.
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

// End removes a request that Begin admitted.
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
