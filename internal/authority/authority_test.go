package authority

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// epoch is the start time of the tests.
var epoch = time.Unix(1000, 0)

const ttl = 3 * time.Second

// TestOrdersRequireValidLeaseAndHandover guards against orders without the key, within the handover, or near the end of
// the lease.
func TestOrdersRequireValidLeaseAndHandover(t *testing.T) {
	settings := DefaultSettings()
	a := New(settings)
	now := epoch
	// mayOrderAt ticks up to the given offset and reports whether an order is permitted then.
	mayOrderAt := func(offset time.Duration) bool {
		for now.Before(epoch.Add(offset)) {
			now = now.Add(settings.TickInterval)
			a.Tick(now)
		}
		_, allowed := a.MayOrder(now)
		return allowed
	}
	a.Leased(epoch, 1, ttl)
	if mayOrderAt(0) {
		t.Fatal("an order is permitted without the key")
	}
	a.Acquired(epoch, 1, 42, NewHolder)
	a.Leased(epoch.Add(2*time.Second), 1, ttl)
	if mayOrderAt(3 * time.Second) {
		t.Fatal("an order is permitted 3 s after the key was acquired, within the handover")
	}
	if !mayOrderAt(4 * time.Second) {
		t.Fatal("no order is permitted 4 s after the key was acquired, with a valid lease")
	}
	if fence, _ := a.MayOrder(now); fence != 42 {
		t.Fatalf("the fence is %d, want 42", fence)
	}
	if mayOrderAt(4500 * time.Millisecond) {
		t.Fatal("an order is permitted 0.5 s before the lease ends, although it may end before the order arrives")
	}
	a.Leased(now, 2, ttl)
	if mayOrderAt(4500 * time.Millisecond) {
		t.Fatal("an order is permitted with a key bound to an older lease")
	}
}

// TestSuspendedProcessWaits guards against an order by a process that was suspended and may have lost the key meanwhile.
func TestSuspendedProcessWaits(t *testing.T) {
	a := New(DefaultSettings())
	a.Leased(epoch, 1, time.Hour)
	a.Acquired(epoch, 1, 1, NewHolder)
	now := epoch
	for range 40 {
		now = now.Add(250 * time.Millisecond)
		a.Tick(now)
	}
	if _, allowed := a.MayOrder(now); !allowed {
		t.Fatal("no order is permitted 10 s after the key was acquired")
	}
	now = now.Add(4 * time.Second)
	if _, allowed := a.MayOrder(now); allowed {
		t.Fatal("an order is permitted just after the process was suspended for 4 s")
	}
}

// TestTwoHoldersNeverAlternateWithinLease guards against orders of different holders within a lease, and against
// decreasing fences, under suspended processes, lost renewals and expired leases. The clock includes suspended time.
func TestTwoHoldersNeverAlternateWithinLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if violation := simulateHolders(t, true); violation != "" {
			t.Fatal(violation)
		}
	})
}

// TestFirstHolderDoesNotWait guards against a delay in a new fleet, where no earlier holder can act.
func TestFirstHolderDoesNotWait(t *testing.T) {
	a := New(DefaultSettings())
	a.Leased(epoch, 1, ttl)
	a.Acquired(epoch, 1, 1, First)
	if _, allowed := a.MayOrder(epoch); !allowed {
		t.Error("the first holder may not give orders at once")
	}
	if _, allowed := a.MayCall(epoch); !allowed {
		t.Error("the first holder may not make calls at once")
	}
}

// TestHoldersNeverCallInTurns guards against a process that calls, then another, and then the first again within a
// lease.
func TestHoldersNeverCallInTurns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := DefaultSettings()
		processes := []*Authority{New(settings), New(settings), New(settings)}
		suspendedUntil := make([]time.Time, len(processes))
		holder, leaseUntil, revision := -1, epoch, int64(0)
		var previousHolders []int
		type call struct {
			process int
			at      time.Time
		}
		var calls []call
		now := epoch
		for range 300 {
			now = now.Add(settings.TickInterval)
			// The lease may also be given up early.
			if holder >= 0 && (now.After(leaseUntil) || rapid.IntRange(0, 20).Draw(t, "resigns") == 0) {
				if now.Before(leaseUntil) {
					processes[holder].Lost()
				}
				holder = -1
			}
			for i, process := range processes {
				if now.Before(suspendedUntil[i]) {
					continue
				}
				if rapid.IntRange(0, 40).Draw(t, "pause") == 0 {
					suspendedUntil[i] = now.Add(time.Duration(rapid.IntRange(1, 6000).Draw(t, "for")) * time.Millisecond)
					continue
				}
				if holder < 0 {
					revision++
					holder, leaseUntil = i, now.Add(ttl)
					succession := NewHolder
					switch {
					case len(previousHolders) == 0:
						succession = First
					case slices.Contains(previousHolders[:len(previousHolders)-1], i):
						succession = Returning
					}
					previousHolders = append(slices.DeleteFunc(previousHolders, func(other int) bool { return other == i }), i)
					process.Leased(now, revision, ttl)
					process.Acquired(now, revision, revision, succession)
				}
				if holder == i && rapid.IntRange(0, 3).Draw(t, "renew") > 0 {
					leaseUntil = now.Add(ttl)
					process.Leased(now, revision, ttl)
				}
				if _, allowed := process.MayCall(now); !allowed {
					continue
				}
				other := false
				for j := len(calls) - 1; j >= 0 && now.Sub(calls[j].at) < ttl; j-- {
					other = other || calls[j].process != i
					if other && calls[j].process == i {
						t.Fatalf("process %d called within a lease both before and after another process", i)
					}
				}
				calls = append(calls, call{i, now})
			}
		}
	})
}

// simulateHolders runs two processes on one key that are suspended at random, and returns a description of the first
// violation of the order of holders. The clocks of the processes include suspended time if clockIncludesSuspend is set.
func simulateHolders(t *rapid.T, clockIncludesSuspend bool) string {
	settings := DefaultSettings()
	processes := []*Authority{New(settings), New(settings)}
	suspended, suspendedUntil := make([]time.Duration, 2), make([]time.Time, 2)
	holder, leaseUntil, revision := -1, epoch, int64(0)
	var lastOrder time.Time
	lastHolder, lastFence := -1, int64(0)
	now := epoch
	for range 400 {
		now = now.Add(settings.TickInterval)
		if holder >= 0 && now.After(leaseUntil) {
			holder = -1
		}
		for i, process := range processes {
			if now.Before(suspendedUntil[i]) {
				continue
			}
			if rapid.IntRange(0, 60).Draw(t, "pause") == 0 {
				length := time.Duration(rapid.IntRange(1, 8000).Draw(t, "for")) * time.Millisecond
				suspendedUntil[i] = now.Add(length)
				suspended[i] += length
				continue
			}
			clock := now
			if !clockIncludesSuspend {
				clock = now.Add(-suspended[i])
			}
			if holder < 0 {
				revision++
				holder, leaseUntil = i, now.Add(ttl)
				process.Leased(clock, revision, ttl)
				process.Acquired(clock, revision, revision, NewHolder)
			}
			if holder == i && rapid.IntRange(0, 3).Draw(t, "renew") > 0 {
				leaseUntil = now.Add(ttl)
				process.Leased(clock, revision, ttl)
			}
			fence, allowed := process.MayOrder(clock)
			if !allowed {
				continue
			}
			if i != lastHolder && lastHolder >= 0 && now.Sub(lastOrder) < ttl {
				return fmt.Sprintf("processes %d and %d gave orders within %s", lastHolder, i, now.Sub(lastOrder))
			}
			if fence < lastFence {
				return fmt.Sprintf("the fence decreased from %d to %d at process %d", lastFence, fence, i)
			}
			lastOrder, lastHolder, lastFence = now, i, fence
		}
	}
	return ""
}

// TestClockWithoutSuspendedTimeIsDetected guards against a TestTwoHoldersNeverAlternateWithinLease that cannot fail:
// holders alternate if their clocks exclude suspended time.
func TestClockWithoutSuspendedTimeIsDetected(t *testing.T) {
	found := false
	for seed := range 200 {
		found = found || rapid.Custom(func(t *rapid.T) string { return simulateHolders(t, false) }).Example(seed) != ""
	}
	if !found {
		t.Error("no simulation of 200 shows holders that alternate")
	}
}

// TestReacquiringHolderWaitsForEarlierHolders guards against a holder that loses the key and acquires it again while
// it waits for an earlier holder: it must not shorten that wait.
func TestReacquiringHolderWaitsForEarlierHolders(t *testing.T) {
	settings := DefaultSettings()
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	a := New(settings)
	a.Leased(at(250), 1, ttl)
	a.Acquired(at(250), 1, 1, First)
	a.Lost()
	a.Leased(at(1750), 3, ttl)
	a.Acquired(at(1750), 3, 3, Returning)
	a.Lost()
	a.Leased(at(2000), 4, ttl)
	a.Acquired(at(2000), 4, 4, NewHolder)
	for ms := 2000; ms < 1750+int(settings.Handover.Milliseconds()); ms += 50 {
		// Skip the detection of suspension.
		a.lastTick = time.Time{}
		a.Leased(at(ms), 4, ttl)
		if _, allowed := a.MayCall(at(ms)); allowed {
			t.Fatalf("a call is permitted %d ms after the earlier holder may have called", ms-1750)
		}
	}
}
