package forward

import (
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/balance"
	"github.com/granitebay/granitebay/internal/routing"
)

// BackOff keeps requests off a worker for a time, as the worker asked this gateway. Back-offs are not shared with other gateways: each
// worker asks the gateways that it wants to slow down.
func (d *Dispatcher) BackOff(worker string, wanted time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.balancer.BackOff(d.now(), worker, wanted)
	clear(d.saturationCache)
}

// cachedSaturation is the saturation of a group with the time at which it was computed. Until is zero if some workers accept requests.
type cachedSaturation struct {
	at time.Time
	balance.RoleFull
}

// saturatedUntil returns when and at which rate the workers of a group accept requests again, or false if the group is not saturated. The
// result is cached, because computing it iterates over all workers of the group.
func (d *Dispatcher) saturatedUntil(group *routing.Group) (balance.RoleFull, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.now()
	cached, isCached := d.saturationCache[group.Name]
	if !isCached || now.Sub(cached.at) >= availabilityCacheTTL || !now.Before(cached.Until) {
		full, _ := d.balancer.RoleFullUntil(now, group.Name, runnerRole(group))
		cached = cachedSaturation{at: now, RoleFull: full}
		d.saturationCache[group.Name] = cached
	}
	return cached.RoleFull, !cached.Until.IsZero()
}

// backOffUntil returns when the first back-off of the workers that run requests of a group ends, or false if another worker is known to accept
// requests. It iterates over all workers of the group.
func (d *Dispatcher) backOffUntil(group *routing.Group) (time.Time, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.balancer.RoleBackOffUntil(d.now(), group.Name, runnerRole(group))
}

// runnerRole returns the role of the workers that run requests of a group.
func runnerRole(group *routing.Group) backend.Role {
	if group.Engine == nil {
		return backend.RoleNone
	}
	return backend.RoleDecode
}

// reserveSlot returns when a rate-limited group is expected to have capacity for the next caller that is told to retry, and reserves it
// unless the caller cannot wait so long. Each gateway announces its share of the slots, since callers may return to any gateway.
func (d *Dispatcher) reserveSlot(group string, full balance.RoleFull, latest time.Time) time.Time {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	// The slots of one gateway are gatewayCount / PerSecond apart.
	at := d.lastReservedSlot[group].Add(time.Duration(float64(d.gatewayCount()) / full.PerSecond * float64(time.Second)))
	if at.Before(full.Until) {
		at = full.Until
	}
	if !at.After(latest) {
		d.lastReservedSlot[group] = at
	}
	return at
}
