// Package poolspread spreads what owners report of their engines, at a cost that does not grow with the fleet.
//
// Up to FullLimit routers, each sends its digest to every other. Beyond it a digest goes to the routers of the zone only.
// One router stands for each zone, the first by rendezvous hash among the live ones; it sums the digests of its zone up
// and sends the sum to those that stand for the other zones of the region. The router that stands for a region sends the
// sum of its zones to all that stand for zones of other regions. Within a zone the sums of others pass down a tree.
//
// Routers may disagree about who lives: then some sums are sent twice or come late, and grow stale after SumStaleAfter.
// A region is what stands before the last dash in the name of a zone. See docs/design/scale.md.
package poolspread

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/core"
)

// Defaults of Settings, and times that hold beyond FullLimit.
const (
	DefaultInterval  = 500 * time.Millisecond
	DefaultFullLimit = 24
	// ZoneInterval is the time between two digests within a zone.
	ZoneInterval = 2 * time.Second
	// sumInterval is the time between two sums of a zone, regionInterval between two of a region and between two
	// messages down the tree of a zone.
	sumInterval    = 8 * time.Second
	regionInterval = 24 * time.Second
	// staleAfter is the age at which the digest of an owner no longer counts in a sum.
	staleAfter = 10 * time.Second
	// SumStaleAfter is the age at which a sum no longer counts.
	SumStaleAfter = 60 * time.Second
	// zoneRefresh is the age at which a digest is sent again although little has changed.
	zoneRefresh = 6 * time.Second
	// emptyDigests is how often a digest that tells of nothing is sent before it is left out.
	emptyDigests = 3
	// maximumDoors bounds the owners named in a sum, maximumUnready the engines.
	maximumDoors   = 4
	maximumUnready = 64
)

// Settings of a Core. Zero values take the defaults.
type Settings struct {
	Self *granitebayv1.Peer
	// Interval is the time between two digests while each router sends its own to all.
	Interval time.Duration
	// FullLimit is the most live routers among which each sends its digest to all.
	FullLimit int
}

// Router is a router that is not known to be dead.
type Router struct {
	Name, Address, Zone string
	// Live is set unless the router leaves.
	Live bool
}

// heldDigest is the latest digest of an owner of this zone.
type heldDigest struct {
	from     *granitebayv1.Peer
	digest   *granitebayv1.PoolDigest
	received time.Time
}

// heldSum is the latest sum of a scope.
type heldSum struct {
	sum      *granitebayv1.PoolSum
	received time.Time
}

// Core spreads the digests of one router. It is not safe for use by several goroutines.
type Core struct {
	settings Settings
	places   places
	digests  map[string]heldDigest
	sums     map[string]heldSum
	// emptySent counts the digests that told of nothing, in a row.
	emptySent int
	// lastSent is the digest that the zone has, as of lastSentAt.
	lastSent   *granitebayv1.PoolDigest
	lastSentAt time.Time
	doorOffset int
	nextSum    time.Time
	nextRegion time.Time
}

// New returns a core that knows no other routers.
func New(settings Settings) *Core {
	settings.Interval = lo.CoalesceOrEmpty(settings.Interval, DefaultInterval)
	settings.FullLimit = lo.CoalesceOrEmpty(settings.FullLimit, DefaultFullLimit)
	return &Core{settings: settings, digests: map[string]heldDigest{}, sums: map[string]heldSum{}}
}

// SetRouters takes the view of the routers, this one included.
func (c *Core) SetRouters(routers []Router) {
	c.places = newPlaces(c.settings, routers)
	c.lastSent, c.lastSentAt = nil, time.Time{} // those who are new have no digest yet
	if !c.places.large {
		clear(c.sums)
		clear(c.digests)
	}
}

// Interval is the time until the next digest.
func (c *Core) Interval() time.Duration {
	return lo.Ternary(c.places.large, max(ZoneInterval, c.settings.Interval), c.settings.Interval)
}

// Planners returns the routers among which the planner of a group is chosen: those that stand for zones, which hear of all
// demand, or all live ones while each sends its digest to all.
func (c *Core) Planners() []string { return c.places.planners }

// Sums returns the sums of other zones and regions that count now, in order of scope. The caller must not change them.
func (c *Core) Sums(now time.Time) []*granitebayv1.PoolSum {
	scopes := lo.Filter(slices.Sorted(slices.Values(lo.Keys(c.sums))), func(scope string, _ int) bool {
		return now.Sub(c.sums[scope].received) < SumStaleAfter
	})
	return lo.Map(scopes, func(scope string, _ int) *granitebayv1.PoolSum { return c.sums[scope].sum })
}

// HandleDigest takes the digest of another router.
func (c *Core) HandleDigest(now time.Time, from *granitebayv1.Peer, digest *granitebayv1.PoolDigest) {
	if !c.places.large || from.GetZone() != c.settings.Self.GetZone() {
		return
	}
	known, found := c.digests[from.GetName()]
	older := from.GetIncarnation() < known.from.GetIncarnation() ||
		from.GetIncarnation() == known.from.GetIncarnation() && digest.GetSequence() <= known.digest.GetSequence()
	if !found || !older {
		c.digests[from.GetName()] = heldDigest{from: from, digest: digest, received: now}
	}
}

// HandleSums takes sums from another router, and passes what is new on within the zone if it is asked to.
func (c *Core) HandleSums(now time.Time, message *granitebayv1.PoolSums, effects *core.Effects) {
	if !c.places.large {
		return
	}
	fresh := lo.Filter(message.GetSums(), func(sum *granitebayv1.PoolSum, _ int) bool { return c.learn(now, sum) })
	if message.GetSpread() && len(fresh) > 0 {
		c.passDown(fresh, effects)
	}
}

// learn takes one sum and tells whether it is new.
func (c *Core) learn(now time.Time, sum *granitebayv1.PoolSum) bool {
	own := lo.Ternary(sum.GetRegion(), RegionOf(c.settings.Self.GetZone()), c.settings.Self.GetZone())
	key := scopeKey(sum)
	known, found := c.sums[key]
	stale := now.Sub(known.received) >= SumStaleAfter
	if sum.GetScope() == own || found && !stale && sum.GetMadeUnixMillis() <= known.sum.GetMadeUnixMillis() {
		return false
	}
	c.sums[key] = heldSum{sum: sum, received: now}
	return true
}

// scopeKey keeps zones and regions of the same name apart.
func scopeKey(sum *granitebayv1.PoolSum) string {
	return lo.Ternary(sum.GetRegion(), "region ", "zone ") + sum.GetScope()
}

// Send sends the digest of this router, and the sums that are due. It is called once each Interval.
func (c *Core) Send(now time.Time, digest *granitebayv1.PoolDigest, effects *core.Effects) {
	if !c.places.large {
		c.sendTo(c.places.others, &granitebayv1.Envelope{Body: &granitebayv1.Envelope_PoolDigest{PoolDigest: digest}}, effects)
		return
	}
	c.digests[c.settings.Self.GetName()] = heldDigest{from: c.settings.Self, digest: digest, received: now}
	c.sendInZone(now, digest, effects)
	if c.places.representative != c.settings.Self.GetName() {
		return
	}
	c.doorOffset++
	c.sendSums(now, effects)
}

// sendInZone sends the digest to the routers of the zone, unless it tells little new. The demand goes to the router that stands for the zone only.
func (c *Core) sendInZone(now time.Time, digest *granitebayv1.PoolDigest, effects *core.Effects) {
	empty := tellsNothing(digest)
	if empty && c.emptySent >= emptyDigests || now.Sub(c.lastSentAt) < zoneRefresh && !differs(c.lastSent, digest) {
		return
	}
	c.emptySent = lo.Ternary(empty, c.emptySent+1, 0)
	c.lastSent, c.lastSentAt = digest, now
	brief := &granitebayv1.PoolDigest{
		Sequence: digest.GetSequence(), Pools: digest.GetPools(), Leaving: digest.GetLeaving(),
		UnreadyEngines: digest.GetUnreadyEngines(), LeavingEngines: digest.GetLeavingEngines(),
	}
	for _, router := range c.places.zoneOthers {
		sent := lo.Ternary(router.Name == c.places.representative, digest, brief)
		effects.Send(router.Name, router.Address, &granitebayv1.Envelope{Body: &granitebayv1.Envelope_PoolDigest{PoolDigest: sent}})
	}
}

// tellsNothing tells whether a digest is that of a router without engines, queue and demand that does not leave.
func tellsNothing(digest *granitebayv1.PoolDigest) bool {
	return len(digest.GetPools()) == 0 && len(digest.GetDemand()) == 0 && len(digest.GetUnreadyEngines()) == 0 && !digest.GetLeaving()
}

// sendSums sends the sums that are due to the routers that stand for other zones, and down the tree of the zone.
func (c *Core) sendSums(now time.Time, effects *core.Effects) {
	if !now.Before(c.nextSum) {
		c.nextSum = now.Add(sumInterval)
		c.sendTo(c.places.regionRepresentatives, sumsEnvelope(false, c.zoneSum(now)), effects)
	}
	if now.Before(c.nextRegion) {
		return
	}
	c.nextRegion = now.Add(regionInterval)
	if c.places.standsForRegion {
		c.sendTo(c.places.farRepresentatives, sumsEnvelope(false, c.regionSum(now)), effects)
	}
	c.passDown(c.Sums(now), effects)
}

// passDown sends sums to the routers below this one in the tree of the zone, without demand.
func (c *Core) passDown(sums []*granitebayv1.PoolSum, effects *core.Effects) {
	if len(sums) == 0 || len(c.places.children) == 0 {
		return
	}
	brief := lo.Map(sums, func(sum *granitebayv1.PoolSum, _ int) *granitebayv1.PoolSum {
		return &granitebayv1.PoolSum{
			Scope: sum.GetScope(), Region: sum.GetRegion(), MadeUnixMillis: sum.GetMadeUnixMillis(),
			Pools: sum.GetPools(), UnreadyEngines: sum.GetUnreadyEngines(), Doors: sum.GetDoors(),
		}
	})
	c.sendTo(c.places.children, sumsEnvelope(true, brief...), effects)
}

func sumsEnvelope(spread bool, sums ...*granitebayv1.PoolSum) *granitebayv1.Envelope {
	return &granitebayv1.Envelope{Body: &granitebayv1.Envelope_PoolSums{PoolSums: &granitebayv1.PoolSums{Sums: sums, Spread: spread}}}
}

// sendTo sends a body to some routers, each in an envelope of its own.
func (c *Core) sendTo(routers []Router, envelope *granitebayv1.Envelope, effects *core.Effects) {
	for _, router := range routers {
		effects.Send(router.Name, router.Address, &granitebayv1.Envelope{Body: envelope.GetBody()})
	}
}

// zoneSum sums up the digests of this zone.
func (c *Core) zoneSum(now time.Time) *granitebayv1.PoolSum {
	s := newSummer(now, c.settings.Self.GetZone(), false)
	names := slices.Sorted(slices.Values(lo.Keys(c.digests)))
	var doors []*granitebayv1.PoolDoor
	for _, name := range names {
		held := c.digests[name]
		if now.Sub(held.received) >= staleAfter || held.digest.GetLeaving() || !c.places.inZone(name) {
			continue
		}
		s.add(held.digest.GetPools(), held.digest.GetDemand(), held.digest.GetUnreadyEngines())
		if lo.SomeBy(held.digest.GetPools(), func(pool *granitebayv1.Pool) bool { return pool.GetEngines() > 0 }) {
			doors = append(doors, &granitebayv1.PoolDoor{Name: name, Address: held.from.GetAddress()})
		}
	}
	return s.sum(c.rotate(doors))
}

// regionSum sums up the sums of the zones of this region.
func (c *Core) regionSum(now time.Time) *granitebayv1.PoolSum {
	own := c.zoneSum(now)
	s := newSummer(now, RegionOf(c.settings.Self.GetZone()), true)
	s.add(own.GetPools(), own.GetDemand(), own.GetUnreadyEngines())
	doors := slices.Clone(own.GetDoors())
	for _, sum := range c.Sums(now) {
		if !sum.GetRegion() && RegionOf(sum.GetScope()) == RegionOf(c.settings.Self.GetZone()) {
			s.add(sum.GetPools(), sum.GetDemand(), sum.GetUnreadyEngines())
			doors = append(doors, sum.GetDoors()...)
		}
	}
	return s.sum(c.rotate(doors))
}

// rotate returns some doors, others each time.
func (c *Core) rotate(doors []*granitebayv1.PoolDoor) []*granitebayv1.PoolDoor {
	if len(doors) <= maximumDoors {
		return doors
	}
	return lo.Times(maximumDoors, func(i int) *granitebayv1.PoolDoor { return doors[(c.doorOffset*maximumDoors+i)%len(doors)] })
}

func compareRouters(a, b Router) int { return cmp.Compare(a.Name, b.Name) }
