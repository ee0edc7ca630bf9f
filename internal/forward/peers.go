package forward

import (
	"sort"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/balance"
	"github.com/granitebay/granitebay/internal/peersync"
)

// peerExchange collects updates for the other gateways and holds the state received from them. It is guarded by the mutex of the
// dispatcher.
type peerExchange struct {
	board *peersync.Board
	// changedLoads are the workers whose load has changed since the last update.
	changedLoads map[string]bool
	// cachedPrefixes are segments that engines have cached or are about to cache.
	cachedPrefixes []peersync.CachedSegment
	// roleChanges are the role changes that this gateway has ordered.
	roleChanges map[string]roleChange
	// ejected are the workers whose ejection is to be sent to the other gateways.
	ejected []string
	// refused are engines that refused a connection, recovered those that respond again, and newRoles those that reported a new role.
	refused, recovered []string
	newRoles           []peersync.RoleReport
	// engineReports are the reports of engines to send to the other gateways.
	engineReports []timedReport
	// notify signals that there is something to send; nil if nothing is sent.
	notify func(urgent bool)
}

// maxPendingNotices bounds each list of pending updates.
const maxPendingNotices = 256

// newPeerExchange returns an exchange that sends nothing.
func newPeerExchange() *peerExchange {
	return &peerExchange{board: peersync.NewBoard(), changedLoads: map[string]bool{}, roleChanges: map[string]roleChange{}}
}

// peerLoad implements balance.RemoteLoad.
func (p *peerExchange) peerLoad(worker string) backend.Load { return p.board.Load(worker) }

// loadChanged records that this gateway's load at a worker has changed.
func (p *peerExchange) loadChanged(worker string, urgent bool) {
	if p.notify == nil {
		return
	}
	p.changedLoads[worker] = true
	p.notify(urgent)
}

// prefixCached records that a worker has cached a segment, or is about to.
func (p *peerExchange) prefixCached(cached peersync.CachedSegment) {
	if p.notify == nil || len(p.cachedPrefixes) >= maxPendingNotices {
		return
	}
	p.cachedPrefixes = append(p.cachedPrefixes, cached)
	p.notify(true)
}

// isVisibleToPeers reports whether other gateways would see a failure, too: workers that do not respond and engines whose responses fail.
func isVisibleToPeers(worker *backend.Worker, outcome balance.Outcome) bool {
	return outcome == balance.OutcomeUnreachable || outcome == balance.OutcomeTimeout ||
		(outcome == balance.OutcomeMalformed && worker.Role != backend.RoleNone)
}

// sendEjection sends the ejection of a worker to the other gateways.
func (p *peerExchange) sendEjection(worker string) {
	if p.notify == nil || len(p.ejected) >= maxPendingNotices {
		return
	}
	p.ejected = append(p.ejected, worker)
	p.notify(true)
}

// Fault is what made requests to a worker fail.
type Fault int

// The faults.
const (
	// FaultUnknown is sent to no other gateway: what one gateway sees alone may be its own fault.
	FaultUnknown Fault = iota
	FaultWorker
	// FaultPath means that this gateway alone does not reach the worker.
	FaultPath
)

// JudgeFailures sets a function that finds out what made requests to a worker fail, and then calls judged, on another goroutine. It must be
// called before the first request.
func (d *Dispatcher) JudgeFailures(judge func(worker *backend.Worker, judged func(Fault))) {
	d.judgeFailure = judge
}

// workerEjected records that this gateway has ejected a worker. The others learn of it once the worker is known to be at fault; a worker to
// which only the path is lost is readmitted. The mutex is held.
func (d *Dispatcher) workerEjected(worker *backend.Worker, outcome balance.Outcome) {
	if d.judgeFailure == nil || outcome == balance.OutcomeError {
		// An error response shows that the path works.
		d.ejectionJudged(worker, outcome, FaultWorker)
		return
	}
	d.judgeFailure(worker, func(fault Fault) {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		d.ejectionJudged(worker, outcome, fault)
	})
}

// ejectionJudged records what made requests to an ejected worker fail. The mutex is held.
func (d *Dispatcher) ejectionJudged(worker *backend.Worker, outcome balance.Outcome, fault Fault) {
	if fault == FaultPath {
		d.balancer.Readmit(worker.ID)
		return
	}
	if fault == FaultWorker && isVisibleToPeers(worker, outcome) {
		d.peers.sendEjection(worker.ID)
	}
	if outcome == balance.OutcomeTimeout {
		d.migration.Risk().Ended(d.now(), worker.ID)
	}
}

// NotifyUpdates makes the dispatcher collect updates for other gateways. The callback must not block.
func (d *Dispatcher) NotifyUpdates(notify func(urgent bool)) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.peers.notify = notify
}

// TakeUpdate returns the update for the other gateways: the changes since the last call. If full is set, it contains the load of all loaded
// workers and the prefill demand as well.
func (d *Dispatcher) TakeUpdate(full bool) peersync.Message {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.warmup.Expire(d.now())
	message := peersync.Message{
		CachedSegments: d.peers.cachedPrefixes, Failed: d.peers.ejected, RoleChanges: d.pendingRoleChanges(), RoleReports: d.peers.newRoles,
		Refused: d.peers.refused, Recovered: d.peers.recovered,
	}
	for _, worker := range d.loadsToSend(full) {
		message.Loads = append(message.Loads, peersync.NewLoad(worker, d.balancer.Load(worker)))
	}
	if full {
		message.Offered = d.demandToSend()
	}
	d.peers.cachedPrefixes, d.peers.ejected, d.peers.newRoles, d.peers.refused, d.peers.recovered = nil, nil, nil, nil, nil
	clear(d.peers.changedLoads)
	return message
}

// pendingRoleChanges returns the unfinished role changes that this gateway has ordered. The mutex is held.
func (d *Dispatcher) pendingRoleChanges() []peersync.RoleChange {
	var pending []peersync.RoleChange
	now := d.now()
	for id, change := range d.peers.roleChanges {
		worker, found := d.balancer.Worker(id)
		if !found || worker.Role == change.role || !now.Before(change.expiresAt) {
			delete(d.peers.roleChanges, id)
			continue
		}
		pending = append(pending, peersync.RoleChange{
			Worker: id, Role: string(change.role), ForMs: change.expiresAt.Sub(now).Milliseconds(),
			ReadyMs: max(change.readyAt.Sub(now).Milliseconds(), 0),
		})
	}
	return pending
}

// PeerUtilization returns the utilization of the other gateways by name.
func (d *Dispatcher) PeerUtilization() map[string]float64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.peers.board.Utilization(d.now())
}

// loadsToSend returns the sorted ids of all loaded workers if full is set, otherwise of those whose load has changed. The mutex is held.
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

// ApplyUpdate applies an update of another gateway.
func (d *Dispatcher) ApplyUpdate(message *peersync.Message) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.peers.board.Apply(d.now(), message) {
		return
	}
	for _, cached := range message.CachedSegments {
		if worker, found := d.balancer.Worker(cached.Worker); found {
			d.addCached(worker, cached)
		}
	}
	d.applyPeerEngines(message)
	for _, worker := range message.Failed {
		d.balancer.RemoteEjection(d.now(), worker)
	}
}
