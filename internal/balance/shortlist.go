package balance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ShortlistSettings bound how many workers are looked at for one request.
type ShortlistSettings struct {
	// ScanUpTo is the number of workers of a role up to which all are looked at: so few cost less than what they would otherwise miss.
	ScanUpTo int
	// Home is how many workers are looked at that follow the key of the prompt, of the zone and of all zones each: the same ones for all
	// gateways, so that parts of prompts are found again.
	Home int
	// Random is how many are looked at beside them, of the zone and of all zones each: with some to choose among, the chance that all are
	// busy falls with their power, whatever the size of the fleet (Mitzenmacher, 2001).
	Random int
	// Near bounds those looked at that keep a part of the prompt.
	Near int
	// Reach is how many times as many workers are passed in search of such that take work: of a fleet of which nine in ten are away some
	// are found all the same.
	Reach int
}

// DefaultShortlistSettings look at some sixty workers.
func DefaultShortlistSettings() ShortlistSettings {
	return ShortlistSettings{ScanUpTo: 256, Home: 12, Random: 12, Near: 32, Reach: 12}
}

// shortlist is the workers that are looked at for a query.
type shortlist struct {
	states []*state
	// home is the worker that wins ties; nil when there is none.
	home *state
}

// list returns the workers that may take the request: all, or of a large role some.
func (b *Balancer) list(now time.Time, query Query) shortlist {
	all := b.pools.ring(poolKey{group: query.Group, role: query.Role})
	if len(all.members) <= b.settings.Shortlist.ScanUpTo {
		states := b.filter(now, query)
		return shortlist{states: states, home: preferred(query, states)}
	}
	return b.short(now, query, all)
}

// short returns some of the workers of a large role: those that keep parts of the prompt, those at the place of its key, and some at random.
func (b *Balancer) short(now time.Time, query Query, all *ring) shortlist {
	settings := b.settings.Shortlist
	zone := all
	if query.Zone != "" {
		zone = b.pools.ring(poolKey{group: query.Group, role: query.Role, zone: query.Zone})
	}
	found := gathering{now: now, query: &query, limit: settings.Reach}
	for _, id := range query.Near[:min(len(query.Near), settings.Near)] {
		if known := b.workers[id]; known != nil && known.worker.Role == query.Role && slices.Contains(known.worker.Groups(), query.Group) {
			found.take(known)
		}
	}
	key := query.Key
	if key == "" {
		key = query.Request
	}
	home := place(key)
	if query.Gather {
		home = place(query.Zone)
	}
	random := place(query.Request + "/random")
	first := len(found.healthy)
	found.walk(zone, home, settings.Home)
	gathered := found.healthy[first:]
	listed := shortlist{home: found.walk(all, home, settings.Home)}
	found.walk(zone, random, settings.Random)
	found.walk(all, random, settings.Random)
	listed.states = b.withEjected(found.healthy, found.ejected)
	if query.Gather && len(gathered) > 0 {
		listed.home = preferred(query, gathered)
	}
	return listed
}

// place returns the place of a key on the rings.
func place(key string) uint64 { return xxhash.Sum64String(key) }

// gathering collects workers that may take a request, each once.
type gathering struct {
	now              time.Time
	query            *Query
	limit            int
	healthy, ejected []*state
}

// walk takes so many workers that may run the request from a place on, and returns the first of them.
func (g *gathering) walk(r *ring, from uint64, wanted int) *state {
	passed, taken := 0, 0
	var first *state
	for one := range r.from(from) {
		if taken >= wanted || passed >= wanted*g.limit {
			break
		}
		passed++
		if !g.take(one) {
			continue
		}
		taken++
		if first == nil {
			first = one
		}
	}
	return first
}

// take notes a worker once, and tells whether it may run the request and is not set aside.
func (g *gathering) take(one *state) bool {
	switch {
	case !one.takesWork(g.now) || slices.Contains(g.query.Excluded, one.worker.ID):
		return false
	case one.health.ejected(g.now):
		if !slices.Contains(g.ejected, one) {
			g.ejected = append(g.ejected, one)
		}
		return false
	case !slices.Contains(g.healthy, one):
		g.healthy = append(g.healthy, one)
	}
	return true
}
