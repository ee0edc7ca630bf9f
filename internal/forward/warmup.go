package forward

import (
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/peersync"
)

// EngineReport is what an engine reported about itself.
type EngineReport struct {
	// Worker is the id of the incarnation that made the report.
	Worker string
	Role   backend.Role
	// Changing is set while the engine changes its role, during which it accepts no requests.
	Changing bool
	// Running counts the requests that run or wait there, from all gateways.
	Running int
	// Age is the time since the engine made the report.
	Age time.Duration
}

// BeginWarmup starts to learn the state of engines that the previous gateways knew, from the engines themselves. The ids are in the order in
// which NextUnreported returns them. Only the first call has an effect, and returns true.
func (d *Dispatcher) BeginWarmup(ids []string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.warmup.Begin(d.now(), ids)
}

// NextUnreported returns an engine to ask for its report, or false if there is none left.
func (d *Dispatcher) NextUnreported() (*backend.Worker, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for {
		id, found := d.warmup.Next(d.now())
		if !found {
			return nil, false
		}
		if worker, exists := d.balancer.Worker(id); exists {
			return worker, true
		}
		d.warmup.Forget(id)
	}
}

// KnownShare returns the share of the engines whose load is known, from 0 to 1. It is below 1 only for a short time after a start at which
// no other gateway knew the load.
func (d *Dispatcher) KnownShare() float64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.warmup.KnownShare(d.now())
}

// RecordEngineReport records a report that an engine made to this gateway, and passes it on to the other gateways.
func (d *Dispatcher) RecordEngineReport(report EngineReport) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.applyEngineReport(report)
	if d.peers.notify != nil && len(d.peers.engineReports) < maxPendingNotices {
		d.peers.engineReports = append(d.peers.engineReports, timedReport{report: report, receivedAt: d.now()})
		d.peers.notify(true)
	}
}

// timedReport is a report and when it was received.
type timedReport struct {
	report     EngineReport
	receivedAt time.Time
}

// TakeEngineReports returns the reports for the other gateways since the last call.
func (d *Dispatcher) TakeEngineReports() []peersync.EngineReport {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var reports []peersync.EngineReport
	for _, timed := range d.peers.engineReports {
		reports = append(reports, peersync.EngineReport{
			Worker: timed.report.Worker, Role: string(timed.report.Role), Changing: timed.report.Changing, Running: timed.report.Running,
			AgeMs: (timed.report.Age + d.now().Sub(timed.receivedAt)).Milliseconds(),
		})
	}
	d.peers.engineReports = nil
	return reports
}

// ApplyEngineReports records reports that engines made to another gateway.
func (d *Dispatcher) ApplyEngineReports(reports []peersync.EngineReport) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, report := range reports {
		d.applyEngineReport(EngineReport{
			Worker: report.Worker, Role: backend.Role(report.Role), Changing: report.Changing, Running: report.Running,
			Age: time.Duration(report.AgeMs) * time.Millisecond,
		})
	}
}

// applyEngineReport applies a report, unless its incarnation is not known. The mutex is held.
func (d *Dispatcher) applyEngineReport(report EngineReport) {
	worker, found := d.balancer.Worker(report.Worker)
	if !found || worker.Role == backend.RoleNone {
		return
	}
	now := d.now()
	unaccounted := report.Running - d.balancer.Load(worker.ID).Running - d.peers.peerLoad(worker.ID).Running
	if !d.warmup.Record(now.Add(-report.Age), worker.ID, unaccounted) {
		return
	}
	if _, isPending := d.engineState.pendingRoles[worker.ID]; isPending {
		return
	}
	switch {
	case report.Changing:
		d.recordUnknownRoleChange(worker, report.Role)
	case report.Role != worker.Role:
		d.acceptReportedRole(worker, report.Role)
	}
}

// recordUnknownRoleChange records that an engine is changing its role, on an order of a gateway that has ended. The mutex is held.
func (d *Dispatcher) recordUnknownRoleChange(worker *backend.Worker, reported backend.Role) {
	role := reported
	if role == worker.Role {
		role = otherRole(role)
	}
	now := d.now()
	change := roleChange{role: role, readyAt: now, expiresAt: now.Add(maxRoleChangeTime), isInherited: true}
	if engine := d.engineGroups[worker.Group]; engine != nil {
		// The order may have been given at any time within the last RoleChangeTime.
		change.readyAt = change.readyAt.Add(engine.RoleChangeTime / 2)
	}
	d.engineState.pendingRoles[worker.ID] = change
	d.balancer.SetRoleChange(worker.ID, change.expiresAt)
	d.engineState.notifyChange()
}

// otherRole returns the role that an engine changes to from the given one.
func otherRole(role backend.Role) backend.Role {
	if role == backend.RolePrefill {
		return backend.RoleDecode
	}
	return backend.RolePrefill
}

// warmupLoad returns the load to assume at a worker beyond that of the known gateways. The mutex is held.
func (d *Dispatcher) warmupLoad(id string) backend.Load {
	if !d.warmup.InUse() {
		return backend.Load{}
	}
	worker, found := d.balancer.Worker(id)
	if !found {
		return backend.Load{}
	}
	return backend.Load{Running: d.warmup.Load(d.now(), id, worker.Slots)}
}
