package roles

import (
	"context"
	"sync"
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

// due returns the changes that are to be confirmed.
func (u *underway) due(now time.Time) []*takenChange {
	var due []*takenChange
	for _, taken := range u.changes {
		if now.Sub(taken.confirmed) >= confirmEvery && len(due) < mostAtOnce {
			due = append(due, taken)
		}
	}
	return due
}

// confirm asks engines that have been changing for a while, and keeps work off them as long as they say so.
func (c *Controller) confirm(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.OrderTimeout)
	defer cancel()
	due := c.underway.due(now)
	states, answers := make([]EngineState, len(due)), make([]error, len(due))
	var questions sync.WaitGroup
	for i, taken := range due {
		taken.confirmed = now
		questions.Go(func() { states[i], answers[i] = c.orderer.Inspect(ctx, taken.change.Worker) })
	}
	questions.Wait()
	for i, taken := range due {
		c.confirmed(taken, states[i], answers[i])
	}
}

// confirmed takes what an engine that changes its role says of itself.
func (c *Controller) confirmed(taken *takenChange, state EngineState, err error) {
	worker, role := taken.change.Worker, taken.change.Role
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
