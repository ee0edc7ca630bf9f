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
type engines struct {
	absent *absence.Table
	// changes are under way, ordered by this gateway or another one, and taken the roles that engines have and their records do not tell yet.
	changes, taken map[string]roleChange
	returned       []absence.Return
	// revived is closed, and replaced, when an engine takes requests again.
	revived chan struct{}
	// losses are the lost roles as they were found last, by group: requests ask for them, and a group has thousands of engines.
	losses map[string]foundLoss
	// wrote are the groups, and those within which roles are planned, in which an engine was recorded as a writer. Before, the records
	// of writers may only be on their way.
	wrote map[string]bool
	// news tells that there is something to ask engines, or to decide. Nil tells nobody.
	news func()
}

// newEngines knows nothing beyond the records.
func newEngines() *engines {
	return &engines{
		absent: absence.New(absence.DefaultSettings()), changes: map[string]roleChange{}, taken: map[string]roleChange{},
		revived: make(chan struct{}), losses: map[string]foundLoss{}, wrote: map[string]bool{},
	}
}

// recordTime is after how long an engine is asked again that said it has a role which its record does not tell: records lag by some
// heartbeats, and stand still while the store is away.
const recordTime = 10 * time.Second

// foundLoss is a lost role as it was found at a moment.
type foundLoss struct {
	at   time.Time
	loss Loss
}

// foundTime is for how long it is taken to be as it was found that no worker takes requests, unless something was heard of workers.
const foundTime = 10 * time.Millisecond

// noteWriters notes in which groups engines write.
func (e *engines) noteWriters(workers []*backend.Worker) {
	for _, worker := range workers {
		if worker.Role == backend.RoleDecode {
			for _, group := range worker.Groups() {
				e.wrote[group] = true
			}
		}
	}
}

// tellNews tells that there is something to do.
func (e *engines) tellNews() {
	clear(e.losses)
	if e.news != nil {
		e.news()
	}
}

// revive lets requests that wait for an engine look again.
func (e *engines) revive() {
	clear(e.losses)
	close(e.revived)
	e.revived = make(chan struct{})
}

// withTaken returns workers that were put with the roles that they have taken and their records do not tell yet, and drops what is known of
// those that are gone.
func (e *engines) withTaken(now time.Time, put []*backend.Worker, gone []string) []*backend.Worker {
	for _, id := range gone {
		delete(e.changes, id)
		delete(e.taken, id)
	}
	described := put
	for i, worker := range put {
		taken, isTaken := e.taken[worker.ID]
		switch {
		case isTaken && taken.role != worker.Role:
			if len(described) > 0 && &described[0] == &put[0] {
				described = slices.Clone(put)
			}
			described[i] = withRole(worker, taken.role)
		case isTaken:
			delete(e.taken, worker.ID)
		}
		if change, changes := e.changes[worker.ID]; changes && ((!isTaken && worker.Role == change.role) || !now.Before(change.until)) {
			delete(e.changes, worker.ID)
		}
	}
	return described
}

// expireChanges drops changes of roles that took too long.
func (e *engines) expireChanges(now time.Time, balancer *balance.Balancer) {
	for id, change := range e.changes {
		if _, found := balancer.Worker(id); !found || !now.Before(change.until) {
			delete(e.changes, id)
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
func (d *Dispatcher) WatchEngines(news func()) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.known.news = news
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
	for _, worker := range d.known.absent.Engines() {
		_, confirmed := d.known.absent.Absent(now, worker.ID)
		questions = append(questions, Question{Worker: worker, Absent: true, Confirmed: confirmed})
	}
	for id, change := range d.known.changes {
		worker, found := d.balancer.Worker(id)
		if !found || worker.Role == change.role || !now.Before(change.until) {
			delete(d.known.changes, id)
			continue
		}
		if !now.Before(change.ready) {
			questions = append(questions, Question{Worker: worker})
		}
	}
	for id, taken := range d.known.taken {
		if worker, found := d.balancer.Worker(id); found && !now.Before(taken.until) {
			questions = append(questions, Question{Worker: worker})
		}
	}
	return questions
}

// EngineRefuses notes that the address of an engine refused a connection of this gateway: its process has ended.
func (d *Dispatcher) EngineRefuses(id string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.engineRefuses(id, true)
}

// engineRefuses notes that the address of an engine refused a connection. What this gateway saw itself is told to the others. The mutex
// is held.
func (d *Dispatcher) engineRefuses(id string, own bool) {
	worker, found := d.balancer.Worker(id)
	if !found || worker.Role == backend.RoleNone {
		return
	}
	now := d.now()
	news := d.known.absent.Refused(now, worker, own)
	d.balancer.SetGone(now, id, d.known.absent.Until(id))
	if own && d.sharing.notify != nil && len(d.sharing.refused) < maxUntoldParts {
		d.sharing.refused = append(d.sharing.refused, id)
		d.sharing.notify(news)
	}
	if news {
		d.known.tellNews()
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
	if d.engineLives(worker) && d.sharing.notify != nil && len(d.sharing.answering) < maxUntoldParts {
		d.sharing.answering = append(d.sharing.answering, id)
		d.sharing.notify(true)
	}
	_, taken := d.known.taken[id]
	if changing || (!taken && (role == worker.Role || d.known.changes[id].role != role)) {
		return
	}
	d.takeRole(worker, role)
	if d.sharing.notify != nil && len(d.sharing.taken) < maxUntoldParts {
		d.sharing.taken = append(d.sharing.taken, loadshare.Changed{Worker: id, Role: string(role)})
		d.sharing.notify(true)
	}
}

// engineLives takes back that an engine has ended, and tells whether that was held. The mutex is held.
func (d *Dispatcher) engineLives(worker *backend.Worker) bool {
	now := d.now()
	if !d.known.absent.Answers(now, worker) {
		return false
	}
	d.balancer.SetGone(now, worker.ID, time.Time{})
	d.known.revive()
	d.known.tellNews()
	return true
}

// takeRole takes the word of an engine that it has a role, ahead of its record. The mutex is held.
func (d *Dispatcher) takeRole(worker *backend.Worker, role backend.Role) {
	delete(d.known.changes, worker.ID)
	delete(d.sharing.changing, worker.ID)
	if _, taken := d.known.taken[worker.ID]; worker.Role == role && !taken {
		return
	}
	d.known.taken[worker.ID] = roleChange{role: role, until: d.now().Add(recordTime)}
	if worker.Role == role {
		return
	}
	d.balancer.Replace(withRole(worker, role))
	d.known.revive()
	d.known.tellNews()
}

// hearEngines takes what another gateway tells of engines. The mutex is held.
func (d *Dispatcher) hearEngines(message *loadshare.Message) {
	now := d.now()
	for _, id := range message.Refused {
		d.engineRefuses(id, false)
	}
	for _, id := range message.Answering {
		if worker, found := d.balancer.Worker(id); found {
			d.engineLives(worker)
		}
	}
	for _, changed := range message.Changed {
		if worker, found := d.balancer.Worker(changed.Worker); found {
			d.takeRole(worker, backend.Role(changed.Role))
		}
	}
	for _, changing := range message.Changing {
		worker, found := d.balancer.Worker(changing.Worker)
		if !found || worker.Role == backend.Role(changing.Role) {
			continue
		}
		until := now.Add(time.Duration(changing.ForMs) * time.Millisecond)
		d.balancer.SetChanging(worker.ID, until)
		if before, known := d.known.changes[worker.ID]; known && before.role == backend.Role(changing.Role) {
			until = maxTime(until, before.until)
		} else {
			d.known.tellNews()
		}
		d.known.changes[worker.ID] = roleChange{
			role: backend.Role(changing.Role), ready: now.Add(time.Duration(changing.ReadyMs) * time.Millisecond), until: until,
		}
	}
}

// maxTime returns the later of two moments.
func maxTime(one, other time.Time) time.Time {
	if one.After(other) {
		return one
	}
	return other
}

// Returned returns the engines that recorded themselves again since the last call.
func (d *Dispatcher) Returned() []absence.Return {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	returned := d.known.returned
	d.known.returned = nil
	return returned
}

// noteRefused notes that a worker has ended, if an error shows it.
func (d *Dispatcher) noteRefused(worker *backend.Worker, err error) {
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
	Revived <-chan struct{}
}

// orderTime is how long the order that brings a lost role back is waited for: a word to the gateway that gives orders, its own look at
// the engines that ended, and the step of its controller.
const orderTime = 500 * time.Millisecond

// LossOf tells whether no engine of a group can write answers, although engines were recorded.
func (d *Dispatcher) LossOf(group *routing.Group) (Loss, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.lossOf(group.Name, group.Engine)
}

// Losses returns the groups in which no engine can write answers.
func (d *Dispatcher) Losses() map[string]Loss {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	losses := map[string]Loss{}
	for name, engine := range d.engines {
		if loss, lost := d.lossOf(name, engine); lost {
			losses[name] = loss
		}
	}
	return losses
}

// lossOf is LossOf with the mutex held.
func (d *Dispatcher) lossOf(group string, engine *routing.Engine) (Loss, bool) {
	if engine == nil || !d.known.wrote[group] {
		return Loss{}, false
	}
	now := d.now()
	if found, known := d.known.losses[group]; known && now.Sub(found.at) < foundTime {
		return found.loss, true
	}
	loss := Loss{Revived: d.known.revived}
	var changed, returns time.Time
	for worker := range d.balancer.OfGroup(group) {
		absent, _ := d.known.absent.Absent(now, worker.ID)
		change, changes := d.known.changes[worker.ID]
		switch {
		case worker.Draining:
		case worker.Role == backend.RoleDecode && absent:
			loss.Lost++
			loss.Since = maxTime(loss.Since, d.known.absent.Since(worker.ID))
			at, _ := d.known.absent.BackAt(worker.ID)
			returns = earliest(returns, at)
		case worker.Role == backend.RoleDecode && !changes:
			return Loss{}, false
		case absent:
		case changes && change.role == backend.RoleDecode:
			loss.Changing++
			changed = earliest(changed, change.ready)
		case worker.Role == backend.RolePrefill:
			loss.Readers++
		}
	}
	if loss.Lost+loss.Changing+loss.Readers == 0 {
		return Loss{}, false
	}
	loss.Back = d.backAt(now, &loss, engine, changed, returns)
	d.known.losses[group] = foundLoss{at: now, loss: loss}
	return loss, true
}

// backAt returns when an engine is expected to write again: when a change that is under way is done, or else an order that is due, or else
// when an engine that ended is back. What is late is taken to be late by as much again.
func (d *Dispatcher) backAt(now time.Time, loss *Loss, engine *routing.Engine, changed, returns time.Time) time.Time {
	ordered := loss.Since.Add(orderTime)
	if changed.IsZero() && loss.Readers > 1 && !loss.Since.IsZero() && now.Before(ordered) {
		changed = ordered.Add(engine.RoleChange)
	}
	back := earliest(changed, returns)
	switch {
	case back.IsZero():
		return now.Add(orderTime + engine.RoleChange)
	case now.After(back):
		return now.Add(min(max(now.Sub(back), AskEngineEvery), engine.RoleChange+orderTime))
	default:
		return back
	}
}

// AskEngineEvery is how often an engine is asked that should have changed its role or ended: the least time in which something can be
// expected of one that is late.
const AskEngineEvery = 100 * time.Millisecond

// earliest returns the earlier of two moments; a zero one does not count.
func earliest(one, other time.Time) time.Time {
	if one.IsZero() || (!other.IsZero() && other.Before(one)) {
		return other
	}
	return one
}
