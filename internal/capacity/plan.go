// Package capacity decides how many workers each zone is to have, and of which kind: kept ones, and spot ones, which cost less and
// may be taken away, all of a zone at once.
//
// Plan is pure. A Planner says what is needed, from what callers offer; an Executor has it ordered, one difference at a time.
package capacity

import (
	"cmp"
	"maps"
	"slices"

	"github.com/samber/lo"
)

// Zone is where workers of a group may run.
type Zone struct {
	Name string
	// Price of a kept worker, for a second.
	Price float64
	// NoSpot is set where no spot workers are to be had for long.
	NoSpot bool
}

// Offer says what workers of a group may be ordered.
type Offer struct {
	Zones []Zone
	// Least and Most workers of a zone, of both kinds together.
	Least, Most int
	// SpotPrice is the price of a spot worker as a part of that of a kept one.
	SpotPrice float64
	// OneLost is set while a zone has lost its spot workers: the loss of another one at the same time is not planned for.
	SpotLost bool
}

// left returns how many workers of a plan are left after the loss that is planned for.
func (o Offer) remaining(plan Plan) int {
	if o.SpotLost {
		return plan.Total()
	}
	return plan.WithoutLargestSpotZone()
}

// WithReserve returns the plan with so many more spot workers, as evenly as the zones allow.
func (p Plan) WithReserve(offer Offer, reserve int) Plan {
	plan := maps.Clone(p)
	for reserve > 0 {
		zone, found := fewestSpot(plan, offer)
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

// emptiest returns the zone with the fewest spot workers among those that may have more.
func fewestSpot(plan Plan, offer Offer) (string, bool) {
	zones := lo.Filter(offer.Zones, func(zone Zone, _ int) bool { return !zone.NoSpot && plan[zone.Name].Total() < offer.Most })
	if len(zones) == 0 {
		return "", false
	}
	return slices.MinFunc(zones, func(a, b Zone) int {
		return cmp.Or(cmp.Compare(plan[a.Name].Spot, plan[b.Name].Spot), cmp.Compare(a.Price, b.Price))
	}).Name, true
}

// same tells whether two offers are the same.
func (o Offer) equal(other Offer) bool {
	return o.SpotLost == other.SpotLost && o.Least == other.Least && o.Most == other.Most && o.SpotPrice == other.SpotPrice && slices.Equal(o.Zones, other.Zones)
}

// Count is a number of workers of each kind.
type Count struct{ Kept, Spot int }

// Total is the number of both kinds.
func (c Count) Total() int { return c.Kept + c.Spot }

// Plan is how many workers each zone is to have.
type Plan map[string]Count

// Total is the number of workers of all zones.
func (p Plan) Total() int { return lo.SumBy(lo.Values(p), Count.Total) }

// Kept is the number of workers of all zones that stay.
func (p Plan) Kept() int { return lo.SumBy(lo.Values(p), func(c Count) int { return c.Kept }) }

// WithoutDearestZone is the number of workers that are left when the zone with most spot workers loses them.
func (p Plan) WithoutLargestSpotZone() int {
	maxSpot := lo.Max(lo.Map(lo.Values(p), func(c Count, _ int) int { return c.Spot }))
	return p.Total() - maxSpot
}

// Cost of a plan for a second.
func (p Plan) Cost(offer Offer) float64 {
	cost := 0.0
	for _, zone := range offer.Zones {
		cost += zone.Price * (float64(p[zone.Name].Kept) + offer.SpotPrice*float64(p[zone.Name].Spot))
	}
	return cost
}

// NewPlan returns the cheapest plan that has so many workers although the spot workers of any one zone are taken away. Where the
// offer does not go that far, it has as many as there may be.
//
// Invariants: each zone has Least workers at the least and Most at the most; with more need there are no fewer workers.
func NewPlan(offer Offer, need int) Plan {
	var best Plan
	for spotLimit := range offer.Most + 1 {
		plan := planWithLimit(offer, need, spotLimit)
		if best == nil || better(plan, best, offer, need) {
			best = plan
		}
	}
	return best
}

// better tells whether a plan meets the need more fully than another one, or as fully at less cost.
func better(plan, other Plan, offer Offer, need int) bool {
	covered, otherCovered := min(offer.remaining(plan), need), min(offer.remaining(other), need)
	return cmp.Or(cmp.Compare(otherCovered, covered), cmp.Compare(plan.Cost(offer), other.Cost(offer))) < 0
}

// planWith returns the cheapest plan with so many spot workers in a zone at the most.
func planWithLimit(offer Offer, need, spotLimit int) Plan {
	plan := Plan{}
	for _, zone := range offer.Zones {
		plan[zone.Name] = Count{Kept: offer.Least}
	}
	byPrice := slices.SortedStableFunc(slices.Values(offer.Zones), func(a, b Zone) int { return cmp.Compare(a.Price, b.Price) })
	// Spot workers up to the limit, where one more is not just the one that may be lost.
	for _, zone := range byPrice {
		if zone.NoSpot {
			continue
		}
		spot := min(spotLimit, offer.Most-offer.Least, need+spotLimit-plan.Total())
		if offer.SpotLost {
			spot = min(spot, need-plan.Total())
		}
		if spot > 0 {
			plan[zone.Name] = Count{Kept: offer.Least, Spot: spot}
		}
	}
	for _, zone := range byPrice {
		count := plan[zone.Name]
		if missing := need - offer.remaining(plan); missing > 0 {
			count.Kept += min(missing, offer.Most-count.Total())
			plan[zone.Name] = count
		}
	}
	return plan
}
