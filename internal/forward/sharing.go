package forward

import (
	"sort"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/balance"
	"github.com/granitebay/granitebay/internal/loadshare"
)

// sharing gathers what other gateways are to be told, and holds what they told. It is guarded by the mutex of the dispatcher.
type sharing struct {
	board *loadshare.Board
	// changed are the workers whose load changed since it was told.
	changed map[string]bool
	kept    []loadshare.Kept
	// changing are the workers that this gateway has ordered to change.
	changing map[string]roleChange
	// failed are the workers that were set aside because they did not answer.
	failed []string
	// refused and answering are engines of which that is to be told, and taken those that have a new role.
	refused, answering []string
	taken              []loadshare.Changed
	// notify tells that there is something to tell. Nil tells nobody.
	notify func(urgent bool)
}

// maxUntoldParts bounds what is gathered while nothing is told.
const maxUntoldParts = 256

// newSharing returns a sharing that tells nobody.
func newSharing() *sharing {
	return &sharing{board: loadshare.NewBoard(), changed: map[string]bool{}, changing: map[string]roleChange{}}
}

// elsewhere is a balance.Elsewhere.
func (s *sharing) elsewhere(worker string) backend.Load { return s.board.Load(worker) }

// loadChanged notes that the own load of a worker has changed.
func (s *sharing) loadChanged(worker string, urgent bool) {
	if s.notify == nil {
		return
	}
	s.changed[worker] = true
	s.notify(urgent)
}

// partKept notes that a worker keeps a part.
func (s *sharing) partKept(kept loadshare.Kept) {
	if s.notify == nil || len(s.kept) >= maxUntoldParts {
		return
	}
	s.kept = append(s.kept, kept)
	s.notify(true)
}

// setAside notes that a worker was set aside. Only what other gateways would see too is told: a worker that does not answer, and an
// engine whose answers fail.
func (s *sharing) setAside(worker *backend.Worker, outcome balance.Outcome) {
	seen := outcome == balance.OutcomeUnreachable || outcome == balance.OutcomeSilent ||
		(outcome == balance.OutcomeBroken && worker.Role != backend.RoleNone)
	if s.notify == nil || !seen || len(s.failed) >= maxUntoldParts {
		return
	}
	s.failed = append(s.failed, worker.ID)
	s.notify(true)
}

// ShareWith makes the dispatcher gather what is to be told to other gateways. Notify must not wait.
func (d *Dispatcher) ShareWith(notify func(urgent bool)) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.sharing.notify = notify
}

// Drain returns what is to be told to other gateways: what has changed since the last call, or everything.
func (d *Dispatcher) Drain(full bool) loadshare.Message {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	message := loadshare.Message{
		Kept: d.sharing.kept, Failed: d.sharing.failed, Changing: d.changing(), Changed: d.sharing.taken,
		Refused: d.sharing.refused, Answering: d.sharing.answering,
	}
	for _, worker := range d.toTell(full) {
		message.Loads = append(message.Loads, loadshare.LoadAt(worker, d.balancer.Load(worker)))
	}
	if full {
		message.Offered = d.toTellOffered()
	}
	d.sharing.kept, d.sharing.failed, d.sharing.taken, d.sharing.refused, d.sharing.answering = nil, nil, nil, nil, nil
	clear(d.sharing.changed)
	return message
}

// changing returns the workers that this gateway has ordered to change, as long as they do.
func (d *Dispatcher) changing() []loadshare.Changing {
	var changing []loadshare.Changing
	now := d.now()
	for id, change := range d.sharing.changing {
		worker, found := d.balancer.Worker(id)
		if !found || worker.Role == change.role || !now.Before(change.until) {
			delete(d.sharing.changing, id)
			continue
		}
		changing = append(changing, loadshare.Changing{
			Worker: id, Role: string(change.role), ForMs: change.until.Sub(now).Milliseconds(),
			ReadyMs: max(change.ready.Sub(now).Milliseconds(), 0),
		})
	}
	return changing
}

// PeersBusy returns what the other gateways use of their limits, by name.
func (d *Dispatcher) PeersBusy() map[string]float64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.sharing.board.Busy(d.now())
}

// toTell returns the workers whose load is to be told, in their order: those at which there is any, or those at which it has changed.
func (d *Dispatcher) toTell(full bool) []string {
	if full {
		return d.balancer.Loaded()
	}
	workers := make([]string, 0, len(d.sharing.changed))
	for worker := range d.sharing.changed {
		workers = append(workers, worker)
	}
	sort.Strings(workers)
	return workers
}

// Hear takes what another gateway told.
func (d *Dispatcher) Hear(message *loadshare.Message) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.sharing.board.Apply(d.now(), message) {
		return
	}
	for _, kept := range message.Kept {
		if worker, found := d.balancer.Worker(kept.Worker); found {
			d.noteKept(worker, kept)
		}
	}
	d.hearEngines(message)
	for _, worker := range message.Failed {
		d.balancer.Hearsay(d.now(), worker)
	}
}
