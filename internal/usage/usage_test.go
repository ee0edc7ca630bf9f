package usage

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestCountsAreSummedOnce guards against counting requests twice or losing them when messages are duplicated, delayed
// or partial.
func TestCountsAreSummedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 7
		tallies := make([]*Tally, 4)
		for i := range tallies {
			tallies[i] = NewTally(fmt.Sprint("g", i), 1)
		}
		total := int64(0)
		var messages [][]Count
		var senders []int
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			gateway := rapid.IntRange(0, len(tallies)-1).Draw(t, "gateway")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				tallies[gateway].Add(window, "a")
				total++
			case 1:
				messages, senders = append(messages, tallies[gateway].TakeUnsent()), append(senders, gateway)
			case 2:
				messages, senders = append(messages, tallies[gateway].TakeAll(epoch)), append(senders, gateway)
			case 3:
				if len(messages) > 0 {
					i := rapid.IntRange(0, len(messages)-1).Draw(t, "message")
					tallies[gateway].Merge(epoch, fmt.Sprint("g", senders[i]), messages[i])
				}
			}
			if sum := tallies[gateway].Sum(window)["a"]; sum > total {
				t.Fatalf("gateway %d counts %d requests, want at most %d", gateway, sum, total)
			}
		}
		for from := range tallies {
			counts := tallies[from].TakeAll(epoch)
			for to := range tallies {
				tallies[to].Merge(epoch, fmt.Sprint("g", from), counts)
			}
		}
		for _, tally := range tallies {
			if sum := tally.Sum(window)["a"]; sum != total {
				t.Fatalf("%d requests are counted, want %d", sum, total)
			}
		}
	})
}

// TestPeersForwardCountsOfDeadGateway guards against losing the counts of a terminated gateway, forwarding those of a
// live one, and replacing counts when a gateway restarts.
func TestPeersForwardCountsOfDeadGateway(t *testing.T) {
	dead, peer, other := NewTally("dead", 1), NewTally("peer", 1), NewTally("other", 1)
	dead.Add(7, "a")
	peer.Merge(epoch, "dead", dead.TakeUnsent())
	other.Merge(epoch.Add(time.Second), "peer", peer.TakeAll(epoch.Add(time.Second)))
	if sum := other.Sum(7)["a"]; sum != 0 {
		t.Fatalf("the counts of a live gateway were forwarded: %d", sum)
	}
	now := epoch.Add(silenceTimeout + time.Millisecond)
	other.Merge(now, "peer", peer.TakeAll(now))
	// The gateway restarts and counts again.
	restarted := NewTally("dead", 2)
	restarted.Add(7, "a")
	other.Merge(now, "dead", restarted.TakeAll(now))
	if sum := other.Sum(7)["a"]; sum != 2 {
		t.Fatalf("got %d requests, want 2", sum)
	}
}

// TestRequestAfterFinalizationCountsInNextWindow guards against losing requests whose window is already finalized. The
// counts of the finalized window are dropped, as the store holds them.
func TestRequestAfterFinalizationCountsInNextWindow(t *testing.T) {
	tally := NewTally("g", 1)
	tally.Add(7, "a")
	tally.Finalized(8)
	tally.Add(7, "a")
	if before, after := tally.Sum(7)["a"], tally.Sum(8)["a"]; before != 0 || after != 1 {
		t.Fatalf("got %d requests in the finalized window and %d in the next one, want 0 and 1", before, after)
	}
}

// TestClockUsesMedian guards against windows that move when the clock of one machine jumps.
func TestClockUsesMedian(t *testing.T) {
	monotonic, wall := time.Duration(0), epoch
	clock := NewClock(func() (time.Duration, time.Time) { return monotonic, wall })
	expect := func(desc string, ahead time.Duration) {
		t.Helper()
		if got := clock.Now().Sub(epoch); got != ahead {
			t.Errorf("%s: got %v ahead, want %v", desc, got, ahead)
		}
	}
	expect("no peers", 0)
	for i, ms := range []time.Duration{2, 10, -3000, 5} {
		clock.ObservePeer(fmt.Sprint("g", i), epoch.Add(ms*time.Millisecond))
	}
	expect("one peer is behind", 2*time.Millisecond)
	monotonic, wall = time.Second, epoch.Add(3*time.Second)
	expect("the own clock has jumped", time.Second+5*time.Millisecond)
	monotonic, wall = 2*readingTTL, epoch.Add(2*readingTTL)
	expect("the peers are silent", 2*readingTTL)
}
