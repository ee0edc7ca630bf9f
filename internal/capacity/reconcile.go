package capacity

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/decision"
)

// surplus is how many workers of a group may be removed.
type surplus struct {
	// overNeed and overPlan are the numbers of present workers beyond the need and beyond the plan.
	overNeed, overPlan int
	// keepSpot is set while a zone has just lost its spot workers, which those of other zones replace.
	keepSpot bool
}

// take returns how many of the wanted workers of a kind may be removed, and deducts them. On-demand workers may be removed as far as the
// others cover the need. Spot workers may be removed only as far as none of the plan is missing, because they replace those of other zones.
func (s *surplus) take(spot bool, wanted int) int {
	removable := s.overNeed
	switch {
	case spot && s.keepSpot:
		removable = 0
	case spot:
		removable = min(removable, s.overPlan)
	}
	removed := min(wanted, max(removable, 0))
	s.overNeed -= removed
	s.overPlan -= removed
	return removed
}

// poolTarget is a pool with its present and its wanted number of workers.
type poolTarget struct {
	key             poolKey
	price           float64
	current, target int
}

// reconcile sends the orders that bring the workers of a group closer to the plan: first those that add workers, from the cheapest pool on,
// then those that remove workers, from the dearest pool on, as far as enough others are present.
//
// Certain is set while the need is known and the records of the workers are complete. Otherwise nothing is ordered, because an order sets a
// total number, so one based on incomplete records would remove workers. The exception is a new fleet, for which additional spot workers are
// ordered while its on-demand workers register.
func (e *Executor) reconcile(ctx context.Context, now time.Time, group Group, plan Plan, need int, certain bool) {
	present := group.Present.Total()
	surplus := &surplus{overNeed: present - need, overPlan: present - plan.Total()}
	targets := e.targets(now, group, e.withReplacements(group, plan), certain)
	slices.SortStableFunc(targets, func(a, b poolTarget) int { return cmp.Compare(a.price, b.price) })
	for _, pool := range targets {
		if pool.target >= pool.current {
			e.adjustPool(ctx, now, group, pool, surplus)
		}
	}
	surplus.keepSpot = slices.ContainsFunc(targets, func(pool poolTarget) bool { return e.lostZone(now, pool) })
	for _, pool := range slices.Backward(targets) {
		if pool.target < pool.current {
			e.adjustPool(ctx, now, group, pool, surplus)
		}
	}
}

// lostZoneShare is the share of the spot workers of a zone whose absence counts as the loss of the zone.
const lostZoneShare = 0.5

// lostZone reports whether a zone has lost its spot workers within SpotTimeout.
func (e *Executor) lostZone(now time.Time, pool poolTarget) bool {
	state, found := e.pools[pool.key]
	return found && pool.key.spot && !state.missingSince.IsZero() && now.Sub(state.missingSince) <= e.settings.SpotTimeout &&
		float64(pool.target-pool.current) >= lostZoneShare*float64(pool.target)
}

// targets returns the pools of a group for which orders may be sent.
func (e *Executor) targets(now time.Time, group Group, plan Plan, certain bool) []poolTarget {
	estimator := e.estimators[group.Name]
	var targets []poolTarget
	for _, zone := range group.Offer.Zones {
		current, target := group.Present[zone.Name], plan[zone.Name]
		// The limit of a zone includes workers that are not removed yet.
		target.Spot = min(target.Spot, max(group.Offer.MaxPerZone-current.OnDemand, 0))
		if !estimator.mayRemoveSurplus(now) {
			// New spot workers stay until the demand is known, and all workers of a fleet that was there before.
			target.Spot = max(target.Spot, current.Spot)
			if !estimator.newFleet {
				target.OnDemand = max(target.OnDemand, current.OnDemand)
			}
		}
		if certain || (group.MostRegistered && estimator.newFleet && target.Spot > current.Spot) {
			targets = append(targets, poolTarget{poolKey{group.Name, zone.Name, true}, zone.Price * group.Offer.SpotPrice, current.Spot, target.Spot})
		}
		if certain {
			targets = append(targets, poolTarget{poolKey{group.Name, zone.Name, false}, zone.Price, current.OnDemand, target.OnDemand})
		}
	}
	return targets
}

// adjustPool sends an order for a pool if one is due. It removes workers only up to the surplus of the group, and deducts them from it.
func (e *Executor) adjustPool(ctx context.Context, now time.Time, group Group, pool poolTarget, surplus *surplus) {
	key, current, target := pool.key, pool.current, pool.target
	state, found := e.pools[key]
	if !found {
		state = &poolState{lastOrdered: -1}
		e.pools[key] = state
	}
	e.trackMissing(now, state, current, target)
	if target < current {
		target = current - surplus.take(key.spot, current-target)
	}
	if key.spot && surplus.overPlan < 0 && state.isBooting(now, current) {
		// Workers that boot here may replace those that another zone lacks, within the limit of this zone.
		target = max(target, min(state.lastOrdered, group.Offer.MaxPerZone-group.Present[key.zone].OnDemand))
	}
	upToDate := current == target && (state.lastOrdered < 0 || state.lastOrdered == target) && !state.outcomeUnknown
	if upToDate || now.Before(state.nextChange) || (target == state.lastOrdered && now.Before(state.nextRetry)) {
		return
	}
	base := state.lastAccepted(current)
	wantedTarget := target
	if target = e.limitChange(now, base, wantedTarget); target == base && wantedTarget != base {
		// The change budget is used up.
		return
	}
	fence, mayOrder := e.authority()
	if !mayOrder || fence != e.fence {
		return
	}
	e.budget -= float64(distance(base, target))
	order := Order{Group: key.group, Zone: key.zone, Spot: key.spot, Workers: target, Holder: e.settings.Holder, Fence: fence}
	callCtx, cancel := context.WithTimeout(ctx, e.settings.CallTimeout)
	defer cancel()
	err := e.orderer.OrderWorkers(callCtx, order)
	state.nextRetry = now.Add(group.BootTime + e.settings.RetryDelay)
	state.nextChange = now.Add(e.settings.ChangeInterval)
	state.refused = errors.Is(err, ErrUnavailable)
	state.outcomeUnknown = err != nil && !state.refused
	if err != nil {
		state.nextRetry = now.Add(e.settings.FailedRetryDelay)
		state.nextChange = state.nextRetry
	} else {
		state.lastOrdered = target
	}
	e.recordOrder(now, group, order, current, err)
}

// isBooting reports whether workers of the last order are not present yet and not overdue.
func (s *poolState) isBooting(now time.Time, current int) bool {
	return !s.refused && s.lastOrdered > current && now.Before(s.nextRetry)
}

// limitChange accrues the change budget, and returns the number closest to the target that it allows, starting from base.
func (e *Executor) limitChange(now time.Time, base, target int) int {
	if !e.budgetUpdatedAt.IsZero() {
		e.budget += e.settings.MaxChangeRate * now.Sub(e.budgetUpdatedAt).Seconds()
	}
	e.budget, e.budgetUpdatedAt = min(max(e.budget, 0), e.settings.MaxChangeRate), now
	step := int(e.budget)
	return min(max(target, base-step), base+step)
}

// lastAccepted returns the last accepted number, or else the number of present workers.
func (s *poolState) lastAccepted(current int) int {
	if s.lastOrdered >= 0 {
		return s.lastOrdered
	}
	return current
}

// distance returns the absolute difference of two numbers.
func distance(a, b int) int { return max(a-b, b-a) }

// trackMissing updates missingSince of a pool.
func (e *Executor) trackMissing(now time.Time, state *poolState, current, target int) {
	switch {
	case current >= target:
		state.missingSince = time.Time{}
	case state.missingSince.IsZero():
		state.missingSince = now
	}
}

// recordOrder logs the result of an order, and records it as a decision.
func (e *Executor) recordOrder(now time.Time, group Group, order Order, current int, err error) {
	kind := "kept"
	if order.Spot {
		kind = "spot"
	}
	estimator := e.estimators[group.Name]
	log := e.logger.WithFields(logrus.Fields{
		"group": order.Group, "zone": order.Zone, "kind": kind, "workers": order.Workers, "have": current,
		"busy": fmt.Sprintf("%.1f", group.Busy), "need": estimator.need,
	})
	record := decision.Record{
		Kind: decision.KindCapacity, Subject: order.Group + " in " + order.Zone, Outcome: fmt.Sprintf("%d %s workers", order.Workers, kind),
		Reason: fmt.Sprintf("The plan for %d workers has a different number: %s.", estimator.need, estimator.reason(now)), Fence: order.Fence,
		Inputs: map[string]string{
			"have": fmt.Sprint(current), "kind": kind, "need": fmt.Sprint(estimator.need), "busy": fmt.Sprintf("%.1f", group.Busy),
		},
	}
	if err != nil {
		log.WithError(err).Warn("The order of workers failed.")
		record.Reason = "The order of workers failed: " + err.Error() + "."
	} else {
		log.Info("Workers were ordered.")
	}
	e.recordDecision(record)
}
