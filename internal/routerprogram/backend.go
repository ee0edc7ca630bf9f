package routerprogram

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/adminapi"
	"github.com/granitebay/granitebay/internal/command"
	"github.com/granitebay/granitebay/internal/configuration"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/dispatch"
	"github.com/granitebay/granitebay/internal/membership"
	"github.com/granitebay/granitebay/internal/rolecontrol"
	"github.com/granitebay/granitebay/internal/router"
)

// editPollInterval is how often a proposed edit is looked after.
const editPollInterval = 20 * time.Millisecond

// States of an engine, as operators see them.
const (
	stateReady       = "ready"
	stateDraining    = "draining"
	stateChanging    = "changing"
	stateStarting    = "starting"
	stateUnreachable = "unreachable"
	stateLeaving     = "leaving"
	stateSetAside    = "set-aside"
	// stateUnknown is that of an engine whose owner did not answer.
	stateUnknown = "unknown"
)

// reportStaleAfter is the age at which an engine without a new load report counts as unreachable.
const reportStaleAfter = 10 * time.Second

// backend shows the core to the admin API.
type backend struct{ program *Program }

var _ adminapi.Backend = backend{}

// read runs a function that only reads the core.
func read[T any](b backend, get func(now time.Time, c *router.Core) T) T {
	var value T
	b.program.runner.Read(func(now time.Time) { value = get(now, b.program.core) })
	return value
}

// FleetStatus implements adminapi.Backend.
func (b backend) FleetStatus(ctx context.Context) (adminapi.FleetStatus, error) {
	status := read(b, fleetStatus)
	fleet := b.fleet(ctx)
	engines := fleet.joinEngines(read(b, engineStatuses))
	status.EngineStates = lo.CountValuesBy(engines, func(each adminapi.EngineStatus) string { return each.State })
	status.RunningRequests, status.WaitingRequests, status.RoleChanges = 0, 0, 0
	for _, view := range fleet.views {
		requests := lo.Values(view.Requests)
		status.RunningRequests += lo.SumBy(requests, func(count adminapi.RequestCount) int { return count.Running })
		status.WaitingRequests += lo.SumBy(requests, func(count adminapi.RequestCount) int { return count.Waiting })
		status.RoleChanges += view.RoleChanges
	}
	status.Warnings = append(status.Warnings, fleet.warnings()...)
	return status, nil
}

func fleetStatus(now time.Time, c *router.Core) adminapi.FleetStatus {
	lowest, _ := c.ConfigurationInForce()
	loads := lo.Values(c.Load())
	engines := engineStatuses(now, c)
	status := adminapi.FleetStatus{
		Router:                c.Self().GetName(),
		Zone:                  c.Self().GetZone(),
		Incarnation:           c.Self().GetIncarnation(),
		Version:               command.Version(),
		Time:                  now,
		Ready:                 c.Ready(),
		Stopping:              c.Stopping(),
		ConfigRevision:        c.Configuration().Revision(),
		ConfigRevisionInForce: lowest,
		LiveRouters:           lo.CountBy(c.Members(), isAlive),
		Engines:               len(engines),
		EngineStates:          lo.CountValuesBy(engines, func(each adminapi.EngineStatus) string { return each.State }),
		RunningRequests:       lo.SumBy(loads, func(load dispatch.RuleLoad) int { return load.Running }),
		WaitingRequests:       lo.SumBy(loads, func(load dispatch.RuleLoad) int { return load.Waiting }),
		RoleChanges:           c.RoleCounts().Done,
		Warnings:              []string{},
	}
	if snapshot := c.Configuration().Snapshot(); snapshot != nil {
		status.Warnings = append(status.Warnings, configuration.Warnings(snapshot.Document(), knownEngines(now, c))...)
	}
	return status
}

func isAlive(member membership.Member) bool { return member.State == membership.StateAlive }

// Engines implements adminapi.Backend.
func (b backend) Engines(ctx context.Context) ([]adminapi.EngineStatus, error) {
	return b.fleet(ctx).joinEngines(read(b, engineStatuses)), nil
}

func engineStatuses(now time.Time, c *router.Core) []adminapi.EngineStatus {
	return lo.Map(c.Engines(), func(overview router.EngineOverview, _ int) adminapi.EngineStatus {
		return engineStatus(now, c.Self().GetName(), overview)
	})
}

func engineStatus(now time.Time, self string, overview router.EngineOverview) adminapi.EngineStatus {
	view := overview.View
	status := adminapi.EngineStatus{
		Name:            view.Name,
		Zone:            view.Zone,
		Group:           view.Group,
		Owner:           overview.Owner,
		Labels:          overview.Labels,
		State:           engineState(now, self, overview),
		Role:            string(view.Configuration.Role),
		Model:           view.Configuration.Model,
		ModelVersion:    view.Configuration.ModelVersion,
		Adapters:        view.Configuration.Adapters,
		Epoch:           overview.Status.Fence.Epoch,
		Generation:      view.Generation,
		RunningRequests: overview.Status.Running,
		WaitingRequests: overview.Status.Waiting,
		MemoryUsed:      overview.Status.MemoryUsed,
		MemoryTotal:     overview.Status.MemoryTotal,
	}
	if overview.Reported {
		status.ReportAgeMillis = now.Sub(overview.Status.AsOf).Milliseconds()
	}
	return status
}

// engineState names the state of an engine as this router, self, knows it.
func engineState(now time.Time, self string, overview router.EngineOverview) string {
	view := overview.View
	switch {
	case view.Leaving:
		return stateLeaving
	case overview.Control.Phase == rolecontrol.PhaseSetAside:
		return stateSetAside
	case view.Draining:
		return stateDraining
	case view.Changing:
		return stateChanging
	case overview.Reported && now.Sub(overview.Status.AsOf) > reportStaleAfter:
		return lo.Ternary(overview.Owner == "" || overview.Owner == self, stateUnreachable, stateUnknown)
	case !view.Ready:
		return stateStarting
	default:
		return stateReady
	}
}

// Groups implements adminapi.Backend.
func (b backend) Groups(ctx context.Context) ([]adminapi.GroupStatus, error) {
	fleet := b.fleet(ctx)
	engines := fleet.joinEngines(read(b, engineStatuses))
	return read(b, func(_ time.Time, c *router.Core) []adminapi.GroupStatus {
		return groupStatuses(c.Configuration().Snapshot(), engines, fleet)
	}), nil
}

func groupStatuses(snapshot *configuration.Snapshot, engines []adminapi.EngineStatus, fleet fleetView) []adminapi.GroupStatus {
	if snapshot == nil {
		return []adminapi.GroupStatus{}
	}
	return lo.Map(snapshot.Groups(), func(group configuration.Group, _ int) adminapi.GroupStatus {
		plan := fleet.plan(group.Name)
		members := lo.Filter(engines, func(each adminapi.EngineStatus, _ int) bool { return each.Group == group.Name })
		return adminapi.GroupStatus{
			Name:           group.Name,
			EngineSelector: group.EngineSelector,
			Models: lo.Map(group.Models, func(served configuration.GroupModel, _ int) string {
				return served.Model + ":" + served.Version
			}),
			Engines: len(members),
			Roles:   lo.CountValuesBy(members, func(each adminapi.EngineStatus) string { return each.Role }),
			Changing: lo.CountBy(members, func(each adminapi.EngineStatus) bool {
				return each.State == stateDraining || each.State == stateChanging
			}),
			RunningRequests: lo.SumBy(members, func(each adminapi.EngineStatus) int { return each.RunningRequests }),
			WaitingRequests: lo.SumBy(members, func(each adminapi.EngineStatus) int { return each.WaitingRequests }),
			ChangeCost:      group.RolePolicy.ChangeCost,
			Plan:            plan.Sentence,
			PlanMadeAt:      plan.MadeAt,
		}
	})
}

// Rules implements adminapi.Backend.
func (b backend) Rules(ctx context.Context) ([]adminapi.RuleStatus, error) {
	fleet := b.fleet(ctx)
	return read(b, func(_ time.Time, c *router.Core) []adminapi.RuleStatus {
		snapshot := c.Configuration().Snapshot()
		if snapshot == nil {
			return []adminapi.RuleStatus{}
		}
		return lo.Map(snapshot.Rules(), func(rule configuration.Rule, _ int) adminapi.RuleStatus {
			requests := fleet.requests(rule.Name)
			return adminapi.RuleStatus{
				Name:            rule.Name,
				Precedence:      rule.Precedence,
				RequestSelector: rule.RequestSelector,
				Groups:          rule.Groups,
				Priority:        rule.Priority,
				RunningRequests: requests.Running,
				WaitingRequests: requests.Waiting,
			}
		})
	}), nil
}

// Routers implements adminapi.Backend.
func (b backend) Routers(ctx context.Context) ([]adminapi.RouterStatus, error) {
	addresses := lo.SliceToMap(b.others(ctx), func(other otherRouter) (string, string) { return other.name, other.admin })
	return read(b, func(_ time.Time, c *router.Core) []adminapi.RouterStatus {
		owned := lo.CountValuesBy(c.Engines(), func(each router.EngineOverview) string { return each.Owner })
		_, laggards := c.ConfigurationInForce()
		behind := lo.SliceToMap(laggards, func(each configuration.Applied) (string, uint64) { return each.Process, each.Revision })
		return lo.Map(c.Members(), func(member membership.Member, _ int) adminapi.RouterStatus {
			return adminapi.RouterStatus{
				Name:           member.Name,
				Zone:           member.Zone,
				Incarnation:    member.Incarnation,
				Address:        member.Address,
				AdminAddress:   lo.CoalesceOrEmpty(addresses[member.Name], c.AdminAddress(member.Name)),
				State:          string(member.State),
				ConfigRevision: lo.ValueOr(behind, member.Name, c.Configuration().Revision()),
				OwnedEngines:   owned[member.Name],
			}
		})
	}), nil
}

// Configuration implements adminapi.Backend.
func (b backend) Configuration(context.Context) (configuration.Document, error) {
	return read(b, func(_ time.Time, c *router.Core) configuration.Document {
		if snapshot := c.Configuration().Snapshot(); snapshot != nil {
			return snapshot.Document()
		}
		return configuration.Document{}
	}), nil
}

// ConfigStatus implements adminapi.Backend.
func (b backend) ConfigStatus(context.Context) (adminapi.ConfigStatus, error) {
	return read(b, func(_ time.Time, c *router.Core) adminapi.ConfigStatus {
		lowest, laggards := c.ConfigurationInForce()
		revision := c.Configuration().Revision()
		status := adminapi.ConfigStatus{Accepted: revision, InForceHere: revision, InForceEverywhere: lowest, LiveRouters: lo.CountBy(c.Members(), isAlive), Laggards: laggards}
		if snapshot := c.Configuration().Snapshot(); snapshot != nil {
			status.ChangeID = snapshot.Document().ChangeID
		}
		return status
	}), nil
}

// Propose implements adminapi.Backend.
func (b backend) Propose(ctx context.Context, request configuration.EditRequest) (configuration.ProposeResult, error) {
	waiting := b.program.edits.expect(request.ChangeID)
	defer b.program.edits.forget(request.ChangeID, waiting)
	b.program.runner.Do(func(now time.Time, effects *core.Effects) { b.program.core.Edit(now, request, effects) })
	ticker := time.NewTicker(editPollInterval)
	defer ticker.Stop()
	for {
		b.program.takeEditResults()
		select {
		case result := <-waiting:
			return result, nil
		case <-ticker.C:
		case <-ctx.Done():
			return configuration.ProposeResult{}, errors.Wrapf(ctx.Err(), "step propose: router %s: the edit may still be accepted", b.program.options.Settings.Name)
		}
	}
}

// KnownEngines implements adminapi.Backend.
func (b backend) KnownEngines(context.Context) ([]configuration.EngineInfo, error) {
	return read(b, knownEngines), nil
}

func knownEngines(_ time.Time, c *router.Core) []configuration.EngineInfo {
	return lo.Map(c.Engines(), func(overview router.EngineOverview, _ int) configuration.EngineInfo {
		labels := lo.Assign(overview.Member.Labels, map[string]string{configuration.LabelZone: overview.Member.Zone})
		return configuration.EngineInfo{Name: overview.Member.Name, Labels: labels}
	})
}

// KnownRequests implements adminapi.Backend.
func (b backend) KnownRequests(context.Context) ([]map[string]string, error) {
	return read(b, func(_ time.Time, c *router.Core) []map[string]string { return c.KnownRequests() }), nil
}

// Decisions implements adminapi.Backend.
func (b backend) Decisions(since uint64) []decision.Record { return b.program.decisions.Latest(since) }

// FollowDecisions implements adminapi.Backend.
func (b backend) FollowDecisions() (<-chan decision.Record, func()) {
	return b.program.decisions.Follow()
}
