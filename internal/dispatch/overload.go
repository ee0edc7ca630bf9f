package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/engine"
)

// refusal is why a request is given up before it runs.
type refusal struct {
	reason string
	// wait is the time after which it is worth asking again.
	wait time.Duration
	// elsewhere is set if another router may take the request now. Without it the outcome is final at once.
	elsewhere bool
}

// overload returns why a request should be given up at once, or nil.
func (c *Core) overload(now time.Time, entry *request) *refusal {
	wait := c.expectedWait(entry)
	policy := entry.policy
	tenant := entry.work.GetTenant()
	if c.queue.length() >= c.settings.MaxQueued {
		return &refusal{fmt.Sprintf("The queue of this router is full: %d requests wait.", c.queue.length()), wait, true}
	}
	if policy.MaxQueued > 0 && c.queue.lengthOfRule(policy.Rule) >= policy.MaxQueued {
		return &refusal{fmt.Sprintf("The queue of rule %s is full: %d requests wait.", policy.Rule, policy.MaxQueued), wait, true}
	}
	if policy.MaxInFlight > 0 && c.inFlight(tenant, policy.Rule) > policy.MaxInFlight {
		return &refusal{fmt.Sprintf("Tenant %s has its limit of %d requests under rule %s.", tenant, policy.MaxInFlight, policy.Rule), wait, false}
	}
	if untilTokens, ok := c.limits.take(now, entry); !ok {
		return &refusal{fmt.Sprintf("Tenant %s has used its %g tokens a second under rule %s.", tenant, policy.TokensPerSecond, policy.Rule), untilTokens, false}
	}
	return c.noTime(now, entry, wait)
}

// noTime returns a refusal if a request cannot be answered in time. Without a queue here no other router can do better.
func (c *Core) noTime(now time.Time, entry *request, wait time.Duration) *refusal {
	remaining := entry.deadline.Sub(now)
	service := c.expectedService(entry)
	if wait+service <= remaining {
		return nil
	}
	reason := fmt.Sprintf("The expected wait of %s and the answer of %s do not fit into the %s to the deadline.",
		wait.Round(time.Millisecond), service.Round(time.Millisecond), remaining.Round(time.Millisecond))
	return &refusal{reason, wait, service <= remaining}
}

// allowedSeconds is how long the answer may be expected to take at the engine that was found. While others wait, tenants
// above their fair share leave a part of the slack to them, so that they are given up first when engines become slow.
func (c *Core) allowedSeconds(now time.Time, entry *request) float64 {
	allowed := entry.deadline.Sub(now).Seconds()
	if !c.othersWait(entry) {
		return allowed
	}
	best := min(allowed, c.expectedService(entry).Seconds())
	return best + c.shares.slack(now, entry.work.GetTenant())*(allowed-best)
}

// othersWait tells whether a request of another tenant is in the queue.
func (c *Core) othersWait(entry *request) bool {
	return slices.ContainsFunc(c.queue.waiting, func(item *queued) bool {
		return item.entry.work.GetTenant() != entry.work.GetTenant()
	})
}

// refuseLate gives up a request whose answer would come too late even at the best engine.
func (c *Core) refuseLate(now time.Time, entry *request, seconds float64, effects *core.Effects) {
	reason := fmt.Sprintf("The answer would take %.2f s at the best engine, which leaves too little of the %.2f s to the deadline.", seconds, entry.deadline.Sub(now).Seconds())
	elsewhere := c.expectedService(entry) <= entry.deadline.Sub(now)
	c.refuse(now, entry, &refusal{reason, time.Duration(seconds * float64(time.Second)), elsewhere}, effects)
}

// inFlight counts the requests of a tenant under a rule that have not ended.
func (c *Core) inFlight(tenant, rule string) int {
	count := 0
	for _, entry := range c.order {
		if !entry.ended() && entry.work.GetTenant() == tenant && entry.policy.Rule == rule {
			count++
		}
	}
	return count
}

// expectedWait estimates how long the request will be in the queue: the work before it over the slots that it may use.
func (c *Core) expectedWait(entry *request) time.Duration {
	slots := 0
	for _, name := range c.names {
		state := c.engines[name]
		if c.mayServe(entry, state) {
			slots += c.settings.Placement.Speeds[state.view.Configuration.Role].Slots
		}
	}
	if slots == 0 {
		return 0
	}
	var ahead time.Duration
	for _, item := range c.queue.waiting {
		if item.entry.policy.Priority >= entry.policy.Priority && item.entry != entry {
			ahead += c.expectedService(item.entry)
		}
	}
	return ahead / time.Duration(slots)
}

// expectedService estimates the time from dispatch to the end of the answer at the engine that suits best.
func (c *Core) expectedService(entry *request) time.Duration {
	best := time.Duration(0)
	for _, name := range c.names {
		state := c.engines[name]
		if !c.mayServe(entry, state) {
			continue
		}
		speed := c.settings.Placement.Speeds[state.view.Configuration.Role]
		uncached := max(0, int(entry.work.GetPromptTokens())-c.cachedTokens(entry, name))
		seconds := float64(uncached)/speed.PromptTokensPerSecond + float64(entry.work.GetMaxTokens())*speed.StepSeconds
		service := time.Duration(seconds * float64(time.Second))
		if best == 0 || service < best {
			best = service
		}
	}
	return best
}

// mayServe tells whether an engine can serve a request as far as lasting reasons go.
func (c *Core) mayServe(entry *request, state *engineState) bool {
	view := state.view
	if !view.Owned || view.Leaving || view.Configuration.Role == engine.RoleNone {
		return false
	}
	return view.Configuration.Model == entry.work.GetModel() && contains(entry.policy.Groups, view.Group)
}

// contains tells whether a list of groups allows a group; an empty list allows all.
func contains(groups []string, group string) bool {
	if len(groups) == 0 {
		return true
	}
	for _, each := range groups {
		if each == group {
			return true
		}
	}
	return false
}
