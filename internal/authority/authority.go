// Package authority decides whether this process may act as the elected controller, which gives orders to workers and
// calls the platform. At most one process may at a time: the holder of a key in the store that is bound to its lease.
// It is a pure state machine, not safe for concurrent use, and expects times of a monotonic clock that includes
// suspended time.
package authority

import "time"

// Settings configures an authority.
type Settings struct {
	// Handover is how long a new holder waits before its first order. Its predecessor may have given its last order just
	// before its lease ended, and the orders of two holders must be at least Handover apart.
	Handover time.Duration
	// CallHandover replaces Handover for calls to the platform if the holder is a NewHolder. It covers calls of the
	// predecessor that are still in transit when its lease ends. It may be shorter than Handover, as the platform
	// rejects only holders that alternate.
	CallHandover time.Duration
	// ExpiryMargin is how much earlier than the store a holder considers its lease expired.
	ExpiryMargin time.Duration
	// TickInterval is how often Tick is called. A gap of more than twice as long means that the process was suspended.
	TickInterval time.Duration
	// ResumeDelay is how long, in addition to ExpiryMargin, orders and calls are denied after the process was suspended.
	ResumeDelay time.Duration
}

// DefaultSettings returns settings for leases of three seconds.
func DefaultSettings() Settings {
	return Settings{
		Handover:     3500 * time.Millisecond,
		CallHandover: time.Second,
		ExpiryMargin: 700 * time.Millisecond,
		TickInterval: 250 * time.Millisecond,
		ResumeDelay:  300 * time.Millisecond,
	}
}

// Authority is the state of one process.
//
// Invariants: MayOrder and MayCall permit only while the lease of the key is valid at the store, even if the process was
// suspended just before the call; MayOrder never permits within Handover of acquiring a key that another process held
// before; and each acquisition of the key has a fence higher than all earlier ones.
type Authority struct {
	settings Settings
	// lease is the ID of the current lease, which is valid until validUntil by the clock of this process.
	lease      int64
	validUntil time.Time
	// keyLease is the lease that the key is bound to; zero if the key is not held.
	keyLease int64
	fence    int64
	// orderFrom and callFrom are when the first order and the first call are permitted; pausedUntil delays both.
	orderFrom, callFrom, pausedUntil time.Time
	// ttl is the duration of leases. restoredAt is when the store was last restored from a backup, and
	// needsConfirmation is set until the store has reported since then who holds the key.
	ttl               time.Duration
	restoredAt        time.Time
	needsConfirmation bool
	lastTick          time.Time
}

// New returns an authority without a lease or key.
func New(settings Settings) *Authority { return &Authority{settings: settings} }

// Leased records that a lease was granted or renewed by a call that started at requestedAt.
func (a *Authority) Leased(requestedAt time.Time, lease int64, ttl time.Duration) {
	a.lease, a.validUntil, a.ttl = lease, requestedAt.Add(ttl), ttl
}

// Restored records that the store was restored from a backup. Another process may have acquired the key after the
// backup was made. It acts until its lease ends by its clock or until it learns of the restore. So orders and calls are
// denied until the store has reported who holds the key, and a holder that acquires it from now on waits until the TTL
// and Handover have passed since the restore.
func (a *Authority) Restored(now time.Time) { a.restoredAt, a.needsConfirmation = now, true }

// Confirmed records that this process holds the key in the restored store, with its current fence.
func (a *Authority) Confirmed(fence int64) { a.fence, a.needsConfirmation = fence, false }

// Succession describes who held the key before.
type Succession int

// The kinds of succession.
const (
	// Returning holders held the key recently, or may have.
	Returning Succession = iota
	// NewHolder holders did not hold the key recently.
	NewHolder
	// First holders have no predecessor.
	First
)

// Acquired records that the key was written with a lease. The fence is the revision of that write.
func (a *Authority) Acquired(now time.Time, lease, fence int64, succession Succession) {
	a.keyLease, a.fence = lease, fence
	previousCallFrom := a.callFrom
	a.orderFrom, a.callFrom = now.Add(a.settings.Handover), now.Add(a.settings.Handover)
	switch succession {
	case First:
		a.orderFrom, a.callFrom = now, now
	case NewHolder:
		// A holder that succeeds itself may still be waiting for earlier holders.
		a.callFrom = laterOf(previousCallFrom, now.Add(a.settings.CallHandover))
	}
	a.needsConfirmation = false
	if !a.restoredAt.IsZero() {
		from := a.restoredAt.Add(a.ttl + a.settings.Handover)
		a.orderFrom, a.callFrom = laterOf(a.orderFrom, from), laterOf(a.callFrom, from)
	}
}

// laterOf returns the later of two times.
func laterOf(one, other time.Time) time.Time {
	if one.After(other) {
		return one
	}
	return other
}

// Lost records that the key is no longer held.
func (a *Authority) Lost() { a.keyLease, a.fence = 0, 0 }

// Holds reports whether the key is held, as far as known.
func (a *Authority) Holds() bool { return a.keyLease != 0 && a.keyLease == a.lease }

// Fence returns the fence of the key, or zero if it is not held.
func (a *Authority) Fence() int64 { return a.fence }

// Tick detects that the process was suspended. Call it every TickInterval.
func (a *Authority) Tick(now time.Time) {
	if !a.lastTick.IsZero() && now.Sub(a.lastTick) > 2*a.settings.TickInterval {
		a.postpone(now.Add(a.settings.ResumeDelay + a.settings.ExpiryMargin))
	}
	a.lastTick = now
}

// MayOrder reports whether an order is permitted now, and returns its fence.
func (a *Authority) MayOrder(now time.Time) (int64, bool) {
	return a.permitted(now, a.orderFrom)
}

// MayCall reports whether a call to the platform is permitted now, and returns its fence.
func (a *Authority) MayCall(now time.Time) (int64, bool) {
	return a.permitted(now, a.callFrom)
}

// permitted reports whether the lease is valid, the handover is over, and the process was not suspended recently.
func (a *Authority) permitted(now, from time.Time) (int64, bool) {
	a.Tick(now)
	if !a.Holds() || a.needsConfirmation || now.Before(from) || now.Before(a.pausedUntil) || !now.Add(a.settings.ExpiryMargin).Before(a.validUntil) {
		return 0, false
	}
	return a.fence, true
}

// postpone denies all orders and calls before the given time.
func (a *Authority) postpone(until time.Time) {
	if until.After(a.pausedUntil) {
		a.pausedUntil = until
	}
}
