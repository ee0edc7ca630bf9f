package router

import (
	"time"

	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/decision"
)

// Stop begins a planned stop: authority and requests are handed on, and nothing new is taken.
func (c *Core) Stop(now time.Time, effects *core.Effects) {
	if c.stopping {
		return
	}
	c.stopping = true
	c.stoppedAt = now
	effects.Decide(decision.Record{
		Kind:           decision.KindMembership,
		Subject:        c.settings.Self.GetName(),
		Outcome:        "leaving",
		Reason:         "This router was asked to stop: its requests go on through other routers.",
		ConfigRevision: c.configuration.Revision(),
	})
	c.members.Leave(now, effects)
	c.ownership.Stop(now, effects)
	c.nextDigest = now
	c.tickDigest(now, effects)
	c.dispatch.Stop(now, effects)
	c.settle(now, effects)
}

// Stopped tells whether a planned stop is done: everything was handed on, and the others had time to hear of it.
func (c *Core) Stopped(now time.Time) bool {
	return c.stopping && c.dispatch.Active() == 0 && now.Sub(c.stoppedAt) >= c.settings.StopGrace
}
