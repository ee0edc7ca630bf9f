package router

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/configuration"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/dispatch"
	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/ownership"
	"github.com/granitebay/granitebay/internal/platform"
	"github.com/granitebay/granitebay/internal/rolecontrol"
)

// engineInfo is what this router knows of an engine besides its record.
type engineInfo struct {
	member platform.Member
	// listed is set while the membership list has the engine, unlistedAt when it was dropped.
	listed     bool
	unlistedAt time.Time
	// incarnation is the highest that any event told of.
	incarnation uint64
	// status is the latest load report; reported is set once there is one.
	status   engine.Status
	reported bool
	// toldLeaving is set while another router's list shows this incarnation as leaving.
	toldLeaving bool
	// group selects the engine, as of the selection with the hash groupSelection.
	group          string
	groupSelection uint64
	// newsAt and readAt are when the list was read from which another router, or this one, has it.
	newsAt, readAt time.Time
}

// listPoll is the read of the membership list that is under way.
type listPoll struct {
	ids     *core.RequestIDs
	pending platform.RequestID
	askedAt time.Time
	// done is set once the list was read.
	done bool
}

// listRetryDelay is the pause after a failed read of the membership list.
const listRetryDelay = 500 * time.Millisecond

// tickMembers reads the membership list now and then.
func (c *Core) tickMembers(now time.Time, effects *core.Effects) {
	if now.Before(c.nextMembers) {
		return
	}
	c.nextMembers = now.Add(c.settings.MembersInterval) // put off once the list is there
	if c.list.ids == nil {
		c.list.ids = core.NewRequestIDs(requestOwner)
	}
	c.list.pending = c.list.ids.Next()
	c.list.askedAt = now
	effects.Ask(c.list.pending, platform.ListMembers{})
}

// handleMemberList takes the membership list.
func (c *Core) handleMemberList(now time.Time, response platform.Response, effects *core.Effects) {
	if response.ID != c.list.pending {
		return
	}
	if response.Failure != platform.FailureNone {
		c.nextMembers = core.Earliest(c.nextMembers, now.Add(max(listRetryDelay, response.RetryAfter)))
		return
	}
	routers := lo.Filter(response.Members, func(member platform.Member, _ int) bool { return member.Kind == platform.MemberRouter })
	c.members.HandlePlatformMembers(now, routers, effects)
	news := c.applyList(now, response.Members)
	c.nextMembers = c.list.askedAt.Add(c.spreadOut(c.MembersInterval()))
	if c.list.done && c.MembersInterval() > c.settings.MembersInterval {
		c.tellNews(news, effects)
	}
	c.list.done = true
}

// applyList takes the engines of a list that this router read, and returns what is new of them.
func (c *Core) applyList(now time.Time, members []platform.Member) []*granitebayv1.ListedEngine {
	var news []*granitebayv1.ListedEngine
	listed := make(map[string]bool, len(members))
	zonesChanged := false
	for _, member := range members {
		if member.Kind != platform.MemberEngine {
			continue
		}
		listed[member.Name] = true
		if c.heardLater(member.Name) {
			continue
		}
		changed, zoneChanged := c.noteListed(now, member)
		zonesChanged = zonesChanged || zoneChanged
		if changed {
			news = append(news, listedEngine(member))
		}
		c.engines[member.Name].readAt = c.list.askedAt
	}
	for _, name := range c.engineNames {
		if !listed[name] && c.engines[name].listed && !c.heardLater(name) {
			c.unlist(now, name)
			c.engines[name].readAt = c.list.askedAt
			news = append(news, &granitebayv1.ListedEngine{Name: name, Gone: true})
		}
	}
	if c.forgetEngines(now) || zonesChanged {
		c.applyEngineZones(now)
	}
	return news
}

// unlistedRetention is how long an engine is remembered after the membership list dropped it.
const unlistedRetention = 10 * time.Minute

// forgetEngines drops engines that the list dropped long ago, and tells whether there were any.
func (c *Core) forgetEngines(now time.Time) bool {
	gone := lo.Filter(c.engineNames, func(name string, _ int) bool {
		info := c.engines[name]
		return !info.listed && now.Sub(info.unlistedAt) >= unlistedRetention
	})
	for _, name := range gone {
		delete(c.engines, name)
		delete(c.changedAt, name)
		c.roles.RemoveEngine(name)
	}
	c.engineNames = lo.Without(c.engineNames, gone...)
	c.enginesChanged = c.enginesChanged || len(gone) > 0
	return len(gone) > 0
}

// unlist notes that the list no longer has an engine.
func (c *Core) unlist(now time.Time, name string) {
	c.engines[name].listed = false
	c.engines[name].unlistedAt = now
	c.enginesChanged = true
}

// noteListed takes one engine of the membership list. It tells whether anything changed, and whether the engine is new or
// in another zone than before.
func (c *Core) noteListed(now time.Time, member platform.Member) (changed, zoneChanged bool) {
	info := c.engines[member.Name]
	if info == nil {
		info = &engineInfo{}
		c.engines[member.Name] = info
		at, _ := slices.BinarySearch(c.engineNames, member.Name)
		c.engineNames = slices.Insert(c.engineNames, at, member.Name)
		c.nextProbe = now
		zoneChanged = true
	}
	zoneChanged = zoneChanged || info.member.Zone != member.Zone
	if zoneChanged || !maps.Equal(info.member.Labels, member.Labels) {
		info.groupSelection = 0
		changed = true
	}
	if !info.listed || info.member.Leaving != member.Leaving || info.member.Address != member.Address || info.incarnation < member.Incarnation {
		changed = true
	}
	c.enginesChanged = c.enginesChanged || changed
	info.listed = true
	info.member = member
	info.incarnation = max(info.incarnation, member.Incarnation)
	c.roles.SetKnownEngine(now, member.Name, member.Zone, member.Incarnation)
	return changed, zoneChanged
}

// applyEngineZones hands the engines to ownership, and the authority over them to role control.
func (c *Core) applyEngineZones(now time.Time) {
	engines := lo.Map(c.engineNames, func(name string, _ int) ownership.Engine {
		return ownership.Engine{Name: name, Zone: c.engines[name].member.Zone}
	})
	c.ownership.SetEngines(now, engines)
	for _, name := range c.engineNames {
		epoch, held := c.ownership.Authority(now, name)
		c.roles.SetAuthority(now, name, epoch, held)
	}
}

// EngineAddress returns the host:port of an engine, or an empty string.
func (c *Core) EngineAddress(name string) string {
	if info := c.engines[name]; info != nil {
		return info.member.Address
	}
	return ""
}

// noteEngine takes what an event tells of an engine.
func (c *Core) noteEngine(_ time.Time, event engine.Event) {
	info := c.engines[event.EngineName()]
	if info == nil {
		return
	}
	switch event := event.(type) {
	case engine.Status:
		c.noteStatus(info, event)
	case engine.Tokens:
		c.noteIncarnation(info, event.Incarnation)
	case engine.Refused:
		c.noteIncarnation(info, event.Incarnation)
	case engine.OrderResult:
		c.noteIncarnation(info, event.Incarnation)
	case engine.Cancelled:
		c.noteIncarnation(info, event.Incarnation)
	}
}

// noteStatus takes a load report unless it is older than the one that is known.
func (c *Core) noteStatus(info *engineInfo, status engine.Status) {
	c.noteIncarnation(info, status.Incarnation)
	if status.Incarnation < info.incarnation || (info.reported && !status.AsOf.After(info.status.AsOf)) {
		return
	}
	changed := !info.reported || info.status.Fence.Generation != status.Fence.Generation || info.status.Changing != status.Changing
	info.status = status
	info.reported = true
	if changed {
		c.changedEngines = append(c.changedEngines, status.Engine)
	}
}

// noteIncarnation forgets the report of an engine that restarted.
func (c *Core) noteIncarnation(info *engineInfo, incarnation uint64) {
	if incarnation <= info.incarnation {
		return
	}
	info.incarnation = incarnation
	info.reported = info.reported && info.status.Incarnation >= incarnation
	c.enginesChanged = true
}

// noteLeaving takes what other routers' lists show, because this router may be cut off from the platform.
func (c *Core) noteLeaving(now time.Time) {
	leaving := c.owners.LeavingEngines(now)
	for _, name := range c.engineNames {
		info := c.engines[name]
		incarnation, told := leaving[name]
		told = told && incarnation >= info.incarnation
		if told != info.toldLeaving {
			info.toldLeaving = told
			c.enginesChanged = true
		}
	}
}

// routineProbes bounds the engines in order that a router of a large fleet probes in one ProbeInterval; they take turns.
const routineProbes = 8

// tickProbes asks the engines that this router owns for their load reports, and once each engine that it may own.
func (c *Core) tickProbes(now time.Time, effects *core.Effects) {
	if now.Before(c.nextProbe) {
		return
	}
	c.nextProbe = now.Add(c.settings.ProbeInterval)
	var routine []string
	for _, name := range c.engineNames {
		info := c.engines[name]
		switch {
		case !info.listed:
		case c.owns(name) && c.inOrder(name):
			routine = append(routine, name)
		case c.owns(name) || !info.reported && c.mayOwn(name):
			effects.Command(engine.Probe{Engine: name})
		}
	}
	for _, name := range c.takeTurns(routine) {
		effects.Command(engine.Probe{Engine: name})
	}
}

// inOrder tells whether the latest report of an engine agrees with its record.
func (c *Core) inOrder(name string) bool {
	info := c.engines[name]
	record, ok := c.roles.Record(name)
	return ok && info.reported && !info.status.Changing && !record.GetDraining() && info.status.Fence.Generation == record.GetGeneration()
}

// takeTurns returns the engines whose turn it is to be probed, from sorted names. In a small fleet it is that of all.
func (c *Core) takeTurns(names []string) []string {
	if !c.largeFleet() || len(names) <= routineProbes {
		return names
	}
	at, found := slices.BinarySearch(names, c.probedLast)
	if found {
		at++
	}
	turn := lo.Times(routineProbes, func(i int) string { return names[(at+i)%len(names)] })
	c.probedLast = turn[len(turn)-1]
	return turn
}

// owns tells whether this router is the one that sends new work to an engine.
func (c *Core) owns(name string) bool {
	order := c.ownership.DispatchOrder(name)
	return len(order) > 0 && order[0] == c.settings.Self.GetName()
}

// mayOwn tells whether this router may come to own an engine, so that it should know the engine before. In a small fleet
// every router gets to know every engine.
func (c *Core) mayOwn(name string) bool {
	return !c.largeFleet() || slices.Contains(c.ownership.DispatchOrder(name), c.settings.Self.GetName())
}

// applyEngines hands the view of all engines to dispatch.
func (c *Core) applyEngines(now time.Time, effects *core.Effects) {
	views := make([]dispatch.EngineView, 0, len(c.engineNames))
	for _, name := range c.engineNames {
		views = append(views, c.engineView(name))
	}
	c.dispatch.SetEngines(now, views, effects)
}

// applyChangedEngines hands the views of the engines whose load reports brought something new to dispatch.
func (c *Core) applyChangedEngines(now time.Time, effects *core.Effects) {
	known := lo.Filter(lo.Uniq(c.changedEngines), func(name string, _ int) bool { return c.engines[name] != nil })
	c.changedEngines = c.changedEngines[:0]
	c.dispatch.UpdateEngines(now, lo.Map(known, func(name string, _ int) dispatch.EngineView { return c.engineView(name) }), effects)
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

// engineSelection returns a hash of what decides which group selects which engine: the selectors of the groups and the
// labels of the operators. Zero before the first configuration.
func (c *Core) engineSelection() uint64 {
	snapshot := c.configuration.Snapshot()
	if snapshot == nil || snapshot.Revision() == c.selectionRevision {
		return c.selection
	}
	c.selectionRevision = snapshot.Revision()
	var digest xxhash.Digest
	digest.Reset()
	for _, group := range snapshot.Groups() {
		_, _ = fmt.Fprintf(&digest, "%q %q\n", group.Name, group.EngineSelector)
	}
	// Maps are printed in order of their keys.
	_, _ = fmt.Fprintf(&digest, "%q", snapshot.Document().EngineLabels)
	c.selection = digest.Sum64() | 1
	return c.selection
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
