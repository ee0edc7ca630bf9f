package dispatch

import (
	"slices"
	"time"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/decision"
)

// untouched tells whether nothing of a request was submitted or claimed here, and nothing ran elsewhere.
func (c *Core) untouched(entry *request) bool {
	return !entry.submitted && entry.instance == 0 && entry.length() == 0
}

// reroute passes a waiting request to another owner. Only a request of which nothing was submitted or claimed here may go.
func (c *Core) reroute(now time.Time, entry *request, effects *core.Effects) bool {
	entry.queuedAt = now
	if c.settings.Reroute == nil || !c.untouched(entry) {
		return false
	}
	message := &granitebayv1.Generate{
		Work:            entry.work,
		Attempt:         entry.attempt,
		RemainingMillis: entry.deadline.Sub(now).Milliseconds(),
		AgentName:       entry.agentName,
		AgentAddress:    entry.agentAddress,
		Hops:            entry.hops,
		PassedBy:        append(slices.Clone(entry.passedBy), c.settings.Self),
		MaySwitchEngine: entry.repeatable(),
		DeadlineNamed:   true,
	}
	if !c.settings.Reroute(now, message, effects) {
		return false
	}
	effects.Decide(decision.Record{
		Kind:           decision.KindRoute,
		Subject:        entry.id(),
		Outcome:        "another owner",
		Reason:         "The engines of this router have had no room for the request; another owner has.",
		ConfigRevision: c.configRevision(),
	})
	c.queue.remove(entry)
	c.close(now, entry)
	return true
}
