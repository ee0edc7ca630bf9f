package forward

import (
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/balance"
	"github.com/granitebay/granitebay/internal/routing"
)

// BackOff keeps requests off a worker for a time, as the worker asked this gateway. Other gateways are not told: each worker asks them
// itself, and sharing all these times would shut the role for everyone.
func (d *Dispatcher) BackOff(worker string, wanted time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.balancer.BackOff(d.now(), worker, wanted)
	clear(d.saturation)
}

// cachedSaturation is the saturation of a group with the time at which it was computed. Until is zero if some workers accept requests.
type cachedSaturation struct {
	at time.Time
	balance.RoleFull
}

// saturatedUntil returns why and until when no worker of a group accepts requests, or false if that does not apply to all of them. The
// result is cached, because computing it iterates over all workers of the group.
func (d *Dispatcher) saturatedUntil(group *routing.Group) (balance.RoleFull, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.now()
	cached, isCached := d.saturation[group.Name]
	if !isCached || now.Sub(cached.at) >= availabilityCacheTime || !now.Before(cached.Until) {
		full, _ := d.balancer.RoleFullUntil(now, group.Name, runnerRole(group))
		cached = cachedSaturation{at: now, RoleFull: full}
		d.saturation[group.Name] = cached
	}
	return cached.RoleFull, !cached.Until.IsZero()
}

// runnerRole returns the role of the workers of a group that generate answers.
func runnerRole(group *routing.Group) backend.Role {
	if group.Engine == nil {
		return backend.RoleNone
	}
	return backend.RoleDecode
}

// reserveSlot returns when a rate-limited group is expected to have room for a caller, after the callers that were told before. A caller
// that cannot wait so long reserves nothing. Each gateway announces its share of the slots, since callers may return to any gateway.
func (d *Dispatcher) reserveSlot(group string, full balance.RoleFull, latest time.Time) time.Time {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	at := d.reservedUntil[group].Add(time.Duration(float64(d.gatewayCount()) / full.PerSecond * float64(time.Second)))
	if at.Before(full.Until) {
		at = full.Until
	}
	if !at.After(latest) {
		d.reservedUntil[group] = at
	}
	return at
}
