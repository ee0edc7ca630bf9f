// Package usage counts what each tenant has used by windows of time, agrees on one count for each window through the store, and
// reports it.
//
// Each gateway counts by itself and tells the others, so that counts outlive the gateway that made them. The gateway that gives
// orders adds up a window that is over, writes the sum into the store under a condition, and only then reports it: whoever reports
// that window later finds the same numbers there.
package usage

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Count is what one gateway has counted in one window.
type Count struct {
	_ struct{} `cbor:",toarray"`
	// Gateway that counted, and the Epoch that tells its starts apart.
	Gateway string
	Epoch   int64
	// Window is the number of the window, and Requests the requests that began in it, by tenant.
	Window   int64
	Requests map[string]int64
}

// origin is one life of a gateway.
type origin struct {
	gateway string
	epoch   int64
}

// origin returns who counted.
func (c Count) origin() origin { return origin{c.Gateway, c.Epoch} }

// Bounds of what a tally keeps.
const (
	// keptWindows is how many windows are kept that nobody has agreed on yet: ten minutes of windows of five seconds, longer than
	// the store is away.
	maxOpenWindows = 120
	// silentAfter is how long a gateway says nothing before the others tell what it has counted: longer than the time between two
	// messages that tell everything.
	silenceTimeout = 1500 * time.Millisecond
)

// Tally holds the counts of all gateways. It is safe for concurrent use.
//
// Invariants: what an origin has counted in a window never falls; hearing the same counts again changes nothing.
type Tally struct {
	mu     sync.Mutex
	own    origin
	counts map[int64]map[origin]map[string]int64
	// untold holds the own counts that have changed since they were told.
	unsent    map[int64]map[string]bool
	lastHeard map[origin]time.Time
	// next is the first window that may still be counted for; those before are agreed on.
	firstOpen int64
	// newest is the highest window that was counted for.
	newest int64
}

// NewTally returns the tally of a gateway that starts with an epoch of its own.
func NewTally(gateway string, epoch int64) *Tally {
	return &Tally{
		own: origin{gateway, epoch}, counts: map[int64]map[origin]map[string]int64{}, unsent: map[int64]map[string]bool{},
		lastHeard: map[origin]time.Time{},
	}
}

// Add counts a request that has begun in a window. When the window is agreed on already, the request counts for the next one.
func (t *Tally) Add(window int64, tenant string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	window = max(window, t.firstOpen)
	t.countsOf(window, t.own)[tenant]++
	changed, found := t.unsent[window]
	if !found {
		changed = map[string]bool{}
		t.unsent[window] = changed
	}
	changed[tenant] = true
}

// of returns the counts of an origin in a window. The mutex is held.
func (t *Tally) countsOf(window int64, from origin) map[string]int64 {
	byOrigin, found := t.counts[window]
	if !found {
		byOrigin = map[origin]map[string]int64{}
		t.counts[window] = byOrigin
		t.newest = max(t.newest, window)
		t.prune()
	}
	requests, found := byOrigin[from]
	if !found {
		requests = map[string]int64{}
		byOrigin[from] = requests
	}
	return requests
}

// forget drops windows that are too old. The mutex is held.
func (t *Tally) prune() {
	for window := range t.counts {
		if window < t.firstOpen || window <= t.newest-maxOpenWindows {
			delete(t.counts, window)
			delete(t.unsent, window)
		}
	}
}

// Merge takes what another gateway told at a moment: its own counts, and those of gateways that are silent.
func (t *Tally) Merge(now time.Time, sender string, counts []Count) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, count := range counts {
		from := count.origin()
		if from == t.own || count.Window < t.firstOpen {
			continue
		}
		if count.Gateway == sender {
			t.lastHeard[from] = now
		} else if _, known := t.lastHeard[from]; !known {
			t.lastHeard[from] = time.Time{}
		}
		requests := t.countsOf(count.Window, from)
		for tenant, n := range count.Requests {
			requests[tenant] = max(requests[tenant], n)
		}
	}
}

// Untold returns the own counts that have changed since the last call.
func (t *Tally) Untold() []Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	var counts []Count
	for window, tenants := range t.unsent {
		requests := make(map[string]int64, len(tenants))
		for tenant := range tenants {
			requests[tenant] = t.counts[window][t.own][tenant]
		}
		counts = append(counts, t.newCount(window, t.own, requests))
	}
	clear(t.unsent)
	return counts
}

// All returns everything that this gateway has to tell: its own counts, and those of gateways that have fallen silent.
func (t *Tally) All(now time.Time) []Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.unsent)
	var counts []Count
	for window, byOrigin := range t.counts {
		for from, requests := range byOrigin {
			if from == t.own || now.Sub(t.lastHeard[from]) > silenceTimeout {
				counts = append(counts, t.newCount(window, from, maps.Clone(requests)))
			}
		}
	}
	return counts
}

// count returns counts as they are told.
func (t *Tally) newCount(window int64, from origin, requests map[string]int64) Count {
	return Count{Gateway: from.gateway, Epoch: from.epoch, Window: window, Requests: requests}
}

// Open returns the windows that were counted for and are not agreed on, the oldest first.
func (t *Tally) Open() []int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Sorted(maps.Keys(t.counts))
}

// Sum returns the requests of all gateways in a window, by tenant.
func (t *Tally) Sum(window int64) map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := map[string]int64{}
	for _, requests := range t.counts[window] {
		for tenant, n := range requests {
			sum[tenant] += n
		}
	}
	return sum
}

// Agreed drops the windows before the first one that is not agreed on.
func (t *Tally) Agreed(next int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.firstOpen = max(t.firstOpen, next)
	t.prune()
	present := map[origin]bool{}
	for _, byOrigin := range t.counts {
		for from := range byOrigin {
			present[from] = true
		}
	}
	maps.DeleteFunc(t.lastHeard, func(from origin, _ time.Time) bool { return !present[from] })
}
