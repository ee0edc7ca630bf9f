// Package quota divides fleet-wide rate limits among the gateways. The gateways that hold a share of a limit are
// derived from the membership list in the store, without coordination messages. A gateway lends unused requests
// to gateways that have used up their share.
//
// Invariant: in any window, the requests that all gateways send under a limit are at most its rate times (window +
// loanTTL), plus a burst: the rate times burstInterval, or one request if that is less than one. This holds when
// gateways start, stop, are suspended, are partitioned or read a stale list, and when messages are lost, duplicated or late,
// provided that a list confirmed as of some time contains every change up to that time. While gateways know different
// rates for a limit, the largest rate applies.
package quota

import (
	"slices"
	"time"

	"github.com/granitebay/granitebay/internal/rendezvous"
)

// burstInterval is the time for which unused requests of a limit accumulate, summed over all gateways. It also bounds
// how many gateways hold a share: as many as earn at least one whole request within it.
const burstInterval = time.Second

// Holders determines which gateways hold shares of limits. Members are the gateways that are listed or left the list
// recently; the holders of a limit are the members that have a share of it, and a holder is active once it may use its
// share. Gateways that read the same membership list agree on the holders. A share never has two active holders: a
// gateway that leaves the list remains a member until its last confirmation has expired, and a new one becomes active
// once every other gateway has seen it. Holders is a pure state machine and not safe for concurrent use.
type Holders struct {
	self string
	// confirmationTTL is how long a confirmation remains valid.
	confirmationTTL time.Duration
	// expiries maps each member to the time until which it remains one; the zero time means that it is listed.
	expiries map[string]time.Time
	// members are the names of the members, ranks caches the rank of this gateway by limit key, and
	// nextExpiry is the earliest expiry of a gateway that left the list, or zero.
	members    []string
	ranks      map[string]int
	nextExpiry time.Time
	// listedSince is when this gateway was listed, or first confirmed after a gap; zero while it is not listed.
	listedSince   time.Time
	lastConfirmed time.Time
}

// NewHolders returns the state of a gateway that knows no other gateway. A confirmation remains valid for
// confirmationTTL.
func NewHolders(self string, confirmationTTL time.Duration) *Holders {
	return &Holders{self: self, confirmationTTL: confirmationTTL, expiries: map[string]time.Time{}, ranks: map[string]int{}}
}

// SetConfirmationTTL changes how long a confirmation remains valid.
func (h *Holders) SetConfirmationTTL(ttl time.Duration) { h.confirmationTTL = ttl }

// SetGateways replaces the membership list and reports whether that changed anything. A gateway that is missing from
// the list remains a member for another two confirmation TTLs: its last confirmation remains valid for one, and it may be listed
// again unnoticed for another.
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

// rebuild removes expired gateways and recomputes the members.
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

// Confirm records that, as of the given time, the store held the registration of this gateway and the membership list
// contained all changes made until then.
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

// isActive reports whether this gateway may use its shares. It must have been listed for a full confirmation TTL: by
// then every other active gateway has read the list and has it as a member. A shorter listing may go unnoticed.
func (h *Holders) isActive(now time.Time) bool {
	return !h.listedSince.IsZero() && h.lastConfirmed.Sub(h.listedSince) >= h.confirmationTTL && now.Sub(h.lastConfirmed) <= h.confirmationTTL
}

// Share returns the share of a limit that this gateway holds, from 0 to 1. The limit is identified by its key. The lower
// the rate, in requests per second, the fewer gateways hold a share.
func (h *Holders) Share(now time.Time, key string, rate float64) float64 {
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

// ConcurrencyShare returns how many concurrent requests of a concurrency limit this gateway may admit. The gateways together
// admit the limit, or one request each if the limit is smaller than the number of gateways: callers may use any
// gateway, and one without a share would reject tenants that have no request in progress. It needs no confirmation, so
// it works while the store is unavailable.
func (h *Holders) ConcurrencyShare(now time.Time, key string, limit int) int {
	h.dropExpired(now)
	gateways := max(len(h.members), 1)
	share := limit / gateways
	if rank := h.rank(key); rank >= 0 && rank < limit%gateways {
		share++
	}
	return max(share, 1)
}

// MemberCount returns the number of members.
func (h *Holders) MemberCount(now time.Time) int {
	h.dropExpired(now)
	return len(h.members)
}

// dropExpired rebuilds the members if a gateway has expired.
func (h *Holders) dropExpired(now time.Time) {
	if !h.nextExpiry.IsZero() && !now.Before(h.nextExpiry) {
		h.rebuild(now)
	}
}

// rank returns the rank of this gateway among the members for a limit, or -1.
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

// maxCachedRanks bounds the cache of ranks, since limits are added and removed.
const maxCachedRanks = 4096
