package router

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/dispatch"
	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/platform"
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

// unlist notes that the list no longer has an engine.
func (c *Core) unlist(now time.Time, name string) {
	c.engines[name].listed = false
	c.engines[name].unlistedAt = now
	c.enginesChanged = true
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

// applyChangedEngines hands the views of the engines whose load reports brought something new to dispatch.
func (c *Core) applyChangedEngines(now time.Time, effects *core.Effects) {
	known := lo.Filter(lo.Uniq(c.changedEngines), func(name string, _ int) bool { return c.engines[name] != nil })
	c.changedEngines = c.changedEngines[:0]
	c.dispatch.UpdateEngines(now, lo.Map(known, func(name string, _ int) dispatch.EngineView { return c.engineView(name) }), effects)
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
