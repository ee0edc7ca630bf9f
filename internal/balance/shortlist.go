package balance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ShortlistSettings limits how many workers of a large role are considered for one request.
type ShortlistSettings struct {
	// ScanLimit is the maximum size of a role of which all workers are considered.
	ScanLimit int
	// Affinity is the number of workers that follow the key of the prompt on the ring of the zone, and on that of all
	// zones. All gateways of a zone consider the same ones, which leads to prefix cache hits.
	Affinity int
	// Random is the number of further workers of each ring, consecutive from a position that is derived from the request
	// ID. They take the load that the workers of a frequent key can't.
	Random int
	// Holders is the maximum number of workers that have segments of the prompt cached.
	Holders int
	// SearchFactor limits how many ring positions are visited, as a multiple of the workers wanted, so that some are
	// found even if most of the fleet is unavailable.
	SearchFactor int
}

// DefaultShortlistSettings returns the default settings.
func DefaultShortlistSettings() ShortlistSettings {
	return ShortlistSettings{ScanLimit: 256, Affinity: 12, Random: 12, Holders: 32, SearchFactor: 12}
}

// shortlist holds the workers that are considered for a query.
type shortlist struct {
	states []*workerState
	// preferred is the worker that wins ties, or nil.
	preferred *workerState
}

// shortlistWorkers returns the workers that can accept the request: all of a small role, some of a large one.
func (b *Balancer) shortlistWorkers(now time.Time, query Query) shortlist {
	all := b.index.ring(ringKey{group: query.Group, role: query.Role})
	if len(all.members) > b.settings.Shortlist.ScanLimit {
		// A sample of a large role may hold none of the workers that are eligible.
		if sample := b.sampleRole(now, query, all); len(sample.states) > 0 || query.Eligible == nil {
			return sample
		}
	}
	states := b.eligibleWorkers(now, query)
	return shortlist{states: states, preferred: preferredWorker(query, states)}
}

// sampleRole returns some workers of a large role: those with segments of the prompt cached, those that follow its
// key on the ring, and random ones.
func (b *Balancer) sampleRole(now time.Time, query Query, all *ring) shortlist {
	settings := b.settings.Shortlist
	zone := all
	if query.Zone != "" {
		zone = b.index.ring(ringKey{group: query.Group, role: query.Role, zone: query.Zone})
	}
	collected := candidateCollector{now: now, query: &query, searchFactor: settings.SearchFactor}
	for _, id := range query.Holders[:min(len(query.Holders), settings.Holders)] {
		if state := b.workers[id]; state != nil && state.worker.Role == query.Role && slices.Contains(state.worker.Groups(), query.Group) {
			collected.add(state)
		}
	}
	key := query.Key
	if key == "" {
		key = query.Request
	}
	affinityStart := hashPosition(key)
	if query.Concentrate {
		// These prompts all start at the position of the zone.
		affinityStart = hashPosition(query.Zone)
	}
	randomStart := hashPosition(query.Request + "/random")
	holderCount := len(collected.healthy)
	collected.walk(zone, affinityStart, settings.Affinity)
	zoneAffinity := collected.healthy[holderCount:]
	result := shortlist{preferred: collected.walk(all, affinityStart, settings.Affinity)}
	collected.walk(zone, randomStart, settings.Random)
	collected.walk(all, randomStart, settings.Random)
	result.states = b.withEjected(collected.healthy, collected.ejected)
	if query.Concentrate && len(zoneAffinity) > 0 {
		result.preferred = preferredWorker(query, zoneAffinity)
	}
	if result.preferred == nil && len(result.states) > 0 {
		// No worker near the key is available, or eligible.
		result.preferred = preferredWorker(query, result.states)
	}
	return result
}

// hashPosition returns the ring position of a key.
func hashPosition(key string) uint64 { return xxhash.Sum64String(key) }

// collector collects eligible workers, each once.
type candidateCollector struct {
	now              time.Time
	query            *Query
	searchFactor     int
	healthy, ejected []*workerState
}

// walk adds up to count eligible workers in ring order from a position on, and returns the first of them.
func (c *candidateCollector) walk(r *ring, position uint64, count int) *workerState {
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

// add records a worker that can accept the request, and reports whether it is also healthy.
func (c *candidateCollector) add(state *workerState) bool {
	switch {
	case !state.acceptsNow(c.now) || !c.query.allows(state.worker):
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
