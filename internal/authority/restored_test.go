package authority

import (
	"testing"
	"time"
)

// TestHolderStopsAfterRestoreUntilConfirmed guards against a holder that acts after a restore of the store before it
// is known who holds the key.
func TestHolderStopsAfterRestoreUntilConfirmed(t *testing.T) {
	settings := DefaultSettings()
	a := New(settings)
	a.Leased(epoch, 1, time.Hour)
	a.Acquired(epoch, 1, 42, First)
	check := func(at time.Time) (bool, bool) {
		// Skip the detection of suspension.
		a.lastTick = time.Time{}
		_, order := a.MayOrder(at)
		_, call := a.MayCall(at)
		return order, call
	}
	now := epoch.Add(time.Minute)
	if order, call := check(now); !order || !call {
		t.Fatalf("before the restore: order %t, call %t, want both", order, call)
	}
	a.Restored(now)
	if order, call := check(now); order || call {
		t.Errorf("before it is known who holds the key: order %t, call %t, want neither", order, call)
	}
	a.Confirmed(1 << 40)
	if order, call := check(now); !order || !call || a.Fence() != 1<<40 {
		t.Errorf("confirmed: order %t, call %t, fence %d", order, call, a.Fence())
	}
}

// TestNewHolderAfterRestoreWaitsForOldLease guards against a new holder that acts while a holder unknown to the
// restored store may still act.
func TestNewHolderAfterRestoreWaitsForOldLease(t *testing.T) {
	for _, succession := range []Succession{First, NewHolder, Returning} {
		settings := DefaultSettings()
		a := New(settings)
		a.Restored(epoch)
		a.Leased(epoch, 1, ttl)
		a.Acquired(epoch.Add(100*time.Millisecond), 1, 7, succession)
		from := epoch.Add(ttl + settings.Handover)
		for _, offset := range []time.Duration{-time.Millisecond, time.Millisecond} {
			at := from.Add(offset)
			// Skip the detection of suspension.
			a.lastTick = time.Time{}
			a.Leased(at, 1, ttl)
			_, order := a.MayOrder(at)
			_, call := a.MayCall(at)
			if want := offset > 0; order != want || call != want {
				t.Errorf("succession %d, %s from the end of the wait: order %t, call %t", succession, offset, order, call)
			}
		}
	}
}
