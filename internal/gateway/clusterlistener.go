package gateway

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/boottime"
	"github.com/granitebay/granitebay/internal/callers"
	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/logging"
	"github.com/granitebay/granitebay/internal/retrybudget"
	"github.com/granitebay/granitebay/internal/roles"
	"github.com/granitebay/granitebay/internal/routing"
	"github.com/granitebay/granitebay/internal/store"
)

// largestRequest returns the most that one request within the limits can hold, with what a protocol makes of its body.
func largestRequest(limits routing.Limits) int {
	return callers.MaxHeaderCost(limits.MaxHeaderBytes) + 2*int(limits.MaxBodyBytes+1)
}

// ConfigurationChanged implements cluster.Listener.
func (g *Gateway) ConfigurationChanged(changed *routing.Configuration) {
	// Before the table: a header that exceeds the limit before is not rejected by the new configuration.
	g.callers.SetMaxHeaderBytes(changed.Limits.MaxHeaderBytes)
	g.intake.SetLargest(largestRequest(changed.Limits))
	g.handler.SetTable(routing.NewTable(changed, g.handler.Table()))
	g.controller.SetGroups(changed.Groups)
	g.callers.SetTimeouts(changed.Limits.IdleTimeout, changed.Limits.HeaderTimeout)
	logging.Component(g.logger, "gateway").WithFields(logrus.Fields{
		"version": changed.Version, "revision": changed.Revision,
		"idle_ms": changed.Limits.IdleTimeout.Milliseconds(), "header_ms": changed.Limits.HeaderTimeout.Milliseconds(),
	}).Info("Configuration in force.")
	if duplicates := changed.Tenants.DuplicateKeys(); duplicates > 0 {
		logging.Component(g.logger, "gateway").WithField("keys", duplicates).Warn("Some API keys are assigned to two tenants; the first tenant keeps them.")
	}
	g.recordDecision(decision.Record{
		Kind: decision.KindConfiguration, Subject: "configuration", Outcome: fmt.Sprintf("version %d", changed.Version),
		Reason: fmt.Sprintf("Applied version %d of the routes and revision %d of the label rules.", changed.Version, changed.Revision),
	})
	g.workersMu.Lock()
	defer g.workersMu.Unlock()
	g.configuration = changed
	g.selectWorkers()
}

// WorkersChanged implements cluster.Listener.
func (g *Gateway) WorkersChanged(changes backend.Changes) {
	g.workersMu.Lock()
	defer g.workersMu.Unlock()
	g.updateAddresses(changes)
	g.streams.workersChanged(g.workers, changes)
	changes.Apply(g.workers)
	g.dispatcher.ChangeWorkers(g.configuration.SelectChanges(changes))
	g.markWorkersKnown()
	g.barSyncer.guard.UpdateWorkers(changes)
	logging.Component(g.logger, "gateway").WithField("workers", len(g.workers)).Debug("Workers changed.")
}

// updateAddresses updates the number of workers at each address, and closes idle connections to addresses that have none
// left. It must be called before the changes are applied to workers, with workersMu held.
func (g *Gateway) updateAddresses(changes backend.Changes) {
	release := func(id string) {
		previous := g.workers[id]
		if previous == nil {
			return
		}
		if g.workersAtAddress[previous.Address]--; g.workersAtAddress[previous.Address] == 0 {
			delete(g.workersAtAddress, previous.Address)
			delete(g.workerAtAddress, previous.Address)
		}
	}
	for _, worker := range changes.Updated {
		release(worker.ID)
		g.workersAtAddress[worker.Address]++
		g.workerAtAddress[worker.Address] = worker.ID
	}
	for _, id := range changes.Removed {
		release(id)
		if previous := g.workers[id]; previous != nil && g.workersAtAddress[previous.Address] == 0 {
			g.dependencies.CloseIdleConnections(previous.Address)
		}
	}
}

// selectWorkers assigns all workers to groups. workersMu must be held.
func (g *Gateway) selectWorkers() {
	g.dispatcher.SetWorkers(g.configuration.Select(g.workers))
	g.markWorkersKnown()
}

// markWorkersKnown closes workersKnown once workers are assigned to groups. workersMu must be held.
func (g *Gateway) markWorkersKnown() {
	if g.configuration != nil && len(g.workers) > 0 {
		g.workersKnownOnce.Do(func() { close(g.workersKnown) })
	}
}

// Reload applies changes of Grace, the address TTLs and the retry settings. All other settings keep their values.
func (g *Gateway) Reload(settings Settings) {
	g.gracePeriod.Store(int64(settings.Grace))
	g.addressTTL.Store(int64(min(settings.AddressTTL, settings.MaxAddressTTL)))
	g.dispatcher.SetBudget(budgetSettings(settings))
	g.replica.SetMaxStaleness(maxStaleness(g.settings, settings.RetryWindow))
	logging.Component(g.logger, "gateway").Info("Settings in force.")
}

// outageWindow is how long after a store outage missing worker records are attributed to it.
const outageWindow = 1500 * time.Millisecond

// restoreGrace is how long a worker stays in use after a restore of the store lost its record. Live workers register
// again with one of their next heartbeats, some of which may be lost; a worker that has terminated is detected by its
// connections.
const restoreGrace = 5 * time.Second

// outageGraceRatio is the fraction of the drain time for which a worker without a record stays in use after a store
// outage.
const outageGraceRatio = 0.6

// rosterSettings derives the settings of the worker roster.
func rosterSettings(settings Settings) backend.RosterSettings {
	return backend.RosterSettings{
		OutageGrace:  time.Duration(outageGraceRatio * float64(settings.DrainTime)),
		OutageWindow: outageWindow,
		RestoreGrace: restoreGrace,
	}
}

// budgetSettings derives the settings of the retry budgets.
func budgetSettings(settings Settings) retrybudget.Settings {
	return retrybudget.Settings{
		Ratio: settings.RetryRatio, Allowance: settings.RetryAllowance, Window: settings.RetryWindow, Safety: retrybudget.DefaultSafety,
	}
}

// ControllerChanged implements cluster.Listener.
func (g *Gateway) ControllerChanged(key *store.Item) {
	rank := 0
	for i, gateway := range g.Entries() {
		if gateway.Name == g.settings.Name {
			rank = i
		}
	}
	g.controller.KeyChanged(boottime.Now(), key, rank)
	leader := ""
	if key != nil && key.Lease != 0 {
		leader = roles.HolderOf(key.Value)
	}
	if g.setLeader(leader) {
		g.GatewaysChanged()
	}
}

// RegistrationConfirmed implements cluster.Listener. It is called when the store has confirmed the registration of this
// gateway and the set of entries is up to date, and releases this gateway's share of the retry allowance. FirstStart may
// be left over from an earlier deployment, so the store must also indicate a new fleet.
func (g *Gateway) RegistrationConfirmed(at time.Time, fleetIsNew bool) {
	if g.settings.FirstStart && fleetIsNew {
		g.dispatcher.ConfirmFirstStart(at)
		return
	}
	g.dispatcher.ConfirmShare(at)
}

// Registered implements cluster.Listener. It shortens the next watch, so that the registration is confirmed soon.
func (g *Gateway) Registered() { g.replica.ShortenNextWatch() }

// Unregistered implements cluster.Listener.
func (g *Gateway) Unregistered() { g.registration.Rewrite() }
