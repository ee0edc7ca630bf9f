package router

import (
	"time"

	"github.com/samber/lo"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/claim"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/membership"
)

// newClaims makes the cores of claims.
func (c *Core) newClaims() {
	self := c.settings.Self
	settings := c.settings.Claims
	c.acceptor = claim.NewAcceptor(claim.AcceptorSettings{
		StartedAt:            c.settings.StartedAt,
		Window:               settings.Window,
		ClockSkew:            settings.ClockSkew,
		ConfirmationLifetime: settings.ConfirmationLifetime,
	})
	settings.Self = self.GetName()
	settings.Holders = claimHolders(c.settings)
	settings.Acceptor = c.acceptor
	settings.Address = c.addressOf
	c.claimViews = claim.NewViewControl(settings, c.newRandom())
	c.proposer = claim.NewProposer(claim.ProposerSettings{
		Name:        self.GetName(),
		Incarnation: self.GetIncarnation(),
		Address:     c.addressOf,
		ViewOf:      c.claimViews.ViewOf,
	}, c.newRandom())
}

// claimHolders makes the first holders of claims from the static settings.
func claimHolders(settings Settings) []claim.Holder {
	return append(holdersOf(settings.Seeds), claim.Holder{Name: settings.Self.GetName(), Zone: settings.Self.GetZone()})
}

func holdersOf(members []membership.Member) []claim.Holder {
	return lo.Map(members, func(member membership.Member, _ int) claim.Holder {
		return claim.Holder{Name: member.Name, Zone: member.Zone}
	})
}

// applyClaimMembers tells which routers should hold claims, and whom to tell of the views.
func (c *Core) applyClaimMembers(now time.Time, live []membership.Member) {
	c.claimViews.SetRouters(now, holdersOf(live), holdersOf(c.others()))
}

// addressOf returns the address of a router, or an empty string.
func (c *Core) addressOf(name string) string {
	if name == c.settings.Self.GetName() {
		return c.settings.Self.GetAddress()
	}
	if member, ok := c.members.Lookup(name); ok {
		return member.Address
	}
	return ""
}

// Propose implements dispatch.Claims.
func (c *Core) Propose(now time.Time, instance string, value *granitebayv1.ClaimValue, deadline time.Time, effects *core.Effects) {
	c.proposer.Propose(now, instance, value, c.claimViews.ViewOf(instance), deadline, effects)
}

// handleClaims takes a message about claims. A process that another one of its name has followed votes no more.
func (c *Core) handleClaims(now time.Time, envelope *granitebayv1.Envelope, effects *core.Effects) {
	if !c.members.Superseded() {
		c.acceptor.Handle(now, envelope, effects)
		c.claimViews.HandleEnvelope(now, envelope, effects)
	}
	c.takeClaims(now, c.proposer.HandleEnvelope(now, envelope, effects), effects)
}

// tickClaims runs what is due.
func (c *Core) tickClaims(now time.Time, effects *core.Effects) {
	c.acceptor.Tick(now)
	c.claimViews.Tick(now, effects)
	c.takeClaims(now, c.proposer.Tick(now, effects), effects)
}

// claimsWake tells when tickClaims is due next.
func (c *Core) claimsWake() time.Time {
	return core.Earliest(c.claimViews.NextWake(), core.Earliest(c.proposer.NextWake(), c.acceptor.NextWake()))
}

// takeClaims hands decided claims to dispatch.
func (c *Core) takeClaims(now time.Time, results []claim.Result, effects *core.Effects) {
	for _, result := range results {
		c.dispatch.HandleClaimResult(now, result, effects)
	}
}
