package balance

import "time"

// BackOffSettings bound the times for which workers want no requests of this gateway.
type BackOffSettings struct {
	// Longest is how long such a time may be. A worker that is out for longer is replaced or looked after by people; a longer one, as of a
	// date that was written wrong, would take a worker that lives out of use until its next start.
	MaxDuration time.Duration
}

// DefaultBackOffSettings keep times of up to ten minutes, which is longer than a worker takes to load what it serves.
func DefaultBackOffSettings() BackOffSettings { return BackOffSettings{MaxDuration: 10 * time.Minute} }

// backOffs are until when workers want no requests of this gateway, by the ids of their incarnations. They outlast records that go and
// come again.
//
// Invariant: nothing but its time and the next start of its worker ends one. Failures, successes and a worker that is set aside or answers
// connections again have no part in it: those are what this gateway thinks of a worker, and this is what the worker asked for.
type backOffs map[string]time.Time

// BackOff keeps requests off a worker for a time, as it asked for. One that asks again may lengthen the time. It returns until when.
func (b *Balancer) BackOff(now time.Time, id string, duration time.Duration) time.Time {
	until := now.Add(min(duration, b.settings.BackOff.MaxDuration))
	if previous := b.backOffs[id]; previous.After(until) {
		until = previous
	}
	for other, otherUntil := range b.backOffs {
		if !now.Before(otherUntil) {
			delete(b.backOffs, other)
		}
	}
	b.backOffs[id] = until
	if state, found := b.workers[id]; found {
		state.backOffUntil = until
	}
	return until
}

// BacksOffUntil returns until when a worker wants no requests; a time that has passed if it takes them.
func (b *Balancer) BacksOffUntil(id string) time.Time { return b.backOffs[id] }

// backsOff tells whether the worker wants no requests of this gateway.
func (s *workerState) backingOff(now time.Time) bool { return now.Before(s.backOffUntil) }
