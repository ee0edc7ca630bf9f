package roles

import (
	"context"
	"sync"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
)

// confirmInterval is how often an engine with a pending change is inspected. Each confirmation must stop routing to the engine for longer
// than this.
const confirmInterval = 3 * time.Second

// pendingChanges holds the changes that engines have accepted but their records don't show yet, because the engines first finish their
// running requests. It is used by the control loop only.
type pendingChanges struct{ changes map[string]*pendingChange }

// pendingChange is a change that an engine has accepted, or may have accepted.
type pendingChange struct {
	change Change
	// confirmedAt is when the engine accepted the change or was last inspected; zero if neither is known.
	confirmedAt time.Time
}

// add adds an accepted change.
func (p *pendingChanges) add(now time.Time, change Change) {
	p.changes[change.Worker.ID] = &pendingChange{change: change, confirmedAt: now}
}

// addUnconfirmed adds a change that an engine may have accepted. It is due at once.
func (p *pendingChanges) addUnconfirmed(change Change) {
	p.changes[change.Worker.ID] = &pendingChange{change: change}
}

// removeFinished removes the changes whose engine has its new role or no record any more.
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

// due returns the changes to confirm, at most maxChangesPerStep.
func (p *pendingChanges) due(now time.Time) []*pendingChange {
	var due []*pendingChange
	for _, pending := range p.changes {
		if now.Sub(pending.confirmedAt) >= confirmInterval && len(due) < maxChangesPerStep {
			due = append(due, pending)
		}
	}
	return due
}

// confirm inspects engines with pending changes, and keeps routing to them stopped while the change continues.
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
	for i, pending := range due {
		c.handleState(pending, states[i], errs[i])
	}
}

// handleState keeps routing to an engine stopped while its pending change continues, and resumes it if the engine does not change its role.
func (c *Controller) handleState(pending *pendingChange, state EngineState, err error) {
	worker, role := pending.change.Worker, pending.change.Role
	switch {
	case err != nil:
		c.logger.WithError(err).WithField("engine", worker.ID).Debug("The state of an engine that changes its role could not be read.")
	case state.Busy || state.Role == role:
		c.fleet.SetRoleChange(worker.ID, role)
	default:
		delete(c.pendingChanges.changes, worker.ID)
		c.fleet.SetRoleChange(worker.ID, worker.Role)
		c.logger.WithField("engine", worker.ID).Warn("An engine got an order but does not change its role.")
	}
}
