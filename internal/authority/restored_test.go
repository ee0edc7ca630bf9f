package authority

import (
	"testing"
	"time"
)

// TestAHolderStopsUntilTheStoreHasToldWhoHoldsTheKey has the store come back from an older copy, in which the key is this holder's as before,
// or is nobody's.
func TestHolderStopsAfterRestoreUntilConfirmed(t *testing.T) {
	settings := DefaultSettings()
	a := New(settings)
	a.Leased(epoch, 1, time.Hour)
	a.Acquired(epoch, 1, 42, First)
	check := func(at time.Time) (bool, bool) {
		a.lastTick = time.Time{}
		_, order := a.MayOrder(at)
		_, call := a.MayCall(at)
		return order, call
	}
	now := epoch.Add(time.Minute)
	if order, call := check(now); !order || !call {
		t.Fatal("a holder that nothing speaks against may not act")
	}
	a.Restored(now)
	if order, call := check(now); order || call {
		t.Error("a holder acts before it is known who holds the key")
	}
	a.Confirmed(1 << 40)
	if order, call := check(now); !order || !call || a.Fence() != 1<<40 {
		t.Errorf("confirmed: order %t, call %t, fence %d", order, call, a.Fence())
	}
}

// TestWhoGetsTheKeyAfterAReturnWaitsForALease follows a holder of whom the store knows nothing any more.
func TestNewHolderAfterRestoreWaitsForOldLease(t *testing.T) {
	for _, succession := range []Succession{First, Following, Returning} {
		settings := DefaultSettings()
		a := New(settings)
		a.Restored(epoch)
		a.Leased(epoch, 1, ttl)
		a.Acquired(epoch.Add(100*time.Millisecond), 1, 7, succession)
		from := epoch.Add(ttl + settings.Handover)
		for _, offset := range []time.Duration{-time.Millisecond, time.Millisecond} {
			at := from.Add(offset)
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
