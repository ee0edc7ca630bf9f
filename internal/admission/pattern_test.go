package admission

import (
	"fmt"
	"testing"
	"time"
)

// capacity is how many requests a second the engine of the patterns serves.
const (
	patternSlots = 48
	capacity     = patternSlots * float64(time.Second) / float64(patternService)
)

// threePriorities returns three kinds that ask for equal shares of a multiple of the capacity.
func threePriorities(multiple float64) []loadKind {
	var kinds []loadKind
	for priority := range 3 {
		kinds = append(kinds, loadKind{
			name: fmt.Sprint("p", priority), priority: priority, tokens: 800, objective: 200 * time.Millisecond,
			perSecond: steadily(multiple * capacity / 3),
		})
	}
	return kinds
}

// TestTwoTimesTooLittleRoomWithThreePriorities plays "2 times too little room with three priorities": an overload in which the urgent pay
// for the others. The most urgent ask for two thirds of the room, so that all but those that meet the floors of others are in time; the
// middle ones have the rest; of the least urgent the floor is served, and no caller holds on for nothing for long.
func TestTwoTimesTooLittleRoomWithThreePriorities(t *testing.T) {
	run := pattern{slots: patternSlots, gateways: 4, lasts: 20 * time.Second, kinds: threePriorities(2)}.play()
	run.logTallies(t)
	first, middle, last := run.tallies["p0"], run.tallies["p1"], run.tallies["p2"]
	if first.share(first.inTime) < 0.95 {
		t.Errorf("%.2f of the most urgent are in time, want 0.95", first.share(first.inTime))
	}
	if served := middle.share(middle.inTime + middle.late); served < 0.3 {
		t.Errorf("%.2f of the middle ones are served, want 0.3", served)
	}
	if served := last.share(last.inTime + last.late); served < 0.9*wantFloor {
		t.Errorf("%.2f of the least urgent are served, want the floor", served)
	}
	served := 0
	for _, counts := range run.tallies {
		served += counts.inTime + counts.late
	}
	if used := float64(served) / (capacity * run.lasts.Seconds()); used < 0.95 {
		t.Errorf("%.2f of the room is used, want 0.95: refusals must not leave slots idle", used)
	}
	if run.idleWhile > 0 {
		t.Errorf("%d requests were refused although a slot was free", run.idleWhile)
	}
}

// TestOneTenantWithTenTimesItsShare plays "one tenant with ten times its share": the surge of a large tenant that others pay for. The others
// together ask for less than the room and must be in time as without it; the surge gets what they leave. Each of the many gateways sees few
// requests of each tenant, which is why not all of the others are told from the surge.
func TestOneTenantWithTenTimesItsShare(t *testing.T) {
	const tenants = 20
	var kinds []loadKind
	for i := range tenants {
		perSecond := 0.8 * capacity / tenants
		if i == 0 {
			perSecond *= 10
		}
		kinds = append(kinds, loadKind{
			name: fmt.Sprint("t", i), tenant: fmt.Sprint("t", i), tokens: 800, objective: 200 * time.Millisecond, perSecond: steadily(perSecond),
		})
	}
	run := pattern{slots: patternSlots, gateways: 20, lasts: 20 * time.Second, kinds: kinds}.play()
	others := tally{}
	for i := 1; i < tenants; i++ {
		counts := run.tallies[fmt.Sprint("t", i)]
		others.asked += counts.asked
		others.inTime += counts.inTime
	}
	surge := *run.tallies["t0"]
	t.Logf("others in time %.2f of %d, surge in time %.2f late %.2f of %d", others.share(others.inTime), others.asked, surge.share(surge.inTime),
		surge.share(surge.late), surge.asked)
	if others.share(others.inTime) < 0.9 {
		t.Errorf("%.2f of the others are in time, want 0.9", others.share(others.inTime))
	}
	if served := surge.inTime + surge.late; float64(served) < 0.8*(capacity*run.lasts.Seconds()-float64(others.inTime)) {
		t.Errorf("%d of the surge are served: what the others leave must be used", served)
	}
}

// TestAllReturnAtOnceAfterAStop plays "all return at once after a stop": refused callers that all come back at one moment and are refused
// again. In no tenth of a second may more return than are served in it, but for chance, and few may be refused again.
func TestAllReturnAtOnceAfterAStop(t *testing.T) {
	kinds := threePriorities(0.6)
	run := pattern{
		slots: patternSlots, gateways: 4, lasts: 10 * time.Second, kinds: kinds,
		stopped: func(since time.Duration) bool { return since > 2*time.Second && since < 5*time.Second },
	}.play()
	run.logTallies(t)
	perWindow := map[int64]int{}
	for _, at := range run.returnsAt {
		perWindow[at.UnixMilli()/100]++
	}
	for window, n := range perWindow {
		if float64(n) > 2.5*capacity/10 {
			t.Errorf("%d callers are told to return in window %d, want at most %.0f", n, window, 2.5*capacity/10)
		}
	}
	twice, refused := 0, len(run.returnsAt)
	for _, counts := range run.tallies {
		twice += counts.refusedTwice
	}
	if refused == 0 || float64(twice) > 0.1*float64(refused) {
		t.Errorf("%d of %d refused callers are refused again, want at most a tenth", twice, refused)
	}
}

// TestTwoKindsThatSwingEvery3Seconds plays "two kinds that swing every 3 s": a decision that lags behind the load. The urgent ones alone fit
// at their peaks and must be in time then; the others are served in the time between.
func TestTwoKindsThatSwingEvery3Seconds(t *testing.T) {
	const swing = 3 * time.Second
	alternating := func(phase int64) func(time.Duration) float64 {
		return func(since time.Duration) float64 {
			if int64(since/swing)%2 == phase {
				return 0.9 * capacity
			}
			return 0.3 * capacity
		}
	}
	run := pattern{slots: patternSlots, gateways: 4, lasts: 24 * time.Second, kinds: []loadKind{
		{name: "urgent", priority: 0, tokens: 800, objective: 200 * time.Millisecond, perSecond: alternating(0)},
		{name: "other", priority: 2, tokens: 12_000, objective: 800 * time.Millisecond, perSecond: alternating(1)},
	}}.play()
	run.logTallies(t)
	urgent, other := run.tallies["urgent"], run.tallies["other"]
	if urgent.share(urgent.inTime) < 0.95 {
		t.Errorf("%.2f of the urgent are in time, want 0.95", urgent.share(urgent.inTime))
	}
	// Both ask for 1.2 times the room: what the urgent leave is 0.4 of 0.6.
	if served := other.share(other.inTime + other.late); served < 0.55 {
		t.Errorf("%.2f of the others are served, want 0.55", served)
	}
}

// TestCutOffGatewayKeepsTheOrder plays the first pattern with one gateway that learns nothing of the others: its requests must keep their
// order at the engine, since the engine's queue is where the gateways meet.
func TestCutOffGatewayKeepsTheOrder(t *testing.T) {
	run := pattern{slots: patternSlots, gateways: 3, lasts: 20 * time.Second, kinds: threePriorities(2), cutOff: 1}.play()
	run.logTallies(t)
	first, last := run.tallies["p0"], run.tallies["p2"]
	if first.share(first.inTime) < 0.9 {
		t.Errorf("%.2f of the most urgent are in time, want 0.9", first.share(first.inTime))
	}
	if served := last.share(last.inTime + last.late); served < 0.9*wantFloor {
		t.Errorf("%.2f of the least urgent are served, want the floor", served)
	}
}

// TestUrgentAloneExceedTheRoom plays "the most urgent alone ask for 1.2 times the room": a queue of requests in time that grows to just the
// length at which all of them are late. The floors of the others and the promises take a fifth of the room; of what the urgent ask for, half
// of the rest must be in time at least, and no caller may hold on for nothing.
func TestUrgentAloneExceedTheRoom(t *testing.T) {
	kinds := threePriorities(1.2)
	kinds[0].perSecond = steadily(1.2 * capacity)
	run := pattern{slots: patternSlots, gateways: 4, lasts: 20 * time.Second, kinds: kinds}.play()
	run.logTallies(t)
	urgent := run.tallies["p0"]
	if urgent.share(urgent.inTime) < 0.4 {
		t.Errorf("%.2f of the urgent are in time, want 0.4", urgent.share(urgent.inTime))
	}
	if urgent.share(urgent.left) > 0.05 {
		t.Errorf("%.2f of the urgent left, want at most 0.05", urgent.share(urgent.left))
	}
}
