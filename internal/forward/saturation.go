package forward

import (
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/balance"
	"github.com/granitebay/granitebay/internal/routing"
)

// BackOff keeps requests off a worker for a time, as it asked this gateway. Others are not told: it did not ask them, and a role of which
// each gateway knew all such times would be shut for everybody.
func (d *Dispatcher) BackOff(worker string, wanted time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.balancer.BackOff(d.now(), worker, wanted)
	clear(d.saturation)
}

// foundFull is that no worker of a group takes requests, as it was found at a moment; a zero time until when if some do.
type cachedSaturation struct {
	at time.Time
	balance.Full
}

// fullUntil returns why and until when no worker of a group takes requests, or false unless all of them want none now. It is found anew once
// in foundTime: callers are refused as often as they ask, and a group has thousands of workers.
func (d *Dispatcher) saturatedUntil(group *routing.Group) (balance.Full, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.now()
	cached, isCached := d.saturation[group.Name]
	if !isCached || now.Sub(cached.at) >= availabilityCacheTime || !now.Before(cached.Until) {
		full, _ := d.balancer.FullUntil(now, group.Name, runnerRole(group))
		cached = cachedSaturation{at: now, Full: full}
		d.saturation[group.Name] = cached
	}
	return cached.Full, !cached.Until.IsZero()
}

// writerRole returns the role of the workers of a group that write answers.
func runnerRole(group *routing.Group) backend.Role {
	if group.Engine == nil {
		return backend.RoleNone
	}
	return backend.RoleDecode
}

// bookPlace returns when a place is expected for a caller of a group whose workers take only so many requests a second, after those that were
// told before. One that can't wait so long does not hold a place up for the next. Each gateway tells its callers a part of the places: they
// come back to any.
func (d *Dispatcher) reserveSlot(group string, full balance.Full, latest time.Time) time.Time {
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
