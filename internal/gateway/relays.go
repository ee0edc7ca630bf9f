package gateway

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/forward"
	"github.com/granitebay/granitebay/internal/member"
	"github.com/granitebay/granitebay/internal/relay"
)

// relaySource implements relay.Source.
type relaySource struct{ gateway *Gateway }

// WorkerID implements relay.Source.
func (s relaySource) WorkerID(address string) (string, bool) {
	s.gateway.workersMu.Lock()
	defer s.gateway.workersMu.Unlock()
	id, found := s.gateway.workerAtAddress[address]
	return id, found
}

// WorkerAddress implements relay.Source.
func (s relaySource) WorkerAddress(id string) (string, bool) {
	s.gateway.workersMu.Lock()
	defer s.gateway.workersMu.Unlock()
	worker, found := s.gateway.workers[id]
	if !found {
		return "", false
	}
	return worker.Address, true
}

// WorkerAddresses implements relay.Source.
func (s relaySource) WorkerAddresses() []string {
	s.gateway.workersMu.Lock()
	defer s.gateway.workersMu.Unlock()
	return slices.Collect(maps.Keys(s.gateway.workerAtAddress))
}

// Siblings implements relay.Source.
func (s relaySource) Siblings(address string, count int) []string {
	s.gateway.workersMu.Lock()
	defer s.gateway.workersMu.Unlock()
	worker := s.gateway.workers[s.gateway.workerAtAddress[address]]
	if worker == nil {
		return nil
	}
	var siblings []string
	// The order of a map is random.
	for _, other := range s.gateway.workers {
		if other.Group == worker.Group && other.Address != address {
			siblings = append(siblings, other.Address)
		}
		if len(siblings) >= count {
			break
		}
	}
	return siblings
}

// Relays implements relay.Source. Only entries relay: a standby gateway knows a part of the workers. Besides those known to be alive, the
// registered ones are returned: after a standstill, or beside load, gateways that serve are not heard for a moment.
func (s relaySource) Relays() []relay.Peer {
	live := s.gateway.advertised()
	peers := s.appendPeers(nil, live, false)
	silent := slices.DeleteFunc(s.gateway.view.RegisteredEntries(), func(entry member.Gateway) bool {
		return slices.ContainsFunc(live, func(other member.Gateway) bool { return other.Name == entry.Name })
	})
	return s.appendPeers(peers, silent, true)
}

// appendPeers appends the other gateways among some that serve requests of gateways.
func (s relaySource) appendPeers(peers []relay.Peer, entries []member.Gateway, silent bool) []relay.Peer {
	for _, entry := range entries {
		if entry.Name != s.gateway.settings.Name && entry.ControlAddress != "" {
			peers = append(peers, relay.Peer{Name: entry.Name, Zone: entry.Zone, Address: entry.ControlAddress, Silent: silent})
		}
	}
	return peers
}

// Names of the metrics about relayed connections.
const (
	metricLostPaths = "granitebay_worker_paths_lost"
	metricRelays    = "granitebay_relays_total"
)

// relayEvent counts a relayed connection, or logs that paths to workers are lost or work again.
func (t *linkTracker) relayEvent(event relay.Event) {
	if event.Path == "" {
		t.metrics.countRelay(event)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	fields := logrus.Fields{"workers": event.LostPaths, "known": t.known(), "peer": event.Address}
	switch now := time.Now(); {
	case event.Path == relay.PathLost && now.Sub(t.lastLost) >= linkLogInterval:
		t.lastLost = now
		t.logger.WithFields(fields).WithField("through", event.Peer).
			Warn("The path to a worker is lost; connections go through another gateway that reaches it.")
	case event.Path == relay.PathRestored && event.LostPaths == 0:
		t.logger.WithFields(fields).Info("All workers are reached directly again.")
	}
}

// countRelay counts a relayed connection: of this gateway, or of another one that it serves.
func (m *gatewayMetrics) countRelay(event relay.Event) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`%s{for_others="%t",outcome=%q}`, metricRelays, event.Served, event.Outcome)).Inc()
}

// relayedConnections returns the number of connections that this gateway relays for others.
func (g *Gateway) relayedConnections() int64 {
	if g.relays == nil {
		return 0
	}
	return g.relays.Active()
}

// lostPaths returns the number of workers that this gateway reaches only through others.
func (g *Gateway) lostPaths() int {
	if g.dependencies.Relay == nil {
		return 0
	}
	return g.dependencies.Relay.LostPaths()
}

// reachesEngines reports whether this gateway reaches at least half of the engines directly. Orders are not relayed, because engines take each
// machine that orders for a holder of its own.
func (g *Gateway) reachesEngines() bool {
	if g.lostPaths() == 0 {
		return true
	}
	engines, lost := 0, 0
	g.workersMu.Lock()
	defer g.workersMu.Unlock()
	for _, worker := range g.workers {
		if worker.Role == backend.RoleNone {
			continue
		}
		engines++
		if g.dependencies.Relay.IsLost(worker.Address) {
			lost++
		}
	}
	return 2*lost <= engines
}

// judgeFailure finds out in the background whether a worker or the path to it made requests fail.
func (g *Gateway) judgeFailure(worker *backend.Worker, judged func(forward.Fault)) {
	go func() {
		switch g.dependencies.Relay.Judge(worker.Address) {
		case relay.VerdictWorker:
			judged(forward.FaultWorker)
		case relay.VerdictPath:
			judged(forward.FaultPath)
		case relay.VerdictUnknown:
			judged(forward.FaultUnknown)
		}
	}()
}
