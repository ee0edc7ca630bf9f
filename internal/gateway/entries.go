package gateway

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/boottime"
	"github.com/granitebay/granitebay/internal/changefeed"
	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/logging"
	"github.com/granitebay/granitebay/internal/member"
	"github.com/granitebay/granitebay/internal/peersync"
	"github.com/granitebay/granitebay/internal/rendezvous"
	"github.com/granitebay/granitebay/internal/retrybudget"
)

// entryState is the most recent view of the entries, the gateways that receive the requests of callers.
type entryState struct {
	mu sync.Mutex
	// current holds the entries, and suspects the serving gateways that have sent no heartbeat for a while. servingCount
	// counts all serving gateways.
	current, suspects []member.Gateway
	// previous are the entries before the last change.
	previous     []member.Gateway
	servingCount int
	// leader is the name of the leader, and peers are the addresses that this gateway sends its updates to.
	leader string
	peers  []string
	// isEntry is set while this gateway is an entry, and roleSince is when that last changed.
	isEntry   bool
	roleSince time.Time
	// lastEntryTime is how long this gateway was an entry before it last became a standby gateway.
	lastEntryTime time.Duration
	// retryGatewayCount is the number by which the retry allowance was last divided.
	retryGatewayCount int
	// advertised caches the gateways advertised to callers; a zero advertisedAt invalidates it.
	advertised   []member.Gateway
	advertisedAt time.Time
}

// advertisedTTL is how long the advertised gateways are cached, as they are read often. It is short compared with the
// silence after which a gateway is suspected.
const advertisedTTL = 50 * time.Millisecond

// Timing of watchEntries.
const (
	// entryCheckInterval is how often an entry checks the other gateways; it is short compared with the silence after
	// which a gateway is suspected. A standby gateway is notified of changes and checks standbyIntervalFactor times less
	// often.
	entryCheckInterval    = 200 * time.Millisecond
	standbyIntervalFactor = 5
	// stallThreshold is the delay of a check from which on the process is considered to have been stalled.
	stallThreshold = 400 * time.Millisecond
	// minLoggedSuspension is the shortest suspension that is logged. Shorter ones may result from reading two clocks in
	// sequence.
	minLoggedSuspension = 50 * time.Millisecond
	// shortLeaseDelay is how long a gateway is an entry before it changes to a short lease, and longLeaseDelay how long it
	// is a standby before it changes to a long one. The delays avoid changes, of two store calls each, while gateways
	// switch between both several times as a fleet starts.
	shortLeaseDelay = time.Second
	longLeaseDelay  = 5 * time.Second
)

// watchEntries periodically determines which gateways are entries, until ctx is done. At each check it also logs a suspension
// of the machine, restarts the heartbeat timeouts if this process was stalled, and adapts the lease of this gateway to
// whether it is an entry.
func (g *Gateway) watchEntries(ctx context.Context) {
	lastCheck := boottime.Now()
	suspensions := boottime.NewSuspendDetector()
	for {
		interval := entryCheckInterval
		if !g.isEntry() {
			interval *= standbyIntervalFactor
		}
		g.beat(interval)
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		now := boottime.Now()
		if suspended := suspensions.Suspended(); suspended > minLoggedSuspension {
			logging.Component(g.logger, "gateway").WithField("for_ms", suspended.Milliseconds()).Warn("The machine was suspended.")
			g.streams.restartHistory()
		}
		if now.Sub(lastCheck) > interval+stallThreshold {
			g.view.Resumed()
		}
		lastCheck = now
		g.GatewaysChanged()
		g.adaptLease(now)
	}
}

// beat records that this process runs, and that it will record that again after an interval.
func (g *Gateway) beat(interval time.Duration) {
	now := time.Now()
	g.heartbeat.Beat(now, now.Add(interval))
}

// isEntry reports whether this gateway is an entry.
func (g *Gateway) isEntry() bool {
	g.entries.mu.Lock()
	defer g.entries.mu.Unlock()
	return g.entries.isEntry
}

// entryTime returns how long this gateway has been an entry, or how long it last was.
func (g *Gateway) entryTime() time.Duration {
	g.entries.mu.Lock()
	defer g.entries.mu.Unlock()
	if !g.entries.isEntry {
		return g.entries.lastEntryTime
	}
	return boottime.Now().Sub(g.entries.roleSince)
}

// Entries returns the entries, sorted by name, including those not known to be alive. Callers are sent only to the
// gateways that advertised returns.
func (g *Gateway) Entries() []member.Gateway {
	g.entries.mu.Lock()
	defer g.entries.mu.Unlock()
	return g.entries.current
}

// entryNames returns the names of the entries.
func (g *Gateway) entryNames() []string { return gatewayNames(g.Entries()) }

// advertised returns the gateways advertised to callers: the entries that are known to be alive.
func (g *Gateway) advertised() []member.Gateway {
	g.entries.mu.Lock()
	defer g.entries.mu.Unlock()
	if now := boottime.Now(); now.Sub(g.entries.advertisedAt) >= advertisedTTL {
		g.entries.advertised, g.entries.advertisedAt = g.view.AdvertisedGateways(), now
	}
	return g.entries.advertised
}

// feedEntries returns the names of all entries and of the live ones, to be sent along with the change feed.
func (g *Gateway) feedEntries() (all, live []string) {
	return g.entryNames(), gatewayNames(g.advertised())
}

// applyFeedEntries applies the entries that another gateway sent along with its change feed.
func (g *Gateway) applyFeedEntries(names, live []string) {
	g.view.EntriesReported(names, live)
	if !slices.Equal(names, g.entryNames()) {
		g.GatewaysChanged()
	}
}

// ownsKey reports whether this gateway is responsible for probing the engine whose worker id is key. Gateways with the same
// list of live entries agree without communicating.
func (g *Gateway) ownsKey(key string) bool {
	return rendezvous.First(key, gatewayNames(g.advertised())) == g.settings.Name
}

// lister returns the name of the entry that reads the complete list of the store for all entries, and whether it is this
// gateway.
func (g *Gateway) lister() (string, bool) {
	name := rendezvous.First(listerElectionKey, gatewayNames(g.advertised()))
	return name, name == g.settings.Name
}

// listerElectionKey is hashed to choose the lister.
const listerElectionKey = "lister"

// gatewayNames returns the names of the given gateways.
func gatewayNames(gateways []member.Gateway) []string {
	return lo.Map(gateways, func(gateway member.Gateway, _ int) string { return gateway.Name })
}

// GatewaysChanged implements cluster.Listener. It determines the entries, suspects and receivers of updates, and passes
// changed ones on to the components that depend on them.
func (g *Gateway) GatewaysChanged() {
	g.entries.mu.Lock()
	defer g.entries.mu.Unlock()
	g.entries.advertisedAt = time.Time{}
	registered := g.view.RegisteredEntries()
	g.dispatcher.SetHolders(gatewayNames(registered))
	g.feedFollower.SetRegistered(upstreamsOf(registered))
	entries, suspects := g.view.Entries()
	serving := g.view.ServingCount()
	// Claimants are gateways that recently sent heartbeats as entries while this gateway does not consider them entries.
	claimants := g.view.Claimants()
	receivers := receiversOf(g.settings.Name, entries, slices.Concat(suspects, claimants), g.findServing(g.entries.leader))
	if slices.Equal(entries, g.entries.current) && slices.Equal(suspects, g.entries.suspects) && serving == g.entries.servingCount &&
		slices.Equal(receivers.Peers, g.entries.peers) {
		return
	}
	entriesChanged := !slices.Equal(entries, g.entries.current)
	if entriesChanged {
		g.entries.previous = g.entries.current
	}
	g.entries.current, g.entries.suspects, g.entries.servingCount, g.entries.peers = entries, suspects, serving, receivers.Peers
	g.updateEntryRole(!receivers.Standby, len(entries), serving)
	// All serving gateways count as readers, since standby gateways watch the store, too, while no entry answers them.
	g.replica.SetReaderCount(serving)
	g.replica.SetStandby(receivers.Standby)
	if entriesChanged {
		g.replica.NotifyWaiters()
	}
	if entriesChanged && g.dependencies.CloseUnusableConnections != nil {
		// It asks for the entries, whose mutex is held here.
		go g.dependencies.CloseUnusableConnections()
	}
	g.feedFollower.SetUpstreams(upstreamsOf(entries))
	g.setRetryGatewayCount(receivers.Standby, len(entries), len(suspects)+len(claimants), serving)
	g.barSyncer.guard.SetGateways(len(receivers.Peers) + 1)
	g.loadExchange.SetReceivers(receivers)
}

// upstreamsOf returns gateways as upstreams of the change feed.
func upstreamsOf(gateways []member.Gateway) []changefeed.Upstream {
	return lo.Map(gateways, func(gateway member.Gateway, _ int) changefeed.Upstream {
		return changefeed.Upstream{Name: gateway.Name, Zone: gateway.Zone, Address: gateway.ControlAddress}
	})
}

// setLeader records the name of the leader and reports whether it has changed.
func (g *Gateway) setLeader(name string) bool {
	g.entries.mu.Lock()
	defer g.entries.mu.Unlock()
	changed := name != g.entries.leader
	g.entries.leader = name
	return changed
}

// findServing returns the serving gateway with the given name as a slice, or nil.
func (g *Gateway) findServing(name string) []member.Gateway {
	if gateway, serves := g.view.Find(name); serves {
		return []member.Gateway{gateway}
	}
	return nil
}

// updateEntryRole records and logs whether this gateway is an entry. A gateway that becomes one also starts to learn the
// cached prompt segments. The mutex of entries must be held.
func (g *Gateway) updateEntryRole(isEntry bool, entries, serving int) {
	if isEntry == g.entries.isEntry && !g.entries.roleSince.IsZero() {
		return
	}
	now := boottime.Now()
	if g.entries.isEntry {
		g.entries.lastEntryTime = now.Sub(g.entries.roleSince)
	}
	g.entries.isEntry, g.entries.roleSince = isEntry, now
	outcome := "stands by"
	if isEntry {
		outcome = "takes requests"
		// A standby gateway knows a part of the workers.
		g.streams.restartHistory()
		g.triggerLearning()
	}
	logging.Component(g.logger, "member").WithFields(logrus.Fields{"entries": entries, "gateways": serving}).
		Infof("This gateway %s.", outcome)
	g.recordDecision(decision.Record{
		Kind: decision.KindEntry, Subject: g.settings.Name, Outcome: outcome,
		Reason: fmt.Sprintf("Callers are sent to %d of %d gateways, so that each of these knows the load of all others.", entries, serving),
	})
}

// setRetryGatewayCount divides the retry allowance and logs a changed divisor. Entries also count uncertain gateways,
// which may still accept requests and spend retries. A gateway that stops keeps its share for what it finishes: its registration is no longer
// confirmed, so the share ends before the others divide by fewer. The mutex of entries must be held.
func (g *Gateway) setRetryGatewayCount(standby bool, entries, uncertain, serving int) {
	if g.leaving.Load() {
		return
	}
	gatewayCount := retrybudget.EffectiveGatewayCount(standby, entries, serving)
	if !standby {
		gatewayCount = retrybudget.EffectiveGatewayCount(standby, min(entries+uncertain, serving), serving)
	}
	g.dispatcher.SetGatewayCount(gatewayCount)
	if gatewayCount == g.entries.retryGatewayCount {
		return
	}
	logging.Component(g.logger, "budget").WithFields(logrus.Fields{
		"divided_by": gatewayCount, "before": g.entries.retryGatewayCount, "stands_by": standby, "entries": entries, "in_doubt": uncertain, "gateways": serving,
	}).Info("The share of the allowance of repeats has changed.")
	g.entries.retryGatewayCount = gatewayCount
}

// logBudgetExhausted logs that a group has no retries left.
func (g *Gateway) logBudgetExhausted(group string, view retrybudget.View) {
	logging.Component(g.logger, "budget").WithFields(logrus.Fields{
		"group": group, "granted": view.Granted, "denied": view.Denied, "share": view.Share,
	}).Warn("The budget of repeats is used up.")
}

// adaptLease uses a short lease while this gateway is an entry, so that its loss is noticed quickly, and a long one
// otherwise.
func (g *Gateway) adaptLease(now time.Time) {
	g.entries.mu.Lock()
	isEntry, roleAge := g.entries.isEntry, now.Sub(g.entries.roleSince)
	g.entries.mu.Unlock()
	switch {
	case isEntry && roleAge >= shortLeaseDelay:
		g.registration.SetEntry(true)
	case !isEntry && roleAge >= longLeaseDelay:
		g.registration.SetEntry(false)
	}
}

// handleLease passes a lease, renewed by a call that began at start, to the controller. A long lease of a standby gateway
// is not used for the controller key: after a failure, the next leader would wait too long for it to expire.
func (g *Gateway) handleLease(start time.Time, lease int64, ttl time.Duration) {
	g.view.StoreAnswered()
	g.replica.RecordStoreResponse()
	if ttl > g.settings.LeaseTTL {
		lease = 0
	}
	g.controller.LeaseRenewed(start, lease, ttl)
}

// receiversOf returns the receivers of a gateway's updates: the entries, the uncertain gateways and the leader. Uncertain
// gateways are suspects, which otherwise would not learn that their heartbeats arrive again, and gateways that consider
// themselves entries while this one does not, which otherwise would not learn of the other entries.
func receiversOf(ownName string, entries, uncertain, leader []member.Gateway) peersync.Receivers {
	isEntry := slices.ContainsFunc(entries, func(entry member.Gateway) bool { return entry.Name == ownName })
	gateways := lo.UniqBy(slices.Concat(entries, uncertain, leader), func(gateway member.Gateway) string { return gateway.Name })
	return peersync.Receivers{Peers: peerAddresses(ownName, gateways), Standby: !isEntry}
}

// peerAddresses returns the peer addresses of the gateways other than ownName.
func peerAddresses(ownName string, gateways []member.Gateway) []string {
	var peers []string
	for _, gateway := range gateways {
		if gateway.Name != ownName {
			peers = append(peers, gateway.PeerAddress)
		}
	}
	return peers
}
