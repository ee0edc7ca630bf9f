package membership

import (
	"time"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/platform"
)

// contact is a router that a seed or the platform names. It becomes a member once it is heard of from a member.
type contact struct {
	name    string
	address string
	seed    bool
	// listed, and the two fields after it, come from the platform's list.
	listed      bool
	incarnation uint64
	leaving     bool
}

// HandlePlatformMembers takes the platform's list, which lags. Unknown routers are contacted. A router that is listed as
// leaving counts as leaving. One that has gone from the list is doubted, but while it answers it lives.
func (c *Core) HandlePlatformMembers(now time.Time, members []platform.Member, effects *core.Effects) {
	c.observe(now)
	defer c.setWake(now)
	listed := make(map[string]platform.Member, len(members))
	for _, member := range members {
		if member.Kind == platform.MemberRouter {
			listed[member.Name] = member
		}
	}
	for _, name := range sorted(lo.Keys(c.contacts)) {
		if _, still := listed[name]; !still && c.contacts[name].listed {
			c.unlist(now, name, effects)
		}
	}
	for _, name := range sorted(lo.Keys(listed)) {
		c.list(listed[name], effects)
	}
	c.table.revision++
}

// list takes one router of the platform's list.
func (c *Core) list(member platform.Member, effects *core.Effects) {
	c.contacts[member.Name] = contact{
		name:        member.Name,
		address:     member.Address,
		seed:        c.contacts[member.Name].seed,
		listed:      true,
		incarnation: member.Incarnation,
		leaving:     member.Leaving,
	}
	known, found := c.table.records[member.Name]
	if !found {
		return
	}
	wasLeaving := known.leaving
	c.table.change(known, "The platform's list changed what it says of leaving.", effects, func() {
		c.applyListedLeaving(known)
	})
	if known.leaving != wasLeaving {
		c.rumors[member.Name] = 0
	}
}

// applyListedLeaving sets on a record what the platform's list says of leaving. With an incarnation it holds for good
// and is spread; without one it may mean an earlier process of the name, and holds while it is listed.
func (c *Core) applyListedLeaving(known *record) {
	listed := c.contacts[known.member.Name]
	known.listedLeaving = listed.leaving && listed.incarnation == 0
	if listed.leaving && listed.incarnation == known.member.Incarnation {
		known.leaving = true
	}
}

// unlist takes word that a router has gone from the platform's list.
func (c *Core) unlist(now time.Time, name string, effects *core.Effects) {
	gone := c.contacts[name]
	gone.listed, gone.incarnation, gone.leaving = false, 0, false
	if gone.seed {
		c.contacts[name] = gone
	} else {
		delete(c.contacts, name)
	}
	if known, found := c.table.records[name]; found && known != c.self {
		c.doubt(now, known, false, "The member has gone from the platform's list.", effects)
	}
}

// contactInterval is the time between two contacts. It is short while no other member is known.
func (c *Core) contactInterval() time.Duration {
	if len(c.derive().peers) == 0 {
		return c.settings.GossipInterval
	}
	return c.settings.ProbeInterval
}

// tickContacts contacts the next routers in turn. A missing answer has no consequence.
func (c *Core) tickContacts(now time.Time, effects *core.Effects) {
	names := c.derive().contactable
	if len(names) == 0 || now.Sub(c.lastContact) < c.contactInterval() {
		return
	}
	c.lastContact = now
	if c.contactCursor == "" {
		c.contactCursor = names[c.random.IntN(len(names))]
	}
	count := 1
	if len(c.derive().peers) == 0 {
		count = min(c.settings.GossipPeers, len(names))
	}
	for range count {
		name, found := lo.Find(names, func(name string) bool { return name > c.contactCursor })
		if !found {
			name = names[0]
		}
		c.contactCursor = name
		c.sendPing(name, c.addressOf(name), c.newProbeID(), "", effects)
	}
}

// addressOf returns the address at which to contact a router. The platform's list knows best where a restarted one is.
func (c *Core) addressOf(name string) string {
	if known, found := c.contacts[name]; found {
		return known.address
	}
	return c.table.records[name].member.Address
}
