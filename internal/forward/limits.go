package forward

import (
	"time"

	"github.com/granitebay/granitebay/internal/quota"
	"github.com/granitebay/granitebay/internal/retrybudget"
)

// ShareLimits has this gateway send to workers that name limits only what it holds of these, as one of the gateways that SetHolders names.
// Without it the whole is its own. It is called before the first request.
func (d *Dispatcher) ShareLimits(name string) {
	d.holders = quota.NewHolders(name, retrybudget.ValidFor(d.settings.Budget.Window))
	d.balancer.ShareLimits(func(worker string, perSecond float64) float64 {
		return d.holders.Part(d.repeats.now(), worker, perSecond)
	})
}

// SetHolders tells which gateways hold parts of limits, by name.
func (d *Dispatcher) SetHolders(names []string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.changeHolders(func() { d.holders.SetGateways(d.repeats.now(), names) })
}

// changeHolders changes who holds parts of limits. The mutex is held.
func (d *Dispatcher) changeHolders(change func()) {
	if d.holders == nil {
		return
	}
	d.balancer.EarnLimits(d.now())
	change()
	d.balancer.EarnLimits(d.now())
}

// Limit has a worker get only so many requests a second of all gateways together, as it said so long ago, and tells whether that is news.
func (d *Dispatcher) Limit(worker string, perSecond float64, ago time.Duration) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.now()
	clear(d.full)
	return d.balancer.Limit(now, worker, perSecond, now.Add(-ago))
}

// Unlimit ends the limit of a worker that named none in the answer to a request which was sent so long ago, and tells whether there was one.
func (d *Dispatcher) Unlimit(worker string, ago time.Duration) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.balancer.Unlimit(worker, d.now().Add(-ago))
}

// places returns how many of a bound of places belong to this gateway.
func (d *Dispatcher) places(key string, bound int) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.holders == nil {
		return bound
	}
	return d.holders.Places(d.repeats.now(), key, bound)
}

// MayAsk takes a question from what this gateway may send to a worker, if that names a limit, and tells whether there was one left.
func (d *Dispatcher) MayAsk(worker string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.balancer.Spend(d.now(), worker)
}
