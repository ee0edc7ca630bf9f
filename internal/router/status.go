package router

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/configuration"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/dispatch"
	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/membership"
	"github.com/granitebay/granitebay/internal/platform"
	"github.com/granitebay/granitebay/internal/rolecontrol"
)

// EngineOverview is what this router knows of one engine, for people.
type EngineOverview struct {
	Member platform.Member
	Listed bool
	View   dispatch.EngineView
	// Status is the latest load report; Reported is false before the first.
	Status   engine.Status
	Reported bool
	Control  rolecontrol.EngineState
	// Owner is the router that sends new work to the engine.
	Owner string
	// Labels of the platform and the operators together.
	Labels map[string]string
}

// Engines returns all engines that this router has heard of, by name.
func (c *Core) Engines() []EngineOverview {
	return lo.Map(c.engineNames, func(name string, _ int) EngineOverview { return c.engineOverview(name) })
}

// engineOverview joins what is known of one engine.
func (c *Core) engineOverview(name string) EngineOverview {
	info := c.engines[name]
	overview := EngineOverview{
		Member:   info.member,
		Listed:   info.listed,
		View:     c.engineView(name),
		Status:   info.status,
		Reported: info.reported,
		Control:  c.roles.EngineState(name),
		Owner:    lo.FirstOrEmpty(c.ownership.DispatchOrder(name)),
		Labels:   c.platformLabels(name),
	}
	if snapshot := c.configuration.Snapshot(); snapshot != nil {
		overview.Labels = snapshot.LabelsOf(name, overview.Labels)
	}
	return overview
}

// Self names this process.
func (c *Core) Self() *granitebayv1.Peer { return c.settings.Self }

// StartedAt is the time at which this process started.
func (c *Core) StartedAt() time.Time { return c.settings.StartedAt }

// Stopping tells whether a planned stop has begun.
func (c *Core) Stopping() bool { return c.stopping }

// Members returns all routers that this one knows of, by name.
func (c *Core) Members() []membership.Member { return c.members.Members() }

// Configuration returns the core that keeps the configuration.
func (c *Core) Configuration() *configuration.Core { return c.configuration }

// RoleCounts returns what happened at the engines over which this router had authority.
func (c *Core) RoleCounts() rolecontrol.Counts { return c.roles.Counts() }

// Load returns the requests at this router by rule.
func (c *Core) Load() map[string]dispatch.RuleLoad { return c.dispatch.Load() }

// Plan is a role plan of a group, for people.
type Plan struct {
	// Sentence is the plan in one plain sentence; empty before the first.
	Sentence string
	// MadeAt is when this router made it.
	MadeAt time.Time
}

// LastPlan returns the latest plan of a group that this router made. Another router may have made a later one.
func (c *Core) LastPlan(group string) Plan { return c.lastPlan[group] }

// AdminAddress returns host:port of the admin API of a router, or an empty string before its first digest.
func (c *Core) AdminAddress(router string) string { return c.owners.AdminAddress(router) }

// KnownRequests returns the label sets of recent requests, each once.
func (c *Core) KnownRequests() []map[string]string { return slices.Clone(c.seen.sets) }

// ConfigurationInForce returns the lowest revision in force at any live router, and the routers that are behind.
func (c *Core) ConfigurationInForce() (lowest uint64, laggards []configuration.Applied) {
	live := lo.Map(c.members.Live(), func(member membership.Member, _ int) string { return member.Name })
	return c.configuration.InForce(live)
}

// Edit proposes an edit of the configuration. The result comes by TakeEditResults.
func (c *Core) Edit(now time.Time, request configuration.EditRequest, effects *core.Effects) {
	c.configuration.Propose(now, request, effects)
	c.settle(now, effects)
}

// TakeEditResults returns the edits that ended since the last call.
func (c *Core) TakeEditResults() []configuration.ProposeResult { return c.configuration.TakeResults() }

// maximumLabelSets bounds the label sets that are remembered.
const maximumLabelSets = 256

// labelSets remembers the label sets of requests, the first ones of each kind.
type labelSets struct {
	known map[string]bool
	sets  []map[string]string
}

// add remembers a label set unless it is known or there are too many.
func (l *labelSets) add(labels map[string]string) {
	if len(l.sets) >= maximumLabelSets {
		return
	}
	keys := lo.Keys(labels)
	slices.Sort(keys)
	name := strings.Join(lo.Map(keys, func(key string, _ int) string { return fmt.Sprintf("%s=%s", key, labels[key]) }), ",")
	if l.known[name] {
		return
	}
	if l.known == nil {
		l.known = make(map[string]bool)
	}
	l.known[name] = true
	l.sets = append(l.sets, labels)
}
