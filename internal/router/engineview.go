package router

import (
	"time"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/configuration"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/dispatch"
	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/rolecontrol"
)

// applyEngines hands the view of all engines to dispatch.
func (c *Core) applyEngines(now time.Time, effects *core.Effects) {
	views := make([]dispatch.EngineView, 0, len(c.engineNames))
	for _, name := range c.engineNames {
		views = append(views, c.engineView(name))
	}
	c.dispatch.SetEngines(now, views, effects)
}

// engineView joins what is known of an engine.
func (c *Core) engineView(name string) dispatch.EngineView {
	info := c.engines[name]
	view := dispatch.EngineView{
		Name:        name,
		Zone:        info.member.Zone,
		Group:       c.groupOf(name),
		Incarnation: info.incarnation,
		Leaving:     info.member.Leaving || !info.listed || info.toldLeaving,
		Owned:       c.owns(name) && !c.stopping,
		MemoryTotal: info.status.MemoryTotal,
	}
	record, ok := c.roles.Record(name)
	if !ok {
		return view
	}
	view.Generation = record.GetGeneration()
	view.Configuration = engine.Configuration{
		Role:         engine.Role(record.GetRole()),
		Model:        record.GetModel(),
		ModelVersion: record.GetModelVersion(),
		Adapters:     record.GetAdapters(),
	}
	view.Draining = record.GetDraining()
	view.Changing = info.reported && info.status.Changing
	view.Ready = info.reported && !info.status.Changing && info.status.Fence.Generation == record.GetGeneration()
	return view
}

// groupOf returns the name of the group that selects an engine, or an empty string. It is worked out anew only after
// the labels of the engine or the selection of engines by groups changed.
func (c *Core) groupOf(name string) string {
	snapshot := c.configuration.Snapshot()
	if snapshot == nil {
		return ""
	}
	info := c.engines[name]
	if selection := c.engineSelection(); info.groupSelection != selection {
		group, _ := snapshot.GroupOf(name, c.platformLabels(name))
		info.group, info.groupSelection = group.Name, selection
	}
	return info.group
}

// platformLabels returns the labels of an engine from the membership list, with its zone.
func (c *Core) platformLabels(name string) map[string]string {
	member := c.engines[name].member
	return lo.Assign(member.Labels, map[string]string{configuration.LabelZone: member.Zone})
}

// initialTarget gives an engine without a record its first configuration: the first model of its group, in a role such
// that the engines of the group begin evenly split, by name.
func (c *Core) initialTarget(name string) (rolecontrol.Target, bool) {
	snapshot := c.configuration.Snapshot()
	if snapshot == nil || c.engines[name] == nil {
		return rolecontrol.Target{}, false
	}
	group, ok := snapshot.GroupOf(name, c.platformLabels(name))
	if !ok || len(group.Models) == 0 || len(group.RolePolicy.AllowedRoles) == 0 {
		return rolecontrol.Target{}, false
	}
	roles := group.RolePolicy.AllowedRoles
	served := group.Models[0]
	return rolecontrol.Target{
		Configuration: engine.Configuration{
			Role:         roles[c.rankInGroup(name, group.Name)%len(roles)],
			Model:        served.Model,
			ModelVersion: served.Version,
			Adapters:     served.Adapters,
		},
		Reason: "First configuration of an engine of group " + group.Name + ".",
	}, true
}

// rankInGroup counts the engines of a group before this one, by name.
func (c *Core) rankInGroup(name, group string) int {
	return lo.CountBy(c.engineNames, func(other string) bool { return other < name && c.groupOf(other) == group })
}
