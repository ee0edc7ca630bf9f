package admission

import "time"

// returnPromises are the times at which refused callers were told to return.
type returnPromises struct {
	last time.Time
	due  map[uint64]time.Time
	// outgoing are the promises to send to the other gateways.
	outgoing []uint64
}

// promiseTolerance is how late a caller may return. It covers the way to the caller and back.
const promiseTolerance = time.Second

// maxPromises bounds the number of promises that are remembered.
const maxPromises = 4096

// maxPromiseTime is the longest time until a promise of another gateway is due. Longer ones are ignored.
const maxPromiseTime = 10 * time.Minute

// reserve returns the time at which a caller should return: the earliest, or the interval after the last promised time if that is later. It
// returns false, and promises nothing, if that is after the latest or if no slot becomes free, which an interval of zero tells.
func (p *returnPromises) reserve(now, earliest, latest time.Time, interval time.Duration, key func() uint64) (time.Time, bool) {
	if interval <= 0 {
		return time.Time{}, false
	}
	at := earliest
	if next := p.last.Add(interval); next.After(at) {
		at = next
	}
	if at.After(latest) {
		return time.Time{}, false
	}
	p.last = at
	if promised := key(); promised != 0 {
		p.record(now, promised, at)
		p.outgoing = append(p.outgoing, promised)
	}
	return at, true
}

// record remembers that the caller of a request was told to return at a time.
func (p *returnPromises) record(now time.Time, key uint64, at time.Time) {
	if len(p.due) >= maxPromises {
		p.expire(now)
	}
	if len(p.due) >= maxPromises {
		return
	}
	if p.due == nil {
		p.due = map[uint64]time.Time{}
	}
	p.due[key] = at
}

// expire removes the promises whose callers can't return in time any more.
func (p *returnPromises) expire(now time.Time) {
	for key, at := range p.due {
		if now.After(at.Add(promiseTolerance)) {
			delete(p.due, key)
		}
	}
}

// redeem reports whether a request returned when it was told to. Each promise is redeemed at most once, and one that is returned for early
// stands.
func (p *returnPromises) redeem(now time.Time, key func() uint64) bool {
	p.expire(now)
	if len(p.due) == 0 {
		return false
	}
	returned := key()
	at, found := p.due[returned]
	if !found || now.Before(at) {
		return false
	}
	delete(p.due, returned)
	return true
}

// Promise tells that the caller of a request was told to return.
type Promise struct {
	Group string
	Key   uint64
	// After is the time until then, from when the promise is sent.
	After time.Duration
}

// maxOutgoingPromises bounds the promises that are sent at a time. Callers return to any gateway, and those that are left out are decided
// on like others.
const maxOutgoingPromises = 64

// TakePromises returns the promises that were made since the last call.
func (c *Controller) TakePromises(now time.Time) []Promise {
	var promises []Promise
	for name, group := range c.groups {
		for _, key := range group.promises.outgoing {
			if at, stands := group.promises.due[key]; stands && len(promises) < maxOutgoingPromises {
				promises = append(promises, Promise{Group: name, Key: key, After: at.Sub(now)})
			}
		}
		group.promises.outgoing = nil
	}
	return promises
}

// ApplyPromises records promises that another gateway made.
func (c *Controller) ApplyPromises(now time.Time, promises []Promise) {
	for _, promise := range promises {
		if group, found := c.groups[promise.Group]; found && promise.After <= maxPromiseTime {
			group.promises.record(now, promise.Key, now.Add(promise.After))
		}
	}
}
