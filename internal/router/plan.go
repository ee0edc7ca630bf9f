package router

import (
	"fmt"
	"time"

	"github.com/samber/lo"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/configuration"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/placement"
	"github.com/granitebay/granitebay/internal/rendezvous"
	"github.com/granitebay/granitebay/internal/rolecontrol"
	"github.com/granitebay/granitebay/internal/roleplan"
)

// planMark is the latest plan that was taken for a group.
type planMark struct {
	planner     string
	incarnation uint64
	sequence    uint64
}

// tickPlan plans the roles of the groups for which this router is the planner. Two routers may both believe that they
// are: that costs changes at worst, because every change is ordered under the authority over its engine.
func (c *Core) tickPlan(now time.Time, effects *core.Effects) {
	if now.Before(c.nextPlan) {
		return
	}
	c.nextPlan = now.Add(c.settings.PlanInterval)
	c.applyTargets(now, effects)
	snapshot := c.configuration.Snapshot()
	if snapshot == nil || c.stopping {
		return
	}
	for _, group := range snapshot.Groups() {
		if c.plansFor(group.Name) && group.RolePolicy.MaximumChanging > 0 {
			c.planGroup(now, group, effects)
		}
	}
}

// plansFor tells whether this router is the planner of a group: the first by rendezvous hash of those that hear of all
// demand.
func (c *Core) plansFor(group string) bool {
	return rendezvous.First("plan/"+group, c.spread.Planners()) == c.settings.Self.GetName()
}

// planGroup plans each model of a group, and sends what is to change.
func (c *Core) planGroup(now time.Time, group configuration.Group, effects *core.Effects) {
	for _, served := range group.Models {
		engines := c.planEngines(now, group.Name, served.Model)
		demand := c.groupDemand(now, group.Name, served.Model)
		if len(engines) == 0 || len(demand.Classes) == 0 {
			continue
		}
		plan := roleplan.MakePlan(now, demand, engines, rolePolicy(group.RolePolicy), c.capacity, c.settings.RolePlan)
		if len(plan.Changes) > 0 {
			c.announce(now, group, plan, effects)
		}
	}
}

// rolePolicy is the policy of a group as the planner takes it.
func rolePolicy(policy configuration.RolePolicy) roleplan.Policy {
	return roleplan.Policy{
		AllowedRoles: policy.AllowedRoles,
		Floors:       policy.Floors,
		ChangeCost:   policy.ChangeCost,
		MinDwell:     policy.MinimumDwell.Std(),
		MaxChanging:  policy.MaximumChanging,
	}
}

// planEngines lists the engines of a group that serve a model.
func (c *Core) planEngines(now time.Time, group, model string) []roleplan.Engine {
	unready := c.owners.UnreadyEngines(now)
	var engines []roleplan.Engine
	for _, name := range c.engineNames {
		record, ok := c.roles.Record(name)
		if !ok || record.GetModel() != model || c.groupOf(name) != group {
			continue
		}
		view := c.engineView(name)
		engines = append(engines, roleplan.Engine{
			Name:      name,
			Role:      view.Configuration.Role,
			Changing:  view.Draining || unready[name],
			Target:    c.changeTarget(name, view.Configuration.Role, view.Draining),
			ChangedAt: c.changedAt[name],
			Unusable:  view.Leaving,
		})
	}
	return engines
}

// changeTarget is the role that a changing engine will have.
func (c *Core) changeTarget(name string, role engine.Role, draining bool) engine.Role {
	if !draining {
		return role
	}
	if wanted := c.roles.EngineState(name).Wanted; wanted != nil {
		return wanted.Role
	}
	return otherRole(role)
}

// otherRole is the role that a draining engine changes to.
func otherRole(role engine.Role) engine.Role {
	if role == engine.RolePrefill {
		return engine.RoleDecode
	}
	return engine.RolePrefill
}

// groupDemand sums up what the owners report for a group and model.
func (c *Core) groupDemand(now time.Time, group, model string) roleplan.Demand {
	classes := make(map[string]*roleplan.ClassDemand)
	var names []string
	for _, digest := range c.owners.Digests(now) {
		for _, reported := range digest.GetDemand() {
			if reported.GetGroup() != group || reported.GetModel() != model {
				continue
			}
			class := classes[reported.GetName()]
			if class == nil {
				class = &roleplan.ClassDemand{Name: reported.GetName(), Worth: 1}
				classes[reported.GetName()] = class
				names = append(names, reported.GetName())
			}
			addDemand(class, reported)
		}
	}
	return roleplan.Demand{Classes: lo.Map(names, func(name string, _ int) roleplan.ClassDemand { return *classes[name] })}
}

// addDemand adds what one owner reports of a class.
func addDemand(class *roleplan.ClassDemand, reported *granitebayv1.DemandClass) {
	class.Requests.Fast += reported.GetRequestsFast()
	class.Requests.Slow += reported.GetRequestsSlow()
	class.PromptTokens.Fast += reported.GetPromptTokensFast()
	class.PromptTokens.Slow += reported.GetPromptTokensSlow()
	class.OutputTokens.Fast += reported.GetOutputTokensFast()
	class.OutputTokens.Slow += reported.GetOutputTokensSlow()
	class.Deadline = time.Duration(reported.GetDeadlineMillis()) * time.Millisecond
	class.Queued += int(reported.GetQueued())
	class.QueueAge = max(class.QueueAge, time.Duration(reported.GetOldestQueuedMillis())*time.Millisecond)
}

// announce records a plan and tells it to all routers, because any may have authority over the engines.
func (c *Core) announce(now time.Time, group configuration.Group, plan roleplan.Plan, effects *core.Effects) {
	effects.Decide(decision.Record{
		Kind:    decision.KindPlan,
		Subject: group.Name,
		Outcome: fmt.Sprintf("%d prefill, %d decode", plan.Wanted[engine.RolePrefill], plan.Wanted[engine.RoleDecode]),
		Reason:  plan.Reason,
		Inputs: map[string]string{
			"goodput":        fmt.Sprintf("%.2f", plan.Goodput),
			"wanted_goodput": fmt.Sprintf("%.2f", plan.WantedGoodput),
			"utilization":    fmt.Sprintf("%.2f", plan.Utilization),
		},
		ConfigRevision: c.configuration.Revision(),
	})
	c.lastPlan[group.Name] = Plan{Sentence: plan.Reason, MadeAt: now}
	c.planSequence++
	targets := &granitebayv1.RoleTargets{
		Group:    group.Name,
		Sequence: c.planSequence,
		Targets: lo.Map(plan.Changes, func(change roleplan.Change, _ int) *granitebayv1.RoleTarget {
			return &granitebayv1.RoleTarget{Engine: change.Engine, Role: string(change.To), Reason: change.Reason}
		}),
	}
	c.handleTargets(now, c.settings.Self, targets, effects)
	c.broadcast(&granitebayv1.Envelope{Body: &granitebayv1.Envelope_RoleTargets{RoleTargets: targets}}, effects)
}

// handleTargets takes a plan for the engines over which this router has authority.
func (c *Core) handleTargets(now time.Time, from *granitebayv1.Peer, targets *granitebayv1.RoleTargets, effects *core.Effects) {
	mark := c.planSeen[targets.GetGroup()]
	samePlanner := mark.planner == from.GetName() && mark.incarnation == from.GetIncarnation()
	if samePlanner && targets.GetSequence() <= mark.sequence {
		return
	}
	c.planSeen[targets.GetGroup()] = planMark{planner: from.GetName(), incarnation: from.GetIncarnation(), sequence: targets.GetSequence()}
	for _, target := range targets.GetTargets() {
		c.takeTarget(now, targets.GetGroup(), target, effects)
	}
}

// takeTarget starts the change of one engine, unless the configuration no longer allows it.
func (c *Core) takeTarget(now time.Time, group string, target *granitebayv1.RoleTarget, effects *core.Effects) {
	name := target.GetEngine()
	record, ok := c.roles.Record(name)
	epoch, held := c.ownership.Authority(now, name)
	if !ok || !held || epoch == 0 || c.engines[name] == nil || c.groupOf(name) != group {
		return
	}
	policy, ok := c.configuration.Snapshot().Group(group)
	role := engine.Role(target.GetRole())
	if !ok || !policy.RolePolicy.Allows(role) || record.GetRole() == target.GetRole() {
		return
	}
	c.changedAt[name] = now
	c.roles.SetTarget(now, name, rolecontrol.Target{
		Configuration: engine.Configuration{
			Role:         role,
			Model:        record.GetModel(),
			ModelVersion: record.GetModelVersion(),
			Adapters:     record.GetAdapters(),
		},
		Reason: target.GetReason(),
	}, effects)
}

// applyTargets brings engines whose group, after an edit of the operators, wants another model, version or role.
func (c *Core) applyTargets(now time.Time, effects *core.Effects) {
	snapshot := c.configuration.Snapshot()
	if snapshot == nil {
		return
	}
	changing := c.changingByGroup(now)
	for _, name := range c.engineNames {
		record, ok := c.roles.Record(name)
		_, held := c.ownership.Authority(now, name)
		if !ok || !held || record.GetDraining() {
			continue
		}
		group, ok := snapshot.GroupOf(name, c.platformLabels(name))
		if !ok || changing[group.Name] >= max(1, group.RolePolicy.MaximumChanging) {
			continue
		}
		if target, wanted := configuredTarget(group, record); wanted {
			changing[group.Name]++
			c.roles.SetTarget(now, name, target, effects)
		}
	}
}

// changingByGroup counts the engines of each group that are out for a change, as their records and their owners tell.
func (c *Core) changingByGroup(now time.Time) map[string]int {
	unready := c.owners.UnreadyEngines(now)
	changing := make(map[string]int)
	for _, name := range c.engineNames {
		view := c.engineView(name)
		if view.Group != "" && !view.Leaving && (view.Draining || unready[name]) {
			changing[view.Group]++
		}
	}
	return changing
}

// configuredTarget returns what the group wants of an engine if its record differs from it.
func configuredTarget(group configuration.Group, record *granitebayv1.EngineRecord) (rolecontrol.Target, bool) {
	served, serves := group.Serves(record.GetModel())
	if !serves && len(group.Models) > 0 {
		served = group.Models[0]
	}
	role := engine.Role(record.GetRole())
	if !group.RolePolicy.Allows(role) && len(group.RolePolicy.AllowedRoles) > 0 {
		role = group.RolePolicy.AllowedRoles[0]
	}
	wanted := engine.Configuration{Role: role, Model: served.Model, ModelVersion: served.Version, Adapters: served.Adapters}
	same := wanted.Role == engine.Role(record.GetRole()) && wanted.Model == record.GetModel() &&
		wanted.ModelVersion == record.GetModelVersion() && lo.ElementsMatch(wanted.Adapters, record.GetAdapters())
	if same || wanted.Model == "" {
		return rolecontrol.Target{}, false
	}
	return rolecontrol.Target{
		Configuration: wanted,
		Reason:        "The configuration of group " + group.Name + " wants another model, version, adapter or role.",
	}, true
}

// planSpeeds are the speeds of placement as the planner takes them.
func planSpeeds(speeds map[engine.Role]placement.Speed) map[engine.Role]roleplan.Speed {
	return lo.MapValues(speeds, func(speed placement.Speed, _ engine.Role) roleplan.Speed {
		return roleplan.Speed{
			PromptTokensPerSecond: speed.PromptTokensPerSecond,
			StepSeconds:           speed.StepSeconds,
			StepSecondsPerRun:     speed.StepSecondsPerRun,
			Slots:                 speed.Slots,
		}
	})
}
