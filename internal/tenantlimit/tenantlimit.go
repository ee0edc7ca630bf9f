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
// Invariant: after each Begin that grants, the requests of a tenant under a rule are at most the share of this gateway,
// which is the bound divided by the number of gateways, rounded up.
type Limiter struct {
	mu       sync.Mutex
	gateways int
	inFlight map[key]int
}

// New returns a limiter of the only gateway.
func New() *Limiter { return &Limiter{gateways: 1, inFlight: map[key]int{}} }

// SetGateways tells how many gateways share each bound.
func (l *Limiter) SetGateways(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gateways = max(n, 1)
}

// Begin counts a request, or returns false when the tenant has as many as it may. A limit of zero is none.
func (l *Limiter) Begin(rule, tenant string, limit int) bool {
	if tenant == "" {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	k := key{rule, tenant}
	share := (limit + l.gateways - 1) / l.gateways
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
