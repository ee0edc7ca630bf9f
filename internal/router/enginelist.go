package router

import (
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/ownership"
	"github.com/granitebay/granitebay/internal/platform"
)

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
