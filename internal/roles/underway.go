package roles

import (
	"context"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
)

// confirmEvery is how often an engine is asked whether it is still changing. Work is kept off it for longer than that after each
// word.
const confirmEvery = 3 * time.Second

// underway holds the changes that engines have taken and that their records do not tell yet. An engine first finishes what it
// runs, which can take as long as its longest run. It belongs to the loop of a controller.
type underway struct{ changes map[string]*takenChange }

// takenChange is a change that an engine has taken.
type takenChange struct {
	change    Change
	confirmed time.Time
}

// add notes a change that was taken.
func (u *underway) add(now time.Time, change Change) {
	u.changes[change.Worker.ID] = &takenChange{change: change, confirmed: now}
}

// settle drops the changes that are over: the record of the engine tells the role, or the engine is gone.
func (u *underway) settle(groups map[string]*Group) {
	current := map[string]backend.Role{}
	for _, group := range groups {
		for _, engine := range group.Engines {
			current[engine.Worker.ID] = engine.Worker.Role
		}
	}
	for id, taken := range u.changes {
		if role, present := current[id]; !present || role == taken.change.Role {
			delete(u.changes, id)
		}
	}
}

// due returns a change that is to be confirmed, or nil.
func (u *underway) due(now time.Time) *takenChange {
	for _, taken := range u.changes {
		if now.Sub(taken.confirmed) >= confirmEvery {
			return taken
		}
	}
	return nil
}

// confirm asks one engine that has been changing for a while, and keeps work off it as long as it says so.
func (c *Controller) confirm(ctx context.Context, now time.Time) {
	taken := c.underway.due(now)
	if taken == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.settings.OrderTimeout)
	defer cancel()
	taken.confirmed = now
	worker, role := taken.change.Worker, taken.change.Role
	state, err := c.orderer.Inspect(ctx, worker)
	switch {
	case err != nil:
		c.logger.WithError(err).WithField("engine", worker.ID).Debug("An engine that changes its role did not tell its state.")
	case state.Busy || state.Role == role:
		c.fleet.SetChanging(worker.ID, role)
	default:
		delete(c.underway.changes, worker.ID)
		c.fleet.SetChanging(worker.ID, worker.Role)
		c.logger.WithField("engine", worker.ID).Warn("An engine does not change its role although it took the order.")
	}
}
