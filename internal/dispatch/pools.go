package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/samber/lo"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/engine"
)

// arrivalTimeConstant is the time over which arrivals are averaged.
const arrivalTimeConstant = 5 * time.Second

// arrivalMeter averages the tokens that arrive a second for each model and group, by exponential decay.
type arrivalMeter struct {
	rates map[arrivalKey]*arrivalRate
}

type arrivalKey struct{ group, model string }

type arrivalRate struct {
	prompt, output float64
	updated        time.Time
}

// add counts the arrival of a request for the first group that may run it.
func (m *arrivalMeter) add(now time.Time, entry *request) {
	if len(entry.policy.Groups) == 0 {
		return
	}
	if m.rates == nil {
		m.rates = make(map[arrivalKey]*arrivalRate)
	}
	key := arrivalKey{group: entry.policy.Groups[0], model: entry.work.GetModel()}
	rate := m.rates[key]
	if rate == nil {
		rate = &arrivalRate{updated: now}
		m.rates[key] = rate
	}
	rate.decay(now)
	rate.prompt += float64(entry.work.GetPromptTokens()) / arrivalTimeConstant.Seconds()
	rate.output += float64(entry.work.GetMaxTokens()) / arrivalTimeConstant.Seconds()
}

// decay brings a rate up to now.
func (r *arrivalRate) decay(now time.Time) {
	factor := math.Exp(-now.Sub(r.updated).Seconds() / arrivalTimeConstant.Seconds())
	r.prompt *= factor
	r.output *= factor
	r.updated = now
}

// Pools sums up the owned engines by group, model and role, and the queue by the first allowed group. Sorted.
func (c *Core) Pools(now time.Time) []*granitebayv1.Pool {
	pools := make(map[poolKey]*granitebayv1.Pool)
	for _, name := range c.names {
		if state := c.engines[name]; state.view.Owned {
			c.addEngine(now, pools, state)
		}
	}
	c.addQueue(now, pools)
	c.addArrivals(now, pools)
	keys := lo.Keys(pools)
	slices.SortFunc(keys, comparePoolKeys)
	return lo.Map(keys, func(key poolKey, _ int) *granitebayv1.Pool { return pools[key] })
}

type poolKey struct{ group, model, role string }

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

// addQueue adds the waiting requests to pools without a role.
func (c *Core) addQueue(now time.Time, pools map[poolKey]*granitebayv1.Pool) {
	for _, item := range c.queue.waiting {
		entry := item.entry
		if len(entry.policy.Groups) == 0 {
			continue
		}
		pool := poolOf(pools, poolKey{group: entry.policy.Groups[0], model: entry.work.GetModel(), role: string(engine.RoleNone)})
		pool.Queued++
		pool.PendingPromptTokens += uint64(entry.work.GetPromptTokens())
		pool.PendingOutputTokens += uint64(entry.work.GetMaxTokens())
		pool.OldestQueuedMillis = max(pool.OldestQueuedMillis, uint32(now.Sub(entry.arrived).Milliseconds()))
	}
}

// addArrivals adds the arrival rates to pools without a role.
func (c *Core) addArrivals(now time.Time, pools map[poolKey]*granitebayv1.Pool) {
	for key, rate := range c.arrivals.rates {
		rate.decay(now)
		pool := poolOf(pools, poolKey{group: key.group, model: key.model, role: string(engine.RoleNone)})
		pool.ArrivingPromptTokens = rate.prompt
		pool.ArrivingOutputTokens = rate.output
	}
}

// comparePoolKeys orders pools.
func comparePoolKeys(a, b poolKey) int {
	if a.group != b.group {
		return compareStrings(a.group, b.group)
	}
	if a.model != b.model {
		return compareStrings(a.model, b.model)
	}
	return compareStrings(a.role, b.role)
}

func compareStrings(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
