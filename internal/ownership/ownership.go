// Package ownership decides which router has authority over which engines.
//
// The engines of a zone are divided into shards. A shard is a key of the key-value service, bound to the session lease
// of the router that created it; its create revision is the epoch under which that router orders the engines of the
// shard. The router that is first by rendezvous hash among the live routers of the zone claims the shard. Nobody gains
// authority while the service is out; a router counts its own from before it asked for the renewal, less a margin.
//
// Requests to the service, per router: one watch, one KeepAlive per RenewInterval (a third of a request a second), one
// List in two minutes; two requests for each shard that is gained and two for each that is handed on.
//
// Dispatch needs no authority: DispatchOrder follows the view of live routers alone.
package ownership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/ownership/backoff"
	"github.com/granitebay/granitebay/internal/ownership/mirror"
	"github.com/granitebay/granitebay/internal/platform"
	"github.com/samber/lo"
)

// RequestOwner marks the platform requests of this core.
const RequestOwner = 1

// ShardPrefix is the prefix of the keys of all shards.
const ShardPrefix = "/granitebay/shards/"

// Router is a live router.
type Router struct {
	Name string
	Zone string
}

// Engine is an engine of the fleet.
type Engine struct {
	Name string
	Zone string
}

// Core is the state machine of one router. It is single-threaded.
type Core struct {
	settings Settings
	random   *rand.Rand
	ids      *core.RequestIDs
	mirror   *mirror.Mirror
	lease    lease
	// holderValue is the value of the shards that this router holds.
	holderValue []byte
	backoff     backoff.Backoff
	stopping    bool

	members    []Router
	engineZone map[string]string
	// engineShard is the shard of each engine.
	engineShard map[string]*shard
	shards      map[string]*shard
	// shardNames are the keys of shards, sorted.
	shardNames []string
	version    uint64
	wake       time.Time
}

// New returns a core that has no lease and knows no routers or engines.
func New(settings Settings, random *rand.Rand) *Core {
	settings = settings.withDefaults()
	ids := core.NewRequestIDs(RequestOwner)
	return &Core{
		settings:    settings,
		random:      random,
		ids:         ids,
		holderValue: encodeHolder(settings),
		mirror: mirror.New(mirror.Settings{
			Prefix:         ShardPrefix,
			RequestTimeout: settings.RequestTimeout,
		}, ids, random),
		backoff: backoff.Backoff{Base: DefaultBackoffBase, Max: DefaultBackoffMax},
		shards:  map[string]*shard{},
		wake:    mirror.AtOnce(),
	}
}

// SetMembers takes the view of live routers, this one included. What follows from it is done at the next Tick.
func (c *Core) SetMembers(now time.Time, live []Router) {
	members := slices.Clone(live)
	slices.SortFunc(members, compareRouters)
	if slices.Equal(members, c.members) {
		return
	}
	c.members = members
	for _, name := range c.shardNames {
		c.reorder(now, c.shards[name])
	}
	c.wake = now
}

// SetEngines takes all engines of the fleet. Shards exist for the zones that have engines.
func (c *Core) SetEngines(now time.Time, engines []Engine) {
	zones := lo.SliceToMap(engines, func(engine Engine) (string, string) { return engine.Name, engine.Zone })
	if maps.Equal(zones, c.engineZone) {
		return
	}
	c.engineZone = zones
	c.engineShard = make(map[string]*shard, len(engines))
	for _, shard := range c.shards {
		shard.engines = 0
	}
	for _, engine := range engines {
		shard := c.shardOf(now, engine)
		shard.engines++
		c.engineShard[engine.Name] = shard
	}
	c.version++
	c.wake = now
}

// HandlePlatformResponse takes the answer to a request of this core.
func (c *Core) HandlePlatformResponse(now time.Time, response platform.Response, effects *core.Effects) {
	c.checkLapse(now, effects)
	if !c.mirror.HandleResponse(now, response) && !c.handleLease(now, response, effects) {
		c.handleShard(now, response)
	}
	c.advance(now, effects)
}

// HandlePlatformWatch takes changes of the shards.
func (c *Core) HandlePlatformWatch(now time.Time, event platform.WatchEvent, effects *core.Effects) {
	if c.mirror.HandleWatch(now, event) {
		c.advance(now, effects)
	}
}

// Tick runs what is due.
func (c *Core) Tick(now time.Time, effects *core.Effects) {
	if !c.wake.IsZero() && !now.Before(c.wake) {
		c.advance(now, effects)
	}
}

// NextWake tells when Tick is due next.
func (c *Core) NextWake() time.Time { return c.wake }

// Stop gives back all authority and the lease, for a planned stop. Dispatch by other routers is not touched.
func (c *Core) Stop(now time.Time, effects *core.Effects) {
	if c.stopping {
		return
	}
	c.stopping = true
	c.dropShards("the router stops", effects)
	// The answer to a renewal that is under way no longer matters.
	c.lease.request = 0
	c.lease.dueAt = now
	c.advance(now, effects)
}

// Stopped tells whether nothing is left to give back after Stop.
func (c *Core) Stopped() bool { return c.stopping && c.lease.id == 0 }

// Version grows whenever what Authority answers may have changed, other than by the passing of time.
func (c *Core) Version() uint64 { return c.version }

// Authority tells whether this router may order the engine now, and under which epoch.
func (c *Core) Authority(now time.Time, engine string) (epoch uint64, held bool) {
	shard := c.engineShard[engine]
	if shard == nil || shard.epoch == 0 || !c.lease.valid(now) {
		return 0, false
	}
	return shard.epoch, true
}

// advance runs everything that is due and notes when the next thing will be.
func (c *Core) advance(now time.Time, effects *core.Effects) {
	c.wake = time.Time{}
	c.checkLapse(now, effects)
	c.advanceLease(now, effects)
	if !c.stopping {
		for _, name := range c.shardNames {
			c.advanceShard(now, c.shards[name], effects)
		}
	}
	c.mirror.Tick(now, effects)
	c.wake = core.Earliest(c.wake, c.mirror.NextWake())
}

// reached tells whether a moment has come, and notes to wake up at it if it has not.
func (c *Core) reached(now, moment time.Time) bool {
	if now.Before(moment) {
		c.wake = core.Earliest(c.wake, moment)
		return false
	}
	return true
}
