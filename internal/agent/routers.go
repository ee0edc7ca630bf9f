package agent

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/granitebay/granitebay/internal/decision"
	"github.com/samber/lo"
)

// Filters that keep a router from being chosen, as they appear in decisions.
const (
	filterJustTried = "just-tried"
	filterFailed    = "failed-recently"
	filterLeaving   = "leaving"
	filterOtherZone = "other-zone"
)

// routerState is what the agent knows of one router.
type routerState struct {
	Router
	// inFlight counts live requests whose latest attempt went to the router.
	inFlight int
	failures int
	// avoidUntil is the end of the time in which the router is avoided after failures.
	avoidUntil time.Time
	// leavingUntil is the end of the time in which the router is avoided because it said that it leaves.
	leavingUntil time.Time
	// leavingIncarnation is the process that said so; a later one is welcome.
	leavingIncarnation uint64
}

// routerTable chooses among the routers.
type routerTable struct {
	zone    string
	base    time.Duration
	maximum time.Duration
	moved   time.Duration
	ordered []*routerState
	byName  map[string]*routerState
}

func newRouterTable(settings Settings) *routerTable {
	ordered := lo.Map(settings.Routers, func(router Router, _ int) *routerState { return &routerState{Router: router} })
	sort.Slice(ordered, func(i, j int) bool { return ordered[i].Name < ordered[j].Name })
	return &routerTable{
		zone:    settings.Zone,
		base:    settings.RouterAvoidance,
		maximum: settings.RouterAvoidanceMax,
		moved:   settings.LeavingAvoidance,
		ordered: ordered,
		byName:  lo.KeyBy(ordered, func(router *routerState) string { return router.Name }),
	}
}

// filter names why a router is not to be chosen now; empty when it may be.
func (r *routerState) filter(now time.Time, justTried string) string {
	switch {
	case now.Before(r.leavingUntil):
		return filterLeaving
	case now.Before(r.avoidUntil):
		return filterFailed
	case r.Name == justTried:
		return filterJustTried
	}
	return ""
}

// choose picks a router: of this zone if one will do, the less busy of two at random. When every router is filtered out,
// it picks the one that is avoided for the shortest time.
func (t *routerTable) choose(now time.Time, random *rand.Rand, justTried string) *routerState {
	usable := lo.Filter(t.ordered, func(router *routerState, _ int) bool { return router.filter(now, justTried) == "" })
	if len(usable) == 0 {
		return t.leastAvoided(justTried)
	}
	near := lo.Filter(usable, func(router *routerState, _ int) bool { return router.Zone == t.zone })
	if len(near) > 0 {
		usable = near
	}
	if len(usable) == 1 {
		return usable[0]
	}
	first := random.IntN(len(usable))
	second := random.IntN(len(usable) - 1)
	if second >= first {
		second++
	}
	if usable[second].inFlight < usable[first].inFlight {
		return usable[second]
	}
	return usable[first]
}

func (t *routerTable) leastAvoided(justTried string) *routerState {
	others := lo.Filter(t.ordered, func(router *routerState, _ int) bool { return router.Name != justTried })
	if len(others) == 0 {
		others = t.ordered
	}
	return lo.MinBy(others, func(a, b *routerState) bool { return a.avoidedUntil().Before(b.avoidedUntil()) })
}

func (r *routerState) avoidedUntil() time.Time {
	return lo.Ternary(r.leavingUntil.After(r.avoidUntil), r.leavingUntil, r.avoidUntil)
}

// failed avoids a router for a time that doubles with each failure in a row.
func (t *routerTable) failed(now time.Time, name string, random *rand.Rand) {
	router := t.byName[name]
	if router == nil || now.Before(router.avoidUntil) {
		return
	}
	router.failures++
	router.avoidUntil = now.Add(jittered(exponential(t.base, t.maximum, router.failures), random))
}

// leaving avoids a router that said that it stops.
func (t *routerTable) leaving(now time.Time, name string, incarnation uint64) {
	if router := t.byName[name]; router != nil {
		router.leavingUntil = now.Add(t.moved)
		router.leavingIncarnation = incarnation
	}
}

// heard notes that a router is alive.
func (t *routerTable) heard(name string, incarnation uint64) {
	router := t.byName[name]
	if router == nil {
		return
	}
	router.failures = 0
	router.avoidUntil = time.Time{}
	if incarnation > router.leavingIncarnation {
		router.leavingUntil = time.Time{}
	}
}

// add changes the number of requests in flight through a router.
func (t *routerTable) add(name string, change int) {
	if router := t.byName[name]; router != nil {
		router.inFlight += change
	}
}

// candidates lists the routers for a decision, best first.
func (t *routerTable) candidates(now time.Time, justTried string) []decision.Candidate {
	near := lo.SomeBy(t.ordered, func(router *routerState) bool {
		return router.Zone == t.zone && router.filter(now, justTried) == ""
	})
	list := lo.Map(t.ordered, func(router *routerState, _ int) decision.Candidate {
		filter := router.filter(now, justTried)
		if filter == "" && near && router.Zone != t.zone {
			filter = filterOtherZone
		}
		if filter != "" {
			return decision.Candidate{Name: router.Name, FilteredBy: filter}
		}
		return decision.Candidate{Name: router.Name, Score: 1 / float64(1+router.inFlight)}
	})
	sort.SliceStable(list, func(i, j int) bool { return list[i].Score > list[j].Score })
	return list
}

// exponential returns the base, doubled with each count after the first, up to a maximum; zero for count zero.
func exponential(base, maximum time.Duration, count int) time.Duration {
	if count <= 0 {
		return 0
	}
	for range count - 1 {
		base *= 2
		if base >= maximum {
			return maximum
		}
	}
	return min(base, maximum)
}

// jittered returns a duration between half and all of the given one.
func jittered(duration time.Duration, random *rand.Rand) time.Duration {
	return duration/2 + time.Duration(random.Float64()*float64(duration/2))
}
