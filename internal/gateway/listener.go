package gateway

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/boottime"
	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/logging"
	"github.com/granitebay/granitebay/internal/retrybudget"
	"github.com/granitebay/granitebay/internal/roles"
	"github.com/granitebay/granitebay/internal/routing"
	"github.com/granitebay/granitebay/internal/store"
)

// ConfigurationChanged is part of cluster.Listener.
func (g *Gateway) ConfigurationChanged(changed *routing.Configuration) {
	g.handler.SetTable(routing.NewTable(changed, g.handler.Table()))
	g.controller.SetGroups(changed.Groups)
	g.callers.SetTimeouts(changed.Limits.IdleTimeout, changed.Limits.HeaderTimeout)
	logging.Part(g.logger, "gateway").WithFields(logrus.Fields{
		"version": changed.Version, "revision": changed.Revision,
		"idle_ms": changed.Limits.IdleTimeout.Milliseconds(), "header_ms": changed.Limits.HeaderTimeout.Milliseconds(),
	}).Info("Configuration in force.")
	if duplicates := changed.Tenants.Doubled(); duplicates > 0 {
		logging.Part(g.logger, "gateway").WithField("keys", duplicates).Warn("Keys are given to two tenants. They belong to the first.")
	}
	g.recordDecision(decision.Record{
		Kind: decision.KindConfiguration, Subject: "configuration", Outcome: fmt.Sprintf("version %d", changed.Version),
		Reason: fmt.Sprintf("The store holds version %d of the routes and revision %d of the rules by labels.", changed.Version, changed.Revision),
	})
	g.workersMu.Lock()
	defer g.workersMu.Unlock()
	g.configuration = changed
	g.selectWorkers()
}

// WorkersChanged is part of cluster.Listener.
func (g *Gateway) WorkersChanged(changes backend.Changes) {
	g.workersMu.Lock()
	defer g.workersMu.Unlock()
	g.updateAddresses(changes)
	changes.Apply(g.workers)
	g.dispatcher.ChangeWorkers(g.configuration.SelectChanges(changes))
	g.markWorkersKnown()
	g.barSyncer.guard.ChangeWorkers(changes)
	logging.Part(g.logger, "gateway").WithField("workers", len(g.workers)).Debug("Workers changed.")
}

// countAddresses takes workers that are to be changed, and closes the connections to addresses at which none is left. The mutex of the
// workers is held.
func (g *Gateway) updateAddresses(changes backend.Changes) {
	release := func(id string) {
		previous := g.workers[id]
		if previous == nil {
			return
		}
		if g.workersAtAddress[previous.Address]--; g.workersAtAddress[previous.Address] == 0 {
			delete(g.workersAtAddress, previous.Address)
		}
	}
	for _, worker := range changes.Put {
		release(worker.ID)
		g.workersAtAddress[worker.Address]++
	}
	for _, id := range changes.Gone {
		release(id)
		if previous := g.workers[id]; previous != nil && g.workersAtAddress[previous.Address] == 0 {
			g.ports.ForgetAddress(previous.Address)
		}
	}
}

// selectWorkers puts all workers into their groups. The mutex of the workers is held.
func (g *Gateway) selectWorkers() {
	g.dispatcher.SetWorkers(g.configuration.Select(g.workers))
	g.markWorkersKnown()
}

// noteWorkersKnown notes that there are workers in groups. The mutex of the workers is held.
func (g *Gateway) markWorkersKnown() {
	if g.configuration != nil && len(g.workers) > 0 {
		g.workersKnownOnce.Do(func() { close(g.workersKnown) })
	}
}

// Reload takes settings that were read anew. Addresses and names stay as they were at the start.
func (g *Gateway) Reload(settings Settings) {
	g.gracePeriod.Store(int64(settings.Grace))
	g.addressTTL.Store(int64(min(settings.AddressTTL, settings.MaxAddressTTL)))
	g.dispatcher.SetBudget(budgetSettings(settings))
	g.replica.SetFreshFor(retrybudget.FreshFor(settings.RetryWindow))
	logging.Part(g.logger, "gateway").Info("Settings in force.")
}

// outageMemory is how long after an outage missing records of workers are put down to it.
const outageMemory = 1500 * time.Millisecond

// lostTime is how long a worker is used whose record the store has lost with an older copy. It writes its record again with one of its next
// heartbeats, some of which may be lost; one that has ended meanwhile is found by its connections.
const lostRecordTimeout = 5 * time.Second

// fadeShare is the part of the time to drain for which a worker without a record stays in use after an outage.
const fadeRatio = 0.6

// rosterOf returns the settings of the list of workers.
func rosterSettings(settings Settings) backend.RosterSettings {
	return backend.RosterSettings{
		FadeTime:     time.Duration(fadeRatio * float64(settings.DrainTime)),
		OutageMemory: outageMemory,
		LostTime:     lostRecordTimeout,
	}
}

// budgetOf returns the share of the repeats that a gateway spends.
func budgetSettings(settings Settings) retrybudget.Settings {
	return retrybudget.Settings{
		Ratio: settings.RetryRatio, Allowance: settings.RetryAllowance, Window: settings.RetryWindow, Safety: retrybudget.DefaultSafety,
	}
}

// ControllerChanged is part of cluster.Listener.
func (g *Gateway) ControllerChanged(value []byte, revision store.Revision) {
	rank := 0
	for i, gateway := range g.Entries() {
		if gateway.Name == g.settings.Name {
			rank = i
		}
	}
	g.controller.KeyChanged(boottime.Now(), value, revision, rank)
	if g.setLeader(roles.HolderOf(value)) {
		g.GatewaysChanged()
	}
}

// Confirmed is part of cluster.Listener. The entries were told of every change by then. The word of a first start may be that of settings
// that were kept since, so that the store has to agree.
func (g *Gateway) Confirmed(at time.Time, fleetIsNew bool) {
	if g.settings.FirstStart && fleetIsNew {
		g.dispatcher.BeginFirst(at)
		return
	}
	g.dispatcher.ConfirmShare(at)
}

// Registered is part of cluster.Listener. What the store holds from now on confirms it, and is asked for at once.
func (g *Gateway) Registered() { g.replica.Hasten() }

// Unregistered is part of cluster.Listener.
func (g *Gateway) Unregistered() { g.registration.Again() }
