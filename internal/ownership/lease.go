package ownership

import (
	"time"

	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/platform"
)

// lease is the session lease of this router. All shards are bound to it.
type lease struct {
	// id of the lease; zero when there is none.
	id uint64
	// validUntil is the end of the lease by the clock of this router, counted from before it asked.
	validUntil time.Time
	// request is the GrantLease, KeepAlive or RevokeLease that is under way; zero when there is none.
	request platform.RequestID
	sentAt  time.Time
	// dueAt is when the next request is sent.
	dueAt time.Time
}

// valid tells whether authority that is bound to the lease may be used.
func (l lease) valid(now time.Time) bool { return l.id != 0 && now.Before(l.validUntil) }

// advanceLease sends the next request for the lease when it is due.
func (c *Core) advanceLease(now time.Time, effects *core.Effects) {
	if c.stopping && c.lease.id == 0 {
		return
	}
	if c.lease.request != 0 {
		if !c.reached(now, c.lease.sentAt.Add(c.settings.RequestTimeout)) {
			return
		}
		c.retryLease(now, 0)
	}
	if !c.reached(now, c.lease.dueAt) {
		return
	}
	switch {
	case c.stopping:
		c.askLease(now, platform.RevokeLease{Lease: c.lease.id}, effects)
	case c.lease.id == 0:
		c.askLease(now, platform.GrantLease{TTL: c.settings.LeaseTTL}, effects)
	default:
		c.askLease(now, platform.KeepAlive{Lease: c.lease.id}, effects)
	}
}

func (c *Core) askLease(now time.Time, request platform.Request, effects *core.Effects) {
	c.lease.request = c.ids.Next()
	c.lease.sentAt = now
	effects.Ask(c.lease.request, request)
	c.reached(now, now.Add(c.settings.RequestTimeout))
}

// retryLease puts the next request for the lease off after a failure.
func (c *Core) retryLease(now time.Time, retryAfter time.Duration) {
	c.lease.request = 0
	c.lease.dueAt = now.Add(c.backoff.Next(c.random, retryAfter))
}

// handleLease takes the answer to a request for the lease. It returns false when the response is to another request.
func (c *Core) handleLease(now time.Time, response platform.Response, effects *core.Effects) bool {
	if response.ID == 0 || response.ID != c.lease.request {
		return false
	}
	switch {
	case response.Failure == platform.FailureNoLease:
		c.loseLease(now, "the key-value service does not know the lease", effects)
	case response.Failure != platform.FailureNone:
		c.retryLease(now, response.RetryAfter)
	case c.stopping:
		c.lease = lease{}
	default:
		c.renewed(response)
	}
	return true
}

// renewed counts the lease anew from the moment before the request was sent.
func (c *Core) renewed(response platform.Response) {
	ttl := c.settings.LeaseTTL
	if response.TTL > 0 {
		ttl = min(ttl, response.TTL)
	}
	if c.lease.id == 0 {
		c.lease.id = response.Lease
	}
	usable := time.Duration(float64(ttl) * (1 - c.settings.ClockMargin))
	c.lease.validUntil = c.lease.sentAt.Add(usable)
	c.lease.dueAt = c.lease.sentAt.Add(c.settings.RenewInterval)
	c.lease.request = 0
	c.backoff.Reset()
}

// checkLapse drops the lease and all authority when the lease has ended by the clock of this router. A renewal that is
// answered later does not bring it back: another router may have had the shards meanwhile.
func (c *Core) checkLapse(now time.Time, effects *core.Effects) {
	if c.lease.id == 0 || !c.reached(now, c.lease.validUntil) {
		return
	}
	effects.Ask(c.ids.Next(), platform.RevokeLease{Lease: c.lease.id})
	c.loseLease(now, "the lease was not renewed in time", effects)
}

func (c *Core) loseLease(now time.Time, reason string, effects *core.Effects) {
	c.dropShards(reason, effects)
	c.lease = lease{dueAt: now}
}
