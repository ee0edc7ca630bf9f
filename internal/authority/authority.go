// Package authority decides whether this process may give orders to workers. At most one process may at a time: the one that
// holds a key of the store which goes with its lease. It is a pure state machine, is not safe for concurrent use, and takes
// time from a clock that never jumps.
package authority

import "time"

// Settings of an authority.
type Settings struct {
	// Handover is how long after it got the key a holder waits with its first order. The one before it may have given its last
	// order just before its lease ended, and two holders must not give orders within this time.
	Handover time.Duration
	// CallHandover is how long a holder that was none of late waits with its first call to the platform, which bars only holders
	// that take turns: as long as a call of the one before may be on its way beyond the end of its lease.
	CallHandover time.Duration
	// Margin by which a holder counts its lease shorter than the store does.
	Margin time.Duration
	// TickInterval is how often Tick is called. A longer pause shows that the process stood still.
	TickInterval time.Duration
	// ThawPause is how long no order is given after the process stood still.
	ThawPause time.Duration
}

// DefaultSettings for leases of three seconds.
func DefaultSettings() Settings {
	return Settings{
		Handover:     3500 * time.Millisecond,
		CallHandover: time.Second,
		Margin:       700 * time.Millisecond,
		TickInterval: 250 * time.Millisecond,
		ThawPause:    300 * time.Millisecond,
	}
}

// Authority of one process.
//
// Invariants: MayOrder and MayCall grant only while the lease with which the key goes is valid at the store, whenever the process
// stood still before the call; MayOrder never within Handover of getting a key that somebody held before; and each grant of the key
// has a fence of its own, higher than all before.
type Authority struct {
	settings Settings
	// lease that is valid until a moment by the own clock.
	lease      int64
	validUntil time.Time
	// heldWith is the lease with which the key goes; zero when the key is not held.
	keyLease int64
	fence    int64
	// orderFrom and callFrom are when the first order and the first call may be given, and notUntil keeps back both.
	orderFrom, callFrom, pausedUntil time.Time
	// ttl is that of leases. restoredAt is when the store came back from an older copy, and isDoubted is set until it has told since who
	// holds the key.
	ttl               time.Duration
	restoredAt        time.Time
	needsConfirmation bool
	lastTick          time.Time
}

// New returns an authority that holds nothing.
func New(settings Settings) *Authority { return &Authority{settings: settings} }

// Leased tells that a lease was granted or renewed by a call that began at a moment.
func (a *Authority) Leased(requestedAt time.Time, lease int64, ttl time.Duration) {
	a.lease, a.validUntil, a.ttl = lease, requestedAt.Add(ttl), ttl
}

// Restored tells that the store has come back from an older copy. Somebody else may have got the key in what is gone, and goes on until its
// lease ends by its own clock or it hears of this; so nothing is granted until the store has told who holds the key, and one that gets it
// from now on waits for that lease besides.
func (a *Authority) Restored(now time.Time) { a.restoredAt, a.needsConfirmation = now, true }

// Confirmed tells that the store, come back, holds the key for this process as before, with the fence that it has now.
func (a *Authority) Confirmed(fence int64) { a.fence, a.needsConfirmation = fence, false }

// Succession says who held the key before.
type Succession int

// The successions.
const (
	// Returning holders held the key of late, or may have.
	Returning Succession = iota
	// Following holders did not.
	Following
	// First holders are those before whom there was none.
	First
)

// Acquired tells that the key was written with a lease, at the revision that is its fence.
func (a *Authority) Acquired(now time.Time, lease, revision int64, succession Succession) {
	a.keyLease, a.fence = lease, revision
	previousCallFrom := a.callFrom
	a.orderFrom, a.callFrom = now.Add(a.settings.Handover), now.Add(a.settings.Handover)
	switch succession {
	case First:
		a.orderFrom, a.callFrom = now, now
	case Following:
		// One that follows itself may still have waited for those before.
		a.callFrom = laterOf(previousCallFrom, now.Add(a.settings.CallHandover))
	}
	a.needsConfirmation = false
	if !a.restoredAt.IsZero() {
		from := a.restoredAt.Add(a.ttl + a.settings.Handover)
		a.orderFrom, a.callFrom = laterOf(a.orderFrom, from), laterOf(a.callFrom, from)
	}
}

// later returns the later of two moments.
func laterOf(one, other time.Time) time.Time {
	if one.After(other) {
		return one
	}
	return other
}

// Lost tells that the key is not held any more.
func (a *Authority) Lost() { a.keyLease, a.fence = 0, 0 }

// Holds tells whether the key is held, as far as is known.
func (a *Authority) Holds() bool { return a.keyLease != 0 && a.keyLease == a.lease }

// Fence of the key that is held, or zero.
func (a *Authority) Fence() int64 { return a.fence }

// Tick notices that the process stood still.
func (a *Authority) Tick(now time.Time) {
	if !a.lastTick.IsZero() && now.Sub(a.lastTick) > 2*a.settings.TickInterval {
		a.postpone(now.Add(a.settings.ThawPause + a.settings.Margin))
	}
	a.lastTick = now
}

// MayOrder tells whether an order may be given at this moment, and its fence.
func (a *Authority) MayOrder(now time.Time) (int64, bool) {
	return a.permitted(now, a.orderFrom)
}

// MayCall tells whether the platform may be called at this moment in the name of all, and the fence of the call.
func (a *Authority) MayCall(now time.Time) (int64, bool) {
	return a.permitted(now, a.callFrom)
}

// may tells whether the lease is valid, the handover over, and the process has not stood still of late.
func (a *Authority) permitted(now, from time.Time) (int64, bool) {
	a.Tick(now)
	if !a.Holds() || a.needsConfirmation || now.Before(from) || now.Before(a.pausedUntil) || !now.Add(a.settings.Margin).Before(a.validUntil) {
		return 0, false
	}
	return a.fence, true
}

// postpone allows no order before a moment.
func (a *Authority) postpone(until time.Time) {
	if until.After(a.pausedUntil) {
		a.pausedUntil = until
	}
}
