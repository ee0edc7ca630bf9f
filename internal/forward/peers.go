package forward

import (
	"sort"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/balance"
	"github.com/granitebay/granitebay/internal/loadshare"
)

// sharing gathers what other gateways are to be told, and holds what they told. It is guarded by the mutex of the dispatcher.
type peerExchange struct {
	board *loadshare.Board
	// changed are the workers whose load changed since it was told.
	changedLoads   map[string]bool
	cachedPrefixes []loadshare.Kept
	// changing are the workers that this gateway has ordered to change.
	roleChanges map[string]roleChange
	// failed are the workers that were set aside because they did not answer.
	ejected []string
	// refused and answering are engines of which that is to be told, and taken those that have a new role.
	refused, answering []string
	newRoles           []loadshare.Changed
	// notify tells that there is something to tell. Nil tells nobody.
	notify func(urgent bool)
}

// maxUntoldParts bounds what is gathered while nothing is told.
const maxPendingNotices = 256

// newSharing returns a sharing that tells nobody.
func newPeerExchange() *peerExchange {
	return &peerExchange{board: loadshare.NewBoard(), changedLoads: map[string]bool{}, roleChanges: map[string]roleChange{}}
}

// elsewhere is a balance.Elsewhere.
func (s *peerExchange) peerLoad(worker string) backend.Load { return s.board.Load(worker) }

// loadChanged notes that the own load of a worker has changed.
func (s *peerExchange) loadChanged(worker string, urgent bool) {
	if s.notify == nil {
		return
	}
	s.changedLoads[worker] = true
	s.notify(urgent)
}

// partKept notes that a worker keeps a part.
func (s *peerExchange) prefixCached(kept loadshare.Kept) {
	if s.notify == nil || len(s.cachedPrefixes) >= maxPendingNotices {
		return
	}
	s.cachedPrefixes = append(s.cachedPrefixes, kept)
	s.notify(true)
}

// setAside notes that a worker was set aside. Only what other gateways would see too is told: a worker that does not answer, and an
// engine whose answers fail.
func (s *peerExchange) workerEjected(worker *backend.Worker, outcome balance.Outcome) {
	visibleToPeers := outcome == balance.OutcomeUnreachable || outcome == balance.OutcomeSilent ||
		(outcome == balance.OutcomeBroken && worker.Role != backend.RoleNone)
	if s.notify == nil || !visibleToPeers || len(s.ejected) >= maxPendingNotices {
		return
	}
	s.ejected = append(s.ejected, worker.ID)
	s.notify(true)
}

// ShareWith makes the dispatcher gather what is to be told to other gateways. Notify must not wait.
func (d *Dispatcher) ShareWith(notify func(urgent bool)) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.peers.notify = notify
}

// Drain returns what is to be told to other gateways: what has changed since the last call, or everything.
func (d *Dispatcher) Drain(full bool) loadshare.Message {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	message := loadshare.Message{
		Kept: d.peers.cachedPrefixes, Failed: d.peers.ejected, Changing: d.pendingRoleChanges(), Changed: d.peers.newRoles,
		Refused: d.peers.refused, Answering: d.peers.answering,
	}
	for _, worker := range d.loadsToSend(full) {
		message.Loads = append(message.Loads, loadshare.LoadAt(worker, d.balancer.Load(worker)))
	}
	if full {
		message.Offered = d.demandToSend()
	}
	d.peers.cachedPrefixes, d.peers.ejected, d.peers.newRoles, d.peers.refused, d.peers.answering = nil, nil, nil, nil, nil
	clear(d.peers.changedLoads)
	return message
}

// changing returns the workers that this gateway has ordered to change, as long as they do.
func (d *Dispatcher) pendingRoleChanges() []loadshare.Changing {
	var pending []loadshare.Changing
	now := d.now()
	for id, change := range d.peers.roleChanges {
		worker, found := d.balancer.Worker(id)
		if !found || worker.Role == change.role || !now.Before(change.expiresAt) {
			delete(d.peers.roleChanges, id)
			continue
		}
		pending = append(pending, loadshare.Changing{
			Worker: id, Role: string(change.role), ForMs: change.expiresAt.Sub(now).Milliseconds(),
			ReadyMs: max(change.readyAt.Sub(now).Milliseconds(), 0),
		})
	}
	return pending
}

// PeersBusy returns what the other gateways use of their limits, by name.
func (d *Dispatcher) PeersBusy() map[string]float64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.peers.board.Busy(d.now())
}

// toTell returns the workers whose load is to be told, in their order: those at which there is any, or those at which it has changed.
func (d *Dispatcher) loadsToSend(full bool) []string {
	if full {
		return d.balancer.Loaded()
	}
	workers := make([]string, 0, len(d.peers.changedLoads))
	for worker := range d.peers.changedLoads {
		workers = append(workers, worker)
	}
	sort.Strings(workers)
	return workers
}

// Hear takes what another gateway told.
func (d *Dispatcher) Hear(message *loadshare.Message) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.peers.board.Apply(d.now(), message) {
		return
	}
	for _, kept := range message.Kept {
		if worker, found := d.balancer.Worker(kept.Worker); found {
			d.addCached(worker, kept)
		}
	}
	d.applyPeerEngines(message)
	for _, worker := range message.Failed {
		d.balancer.Hearsay(d.now(), worker)
	}
}
