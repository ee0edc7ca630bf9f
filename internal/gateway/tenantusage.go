package gateway

import (
	"time"

	"github.com/granitebay/granitebay/internal/loadshare"
	"github.com/granitebay/granitebay/internal/logging"
	"github.com/granitebay/granitebay/internal/usage"
)

// usedCounts is what this gateway knows of the usage of tenants. Without windows to report it does nothing.
type tenantUsage struct {
	window   time.Duration
	clock    *usage.Clock
	tally    *usage.Tally
	reporter *usage.Reporter
	// toldAt is when changes were told last. It is used by the loop that tells.
	sentAt time.Time
}

// usedInterval is the least time between two messages that tell changed counts: a killed gateway loses what it has counted since
// the last one, a twentieth of a window of five seconds at the most.
const usageSendInterval = 200 * time.Millisecond

// newUsedCounts returns the counts of a gateway, and makes its handler count.
func newTenantUsage(g *Gateway) *tenantUsage {
	u := &tenantUsage{window: g.settings.UsageWindow, clock: usage.NewClock(usage.ReadClocks())}
	if u.window <= 0 {
		return u
	}
	u.tally = usage.NewTally(g.settings.Name, g.startedAt.UnixNano())
	g.handler.CountUsage(func(tenant string) { u.tally.Add(usage.WindowAt(u.clock.Now(), u.window), tenant) })
	if g.ports.Usage == nil {
		return u
	}
	settings := usage.DefaultSettings()
	settings.Holder, settings.Window, settings.Due = g.settings.Name, u.window, g.settings.UsageDue
	u.reporter = usage.NewReporter(settings, g.ports.Store, g.ports.Usage, u.tally, u.clock.Now, g.controller.Authority,
		logging.Part(g.logger, "usage"), g.recordDecision)
	return u
}

// tell adds to a message what the other gateways are to know: everything, or what has changed. A gateway that stands by may tell
// nothing for long after it.
func (u *tenantUsage) addTo(message *loadshare.Message, full, standsBy bool) {
	if u.tally == nil {
		return
	}
	now := time.Now()
	switch {
	case full:
		message.WallMs = now.UnixMilli()
		message.Used = u.tally.All(now)
		u.sentAt = now
	case standsBy || now.Sub(u.sentAt) >= usageSendInterval:
		message.Used = u.tally.Untold()
		u.sentAt = now
	}
}

// hear takes what another gateway told.
func (u *tenantUsage) merge(message *loadshare.Message) {
	if u.tally == nil {
		return
	}
	if message.WallMs > 0 {
		u.clock.Heard(message.Sender, time.UnixMilli(message.WallMs))
	}
	u.tally.Merge(time.Now(), message.Sender, message.Used)
}

// UsageAgreed is part of cluster.Listener.
func (g *Gateway) UsageAgreed(value []byte) {
	if g.tenantUsage.tally == nil {
		return
	}
	ledger, err := usage.DecodeLedger(value)
	if err != nil {
		logging.Part(g.logger, "usage").WithError(err).Error("The ledger of the usage can't be read.")
		return
	}
	g.tenantUsage.tally.Agreed(ledger.Next)
	if g.tenantUsage.reporter != nil {
		g.tenantUsage.reporter.Heard(ledger)
	}
}
