package roles

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/decision"
)

// change keeps work off an engine and gives it its order.
func (c *Controller) change(ctx context.Context, change Change) {
	c.fleet.SetChanging(change.Worker.ID, change.Role)
	timer := time.NewTimer(c.settings.Clearing)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return
	case <-timer.C:
	}
	err := c.order(ctx, change)
	log := c.logger.WithFields(logrus.Fields{"engine": change.Worker.ID, "role": change.Role})
	if errors.Is(err, errChanging) {
		c.underway.add(time.Now(), change)
		log.Info("An engine is changing its role already.")
		return
	}
	if err != nil {
		c.fleet.SetChanging(change.Worker.ID, change.Worker.Role)
		log.WithError(err).Warn("An order was not taken.")
		c.note(change, "not taken", "An order was not taken: "+err.Error()+".")
		return
	}
	c.underway.add(time.Now(), change)
	log.Info("An engine changes its role. " + change.Reason)
	c.note(change, string(change.Role), change.Reason)
}

// note records a change of role as a decision.
func (c *Controller) note(change Change, outcome, reason string) {
	c.decide(decision.Record{
		Kind: decision.KindRole, Subject: change.Worker.Address, Outcome: outcome, Reason: reason,
		Inputs: map[string]string{"worker": change.Worker.ID, "group": change.Worker.RoleGroup(), "role": string(change.Role)},
	})
}

// order gives one order. The authority is asked last thing before.
func (c *Controller) order(ctx context.Context, change Change) error {
	ctx, cancel := context.WithTimeout(ctx, c.settings.OrderTimeout)
	defer cancel()
	state, err := c.orderer.Inspect(ctx, change.Worker)
	if err != nil {
		return err
	}
	if state.Busy || state.Role == change.Role {
		return errChanging
	}
	c.mutex.Lock()
	fence, may := c.authority.MayOrder(time.Now())
	c.mutex.Unlock()
	if !may {
		return errNoAuthority
	}
	return c.orderer.Order(ctx, Order{
		Worker: change.Worker, Role: change.Role, Holder: c.settings.Holder, Fence: fence, Expected: state.Orders,
	})
}
