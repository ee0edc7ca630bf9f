package admission

import "time"

// promiseBook holds the times at which refused callers were told to return.
type promiseBook struct {
	last time.Time
	due  map[uint64]time.Time
}

// promiseTolerance is how late a caller may return. It covers the way to the caller and back.
const promiseTolerance = time.Second

// maxPromises bounds the number of promises that are remembered.
const maxPromises = 4096

// reserve returns the time at which a caller should return: the wanted time, or the interval after the last reserved one if that is later.
func (p *promiseBook) reserve(wanted time.Time, interval time.Duration, key func() uint64) time.Time {
	if next := p.last.Add(interval); next.After(wanted) {
		wanted = next
	}
	p.last = wanted
	p.record(key(), wanted)
	return wanted
}

// record remembers that the caller of a request was told to return at a time.
func (p *promiseBook) record(key uint64, at time.Time) {
	if key == 0 || len(p.due) >= maxPromises {
		return
	}
	if p.due == nil {
		p.due = map[uint64]time.Time{}
	}
	p.due[key] = at
}

// redeem reports whether a request returned when it was told to. Each promise is redeemed at most once, and one that is returned for early
// stands.
func (p *promiseBook) redeem(now time.Time, key func() uint64) bool {
	for other, at := range p.due {
		if now.After(at.Add(promiseTolerance)) {
			delete(p.due, other)
		}
	}
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
