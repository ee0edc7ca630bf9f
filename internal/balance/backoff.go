package balance

import (
	"time"

	"github.com/granitebay/granitebay/internal/backend"
)

// BackOffSettings limits the back-off times that workers may ask for.
type BackOffSettings struct {
	// MaxDuration limits a back-off time. Without it, a worker that announces a wrong date would be out of use until
	// it restarts.
	MaxDuration time.Duration
}

// DefaultBackOffSettings returns the default settings.
func DefaultBackOffSettings() BackOffSettings { return BackOffSettings{MaxDuration: 10 * time.Minute} }

// backOff is the period for which a worker has asked for no requests. A repeated notice extends it and keeps its start.
type backOff struct{ since, until time.Time }

// backOffs maps the ID of a worker to its back-off. Entries outlive the registration of the worker.
//
// Invariant: a back-off ends only when its time has passed or the worker restarts. Successes, failures and ejections
// reflect what this gateway observes, and don't shorten what the worker has asked for.
type backOffs map[string]backOff

// BackOff stops requests to a worker for the duration that it asked for, and returns when the back-off ends. A
// repeated call may extend the back-off but not shorten it.
func (b *Balancer) BackOff(now time.Time, id string, duration time.Duration) time.Time {
	current := backOff{since: now, until: now.Add(min(duration, b.settings.BackOff.MaxDuration))}
	if previous := b.backOffs[id]; now.Before(previous.until) {
		current.since = previous.since
		if previous.until.After(current.until) {
			current.until = previous.until
		}
	}
	for other, otherBackOff := range b.backOffs {
		if !now.Before(otherBackOff.until) {
			delete(b.backOffs, other)
		}
	}
	b.backOffs[id] = current
	if state, found := b.workers[id]; found {
		state.backOff = current
	}
	return current.until
}

// BackOffUntil returns when the back-off of a worker ends. The time is in the past or zero if the worker is not
// backing off.
func (b *Balancer) BackOffUntil(id string) time.Time { return b.backOffs[id].until }

// ResponseStarted records that a worker has started to respond to a request, and so has accepted it.
func (b *Balancer) ResponseStarted(now time.Time, id string) {
	if state, found := b.workers[id]; found {
		state.respondedAt = now
	}
}

// RoleBackOffUntil returns when the first back-off of a role ends, if workers of the role back off and no other one has
// responded since the first of these back-offs began. The workers that have not been asked since then are likely to
// refuse requests, too. Otherwise it returns false.
func (b *Balancer) RoleBackOffUntil(now time.Time, group string, role backend.Role) (time.Time, bool) {
	var first backOff
	var respondedAt time.Time
	for _, state := range b.index.byGroup[group] {
		switch {
		case state.worker.Role != role || !state.inService(now):
		case !state.backingOff(now):
			respondedAt = later(respondedAt, state.respondedAt)
		case first == backOff{}:
			first = state.backOff
		default:
			first.since, first.until = earlier(first.since, state.backOff.since), earlier(first.until, state.backOff.until)
		}
	}
	return first.until, first != backOff{} && !respondedAt.After(first.since)
}

// earlier and later return the earlier and the later of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// backingOff reports whether the worker has asked for no requests.
func (s *workerState) backingOff(now time.Time) bool { return now.Before(s.backOff.until) }
