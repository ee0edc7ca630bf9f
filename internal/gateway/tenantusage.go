package gateway

import (
	"time"

	"github.com/granitebay/granitebay/internal/logging"
	"github.com/granitebay/granitebay/internal/peersync"
	"github.com/granitebay/granitebay/internal/usage"
)

// tenantUsage counts the usage of tenants. It does nothing if Settings.UsageWindow is zero, and only counts if
// Dependencies.Usage is nil.
type tenantUsage struct {
	window   time.Duration
	clock    *usage.Clock
	tally    *usage.Tally
	reporter *usage.Reporter
	// sentAt is when changes were last sent. Only the sending goroutine accesses it.
	sentAt time.Time
}

// usageSendInterval is the minimum time between two messages with changed counts. A killed gateway loses the counts
// since its last message.
const usageSendInterval = 200 * time.Millisecond

// newTenantUsage returns the usage of a gateway and hooks it into the request handler.
func newTenantUsage(g *Gateway) *tenantUsage {
	u := &tenantUsage{window: g.settings.UsageWindow, clock: usage.NewClock(usage.ReadClocks())}
	if u.window <= 0 {
		return u
	}
	u.tally = usage.NewTally(g.settings.Name, g.startedAt.UnixNano())
	g.handler.OnTenantStart(func(tenant string) { u.tally.Add(usage.WindowAt(u.clock.Now(), u.window), tenant) })
	if g.dependencies.Usage == nil {
		return u
	}
	settings := usage.DefaultSettings()
	settings.Holder, settings.Window, settings.LateAfter = g.settings.Name, u.window, g.settings.UsageDue
	u.reporter = usage.NewReporter(settings, g.dependencies.Store, g.dependencies.Usage, u.tally, u.clock.Now, g.controller.Authority,
		logging.Component(g.logger, "usage"), g.recordDecision)
	return u
}

// addTo adds usage counts to a message: the own counts and those of silent gateways if full is set, else the own counts
// that changed. A standby gateway may not send again for a long time, so its changes are added immediately.
func (u *tenantUsage) addTo(message *peersync.Message, full, standby bool) {
	if u.tally == nil {
		return
	}
	now := time.Now()
	switch {
	case full:
		message.WallMs = now.UnixMilli()
		message.Used = u.tally.TakeAll(now)
		u.sentAt = now
	case standby || now.Sub(u.sentAt) >= usageSendInterval:
		message.Used = u.tally.TakeUnsent()
		u.sentAt = now
	}
}

// merge applies the clock reading and the counts of another gateway.
func (u *tenantUsage) merge(message *peersync.Message) {
	if u.tally == nil {
		return
	}
	if message.WallMs > 0 {
		u.clock.ObservePeer(message.Sender, time.UnixMilli(message.WallMs))
	}
	u.tally.Merge(time.Now(), message.Sender, message.Used)
}

// UsageLedgerChanged implements cluster.Listener.
func (g *Gateway) UsageLedgerChanged(value []byte) {
	if g.tenantUsage.tally == nil {
		return
	}
	ledger, err := usage.DecodeLedger(value)
	if err != nil {
		logging.Component(g.logger, "usage").WithError(err).Error("Cannot decode the usage ledger.")
		return
	}
	g.tenantUsage.tally.Finalized(ledger.Next)
	if g.tenantUsage.reporter != nil {
		g.tenantUsage.reporter.ObserveLedger(ledger)
	}
}
