package router

import (
	"time"

	"github.com/samber/lo"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/membership"
	"github.com/granitebay/granitebay/internal/poolspread"
)

// tickDigest tells other routers how much room the engines of this one have.
func (c *Core) tickDigest(now time.Time, effects *core.Effects) {
	if now.Before(c.nextDigest) {
		return
	}
	c.nextDigest = now.Add(c.spread.Interval())
	c.digestSequence++
	digest := &granitebayv1.PoolDigest{
		Sequence:       c.digestSequence,
		Pools:          c.dispatch.Pools(now),
		Leaving:        c.stopping,
		Demand:         c.dispatch.Demand(now),
		UnreadyEngines: c.unreadyOwned(),
		LeavingEngines: c.leavingEngines(),
		AdminAddress:   c.settings.AdminAddress,
	}
	c.owners.HandleDigest(now, c.settings.Self, digest)
	c.spread.Send(now, digest, effects)
	c.owners.SetSums(now, c.spread.Sums(now))
}

// handleDigest takes what another owner tells of its engines.
func (c *Core) handleDigest(now time.Time, from *granitebayv1.Peer, digest *granitebayv1.PoolDigest) {
	c.owners.HandleDigest(now, from, digest)
	c.spread.HandleDigest(now, from, digest)
}

// handleSums takes what is told of other zones and regions.
func (c *Core) handleSums(now time.Time, sums *granitebayv1.PoolSums, effects *core.Effects) {
	c.spread.HandleSums(now, sums, effects)
	c.owners.SetSums(now, c.spread.Sums(now))
}

// spreadAmong tells who the routers are among which digests are spread.
func (c *Core) spreadAmong() {
	known := lo.Filter(c.members.Members(), func(member membership.Member, _ int) bool { return member.State != membership.StateDead })
	c.spread.SetRouters(lo.Map(known, func(member membership.Member, _ int) poolspread.Router {
		return poolspread.Router{
			Name: member.Name, Address: member.Address, Zone: member.Zone, Live: member.State != membership.StateLeaving,
		}
	}))
}

// unreadyOwned lists the owned engines that do not serve as their record says.
func (c *Core) unreadyOwned() []string {
	return lo.Filter(c.engineNames, func(name string, _ int) bool {
		if !c.owns(name) || !c.engines[name].listed {
			return false
		}
		view := c.engineView(name)
		return !view.Ready || view.Draining || view.Changing
	})
}

// leavingEngines lists the engines that this router's membership list shows as leaving or has dropped.
func (c *Core) leavingEngines() []*granitebayv1.LeavingEngine {
	return lo.FilterMap(c.engineNames, func(name string, _ int) (*granitebayv1.LeavingEngine, bool) {
		info := c.engines[name]
		return &granitebayv1.LeavingEngine{Name: name, Incarnation: info.incarnation}, info.member.Leaving || !info.listed
	})
}

// broadcast sends a body to all other live routers, each in an envelope of its own.
func (c *Core) broadcast(envelope *granitebayv1.Envelope, effects *core.Effects) {
	for _, member := range c.others() {
		effects.Send(member.Name, member.Address, &granitebayv1.Envelope{Body: envelope.Body})
	}
}

// others lists the routers that are not known to be dead, without this one.
func (c *Core) others() []membership.Member {
	return lo.Filter(c.members.Members(), func(member membership.Member, _ int) bool {
		return member.Name != c.settings.Self.GetName() && member.State != membership.StateDead
	})
}
