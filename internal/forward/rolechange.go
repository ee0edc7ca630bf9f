package forward

import (
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/balance"
	"github.com/granitebay/granitebay/internal/enginemodel"
	"github.com/granitebay/granitebay/internal/roles"
)

// maxRoleChangeTime is how long a role change may take, during which the engine gets no requests, before it is considered to have failed.
const maxRoleChangeTime = 5 * time.Second

// roleChange is a role change of an engine.
type roleChange struct {
	role backend.Role
	// readyAt is when the change is expected to be complete, and expiresAt when it is no longer considered pending.
	readyAt, expiresAt time.Time
	// isInherited is set if a gateway that has ended gave the order, so that the role is only assumed.
	isInherited bool
}

// Groups implements roles.Fleet.
func (d *Dispatcher) Groups() map[string]*roles.Group {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.now()
	groups := map[string]*roles.Group{}
	for routingGroup, engine := range d.engineGroups {
		for worker, status := range d.balancer.WorkerStatuses(now, routingGroup) {
			if worker.Group != routingGroup {
				continue
			}
			name := worker.RoleGroup()
			group, found := groups[name]
			if !found {
				group = &roles.Group{
					Engines: make([]roles.Engine, 0, d.balancer.Count(routingGroup)), PrefillDemand: d.prefillDemand(name, routingGroup), HadDecode: d.engineState.hadDecoders[name], RoleChangeTime: engine.RoleChangeTime,
				}
				groups[name] = group
			}
			group.Engines = append(group.Engines, d.engineSnapshot(now, worker, status))
		}
	}
	return groups
}

// Utilization returns the load of a group in workers: the occupied slots, and for engines also the prefill demand and the slots that refused
// requests would occupy.
func (d *Dispatcher) Utilization(group string) float64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	busy := 0.0
	if d.engineGroups[group] != nil {
		busy = d.prefillDemand(group, group)
	}
	slots := 0
	for worker, status := range d.balancer.WorkerStatuses(d.now(), group) {
		if worker.Group == group && worker.Slots > 0 {
			busy += float64(status.Load.Decoding()) / float64(worker.Slots)
			slots = max(slots, worker.Slots)
		}
	}
	if refused := d.admission.RefusedPerSecond(d.now(), group); refused > 0 && slots > 0 {
		service := d.model.Estimate(d.now(), enginemodel.Class{Group: group, Role: backend.RoleDecode}).ServiceSeconds
		busy += refused * service / float64(slots)
	}
	return busy
}

// engineSnapshot returns the role planner's input for an engine. The mutex is held.
func (d *Dispatcher) engineSnapshot(now time.Time, worker *backend.Worker, status balance.WorkerStatus) roles.Engine {
	engine := roles.Engine{Worker: worker, Load: status.Load, Usable: status.Usable}
	if change, found := d.engineState.pendingRoles[worker.ID]; found && now.Before(change.expiresAt) {
		engine.TargetRole = change.role
	}
	if pace, known := d.model.RelativePace(now, worker); known {
		engine.Pace = pace
	}
	_, engine.Ended = d.engineState.engineHealth.Absent(now, worker.ID)
	if at, known := d.engineState.engineHealth.ExpectedReturn(worker.ID); known {
		engine.ExpectedAt = at
	}
	return engine
}

// SetRoleChange implements roles.Fleet. Passing the current role cancels a pending change.
func (d *Dispatcher) SetRoleChange(id string, role backend.Role) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	worker, found := d.balancer.Worker(id)
	if !found {
		return
	}
	until := d.now()
	if worker.Role != role {
		until = until.Add(maxRoleChangeTime)
		change := roleChange{role: role, readyAt: d.now(), expiresAt: until}
		if engine := d.engineGroups[worker.Group]; engine != nil {
			change.readyAt = change.readyAt.Add(engine.RoleChangeTime)
		}
		if before, found := d.engineState.pendingRoles[id]; found && before.role == role {
			change.readyAt = before.readyAt
		}
		d.peers.roleChanges[id], d.engineState.pendingRoles[id] = change, change
		d.engineState.notifyChange()
	} else {
		delete(d.peers.roleChanges, id)
		delete(d.engineState.pendingRoles, id)
	}
	d.balancer.SetRoleChange(id, until)
	d.peers.loadChanged(id, true)
}
