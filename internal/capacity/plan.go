// Package capacity decides how many workers each zone should have, and orders them. There are two kinds: on-demand workers, which run until
// they are removed, and spot workers, which cost less but may be reclaimed by the provider, possibly all of a zone at once.
//
// Estimator determines the number of workers needed from the demand, Plan distributes them over the zones, and Executor orders them.
package capacity

import (
	"cmp"
	"maps"
	"slices"

	"github.com/samber/lo"
)

// Zone is a location where workers of a group may run.
type Zone struct {
	Name string
	// Price is the price of an on-demand worker per second.
	Price float64
	// SpotUnavailable is set if spot workers are unavailable in the zone.
	SpotUnavailable bool
}

// Offer describes the workers that may be ordered for a group.
type Offer struct {
	Zones []Zone
	// MinPerZone and MaxPerZone bound the workers of a zone, both kinds together.
	MinPerZone, MaxPerZone int
	// SpotPrice is the price of a spot worker relative to an on-demand one.
	SpotPrice float64
	// SpotLost is set while a zone has lost its spot workers. Plans then don't allow for the loss of another zone.
	SpotLost bool
}

// remaining returns the number of workers of a plan that remain after the loss that the offer requires plans to allow
// for: that of the spot workers of one zone, or none while SpotLost is set.
func (o Offer) remaining(plan Plan) int {
	if o.SpotLost {
		return plan.Total()
	}
	return plan.WithoutLargestSpotZone()
}

// WithReserve returns the plan with additional spot workers, distributed evenly within the limits of the zones.
func (p Plan) WithReserve(offer Offer, reserve int) Plan {
	plan := maps.Clone(p)
	for reserve > 0 {
		zone, found := zoneWithFewestSpot(plan, offer)
		if !found {
			break
		}
		count := plan[zone]
		count.Spot++
		plan[zone] = count
		reserve--
	}
	return plan
}

// zoneWithFewestSpot returns the zone with the fewest spot workers among those that may have more.
func zoneWithFewestSpot(plan Plan, offer Offer) (string, bool) {
	zones := lo.Filter(offer.Zones, func(zone Zone, _ int) bool {
		return !zone.SpotUnavailable && plan[zone.Name].Total() < offer.MaxPerZone
	})
	if len(zones) == 0 {
		return "", false
	}
	return slices.MinFunc(zones, func(a, b Zone) int {
		return cmp.Or(cmp.Compare(plan[a.Name].Spot, plan[b.Name].Spot), cmp.Compare(a.Price, b.Price))
	}).Name, true
}

// equal reports whether two offers are equal.
func (o Offer) equal(other Offer) bool {
	return o.SpotLost == other.SpotLost && o.MinPerZone == other.MinPerZone && o.MaxPerZone == other.MaxPerZone && o.SpotPrice == other.SpotPrice && slices.Equal(o.Zones, other.Zones)
}

// Count is the number of workers of each kind.
type Count struct{ OnDemand, Spot int }

// Total returns the number of workers of both kinds.
func (c Count) Total() int { return c.OnDemand + c.Spot }

// Plan maps each zone to its number of workers.
type Plan map[string]Count

// Total returns the number of workers in all zones.
func (p Plan) Total() int { return lo.SumBy(lo.Values(p), Count.Total) }

// OnDemand returns the number of on-demand workers in all zones.
func (p Plan) OnDemand() int { return lo.SumBy(lo.Values(p), func(c Count) int { return c.OnDemand }) }

// WithoutLargestSpotZone returns the number of workers that remain if the zone with the most spot workers loses them.
func (p Plan) WithoutLargestSpotZone() int {
	maxSpot := lo.Max(lo.Map(lo.Values(p), func(c Count, _ int) int { return c.Spot }))
	return p.Total() - maxSpot
}

// Cost returns the cost of the plan per second.
func (p Plan) Cost(offer Offer) float64 {
	cost := 0.0
	for _, zone := range offer.Zones {
		cost += zone.Price * (float64(p[zone.Name].OnDemand) + offer.SpotPrice*float64(p[zone.Name].Spot))
	}
	return cost
}

// Need is the number of workers that a group needs.
type Need struct {
	// Total is the number of workers with which the group runs at its target utilization.
	Total int
	// AfterLoss is the number of workers that must remain if one zone loses its spot workers. It is at most Total.
	AfterLoss int
}

// NewPlan returns a cheap plan that provides the needed workers, and of them Need.AfterLoss even if one zone loses its spot workers. While
// SpotLost is set, it does not allow for such a loss. If the offer is too small, it provides as many as possible.
//
// Invariants: each zone has between MinPerZone and MaxPerZone workers, and the plan for a larger need also covers a smaller one, as far as
// the offer allows.
func NewPlan(offer Offer, need Need) Plan {
	var best Plan
	for spotLimit := range offer.MaxPerZone + 1 {
		plan := planWithLimit(offer, need, spotLimit)
		if best == nil || isBetterPlan(plan, best, offer, need) {
			best = plan
		}
	}
	return best
}

// newTolerantPlan returns a plan that has the total need even after the loss of a zone, as far as more spot workers suffice for that. It plans no
// more on-demand workers than NewPlan, which would be paid for all the time.
func newTolerantPlan(offer Offer, need Need) Plan {
	plan, tolerant := NewPlan(offer, need), NewPlan(offer, Need{Total: need.Total, AfterLoss: need.Total})
	if tolerant.OnDemand() <= plan.OnDemand() {
		return tolerant
	}
	return plan
}

// missing returns how many workers a plan lacks for the need.
func (o Offer) missing(plan Plan, need Need) int {
	return max(need.Total-plan.Total(), need.AfterLoss-o.remaining(plan), 0)
}

// isBetterPlan reports whether a plan covers more of the need than another one, first after a loss, or the same at a lower cost.
func isBetterPlan(plan, other Plan, offer Offer, need Need) bool {
	return cmp.Or(
		cmp.Compare(min(offer.remaining(other), need.AfterLoss), min(offer.remaining(plan), need.AfterLoss)),
		cmp.Compare(min(other.Total(), need.Total), min(plan.Total(), need.Total)),
		cmp.Compare(plan.Cost(offer), other.Cost(offer)),
	) < 0
}

// planWithLimit returns a plan with at most spotLimit spot workers per zone, which fills the zones in the order of their prices.
func planWithLimit(offer Offer, need Need, spotLimit int) Plan {
	plan := Plan{}
	for _, zone := range offer.Zones {
		plan[zone.Name] = Count{OnDemand: offer.MinPerZone}
	}
	byPrice := slices.SortedStableFunc(slices.Values(offer.Zones), func(a, b Zone) int { return cmp.Compare(a.Price, b.Price) })
	wanted := max(need.Total, need.AfterLoss+spotLimit)
	if offer.SpotLost {
		wanted = need.Total
	}
	// Add spot workers up to the limit, as long as they are needed, or add to the workers that remain after a loss.
	for _, zone := range byPrice {
		if zone.SpotUnavailable {
			continue
		}
		spot := min(spotLimit, offer.MaxPerZone-offer.MinPerZone, wanted-plan.Total())
		if spot > 0 {
			plan[zone.Name] = Count{OnDemand: offer.MinPerZone, Spot: spot}
		}
	}
	for _, zone := range byPrice {
		count := plan[zone.Name]
		if missing := offer.missing(plan, need); missing > 0 {
			count.OnDemand += min(missing, offer.MaxPerZone-count.Total())
			plan[zone.Name] = count
		}
	}
	return plan
}
