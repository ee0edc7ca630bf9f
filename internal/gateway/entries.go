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
	"github.com/granitebay/granitebay/internal/loadshare"
	"github.com/granitebay/granitebay/internal/logging"
	"github.com/granitebay/granitebay/internal/member"
	"github.com/granitebay/granitebay/internal/rendezvous"
	"github.com/granitebay/granitebay/internal/retrybudget"
)

// entrySet is what this gateway has last taken the entries to be.
type entryState struct {
	mu sync.Mutex
	// current are the entries, suspects those that serve and have fallen silent, and serving counts all.
	current, suspects []member.Gateway
	// before are those that were the entries until the last change of them.
	previous     []member.Gateway
	servingCount int
	// holder gives the orders for all, and told is who this gateway tells what it does.
	leader string
	peers  []string
	// takesRequests is set while this gateway is an entry, and since when that is so or not.
	isEntry   bool
	roleSince time.Time
	// sharers is by how many the allowance of repeats was last divided here.
	retrySharers int
	// named are the gateways that callers are told, as they were at a moment; the zero moment is out of date.
	advertised   []member.Gateway
	advertisedAt time.Time
}

// namedFor is how long the gateways that callers are told are taken to be the same, unless the list changes: a small part of the silence
// after which one is suspected. Hundreds of questions a second ask for them.
const advertisedTTL = 50 * time.Millisecond

// Times of the watch of the entries.
const (
	// entryTick is how often an entry looks at the others: a part of the silence after which a gateway is suspected. A gateway that
	// stands by is told of changes, and looks by itself calmTicks times as rarely.
	entryCheckInterval    = 200 * time.Millisecond
	standbyIntervalFactor = 5
	// standstill is the time between two looks, beyond the tick, from which on this process has stood still.
	stallThreshold = 400 * time.Millisecond
	// leastSleep is the shortest time asleep that is told: the clocks are read one after the other, a turn of the processor apart.
	minLoggedSuspension = 50 * time.Millisecond
	// briefAfter is how long a gateway is an entry before it renews a short lease, and calmAfter how long it stands by before it
	// renews a long one: each change is two calls to the store, and a fleet that starts changes its mind some times.
	shortLeaseDelay = time.Second
	longLeaseDelay  = 5 * time.Second
)

// watchEntries follows who takes requests until the context ends.
func (g *Gateway) watchEntries(ctx context.Context) {
	lastCheck := boottime.Now()
	suspensions := boottime.NewWatch()
	for {
		interval := entryCheckInterval
		if !g.isEntry() {
			interval *= standbyIntervalFactor
		}
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		now := boottime.Now()
		if suspended := suspensions.Slept(); suspended > minLoggedSuspension {
			logging.Part(g.logger, "gateway").WithField("for_ms", suspended.Milliseconds()).Warn("The machine was suspended.")
		}
		if now.Sub(lastCheck) > interval+stallThreshold {
			g.view.Resumed()
		}
		lastCheck = now
		g.GatewaysChanged()
		g.adaptLease(now)
	}
}

// takesRequests tells whether this gateway is an entry.
func (g *Gateway) isEntry() bool {
	g.entries.mu.Lock()
	defer g.entries.mu.Unlock()
	return g.entries.isEntry
}

// Entries returns the gateways to which callers are sent, by name.
func (g *Gateway) Entries() []member.Gateway {
	g.entries.mu.Lock()
	defer g.entries.mu.Unlock()
	return g.entries.current
}

// entryNames returns their names.
func (g *Gateway) entryNames() []string { return gatewayNames(g.Entries()) }

// named returns the gateways that callers are told.
func (g *Gateway) advertised() []member.Gateway {
	g.entries.mu.Lock()
	defer g.entries.mu.Unlock()
	if now := boottime.Now(); now.Sub(g.entries.advertisedAt) >= advertisedTTL {
		g.entries.advertised, g.entries.advertisedAt = g.view.Named(), now
	}
	return g.entries.advertised
}

// entriesToTell returns the names of the entries, and of those among them that are known to live.
func (g *Gateway) feedEntries() (all, live []string) {
	return g.entryNames(), gatewayNames(g.advertised())
}

// entriesTold takes the names of the entries of another gateway, and of those among them that it has heard.
func (g *Gateway) receiveFeedEntries(names, live []string) {
	g.view.Told(names, live)
	if !slices.Equal(names, g.entryNames()) {
		g.GatewaysChanged()
	}
}

// isChosen tells whether this gateway is the one for a key among those that take requests and are known to live. Gateways that know the same
// ones agree without a message.
func (g *Gateway) ownsKey(key string) bool {
	return rendezvous.First(key, gatewayNames(g.advertised())) == g.settings.Name
}

// lister returns which gateway lists the store for all that take requests, and whether it is this one. Those that know the same ones agree.
func (g *Gateway) lister() (string, bool) {
	name := rendezvous.First(listerElectionKey, gatewayNames(g.advertised()))
	return name, name == g.settings.Name
}

// listerKey chooses the gateway that lists the store for all.
const listerElectionKey = "lister"

// namesOf returns the names of gateways.
func gatewayNames(gateways []member.Gateway) []string {
	return lo.Map(gateways, func(gateway member.Gateway, _ int) string { return gateway.Name })
}

// GatewaysChanged is part of cluster.Listener. It tells all parts who takes requests, if that has changed.
func (g *Gateway) GatewaysChanged() {
	g.entries.mu.Lock()
	defer g.entries.mu.Unlock()
	g.entries.advertisedAt = time.Time{}
	g.dispatcher.SetHolders(gatewayNames(g.view.Registered()))
	entries, suspects := g.view.Entries()
	serving := g.view.ServingCount()
	claimants := g.view.Claimants()
	audience := audienceOf(g.settings.Name, entries, slices.Concat(suspects, claimants), g.findServing(g.entries.leader))
	if slices.Equal(entries, g.entries.current) && slices.Equal(suspects, g.entries.suspects) && serving == g.entries.servingCount &&
		slices.Equal(audience.Peers, g.entries.peers) {
		return
	}
	entriesChanged := !slices.Equal(entries, g.entries.current)
	if entriesChanged {
		g.entries.previous = g.entries.current
	}
	g.entries.current, g.entries.suspects, g.entries.servingCount, g.entries.peers = entries, suspects, serving, audience.Peers
	g.updateEntryRole(!audience.StandsBy, len(entries), serving)
	g.replica.SetReaders(serving)
	g.replica.SetCalm(audience.StandsBy)
	if entriesChanged {
		g.replica.Wake()
	}
	g.feedFollower.SetTellers(lo.Map(entries, func(entry member.Gateway, _ int) changefeed.Teller {
		return changefeed.Teller{Name: entry.Name, Zone: entry.Zone, Address: entry.ControlAddress}
	}))
	g.setRetrySharers(audience.StandsBy, len(entries), len(suspects)+len(claimants), serving)
	g.loadExchange.SetAudience(audience)
}

// setHolder notes who gives the orders for all, and tells whether that has changed.
func (g *Gateway) setLeader(name string) bool {
	g.entries.mu.Lock()
	defer g.entries.mu.Unlock()
	changed := name != g.entries.leader
	g.entries.leader = name
	return changed
}

// holderOf returns the gateway of a name among those that serve, or none.
func (g *Gateway) findServing(name string) []member.Gateway {
	if gateway, serves := g.view.Find(name); serves {
		return []member.Gateway{gateway}
	}
	return nil
}

// noteRole notes whether this gateway takes requests.
func (g *Gateway) updateEntryRole(isEntry bool, entries, serving int) {
	if isEntry == g.entries.isEntry && !g.entries.roleSince.IsZero() {
		return
	}
	g.entries.isEntry, g.entries.roleSince = isEntry, boottime.Now()
	outcome := "stands by"
	if isEntry {
		outcome = "takes requests"
		g.triggerLearning()
	}
	logging.Part(g.logger, "member").WithFields(logrus.Fields{"entries": entries, "gateways": serving}).
		Infof("This gateway %s.", outcome)
	g.recordDecision(decision.Record{
		Kind: decision.KindEntry, Subject: g.settings.Name, Outcome: outcome,
		Reason: fmt.Sprintf("Callers are sent to %d of %d gateways, so that each of them knows the work of all others.", entries, serving),
	})
}

// setSharers divides the allowance of repeats, and logs by what when that has changed. Gateways in doubt may take requests and spend as
// entries do, so that entries count them.
func (g *Gateway) setRetrySharers(standby bool, entries, inDoubt, serving int) {
	sharers := retrybudget.Sharers(standby, entries, serving)
	if !standby {
		sharers = retrybudget.Sharers(standby, min(entries+inDoubt, serving), serving)
	}
	g.dispatcher.SetSharers(sharers)
	if sharers == g.entries.retrySharers {
		return
	}
	logging.Part(g.logger, "budget").WithFields(logrus.Fields{
		"divided_by": sharers, "before": g.entries.retrySharers, "stands_by": standby, "entries": entries, "in_doubt": inDoubt, "gateways": serving,
	}).Info("The share of the allowance of repeats has changed.")
	g.entries.retrySharers = sharers
}

// budgetUsedUp logs that no repeat is left for a group.
func (g *Gateway) logBudgetExhausted(group string, view retrybudget.View) {
	logging.Part(g.logger, "budget").WithFields(logrus.Fields{
		"group": group, "granted": view.Granted, "denied": view.Denied, "share": view.Share,
	}).Warn("The budget of repeats is used up.")
}

// adaptLease renews a short lease while this gateway takes requests, because its loss has to be noticed, and a long one otherwise.
func (g *Gateway) adaptLease(now time.Time) {
	g.entries.mu.Lock()
	isEntry, roleAge := g.entries.isEntry, now.Sub(g.entries.roleSince)
	g.entries.mu.Unlock()
	switch {
	case isEntry && roleAge >= shortLeaseDelay:
		g.registration.SetBrief(true)
	case !isEntry && roleAge >= longLeaseDelay:
		g.registration.SetBrief(false)
	}
}

// leased tells the controller of the lease with which it may hold its key: that of a gateway that takes requests. One that stands
// by has a lease so long that nobody could follow it in time.
func (g *Gateway) handleLease(start time.Time, lease int64, ttl time.Duration) {
	g.view.Connected(g.isEntry())
	g.replica.Answered()
	if ttl > g.settings.LeaseTTL {
		lease = 0
	}
	g.controller.Leased(start, lease, ttl)
}

// audienceOf returns whom a gateway tells what it does: the entries, those in doubt, and the one that gives the orders for all, which need
// not be an entry in the eyes of each. In doubt are those that have fallen silent, which else would never hear that they are heard again,
// and those that take requests and are no entries here, which else would never hear that others are.
func audienceOf(ownName string, entries, inDoubt, leader []member.Gateway) loadshare.Audience {
	isEntry := slices.ContainsFunc(entries, func(entry member.Gateway) bool { return entry.Name == ownName })
	recipients := lo.UniqBy(slices.Concat(entries, inDoubt, leader), func(gateway member.Gateway) string { return gateway.Name })
	return loadshare.Audience{Peers: peerAddresses(ownName, recipients), StandsBy: !isEntry}
}

// peersOf returns the addresses of the other gateways.
func peerAddresses(ownName string, gateways []member.Gateway) []string {
	var peers []string
	for _, gateway := range gateways {
		if gateway.Name != ownName {
			peers = append(peers, gateway.PeerAddress)
		}
	}
	return peers
}
