package forward

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/absence"
	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/balance"
	"github.com/granitebay/granitebay/internal/httpclient"
	"github.com/granitebay/granitebay/internal/loadshare"
	"github.com/granitebay/granitebay/internal/routing"
)

// engines is what this gateway knows of engines beyond their records: which have ended, and which change their roles or have. It is
// guarded by the mutex of the dispatcher.
type engineState struct {
	absences *absence.Table
	// changes are under way, ordered by this gateway or another one, and taken the roles that engines have and their records do not tell yet.
	pendingRoles, reportedRoles map[string]roleChange
	returns                     []absence.Return
	// revived is closed, and replaced, when an engine takes requests again.
	recovered chan struct{}
	// losses are the lost roles as they were found last, by group: requests ask for them, and a group has thousands of engines.
	lossCache map[string]cachedLoss
	// wrote are the groups, and those within which roles are planned, in which an engine was recorded as a writer. Before, the records
	// of writers may only be on their way.
	hadDecoders map[string]bool
	// news tells that there is something to ask engines, or to decide. Nil tells nobody.
	onChange func()
}

// newEngines knows nothing beyond the records.
func newEngineState() *engineState {
	return &engineState{
		absences: absence.New(absence.DefaultSettings()), pendingRoles: map[string]roleChange{}, reportedRoles: map[string]roleChange{},
		recovered: make(chan struct{}), lossCache: map[string]cachedLoss{}, hadDecoders: map[string]bool{},
	}
}

// recordTime is after how long an engine is asked again that said it has a role which its record does not tell: records lag by some
// heartbeats, and stand still while the store is away.
const reportedRoleRecheck = 10 * time.Second

// foundLoss is a lost role as it was found at a moment.
type cachedLoss struct {
	at   time.Time
	loss Loss
}

// foundTime is for how long it is taken to be as it was found that no worker takes requests, unless something was heard of workers.
const availabilityCacheTime = 10 * time.Millisecond

// noteWriters notes in which groups engines write.
func (e *engineState) recordDecoders(workers []*backend.Worker) {
	for _, worker := range workers {
		if worker.Role == backend.RoleDecode {
			for _, group := range worker.Groups() {
				e.hadDecoders[group] = true
			}
		}
	}
}

// tellNews tells that there is something to do.
func (e *engineState) notifyChange() {
	clear(e.lossCache)
	if e.onChange != nil {
		e.onChange()
	}
}

// revive lets requests that wait for an engine look again.
func (e *engineState) signalRecovered() {
	clear(e.lossCache)
	close(e.recovered)
	e.recovered = make(chan struct{})
}

// withTaken returns workers that were put with the roles that they have taken and their records do not tell yet, and drops what is known of
// those that are gone.
func (e *engineState) applyReportedRoles(now time.Time, put []*backend.Worker, gone []string) []*backend.Worker {
	for _, id := range gone {
		delete(e.pendingRoles, id)
		delete(e.reportedRoles, id)
	}
	updated := put
	for i, worker := range put {
		reported, isReported := e.reportedRoles[worker.ID]
		switch {
		case isReported && reported.role != worker.Role:
			if len(updated) > 0 && &updated[0] == &put[0] {
				updated = slices.Clone(put)
			}
			updated[i] = withRole(worker, reported.role)
		case isReported:
			delete(e.reportedRoles, worker.ID)
		}
		if change, isPending := e.pendingRoles[worker.ID]; isPending && ((!isReported && worker.Role == change.role) || !now.Before(change.expiresAt)) {
			delete(e.pendingRoles, worker.ID)
		}
	}
	return updated
}

// expireChanges drops changes of roles that took too long.
func (e *engineState) expirePendingRoles(now time.Time, balancer *balance.Balancer) {
	for id, change := range e.pendingRoles {
		if _, found := balancer.Worker(id); !found || !now.Before(change.expiresAt) {
			delete(e.pendingRoles, id)
		}
	}
}

// withRole returns a worker with another role.
func withRole(worker *backend.Worker, role backend.Role) *backend.Worker {
	changed := *worker
	changed.Role = role
	return &changed
}

// WatchEngines tells whom to tell that engines are to be asked, or that what is known of them has changed. It must not wait.
func (d *Dispatcher) WatchEngines(onChange func()) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.engineState.onChange = onChange
}

// Question is an engine of which more is to be known.
type Question struct {
	Worker *backend.Worker
	// Absent engines are taken to have ended, Confirmed if this gateway saw that itself. Others change their role.
	Absent, Confirmed bool
}

// Questions returns the engines to be asked: those that have ended, and those that should have changed their role by now.
func (d *Dispatcher) Questions() []Question {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.now()
	var questions []Question
	for _, worker := range d.engineState.absences.Engines() {
		_, confirmed := d.engineState.absences.Absent(now, worker.ID)
		questions = append(questions, Question{Worker: worker, Absent: true, Confirmed: confirmed})
	}
	for id, change := range d.engineState.pendingRoles {
		worker, found := d.balancer.Worker(id)
		if !found || worker.Role == change.role || !now.Before(change.expiresAt) {
			delete(d.engineState.pendingRoles, id)
			continue
		}
		if !now.Before(change.readyAt) {
			questions = append(questions, Question{Worker: worker})
		}
	}
	for id, reported := range d.engineState.reportedRoles {
		if worker, found := d.balancer.Worker(id); found && !now.Before(reported.expiresAt) {
			questions = append(questions, Question{Worker: worker})
		}
	}
	return questions
}

// EngineRefuses notes that the address of an engine refused a connection of this gateway: its process has ended.
func (d *Dispatcher) EngineRefuses(id string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.recordRefused(id, true)
}

// engineRefuses notes that the address of an engine refused a connection. What this gateway saw itself is told to the others. The mutex
// is held.
func (d *Dispatcher) recordRefused(id string, firsthand bool) {
	worker, found := d.balancer.Worker(id)
	if !found || worker.Role == backend.RoleNone {
		return
	}
	now := d.now()
	isNew := d.engineState.absences.Refused(now, worker, firsthand)
	d.balancer.SetGone(now, id, d.engineState.absences.Until(id))
	if firsthand && d.peers.notify != nil && len(d.peers.refused) < maxPendingNotices {
		d.peers.refused = append(d.peers.refused, id)
		d.peers.notify(isNew)
	}
	if isNew {
		d.engineState.notifyChange()
	}
}

// EngineAnswers notes what an engine said of itself: it lives, and has a role unless it is still changing it.
func (d *Dispatcher) EngineAnswers(id string, role backend.Role, changing bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	worker, found := d.balancer.Worker(id)
	if !found {
		return
	}
	if d.markAlive(worker) && d.peers.notify != nil && len(d.peers.answering) < maxPendingNotices {
		d.peers.answering = append(d.peers.answering, id)
		d.peers.notify(true)
	}
	_, isReported := d.engineState.reportedRoles[id]
	if changing || (!isReported && (role == worker.Role || d.engineState.pendingRoles[id].role != role)) {
		return
	}
	d.acceptReportedRole(worker, role)
	if d.peers.notify != nil && len(d.peers.newRoles) < maxPendingNotices {
		d.peers.newRoles = append(d.peers.newRoles, loadshare.Changed{Worker: id, Role: string(role)})
		d.peers.notify(true)
	}
}

// engineLives takes back that an engine has ended, and tells whether that was held. The mutex is held.
func (d *Dispatcher) markAlive(worker *backend.Worker) bool {
	now := d.now()
	if !d.engineState.absences.Answers(now, worker) {
		return false
	}
	d.balancer.SetGone(now, worker.ID, time.Time{})
	d.engineState.signalRecovered()
	d.engineState.notifyChange()
	return true
}

// takeRole takes the word of an engine that it has a role, ahead of its record. The mutex is held.
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

// hearEngines takes what another gateway tells of engines. The mutex is held.
func (d *Dispatcher) applyPeerEngines(message *loadshare.Message) {
	now := d.now()
	for _, id := range message.Refused {
		d.recordRefused(id, false)
	}
	for _, id := range message.Answering {
		if worker, found := d.balancer.Worker(id); found {
			d.markAlive(worker)
		}
	}
	for _, changed := range message.Changed {
		if worker, found := d.balancer.Worker(changed.Worker); found {
			d.acceptReportedRole(worker, backend.Role(changed.Role))
		}
	}
	for _, changing := range message.Changing {
		worker, found := d.balancer.Worker(changing.Worker)
		if !found || worker.Role == backend.Role(changing.Role) {
			continue
		}
		until := now.Add(time.Duration(changing.ForMs) * time.Millisecond)
		d.balancer.SetChanging(worker.ID, until)
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

// maxTime returns the later of two moments.
func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Returned returns the engines that recorded themselves again since the last call.
func (d *Dispatcher) Returned() []absence.Return {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	returned := d.engineState.returns
	d.engineState.returns = nil
	return returned
}

// noteRefused notes that a worker has ended, if an error shows it.
func (d *Dispatcher) recordIfRefused(worker *backend.Worker, err error) {
	var transport *httpclient.Error
	if worker.Role != backend.RoleNone && errors.As(err, &transport) && transport.Refused() {
		d.EngineRefuses(worker.ID)
	}
}

// Loss is a group in which no engine can write answers, although there are engines.
type Loss struct {
	// Lost writers have ended, Changing engines become writers, and Readers live.
	Lost, Changing, Readers int
	// Since is when the last writer is known to have ended; zero if its record went.
	Since time.Time
	// Back is when an engine is expected to write again.
	Back time.Time
	// Revived is closed once an engine takes requests again.
	Recovered <-chan struct{}
}

// orderTime is how long the order that brings a lost role back is waited for: a word to the gateway that gives orders, its own look at
// the engines that ended, and the step of its controller.
const roleOrderTime = 500 * time.Millisecond

// LossOf tells whether no engine of a group can write answers, although engines were recorded.
func (d *Dispatcher) RoleLoss(group *routing.Group) (Loss, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.roleLoss(group.Name, group.Engine)
}

// Losses returns the groups in which no engine can write answers.
func (d *Dispatcher) Losses() map[string]Loss {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	losses := map[string]Loss{}
	for name, engine := range d.engineGroups {
		if loss, lost := d.roleLoss(name, engine); lost {
			losses[name] = loss
		}
	}
	return losses
}

// lossOf is LossOf with the mutex held.
func (d *Dispatcher) roleLoss(group string, engine *routing.Engine) (Loss, bool) {
	if engine == nil || !d.engineState.hadDecoders[group] {
		return Loss{}, false
	}
	now := d.now()
	if cached, isCached := d.engineState.lossCache[group]; isCached && now.Sub(cached.at) < availabilityCacheTime {
		return cached.loss, true
	}
	loss := Loss{Recovered: d.engineState.recovered}
	var changeDone, returnsAt time.Time
	for worker := range d.balancer.OfGroup(group) {
		absent, _ := d.engineState.absences.Absent(now, worker.ID)
		change, isPending := d.engineState.pendingRoles[worker.ID]
		switch {
		case worker.Draining:
		case worker.Role == backend.RoleDecode && absent:
			loss.Lost++
			loss.Since = laterOf(loss.Since, d.engineState.absences.Since(worker.ID))
			at, _ := d.engineState.absences.BackAt(worker.ID)
			returnsAt = earliestSet(returnsAt, at)
		case worker.Role == backend.RoleDecode && !isPending:
			return Loss{}, false
		case absent:
		case isPending && change.role == backend.RoleDecode:
			loss.Changing++
			changeDone = earliestSet(changeDone, change.readyAt)
		case worker.Role == backend.RolePrefill:
			loss.Readers++
		}
	}
	if loss.Lost+loss.Changing+loss.Readers == 0 {
		return Loss{}, false
	}
	loss.Back = d.expectedRecovery(now, &loss, engine, changeDone, returnsAt)
	d.engineState.lossCache[group] = cachedLoss{at: now, loss: loss}
	return loss, true
}

// backAt returns when an engine is expected to write again: when a change that is under way is done, or else an order that is due, or else
// when an engine that ended is back. What is late is taken to be late by as much again.
func (d *Dispatcher) expectedRecovery(now time.Time, loss *Loss, engine *routing.Engine, changeDone, returnsAt time.Time) time.Time {
	changeOrdered := loss.Since.Add(roleOrderTime)
	if changeDone.IsZero() && loss.Readers > 1 && !loss.Since.IsZero() && now.Before(changeOrdered) {
		changeDone = changeOrdered.Add(engine.RoleChange)
	}
	expected := earliestSet(changeDone, returnsAt)
	switch {
	case expected.IsZero():
		return now.Add(roleOrderTime + engine.RoleChange)
	case now.After(expected):
		return now.Add(min(max(now.Sub(expected), AskEngineEvery), engine.RoleChange+roleOrderTime))
	default:
		return expected
	}
}

// AskEngineEvery is how often an engine is asked that should have changed its role or ended: the least time in which something can be
// expected of one that is late.
const AskEngineEvery = 100 * time.Millisecond

// earliest returns the earlier of two moments; a zero one does not count.
func earliestSet(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
