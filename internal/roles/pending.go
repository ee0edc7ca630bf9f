package roles

import (
	"context"
	"sync"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
)

// confirmEvery is how often an engine is asked whether it is still changing. Work is kept off it for longer than that after each
// word.
const confirmInterval = 3 * time.Second

// underway holds the changes that engines have taken and that their records do not tell yet. An engine first finishes what it
// runs, which can take as long as its longest run. It belongs to the loop of a controller.
type pendingChanges struct{ changes map[string]*pendingChange }

// takenChange is a change that an engine has taken.
type pendingChange struct {
	change      Change
	confirmedAt time.Time
}

// add notes a change that was taken.
func (p *pendingChanges) add(now time.Time, change Change) {
	p.changes[change.Worker.ID] = &pendingChange{change: change, confirmedAt: now}
}

// settle drops the changes that are over: the record of the engine tells the role, or the engine is gone.
func (p *pendingChanges) removeFinished(groups map[string]*Group) {
	currentRoles := map[string]backend.Role{}
	for _, group := range groups {
		for _, engine := range group.Engines {
			currentRoles[engine.Worker.ID] = engine.Worker.Role
		}
	}
	for id, pending := range p.changes {
		if role, present := currentRoles[id]; !present || role == pending.change.Role {
			delete(p.changes, id)
		}
	}
}

// due returns the changes that are to be confirmed.
func (p *pendingChanges) due(now time.Time) []*pendingChange {
	var due []*pendingChange
	for _, pending := range p.changes {
		if now.Sub(pending.confirmedAt) >= confirmInterval && len(due) < maxChangesPerStep {
			due = append(due, pending)
		}
	}
	return due
}

// confirm asks engines that have been changing for a while, and keeps work off them as long as they say so.
func (c *Controller) confirm(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.OrderTimeout)
	defer cancel()
	due := c.pendingChanges.due(now)
	states, errs := make([]EngineState, len(due)), make([]error, len(due))
	var inspections sync.WaitGroup
	for i, pending := range due {
		pending.confirmedAt = now
		inspections.Go(func() { states[i], errs[i] = c.orderer.Inspect(ctx, pending.change.Worker) })
	}
	inspections.Wait()
	for i, change := range due {
		c.handleState(change, states[i], errs[i])
	}
}

// confirmed takes what an engine that changes its role says of itself.
func (c *Controller) handleState(pending *pendingChange, state EngineState, err error) {
	worker, role := pending.change.Worker, pending.change.Role
	switch {
	case err != nil:
		c.logger.WithError(err).WithField("engine", worker.ID).Debug("An engine that changes its role did not tell its state.")
	case state.Busy || state.Role == role:
		c.fleet.SetChanging(worker.ID, role)
	default:
		delete(c.pendingChanges.changes, worker.ID)
		c.fleet.SetChanging(worker.ID, worker.Role)
		c.logger.WithField("engine", worker.ID).Warn("An engine does not change its role although it took the order.")
	}
}
