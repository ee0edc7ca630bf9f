package roles

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/decision"
)

// maxConcurrentOrders limits the orders that are in progress at a time.
const maxConcurrentOrders = 64

// execute sends orders after DrainDelay. Urgent orders are sent at once, because without the lost role no request completes. The changes
// must all be urgent, or none.
func (c *Controller) execute(ctx context.Context, changes []Change) {
	if len(changes) == 0 {
		return
	}
	if !changes[0].Urgent {
		timer := time.NewTimer(c.settings.DrainDelay)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
	}
	errs := make([]error, len(changes))
	semaphore := make(chan struct{}, maxConcurrentOrders)
	var orders sync.WaitGroup
	for i, change := range changes {
		semaphore <- struct{}{}
		orders.Go(func() {
			defer func() { <-semaphore }()
			errs[i] = c.sendOrder(ctx, change)
		})
	}
	orders.Wait()
	for i, change := range changes {
		c.finishOrder(change, errs[i])
	}
	c.reportFailures(changes, errs)
	if changes[0].Urgent {
		c.reportRecovery(changes, errs)
	}
}

// isAccepted reports whether an engine has or takes the ordered role.
func isAccepted(err error) bool { return err == nil || errors.Is(err, errRoleInPlace) }

// reportFailures tells the planners which engines did not accept their orders.
func (c *Controller) reportFailures(changes []Change, errs []error) {
	now := c.settings.Now()
	for i, change := range changes {
		if !isAccepted(errs[i]) {
			c.planner(change.Worker.RoleGroup()).OrderFailed(now, change.Worker.ID)
		}
	}
}

// reportRecovery tells the planners in which groups engines accepted a recovery order, and in which none did.
func (c *Controller) reportRecovery(changes []Change, errs []error) {
	now := c.settings.Now()
	recovered := map[string]bool{}
	for i, change := range changes {
		group := change.Worker.RoleGroup()
		recovered[group] = recovered[group] || isAccepted(errs[i])
	}
	for group, accepted := range recovered {
		if accepted {
			c.planner(group).RecoverySucceeded()
		} else {
			c.planner(group).RecoveryFailed(now)
		}
	}
}

// finishOrder records the result of an order, and resumes routing to the engine if the order failed. If that is unknown, routing stays stopped until
// the engine was inspected.
func (c *Controller) finishOrder(change Change, err error) {
	if c.onOrder != nil {
		c.onOrder(orderOutcome(err))
	}
	log := c.logger.WithFields(logrus.Fields{"engine": change.Worker.ID, "peer": change.Worker.Address, "role": change.Role})
	if errors.Is(err, errRoleInPlace) {
		c.pendingChanges.add(c.settings.Now(), change)
		log.Info("An engine already has or is taking the ordered role.")
		return
	}
	if errors.Is(err, ErrOutcomeUnknown) {
		c.pendingChanges.addUnconfirmed(change)
		log.WithError(err).Warn("It is not known whether an engine takes the ordered role. It is inspected.")
		c.recordChange(change, "unknown", "The response to the order was lost: "+err.Error()+".")
		return
	}
	if err != nil {
		c.fleet.SetRoleChange(change.Worker.ID, change.Worker.Role)
		log.WithError(err).Warn("An order was not sent or not accepted.")
		c.recordChange(change, "not taken", "The order was not sent or not accepted: "+err.Error()+".")
		return
	}
	c.pendingChanges.add(c.settings.Now(), change)
	log.Info("An engine changes its role. " + change.Reason)
	c.recordChange(change, string(change.Role), change.Reason)
}

// orderOutcome names the result of an order in metrics.
func orderOutcome(err error) string {
	switch {
	case err == nil:
		return "accepted"
	case errors.Is(err, errRoleInPlace):
		return "in place"
	case errors.Is(err, ErrOutcomeUnknown):
		return "unknown"
	default:
		return "failed"
	}
}

// recordChange records a role change as a decision.
func (c *Controller) recordChange(change Change, outcome, reason string) {
	c.recordDecision(decision.Record{
		Kind: decision.KindRole, Subject: change.Worker.Address, Outcome: outcome, Reason: reason,
		Inputs: map[string]string{"worker": change.Worker.ID, "group": change.Worker.RoleGroup(), "role": string(change.Role)},
	})
}

// sendOrder sends one order. It checks the authority immediately before.
func (c *Controller) sendOrder(ctx context.Context, change Change) error {
	ctx, cancel := context.WithTimeout(ctx, c.settings.OrderTimeout)
	defer cancel()
	state, err := c.orderer.Inspect(ctx, change.Worker)
	if err != nil {
		return err
	}
	if state.Busy || state.Role == change.Role {
		return errRoleInPlace
	}
	c.mutex.Lock()
	fence, mayOrder := c.authority.MayOrder(c.settings.Now())
	c.mutex.Unlock()
	if !mayOrder {
		return errNoAuthority
	}
	return c.orderer.Order(ctx, Order{
		Worker: change.Worker, Role: change.Role, Holder: c.settings.Holder, Fence: fence, ExpectedOrders: state.Orders,
	})
}
