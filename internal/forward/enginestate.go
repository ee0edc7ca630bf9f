package forward

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/balance"
	"github.com/granitebay/granitebay/internal/enginehealth"
	"github.com/granitebay/granitebay/internal/httpclient"
	"github.com/granitebay/granitebay/internal/peersync"
	"github.com/granitebay/granitebay/internal/routing"
)

// engineState is what this gateway knows of engines beyond their records in the store: which are down, and which have changed their roles
// or are about to. It is guarded by the mutex of the dispatcher.
type engineState struct {
	engineHealth *enginehealth.Table
	// pendingRoles are role changes that a gateway has ordered and that are not complete, by engine id. reportedRoles are roles that engines
	// reported but that their records do not show yet.
	pendingRoles, reportedRoles map[string]roleChange
	// reregistered are the engines that registered again since the last call of TakeReturned.
	reregistered []enginehealth.Return
	// recovered is closed and replaced when an engine accepts requests again.
	recovered chan struct{}
	// lossCache caches the lost role of each group, because computing it iterates over all engines of the group.
	lossCache map[string]cachedLoss
	// hadDecoders are the groups in which a decode engine has been seen. Until then, the decode role of a group is not considered lost,
	// since the records may not have arrived yet.
	hadDecoders map[string]bool
	// onChange is called when an engine has to be queried or the state of an engine has changed; may be nil.
	onChange func()
	// onAbsenceReport is called with the name of a gateway that reports engines as ended, and their number; may be nil.
	onAbsenceReport func(reporter string, engines int)
}

// newEngineState returns an empty state.
func newEngineState() *engineState {
	return &engineState{
		engineHealth: enginehealth.New(enginehealth.DefaultSettings()), pendingRoles: map[string]roleChange{}, reportedRoles: map[string]roleChange{},
		recovered: make(chan struct{}), lossCache: map[string]cachedLoss{}, hadDecoders: map[string]bool{},
	}
}

// reportedRoleRecheck is the time after which an engine whose record does not show its reported role is queried again. Records lag by some
// heartbeats, and are not updated while the store is unavailable.
const reportedRoleRecheck = 10 * time.Second

// cachedLoss is a lost role with the time at which it was computed.
type cachedLoss struct {
	at   time.Time
	loss RoleLoss
}

// availabilityCacheTTL is the lifetime of entries of lossCache and of the saturation cache.
const availabilityCacheTTL = 10 * time.Millisecond

// recordDecoders marks the groups of decode engines.
func (e *engineState) recordDecoders(workers []*backend.Worker) {
	for _, worker := range workers {
		if worker.Role == backend.RoleDecode {
			for _, group := range worker.Groups() {
				e.hadDecoders[group] = true
			}
		}
	}
}

// notifyChange signals a change.
func (e *engineState) notifyChange() {
	clear(e.lossCache)
	if e.onChange != nil {
		e.onChange()
	}
}

// signalRecovered wakes requests that wait for an engine.
func (e *engineState) signalRecovered() {
	clear(e.lossCache)
	close(e.recovered)
	e.recovered = make(chan struct{})
}

// applyReportedRoles returns the updated workers with the roles that they reported but that their records do not show yet. It also drops
// reported and pending roles that are out of date, and those of removed workers.
func (e *engineState) applyReportedRoles(now time.Time, updated []*backend.Worker, removed []string) []*backend.Worker {
	for _, id := range removed {
		delete(e.pendingRoles, id)
		delete(e.reportedRoles, id)
	}
	result := updated
	for i, worker := range updated {
		reported, isReported := e.reportedRoles[worker.ID]
		switch {
		case isReported && reported.role != worker.Role:
			if len(result) > 0 && &result[0] == &updated[0] {
				result = slices.Clone(updated)
			}
			result[i] = withRole(worker, reported.role)
		case isReported:
			delete(e.reportedRoles, worker.ID)
		}
		if change, isPending := e.pendingRoles[worker.ID]; isPending && ((!isReported && worker.Role == change.role) || !now.Before(change.expiresAt)) {
			delete(e.pendingRoles, worker.ID)
		}
	}
	return result
}

// expirePendingRoles drops role changes that took too long.
func (e *engineState) expirePendingRoles(now time.Time, balancer *balance.Balancer) {
	for id, change := range e.pendingRoles {
		if _, found := balancer.Worker(id); !found || !now.Before(change.expiresAt) {
			delete(e.pendingRoles, id)
		}
	}
}

// withRole returns a copy of a worker with another role.
func withRole(worker *backend.Worker, role backend.Role) *backend.Worker {
	changed := *worker
	changed.Role = role
	return &changed
}

// OnEngineChange sets the callback for engines that have to be queried and for changes of engine state. It must not block.
func (d *Dispatcher) OnEngineChange(onChange func()) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.engineState.onChange = onChange
}

// OnAbsenceReport sets a callback for other gateways' reports of ended engines. It must not block.
func (d *Dispatcher) OnAbsenceReport(onReport func(reporter string, engines int)) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.engineState.onAbsenceReport = onReport
}

// EngineQuery is an engine that should be queried.
type EngineQuery struct {
	Worker *backend.Worker
	// Absent is set if the engine is considered down, and Confirmed if this gateway observed that itself. If Absent is not set, the role of
	// the engine is uncertain.
	Absent, Confirmed bool
}

// EnginesToQuery returns the engines to query: those that are down, those that should have completed a role change, and those whose records
// do not show their reported roles.
func (d *Dispatcher) EnginesToQuery() []EngineQuery {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.now()
	var queries []EngineQuery
	for _, worker := range d.engineState.engineHealth.Engines() {
		_, confirmed := d.engineState.engineHealth.Absent(now, worker.ID)
		queries = append(queries, EngineQuery{Worker: worker, Absent: true, Confirmed: confirmed})
	}
	for id, change := range d.engineState.pendingRoles {
		worker, found := d.balancer.Worker(id)
		if !found || worker.Role == change.role || !now.Before(change.expiresAt) {
			delete(d.engineState.pendingRoles, id)
			continue
		}
		if !now.Before(change.readyAt) {
			queries = append(queries, EngineQuery{Worker: worker})
		}
	}
	for id, reported := range d.engineState.reportedRoles {
		if worker, found := d.balancer.Worker(id); found && !now.Before(reported.expiresAt) {
			queries = append(queries, EngineQuery{Worker: worker})
		}
	}
	return queries
}

// RecordRefused records that an engine's address refused a connection of this gateway, which means that its process has ended.
func (d *Dispatcher) RecordRefused(id string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.recordRefused(id, true)
}

// recordRefused records that an engine's address refused a connection. If firsthand, this gateway observed that itself and sends it to the
// others. The mutex is held.
func (d *Dispatcher) recordRefused(id string, firsthand bool) {
	worker, found := d.balancer.Worker(id)
	if !found || worker.Role == backend.RoleNone {
		return
	}
	now := d.now()
	isNew := d.engineState.engineHealth.Refused(now, worker, firsthand)
	d.migration.Risk().Ended(now, id)
	d.balancer.SetUnreachable(now, id, d.engineState.engineHealth.Until(id))
	if firsthand && d.peers.notify != nil && len(d.peers.refused) < maxPendingNotices {
		d.peers.refused = append(d.peers.refused, id)
		d.peers.notify(isNew)
	}
	if isNew {
		d.engineState.notifyChange()
	}
}

// RecordResponse records that an engine responded to a query and is up. Unless changing is set, role is its current role.
func (d *Dispatcher) RecordResponse(id string, role backend.Role, changing bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	worker, found := d.balancer.Worker(id)
	if !found {
		return
	}
	if d.markAlive(worker) && d.peers.notify != nil && len(d.peers.recovered) < maxPendingNotices {
		d.peers.recovered = append(d.peers.recovered, id)
		d.peers.notify(true)
	}
	if d.engineState.pendingRoles[id].isInherited && !changing && role == worker.Role {
		d.cancelRoleChange(worker)
	}
	_, isReported := d.engineState.reportedRoles[id]
	// Roles that agree with the record, and roles that no gateway ordered, are ignored.
	if changing || (!isReported && (role == worker.Role || d.engineState.pendingRoles[id].role != role)) {
		return
	}
	d.acceptReportedRole(worker, role)
	if d.peers.notify != nil && len(d.peers.newRoles) < maxPendingNotices {
		d.peers.newRoles = append(d.peers.newRoles, peersync.RoleReport{Worker: id, Role: string(role)})
		d.peers.notify(true)
	}
}

// cancelRoleChange ends the role change of an engine that has kept its role. The mutex is held.
func (d *Dispatcher) cancelRoleChange(worker *backend.Worker) {
	delete(d.engineState.pendingRoles, worker.ID)
	d.balancer.SetRoleChange(worker.ID, time.Time{})
	d.engineState.signalRecovered()
	d.engineState.notifyChange()
}

// markAlive marks an engine as up, and reports whether it was considered down. The mutex is held.
func (d *Dispatcher) markAlive(worker *backend.Worker) bool {
	now := d.now()
	if !d.engineState.engineHealth.Responded(now, worker) {
		return false
	}
	d.balancer.SetUnreachable(now, worker.ID, time.Time{})
	d.engineState.signalRecovered()
	d.engineState.notifyChange()
	return true
}

// acceptReportedRole applies a role that an engine reported before its record shows it. The mutex is held.
func (d *Dispatcher) acceptReportedRole(worker *backend.Worker, role backend.Role) {
	delete(d.engineState.pendingRoles, worker.ID)
	delete(d.peers.roleChanges, worker.ID)
	if _, isReported := d.engineState.reportedRoles[worker.ID]; worker.Role == role && !isReported {
		return
	}
	d.engineState.reportedRoles[worker.ID] = roleChange{role: role, expiresAt: d.now().Add(reportedRoleRecheck)}
	if worker.Role == role {
		return
	}
	d.balancer.Replace(withRole(worker, role))
	d.engineState.signalRecovered()
	d.engineState.notifyChange()
}

// applyPeerEngines applies the engine state that another gateway sent. The mutex is held.
func (d *Dispatcher) applyPeerEngines(message *peersync.Message) {
	now := d.now()
	if d.engineState.onAbsenceReport != nil && len(message.Refused) > 0 {
		d.engineState.onAbsenceReport(message.Sender, len(message.Refused))
	}
	for _, id := range message.Refused {
		d.recordRefused(id, false)
	}
	for _, id := range message.Recovered {
		if worker, found := d.balancer.Worker(id); found {
			d.markAlive(worker)
		}
	}
	for _, changed := range message.RoleReports {
		if worker, found := d.balancer.Worker(changed.Worker); found {
			d.acceptReportedRole(worker, backend.Role(changed.Role))
		}
	}
	for _, changing := range message.RoleChanges {
		worker, found := d.balancer.Worker(changing.Worker)
		if !found || worker.Role == backend.Role(changing.Role) {
			continue
		}
		until := now.Add(time.Duration(changing.ForMs) * time.Millisecond)
		d.balancer.SetRoleChange(worker.ID, until)
		if before, known := d.engineState.pendingRoles[worker.ID]; known && before.role == backend.Role(changing.Role) {
			until = laterOf(until, before.expiresAt)
		} else {
			d.engineState.notifyChange()
		}
		d.engineState.pendingRoles[worker.ID] = roleChange{
			role: backend.Role(changing.Role), readyAt: now.Add(time.Duration(changing.ReadyMs) * time.Millisecond), expiresAt: until,
		}
	}
}

// laterOf returns the later of two times.
func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// TakeReturned returns the engines that registered again since the last call.
func (d *Dispatcher) TakeReturned() []enginehealth.Return {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	returned := d.engineState.reregistered
	d.engineState.reregistered = nil
	return returned
}

// recordIfRefused records that an engine is down if the error is a refused connection.
func (d *Dispatcher) recordIfRefused(worker *backend.Worker, err error) {
	var transport *httpclient.Error
	if worker.Role != backend.RoleNone && errors.As(err, &transport) && transport.Refused() {
		d.RecordRefused(worker.ID)
	}
}

// RoleLoss describes a group that has engines but none that can decode.
type RoleLoss struct {
	// LostDecoders is the number of decode engines that are down, Changing the number of engines that are becoming decode engines, and
	// PrefillEngines the number of prefill engines that are up.
	LostDecoders, Changing, PrefillEngines int
	// Since is when the last decode engine is known to have ended; zero if its record was removed.
	Since time.Time
	// ExpectedAt is when an engine is expected to decode again.
	ExpectedAt time.Time
	// Recovered is closed once an engine accepts requests again.
	Recovered <-chan struct{}
}

// roleOrderTime is the expected time from the loss of a role until a role change is ordered that restores it: the leader has to learn of
// the loss, query the engines itself and run its role controller.
const roleOrderTime = 500 * time.Millisecond

// RoleLoss reports whether a group has engines but none that can decode.
func (d *Dispatcher) RoleLoss(group *routing.Group) (RoleLoss, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.roleLoss(group.Name, group.Engine)
}

// Losses returns the groups that have no engine that can decode.
func (d *Dispatcher) Losses() map[string]RoleLoss {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	losses := map[string]RoleLoss{}
	for name, engine := range d.engineGroups {
		if loss, lost := d.roleLoss(name, engine); lost {
			losses[name] = loss
		}
	}
	return losses
}

// roleLoss is RoleLoss with the mutex held.
func (d *Dispatcher) roleLoss(group string, engine *routing.Engine) (RoleLoss, bool) {
	if engine == nil || !d.engineState.hadDecoders[group] {
		return RoleLoss{}, false
	}
	now := d.now()
	if cached, isCached := d.engineState.lossCache[group]; isCached && now.Sub(cached.at) < availabilityCacheTTL {
		return cached.loss, true
	}
	loss := RoleLoss{Recovered: d.engineState.recovered}
	var changeDone, returnsAt time.Time
	for worker := range d.balancer.OfGroup(group) {
		absent, _ := d.engineState.engineHealth.Absent(now, worker.ID)
		change, isPending := d.engineState.pendingRoles[worker.ID]
		switch {
		case worker.Draining:
		case worker.Role == backend.RoleDecode && absent:
			loss.LostDecoders++
			loss.Since = laterOf(loss.Since, d.engineState.engineHealth.Since(worker.ID))
			at, _ := d.engineState.engineHealth.ExpectedReturn(worker.ID)
			returnsAt = earliestSet(returnsAt, at)
		case worker.Role == backend.RoleDecode && !isPending:
			return RoleLoss{}, false
		case absent:
		case isPending && change.role == backend.RoleDecode:
			loss.Changing++
			changeDone = earliestSet(changeDone, change.readyAt)
		case worker.Role == backend.RolePrefill:
			loss.PrefillEngines++
		}
	}
	if loss.LostDecoders+loss.Changing+loss.PrefillEngines == 0 {
		return RoleLoss{}, false
	}
	loss.ExpectedAt = d.expectedRecovery(now, &loss, engine, changeDone, returnsAt)
	d.engineState.lossCache[group] = cachedLoss{at: now, loss: loss}
	return loss, true
}

// expectedRecovery returns when an engine is expected to decode again: when a pending or expected role change completes, or when an engine
// that is down returns. If that time has passed, recovery is expected to take as long again as it is late by now, within bounds.
func (d *Dispatcher) expectedRecovery(now time.Time, loss *RoleLoss, engine *routing.Engine, changeDone, returnsAt time.Time) time.Time {
	changeOrdered := loss.Since.Add(roleOrderTime)
	if changeDone.IsZero() && loss.PrefillEngines > 1 && !loss.Since.IsZero() && now.Before(changeOrdered) {
		changeDone = changeOrdered.Add(engine.RoleChangeTime)
	}
	expected := earliestSet(changeDone, returnsAt)
	switch {
	case expected.IsZero():
		return now.Add(roleOrderTime + engine.RoleChangeTime)
	case now.After(expected):
		return now.Add(min(max(now.Sub(expected), EngineQueryInterval), engine.RoleChangeTime+roleOrderTime))
	default:
		return expected
	}
}

// EngineQueryInterval is how often engines are queried that are down or should have completed a role change. It is also the minimum
// remaining time assumed for a recovery that is late.
const EngineQueryInterval = 100 * time.Millisecond

// earliestSet returns the earlier of two times, ignoring zero times.
func earliestSet(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
