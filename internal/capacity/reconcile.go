package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/decision"
)

// reconcile sends the orders that bring the workers of a group closer to the plan. Workers are removed only if enough others are present.
//
// Certain is set while the need is known and the records of the workers are complete. Otherwise nothing is ordered, because an order sets a
// total number, so one based on incomplete records would remove workers. The exception is a new fleet, for which additional spot workers are
// ordered while its on-demand workers register.
func (e *Executor) reconcile(ctx context.Context, now time.Time, group Group, plan Plan, need int, certain bool) {
	// surplus is the number of workers of the group beyond the need.
	surplus := max(group.Present.Total()-need, 0)
	for _, zone := range group.Offer.Zones {
		current, target := group.Present[zone.Name], plan[zone.Name]
		// The limit of a zone includes workers that are not removed yet.
		target.Spot = min(target.Spot, max(group.Offer.MaxPerZone-current.OnDemand, 0))
		if !e.estimators[group.Name].mayRemoveSurplus(now) {
			// New spot workers stay until the demand is known, and all workers of a fleet that was there before.
			target.Spot = max(target.Spot, current.Spot)
			if !e.estimators[group.Name].newFleet {
				target.OnDemand = max(target.OnDemand, current.OnDemand)
			}
		}
		if certain || (group.MostRegistered && e.estimators[group.Name].newFleet && target.Spot > current.Spot) {
			e.adjustPool(ctx, now, group, poolKey{group.Name, zone.Name, true}, current.Spot, target.Spot, &surplus)
		}
		if certain {
			e.adjustPool(ctx, now, group, poolKey{group.Name, zone.Name, false}, current.OnDemand, target.OnDemand, &surplus)
		}
	}
}

// adjustPool sends an order for a pool if one is due. It removes workers only up to the surplus of the group, and deducts them from it.
func (e *Executor) adjustPool(ctx context.Context, now time.Time, group Group, key poolKey, current, target int, surplus *int) {
	state, found := e.pools[key]
	if !found {
		state = &poolState{lastOrdered: -1}
		e.pools[key] = state
	}
	e.trackMissing(now, state, current, target)
	if target < current {
		removed := min(current-target, *surplus)
		*surplus -= removed
		target = current - removed
	}
	upToDate := current == target && (state.lastOrdered < 0 || state.lastOrdered == target)
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
	if err != nil {
		state.nextRetry = now.Add(e.settings.FailedRetryDelay)
		state.nextChange = state.nextRetry
	} else {
		state.lastOrdered = target
	}
	e.recordOrder(group, order, current, err)
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
func (e *Executor) recordOrder(group Group, order Order, current int, err error) {
	kind := "kept"
	if order.Spot {
		kind = "spot"
	}
	log := e.logger.WithFields(logrus.Fields{
		"group": order.Group, "zone": order.Zone, "kind": kind, "workers": order.Workers, "have": current,
		"busy": fmt.Sprintf("%.1f", group.Busy), "need": e.estimators[group.Name].need,
	})
	record := decision.Record{
		Kind: decision.KindCapacity, Subject: order.Group + " in " + order.Zone, Outcome: fmt.Sprintf("%d %s workers", order.Workers, kind),
		Reason: "The plan has a different number of workers.", Fence: order.Fence,
		Inputs: map[string]string{"have": fmt.Sprint(current), "kind": kind},
	}
	if err != nil {
		log.WithError(err).Warn("The order of workers failed.")
		record.Reason = "The order of workers failed: " + err.Error() + "."
	} else {
		log.Info("Workers were ordered.")
	}
	e.recordDecision(record)
}
