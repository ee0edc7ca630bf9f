// Package quota divides bounds that all gateways keep together. Who holds which part follows from the list of gateways in the store, without
// a message. What a gateway holds and does not need it lends to others.
//
// Invariant: in no window does the sum over all gateways pass the rate of a bound times the window and LoanLife, and what may be kept besides:
// what the rate brings in Burst, or one request where that is less. It holds whatever starts, ends, freezes, is cut off or reads an old list,
// and whatever becomes of messages, as long as a list that was confirmed at a moment holds all changes up to then. While gateways know
// different rates of a bound, the largest of them counts.
package quota

import (
	"slices"
	"time"

	"github.com/granitebay/granitebay/internal/rendezvous"
)

// Burst is the time whose requests a bound lets come at once, all gateways together: a second, in which its rate is told. It also decides
// how many gateways hold a part: as many as can have a whole request of their own in it.
const burstInterval = time.Second

// Holders says which gateways hold parts of bounds. All that read the same list of gateways agree. A part changes hands only after the time
// in which both could use it: one that is gone from the list goes on being a holder until it has stopped for certain, and a new one begins
// when all others know of it. It is a pure state machine and not safe for concurrent use.
type Holders struct {
	self string
	// valid is how long a confirmation counts.
	confirmationTTL time.Duration
	// gateways are those that may hold parts, by name, with a zero time, and those that are gone, with the time until which they count.
	expiries map[string]time.Time
	// ordered are their names, as they are now, ranks the places of the own one for keys, and next when the next of those that are gone does
	// not count any more; zero when none is.
	members    []string
	ranks      map[string]int
	nextExpiry time.Time
	// since is when the own gateway came onto the list, or was confirmed first after a gap; zero while it is not on it.
	listedSince   time.Time
	lastConfirmed time.Time
}

// NewHolders returns the holders as a gateway sees them that knows of no other and of which no other knows. Valid is how long a
// confirmation counts.
func NewHolders(self string, confirmationTTL time.Duration) *Holders {
	return &Holders{self: self, confirmationTTL: confirmationTTL, expiries: map[string]time.Time{}, ranks: map[string]int{}}
}

// SetValid replaces how long a confirmation counts.
func (h *Holders) SetValid(ttl time.Duration) { h.confirmationTTL = ttl }

// SetGateways replaces the gateways that may hold parts, and tells whether that changes anything. Those that are missing count for twice the
// time of a confirmation: one may go on for as long as its last one counts, and come back unseen for as long again.
func (h *Holders) SetGateways(now time.Time, names []string) bool {
	changed := false
	listed := make(map[string]bool, len(names))
	for _, name := range names {
		listed[name] = true
		if expiry, known := h.expiries[name]; !known || !expiry.IsZero() {
			h.expiries[name], changed = time.Time{}, true
		}
	}
	for name, expiry := range h.expiries {
		if expiry.IsZero() && !listed[name] {
			h.expiries[name], changed = now.Add(2*h.confirmationTTL), true
		}
	}
	if !listed[h.self] {
		h.listedSince = time.Time{}
	}
	if changed {
		h.rebuild(now)
	}
	return changed
}

// order takes those off the list that do not count any more.
func (h *Holders) rebuild(now time.Time) {
	h.members, h.nextExpiry = h.members[:0], time.Time{}
	for name, expiry := range h.expiries {
		if !expiry.IsZero() && !now.Before(expiry) {
			delete(h.expiries, name)
			continue
		}
		h.members = append(h.members, name)
		if !expiry.IsZero() && (h.nextExpiry.IsZero() || expiry.Before(h.nextExpiry)) {
			h.nextExpiry = expiry
		}
	}
	clear(h.ranks)
}

// Confirm tells that the store held the registration of this gateway at a moment, and that the list of the others holds all changes up to
// then.
func (h *Holders) Confirm(at time.Time) {
	if expiry, known := h.expiries[h.self]; !known || !expiry.IsZero() {
		return
	}
	if h.listedSince.IsZero() || at.Sub(h.lastConfirmed) > h.confirmationTTL {
		h.listedSince = at
	}
	if at.After(h.lastConfirmed) {
		h.lastConfirmed = at
	}
}

// InForce tells whether the own gateway may use what it holds. It was on the list for as long as a confirmation counts: each other one that
// may use anything has read the list within that time, and counts it. A shorter stay may be seen by nobody.
func (h *Holders) isActive(now time.Time) bool {
	return !h.listedSince.IsZero() && h.lastConfirmed.Sub(h.listedSince) >= h.confirmationTTL && now.Sub(h.lastConfirmed) <= h.confirmationTTL
}

// Part returns which part of a bound the own gateway holds, from 0 to 1. The bound is told by its key and its rate, per second: few gateways
// hold one that is small.
func (h *Holders) Part(now time.Time, key string, rate float64) float64 {
	if !h.isActive(now) {
		return 0
	}
	h.dropExpired(now)
	holders := max(min(int(rate*burstInterval.Seconds()), len(h.members)), 1)
	if rank := h.rank(key); rank < 0 || rank >= holders {
		return 0
	}
	return 1 / float64(holders)
}

// Places returns how many of a bound of places the own gateway has. All together have as many as the bound, or one each where it is less than
// the number of gateways: callers come to any of them, and one without a place would turn away tenants that have nothing in hand. It goes on
// without the store, as serving does.
func (h *Holders) Places(now time.Time, key string, limit int) int {
	h.dropExpired(now)
	gateways := max(len(h.members), 1)
	places := limit / gateways
	if rank := h.rank(key); rank >= 0 && rank < limit%gateways {
		places++
	}
	return max(places, 1)
}

// Gateways returns how many gateways count.
func (h *Holders) Gateways(now time.Time) int {
	h.dropExpired(now)
	return len(h.members)
}

// expire notes that some do not count any more.
func (h *Holders) dropExpired(now time.Time) {
	if !h.nextExpiry.IsZero() && !now.Before(h.nextExpiry) {
		h.rebuild(now)
	}
}

// rank returns the place of the own gateway among those that may hold a part of a bound.
func (h *Holders) rank(key string) int {
	rank, known := h.ranks[key]
	if !known {
		rank = slices.Index(rendezvous.Order(key, h.members), h.self)
		if len(h.ranks) >= maxCachedRanks {
			clear(h.ranks)
		}
		h.ranks[key] = rank
	}
	return rank
}

// mostRanks bounds the places that are kept, as bounds come and go.
const maxCachedRanks = 4096
