package ingress

import (
	"slices"
	"time"

	"github.com/samber/lo"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
)

const (
	// sampledSums is the number of other zones and regions that are compared for a request when this zone has owners for
	// it, and sampledSumsAlone when it has none.
	sampledSums      = 1
	sampledSumsAlone = 2
	// otherRegionFactor is how many times the cost of another zone another region costs.
	otherRegionFactor = 4
)

// SetSums takes what is known of other zones and regions, in place of what was known before.
func (t *Table) SetSums(now time.Time, sums []*granitebayv1.PoolSum) {
	known := lo.KeyBy(t.sums, func(each *owner) string { return each.name })
	t.sums = lo.Map(sums, func(sum *granitebayv1.PoolSum, _ int) *owner {
		name := lo.Ternary(sum.GetRegion(), "region ", "zone ") + sum.GetScope()
		if before := known[name]; before != nil && before.digest.GetSequence() == sum.GetMadeUnixMillis() {
			return before
		}
		return &owner{
			name: name, zone: sum.GetScope(), region: sum.GetRegion(), doors: sum.GetDoors(), received: now,
			digest: &granitebayv1.PoolDigest{
				Sequence: sum.GetMadeUnixMillis(), Pools: sum.GetPools(), Demand: sum.GetDemand(), UnreadyEngines: sum.GetUnreadyEngines(),
			},
		}
	})
}

// servingSums lists the other zones and regions that have engines of a group for a request, and a door to it.
func (t *Table) servingSums(request Request, group string, live func(name string) bool) []*owner {
	return lo.Filter(t.sums, func(each *owner, _ int) bool {
		return each.hasEngines(group, request.Model) && len(openDoors(each, request, live)) > 0
	})
}

// openDoors lists the owners of a scope to which a request can be sent.
func openDoors(each *owner, request Request, live func(name string) bool) []*granitebayv1.PoolDoor {
	return lo.Filter(each.doors, func(door *granitebayv1.PoolDoor, _ int) bool {
		return live(door.GetName()) && !slices.Contains(request.Excluded, door.GetName())
	})
}

// sampleSums draws other zones and regions at random.
func (t *Table) sampleSums(serving []*owner, count int) []*owner {
	if len(serving) == 0 {
		return nil
	}
	drawn := slices.Clone(serving)
	t.random.Shuffle(len(drawn), func(a, b int) { drawn[a], drawn[b] = drawn[b], drawn[a] })
	return drawn[:min(count, len(drawn))]
}

// enter returns the router to which a request for an owner, or for another zone or region, is sent.
func (t *Table) enter(chosen *owner, request Request, live func(name string) bool) (name, address string) {
	if len(chosen.doors) == 0 {
		return chosen.name, chosen.address
	}
	doors := openDoors(chosen, request, live)
	door := doors[t.random.IntN(len(doors))]
	return door.GetName(), door.GetAddress()
}
