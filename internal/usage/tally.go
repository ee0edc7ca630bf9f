// Package usage counts the requests of each tenant per time window, finalizes one count for each window through the
// store, and reports it to the platform.
//
// Each gateway counts on its own and sends its counts to the others, so that they survive its failure. The leader sums a
// window that is over, commits the sum to the store with a compare-and-swap, and only then reports it. A gateway that
// reports the window again finds the same counts in the store.
package usage

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Count holds one gateway's request counts of one window.
type Count struct {
	_ struct{} `cbor:",toarray"`
	// Gateway is the gateway that counted, and Epoch differs for each of its starts.
	Gateway string
	Epoch   int64
	// Window is the number of the window, and Requests counts the requests that began in it, by tenant.
	Window   int64
	Requests map[string]int64
}

// origin identifies one start of a gateway.
type origin struct {
	gateway string
	epoch   int64
}

// origin returns the origin of a count.
func (c Count) origin() origin { return origin{c.Gateway, c.Epoch} }

const (
	// maxOpenWindows is how many windows that are not finalized are kept, enough for 10 minutes of windows of 5 s. Counts
	// of older ones are lost if the store is unavailable for longer.
	maxOpenWindows = 120
	// silenceTimeout is how long a gateway must have sent no counts before others forward its counts. It is longer than
	// the interval of full messages.
	silenceTimeout = 1500 * time.Millisecond
)

// Tally holds the counts of all gateways. It is safe for concurrent use.
//
// Invariants: the count of an origin in a window never decreases, and merging takes the maximum, so that messages may be
// lost, repeated or reordered.
type Tally struct {
	mu     sync.Mutex
	self   origin
	counts map[int64]map[origin]map[string]int64
	// unsent holds the windows and tenants whose own counts have changed since they were last sent.
	unsent       map[int64]map[string]bool
	lastReceived map[origin]time.Time
	// firstOpen is the first window that is not finalized.
	firstOpen int64
	// newest is the highest window with counts.
	newest int64
}

// NewTally returns the tally of a gateway. The epoch must differ for each of its starts.
func NewTally(gateway string, epoch int64) *Tally {
	return &Tally{
		self: origin{gateway, epoch}, counts: map[int64]map[origin]map[string]int64{}, unsent: map[int64]map[string]bool{},
		lastReceived: map[origin]time.Time{},
	}
}

// Add counts a request that began in a window. If that window is finalized, the request counts for the first open one.
func (t *Tally) Add(window int64, tenant string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	window = max(window, t.firstOpen)
	t.countsOf(window, t.self)[tenant]++
	changed, found := t.unsent[window]
	if !found {
		changed = map[string]bool{}
		t.unsent[window] = changed
	}
	changed[tenant] = true
}

// countsOf returns the counts of an origin in a window. The caller must hold the mutex.
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

// prune drops windows that are finalized or too old. The caller must hold the mutex.
func (t *Tally) prune() {
	for window := range t.counts {
		if window < t.firstOpen || window <= t.newest-maxOpenWindows {
			delete(t.counts, window)
			delete(t.unsent, window)
		}
	}
}

// Merge applies counts received from another gateway: its own ones and those that it forwards for silent gateways. The
// higher value of each counter is kept.
func (t *Tally) Merge(now time.Time, sender string, counts []Count) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, count := range counts {
		from := count.origin()
		if from == t.self || count.Window < t.firstOpen {
			continue
		}
		if count.Gateway == sender {
			t.lastReceived[from] = now
		} else if _, known := t.lastReceived[from]; !known {
			// An origin known only from forwarded counts is silent.
			t.lastReceived[from] = time.Time{}
		}
		requests := t.countsOf(count.Window, from)
		for tenant, n := range count.Requests {
			requests[tenant] = max(requests[tenant], n)
		}
	}
}

// TakeUnsent returns the own counts that have changed since the last call of TakeUnsent or TakeAll.
func (t *Tally) TakeUnsent() []Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	var counts []Count
	for window, tenants := range t.unsent {
		requests := make(map[string]int64, len(tenants))
		for tenant := range tenants {
			requests[tenant] = t.counts[window][t.self][tenant]
		}
		counts = append(counts, t.newCount(window, t.self, requests))
	}
	clear(t.unsent)
	return counts
}

// TakeAll returns the own counts, and those to forward for silent gateways, of all windows that are not finalized.
func (t *Tally) TakeAll(now time.Time) []Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.unsent)
	var counts []Count
	for window, byOrigin := range t.counts {
		for from, requests := range byOrigin {
			if from == t.self || now.Sub(t.lastReceived[from]) > silenceTimeout {
				counts = append(counts, t.newCount(window, from, maps.Clone(requests)))
			}
		}
	}
	return counts
}

// newCount returns counts in message form.
func (t *Tally) newCount(window int64, from origin, requests map[string]int64) Count {
	return Count{Gateway: from.gateway, Epoch: from.epoch, Window: window, Requests: requests}
}

// OpenWindows returns the windows with counts that are not finalized, oldest first.
func (t *Tally) OpenWindows() []int64 {
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

// Finalized records that the windows before next are finalized, and drops them.
func (t *Tally) Finalized(next int64) {
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
	maps.DeleteFunc(t.lastReceived, func(from origin, _ time.Time) bool { return !present[from] })
}
