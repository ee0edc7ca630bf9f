package balance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ShortlistSettings bound how many workers are looked at for one request.
type ShortlistSettings struct {
	// ScanUpTo is the number of workers of a role up to which all are looked at: so few cost less than what they would otherwise miss.
	ScanLimit int
	// Home is how many workers are looked at that follow the key of the prompt, of the zone and of all zones each: the same ones for all
	// gateways, so that parts of prompts are found again.
	Affinity int
	// Random is how many are looked at beside them, of the zone and of all zones each: with some to choose among, the chance that all are
	// busy falls with their power, whatever the size of the fleet (Mitzenmacher, 2001).
	Random int
	// Near bounds those looked at that keep a part of the prompt.
	Holders int
	// Reach is how many times as many workers are passed in search of such that take work: of a fleet of which nine in ten are away some
	// are found all the same.
	SearchFactor int
}

// DefaultShortlistSettings look at some sixty workers.
func DefaultShortlistSettings() ShortlistSettings {
	return ShortlistSettings{ScanLimit: 256, Affinity: 12, Random: 12, Holders: 32, SearchFactor: 12}
}

// shortlist is the workers that are looked at for a query.
type shortlist struct {
	states []*workerState
	// home is the worker that wins ties; nil when there is none.
	preferred *workerState
}

// list returns the workers that may take the request: all, or of a large role some.
func (b *Balancer) eligibleOrSampled(now time.Time, query Query) shortlist {
	all := b.index.ring(ringKey{group: query.Group, role: query.Role})
	if len(all.members) <= b.settings.Shortlist.ScanLimit {
		states := b.eligibleWorkers(now, query)
		return shortlist{states: states, preferred: preferredWorker(query, states)}
	}
	return b.sampleRole(now, query, all)
}

// short returns some of the workers of a large role: those that keep parts of the prompt, those at the place of its key, and some at random.
func (b *Balancer) sampleRole(now time.Time, query Query, all *ring) shortlist {
	settings := b.settings.Shortlist
	zone := all
	if query.Zone != "" {
		zone = b.index.ring(ringKey{group: query.Group, role: query.Role, zone: query.Zone})
	}
	collected := collector{now: now, query: &query, searchFactor: settings.SearchFactor}
	for _, id := range query.Near[:min(len(query.Near), settings.Holders)] {
		if state := b.workers[id]; state != nil && state.worker.Role == query.Role && slices.Contains(state.worker.Groups(), query.Group) {
			collected.add(state)
		}
	}
	key := query.Key
	if key == "" {
		key = query.Request
	}
	affinityStart := hashPosition(key)
	if query.Gather {
		affinityStart = hashPosition(query.Zone)
	}
	randomStart := hashPosition(query.Request + "/random")
	holders := len(collected.healthy)
	collected.walk(zone, affinityStart, settings.Affinity)
	nearKey := collected.healthy[holders:]
	result := shortlist{preferred: collected.walk(all, affinityStart, settings.Affinity)}
	collected.walk(zone, randomStart, settings.Random)
	collected.walk(all, randomStart, settings.Random)
	result.states = b.withEjected(collected.healthy, collected.ejected)
	if query.Gather && len(nearKey) > 0 {
		result.preferred = preferredWorker(query, nearKey)
	}
	return result
}

// place returns the place of a key on the rings.
func hashPosition(key string) uint64 { return xxhash.Sum64String(key) }

// gathering collects workers that may take a request, each once.
type collector struct {
	now              time.Time
	query            *Query
	searchFactor     int
	healthy, ejected []*workerState
}

// walk takes so many workers that may run the request from a place on, and returns the first of them.
func (c *collector) walk(r *ring, position uint64, count int) *workerState {
	visited, added := 0, 0
	var first *workerState
	for state := range r.startingAt(position) {
		if added >= count || visited >= count*c.searchFactor {
			break
		}
		visited++
		if !c.add(state) {
			continue
		}
		added++
		if first == nil {
			first = state
		}
	}
	return first
}

// take notes a worker once, and tells whether it may run the request and is not set aside.
func (c *collector) add(state *workerState) bool {
	switch {
	case !state.acceptsNow(c.now) || slices.Contains(c.query.Excluded, state.worker.ID):
		return false
	case state.health.ejected(c.now):
		if !slices.Contains(c.ejected, state) {
			c.ejected = append(c.ejected, state)
		}
		return false
	case !slices.Contains(c.healthy, state):
		c.healthy = append(c.healthy, state)
	}
	return true
}
