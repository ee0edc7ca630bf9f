package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/engine"
)

// poolKey names a pool. The queue is in the pool without a role.
type poolKey struct{ group, model, role string }

// Pools sums up the owned engines by group, model and role, and the queue by the first allowed group. Sorted.
func (c *Core) Pools(now time.Time) []*granitebayv1.Pool {
	pools := make(map[poolKey]*granitebayv1.Pool)
	for _, name := range c.names {
		if state := c.engines[name]; state.view.Owned {
			c.addEngine(now, pools, state)
		}
	}
	c.addQueue(pools)
	keys := lo.Keys(pools)
	slices.SortFunc(keys, func(a, b poolKey) int {
		return cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(a.model, b.model), cmp.Compare(a.role, b.role))
	})
	return lo.Map(keys, func(key poolKey, _ int) *granitebayv1.Pool { return pools[key] })
}

// poolOf returns the pool of a key and makes it if there is none.
func poolOf(pools map[poolKey]*granitebayv1.Pool, key poolKey) *granitebayv1.Pool {
	pool := pools[key]
	if pool == nil {
		pool = &granitebayv1.Pool{Group: key.group, Model: key.model, Role: key.role}
		pools[key] = pool
	}
	return pool
}

// addEngine adds one engine to its pool.
func (c *Core) addEngine(now time.Time, pools map[poolKey]*granitebayv1.Pool, state *engineState) {
	view := state.view
	key := poolKey{group: view.Group, model: view.Configuration.Model, role: string(view.Configuration.Role)}
	pool := poolOf(pools, key)
	pool.Running += uint32(state.running)
	pool.PendingPromptTokens += uint64(max(0, state.pendingPromptTokens))
	pool.PendingOutputTokens += uint64(max(0, state.pendingOutputTokens))
	serving := view.Ready && !view.Draining && !view.Changing && !view.Leaving && !now.Before(state.circuitUntil)
	if serving {
		pool.Engines++
		pool.Slots += uint32(c.settings.Placement.Speeds[view.Configuration.Role].Slots)
	}
}

// addQueue adds the waiting requests.
func (c *Core) addQueue(pools map[poolKey]*granitebayv1.Pool) {
	for _, item := range c.queue.waiting {
		key, ok := keyOf(item.entry)
		if !ok {
			continue
		}
		pool := poolOf(pools, poolKey{group: key.group, model: key.model, role: string(engine.RoleNone)})
		pool.Queued++
		pool.PendingPromptTokens += uint64(item.entry.work.GetPromptTokens())
		pool.PendingOutputTokens += uint64(item.entry.work.GetMaxTokens())
	}
}

// RuleLoad counts the requests of one rule at this owner.
type RuleLoad struct {
	Running int
	Waiting int
}

// Load counts the requests that have not ended, by rule.
func (c *Core) Load() map[string]RuleLoad {
	loads := make(map[string]RuleLoad)
	for _, entry := range c.order {
		if entry.ended() || entry.phase == phaseAnswered {
			continue
		}
		load := loads[entry.policy.Rule]
		if entry.phase == phaseQueued {
			load.Waiting++
		} else {
			load.Running++
		}
		loads[entry.policy.Rule] = load
	}
	return loads
}
