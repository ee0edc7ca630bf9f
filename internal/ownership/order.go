package ownership

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/granitebay/granitebay/internal/rendezvous"
	"github.com/samber/lo"
)

// Shard returns the name of the shard that an engine of a zone belongs to.
func (c *Core) Shard(engine, zone string) string {
	return fmt.Sprintf("%s-%d", zone, xxhash.Sum64String(engine)%uint64(c.settings.ShardsPerZone))
}

// ShardKey returns the key of the shard of an engine in the key-value service; empty when the engine is not known.
// While this router has authority, the key's modification revision is the epoch.
func (c *Core) ShardKey(engine string) string {
	shard := c.engineShard[engine]
	if shard == nil {
		return ""
	}
	return shard.key
}

// DispatchOrder returns the live routers that may dispatch to an engine, first the one that does: those of the
// engine's zone or, when it has none, all. It is empty when the engine is not known. The caller must not change it.
func (c *Core) DispatchOrder(engine string) []string {
	shard := c.engineShard[engine]
	if shard == nil {
		return nil
	}
	return shard.order
}

// shardOf returns the shard of an engine, which it makes when it is new.
func (c *Core) shardOf(now time.Time, engine Engine) *shard {
	name := c.Shard(engine.Name, engine.Zone)
	if known := c.shards[name]; known != nil {
		return known
	}
	created := &shard{name: name, zone: engine.Zone, key: ShardPrefix + name, handOnDelay: c.settings.HandOnDelay}
	c.shards[name] = created
	c.shardNames = append(c.shardNames, name)
	slices.Sort(c.shardNames)
	c.reorder(now, created)
	return created
}

// reorder computes the order of a shard from the view of live routers.
func (c *Core) reorder(now time.Time, shard *shard) {
	candidates := lo.Filter(c.members, func(router Router, _ int) bool { return router.Zone == shard.zone })
	if len(candidates) == 0 {
		candidates = c.members
	}
	names := lo.Map(candidates, func(router Router, _ int) string { return router.Name })
	before := shard.order
	shard.order = rendezvous.Order(shard.name, names)
	if rank(before, c.settings.Self) != rank(shard.order, c.settings.Self) {
		shard.rankSince = now
	}
	if len(before) == 0 || len(shard.order) == 0 || before[0] != shard.order[0] {
		shard.firstSince = now
	}
}

// rank is the place of a router in an order, or -1.
func rank(order []string, router string) int { return slices.Index(order, router) }

func compareRouters(a, b Router) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Zone, b.Zone))
}
