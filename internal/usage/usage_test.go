package usage

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// However counts are told, doubled, late or in part, a sum is never above what was counted, and is that once all was told.
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
			who := rapid.IntRange(0, len(tallies)-1).Draw(t, "who")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				tallies[who].Add(window, "a")
				total++
			case 1:
				messages, senders = append(messages, tallies[who].Untold()), append(senders, who)
			case 2:
				messages, senders = append(messages, tallies[who].All(epoch)), append(senders, who)
			case 3:
				if len(messages) > 0 {
					i := rapid.IntRange(0, len(messages)-1).Draw(t, "message")
					tallies[who].Merge(epoch, fmt.Sprint("g", senders[i]), messages[i])
				}
			}
			if sum := tallies[who].Sum(window)["a"]; sum > total {
				t.Fatalf("%d of %d requests", sum, total)
			}
		}
		for from := range tallies {
			counts := tallies[from].All(epoch)
			for to := range tallies {
				tallies[to].Merge(epoch, fmt.Sprint("g", from), counts)
			}
		}
		for _, tally := range tallies {
			if sum := tally.Sum(window)["a"]; sum != total {
				t.Fatalf("%d of %d requests", sum, total)
			}
		}
	})
}

func TestPeersForwardCountsOfDeadGateway(t *testing.T) {
	dead, peer, other := NewTally("dies", 1), NewTally("heard", 1), NewTally("late", 1)
	dead.Add(7, "a")
	peer.Merge(epoch, "dies", dead.Untold())
	other.Merge(epoch.Add(time.Second), "heard", peer.All(epoch.Add(time.Second)))
	if sum := other.Sum(7)["a"]; sum != 0 {
		t.Fatalf("the counts of a gateway that lives are told by another: %d", sum)
	}
	now := epoch.Add(silenceTimeout + time.Millisecond)
	other.Merge(now, "heard", peer.All(now))
	// It comes back, and counts anew.
	restarted := NewTally("dies", 2)
	restarted.Add(7, "a")
	other.Merge(now, "dies", restarted.All(now))
	if sum := other.Sum(7)["a"]; sum != 2 {
		t.Fatalf("got %d requests, want 2", sum)
	}
}

func TestRequestAfterFinalizationCountsInNextWindow(t *testing.T) {
	tally := NewTally("g", 1)
	tally.Add(7, "a")
	tally.Agreed(8)
	tally.Add(7, "a")
	if before, after := tally.Sum(7)["a"], tally.Sum(8)["a"]; before != 0 || after != 1 {
		t.Fatalf("got %d and %d", before, after)
	}
}

func TestClockUsesMedian(t *testing.T) {
	steady, wall := time.Duration(0), epoch
	clock := NewClock(func() (time.Duration, time.Time) { return steady, wall })
	expect := func(desc string, ahead time.Duration) {
		t.Helper()
		if got := clock.Now().Sub(epoch); got != ahead {
			t.Errorf("%s: got %v ahead, want %v", desc, got, ahead)
		}
	}
	expect("alone", 0)
	for i, ms := range []time.Duration{2, 10, -3000, 5} {
		clock.Heard(fmt.Sprint("g", i), epoch.Add(ms*time.Millisecond))
	}
	expect("one other is behind", 2*time.Millisecond)
	steady, wall = time.Second, epoch.Add(3*time.Second)
	expect("the own clock has jumped", time.Second+5*time.Millisecond)
	steady, wall = 2*readingTTL, epoch.Add(2*readingTTL)
	expect("the others are silent", 2*readingTTL)
}
