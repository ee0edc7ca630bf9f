package balance

import "time"

// BackOffSettings limits the back-off times that workers may ask for.
type BackOffSettings struct {
	// MaxDuration limits a back-off time. Without it, a worker that announces a wrong date would be out of use until
	// it restarts.
	MaxDuration time.Duration
}

// DefaultBackOffSettings returns the default settings.
func DefaultBackOffSettings() BackOffSettings { return BackOffSettings{MaxDuration: 10 * time.Minute} }

// backOffs maps the ID of a worker to the time until which it has asked for no requests. Entries outlive the
// registration of the worker.
//
// Invariant: a back-off ends only when its time has passed or the worker restarts. Successes, failures and ejections
// reflect what this gateway observes, and don't shorten what the worker has asked for.
type backOffs map[string]time.Time

// BackOff stops requests to a worker for the duration that it asked for, and returns when the back-off ends. A
// repeated call may extend the back-off but not shorten it.
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

// BackOffUntil returns when the back-off of a worker ends. The time is in the past or zero if the worker is not
// backing off.
func (b *Balancer) BackOffUntil(id string) time.Time { return b.backOffs[id] }

// backingOff reports whether the worker has asked for no requests.
func (s *workerState) backingOff(now time.Time) bool { return now.Before(s.backOffUntil) }
