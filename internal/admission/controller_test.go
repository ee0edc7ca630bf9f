package admission

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// start is when all tests begin.
var start = time.Unix(1000, 0)

// newTestController returns a controller of group g with three priorities.
func newTestController() *Controller {
	controller := NewController(DefaultSettings())
	controller.SetPriorities(map[string][]Priority{"g": {{Rule: 0}, {Rule: 3}, {Rule: 9}}})
	return controller
}

// drawRequest draws a request that arrived at the start.
func drawRequest(t *rapid.T) Request {
	return Request{
		Group: "g", Priority: Priority{Rule: rapid.SampledFrom([]int{0, 3, 9}).Draw(t, "priority")}, Tenant: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "tenant"),
		Tokens: rapid.IntRange(1, 10_000).Draw(t, "tokens"), Arrived: start,
		Objective: time.Duration(rapid.IntRange(1, 1000).Draw(t, "objective")) * time.Millisecond,
		Deadline:  start.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "patience")) * time.Millisecond),
		Waited:    rapid.Bool().Draw(t, "waited"), Committed: rapid.Bool().Draw(t, "committed"),
	}
}

// drawOutlook draws an outlook. A slot is free in half of them.
func drawOutlook(t *rapid.T) Outlook {
	queue := time.Duration(rapid.IntRange(0, 4000).Draw(t, "queue")) * time.Millisecond
	outlook := Outlook{
		QueueWait: queue, Start: queue + time.Duration(rapid.IntRange(1, 800).Draw(t, "unloaded"))*time.Millisecond,
		Prefills: rapid.Bool().Draw(t, "prefills"), SlotInterval: time.Millisecond,
	}
	outlook.YieldingStart = outlook.Start + time.Duration(rapid.IntRange(0, 2000).Draw(t, "yielded"))*time.Millisecond
	if rapid.Bool().Draw(t, "full") {
		outlook.FreeAt = start.Add(queue)
	}
	return outlook
}

// TestNothingIsHeldBackWhileThereIsRoom guards against refusals and waits although a slot is free, a second wait, a wait past the time at
// which the caller leaves, and refusals of requests that a worker may have worked for.
func TestNothingIsHeldBackWhileThereIsRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		controller := newTestController()
		for range rapid.IntRange(1, 20).Draw(t, "requests") {
			request, outlook := drawRequest(t), drawOutlook(t)
			ordered := controller.groups["g"].contended(start)
			switch decision := controller.Decide(start, request, outlook).(type) {
			case Start:
				if decision.Urgency < 0 || decision.Urgency >= urgencies {
					t.Fatalf("urgency %d is out of range", decision.Urgency)
				}
				hasRoom := outlook.FreeAt.IsZero() && !outlook.late(start, request, 1)
				if hasRoom && !ordered && decision != (Start{Urgency: DefaultUrgency}) {
					t.Fatalf("got %+v without contention", decision)
				}
				if inTime := controller.InTimeUrgency("g", request.Priority); hasRoom && ordered && decision.Urgency != inTime {
					t.Fatalf("got %+v while others are ordered, want urgency %d", decision, inTime)
				}
			case Wait:
				if outlook.FreeAt.IsZero() || request.Waited || request.Committed || !decision.Until.Before(request.Deadline) || !decision.Until.After(start) {
					t.Fatalf("%+v for %+v, %+v", decision, request, outlook)
				}
			case Refuse:
				if outlook.FreeAt.IsZero() || request.Committed || outlook.YieldingStart <= request.Deadline.Sub(start) || decision.RetryAfter <= 0 {
					t.Fatalf("%+v for %+v, %+v", decision, request, outlook)
				}
			}
		}
	})
}

// wantFloor is the share of the tokens of each class that must start with the most urgent. A class whose tenth is served is not starved by
// any of the users' measures, and costs the most urgent a tenth of what the others ask for.
const wantFloor = 0.1

// TestNoClassStarves guards against a class, the largest tenth of a kind included, whose requests are refused or wait behind others for ever: of
// its tokens at least the floor starts with the urgency of the most urgent class, up to one request.
func TestNoClassStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		controller := newTestController()
		total, granted, largest := map[class]int{}, map[class]int{}, map[class]int{}
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			request, outlook := drawRequest(t), drawOutlook(t)
			outlook.FreeAt = start.Add(outlook.QueueWait)
			state := controller.groups["g"]
			sizes := sizeTracker{}
			if known := state.sizes[request.Priority]; known != nil {
				sizes = *known
			}
			of := class{rank: state.rankOf(request.Priority), late: outlook.late(start, request, DefaultSettings().Margin), large: sizes.add(request.Tokens)}
			decision := controller.Decide(start, request, outlook)
			total[of] += request.Tokens
			largest[of] = max(largest[of], request.Tokens)
			if started, isStart := decision.(Start); isStart && started.Urgency == inTimeUrgencies[0][0] {
				granted[of] += request.Tokens
			}
		}
		for of, tokens := range total {
			if want := wantFloor*float64(tokens) - float64(largest[of]); float64(granted[of]) < want-1 {
				t.Fatalf("class %+v: %d of %d tokens are most urgent, want %.0f", of, granted[of], tokens, want)
			}
		}
	})
}

// TestUrgentDoesNotPayForLessUrgent guards against a request in time that yields to one of a less urgent rule, beyond the floor.
func TestUrgentDoesNotPayForLessUrgent(t *testing.T) {
	for rank := range ranks {
		for _, urgency := range append(inTimeUrgencies[rank][:], lateUrgencies[rank]) {
			if urgency < 0 || urgency >= urgencies {
				t.Errorf("rank %d has urgency %d, which engines do not know", rank, urgency)
			}
			for less := rank + 1; less < ranks; less++ {
				if inTime := inTimeUrgencies[rank][0]; inTime >= inTimeUrgencies[less][0] {
					t.Errorf("rank %d has urgency %d, rank %d has %d", rank, inTime, less, inTimeUrgencies[less][0])
				}
			}
			if lateUrgencies[rank] <= inTimeUrgencies[rank][0] {
				t.Errorf("rank %d: late requests do not yield", rank)
			}
		}
		if rank > 0 && lateUrgencies[rank] < lateUrgencies[rank-1] {
			t.Errorf("late requests of rank %d are more urgent than those of rank %d", rank, rank-1)
		}
	}
}

// TestWithoutPrioritiesNothingIsDecided guards against a changed decision in groups whose configuration distinguishes no priorities, and
// against priorities that stay in force after the configuration dropped them.
func TestWithoutPrioritiesNothingIsDecided(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		controller := newTestController()
		controller.SetPriorities(map[string][]Priority{"g": {{4, 4}, {4, 4}}, "h": {{1, 1}, {1, 2}}})
		request, outlook := drawRequest(t), drawOutlook(t)
		if decision := controller.Decide(start, request, outlook); decision != (Start{Urgency: DefaultUrgency}) {
			t.Fatalf("got %+v", decision)
		}
		if controller.Controls("g") || !controller.Controls("h") {
			t.Fatal("the wrong groups are controlled")
		}
	})
}

// TestPrioritiesOutliveTheStore guards against a gateway that forgets priorities while it can't read the configuration, and one whose counts
// are lost whenever the configuration is read again.
func TestPrioritiesOutliveTheStore(t *testing.T) {
	controller := newTestController()
	controller.Sent(start, Work{Group: "g", Urgency: 7, Amount: 1})
	controller.SetPriorities(map[string][]Priority{"g": {{Rule: 0}, {Rule: 9}}})
	if order := controller.OrderOf(start, "g", QueueSlots, 1); order.YieldingShare != 1 {
		t.Errorf("order %+v after the configuration was read again, want that all yield", order)
	}
	late := Outlook{Start: time.Second, QueueWait: time.Second, YieldingStart: time.Second, FreeAt: start.Add(time.Second)}
	for _, now := range []time.Time{start, start.Add(time.Hour)} {
		request := Request{Group: "g", Priority: Priority{Rule: 9}, Arrived: now, Objective: time.Millisecond, Deadline: now.Add(5 * time.Second), Committed: true, Tokens: 1}
		late.FreeAt = now.Add(time.Second)
		if decision := controller.Decide(now, request, late).(Start); !IsLate(decision.Urgency) {
			t.Errorf("got %+v", decision)
		}
	}
}

// TestReturnWhenToldIsRecognized guards against a second refusal of a caller that returned when it was told to, against callers that return
// early and gain by it, and against a promise that is redeemed twice.
func TestReturnWhenToldIsRecognized(t *testing.T) {
	controller := newTestController()
	full := Outlook{Start: 3 * time.Second, QueueWait: 3 * time.Second, YieldingStart: 3 * time.Second, SlotInterval: 10 * time.Millisecond}
	decide := func(now time.Time) Decision {
		full.FreeAt = now.Add(3 * time.Second)
		return controller.Decide(now, Request{
			Group: "g", Priority: Priority{}, Arrived: now, Objective: 4 * time.Second, Deadline: now.Add(2 * time.Second), Key: func() uint64 { return 7 },
			Expires: now.Add(8 * time.Second),
		}, full)
	}
	// An answer in time starts although it is expected after its caller leaves: only late requests are refused.
	if _, isStart := decide(start).(Start); !isStart {
		t.Fatal("a request in time was held back")
	}
	decideLate := func(now time.Time) Decision {
		full.FreeAt = now.Add(3 * time.Second)
		return controller.Decide(now, Request{
			Group: "g", Priority: Priority{}, Arrived: now, Objective: 200 * time.Millisecond, Deadline: now.Add(2 * time.Second), Key: func() uint64 { return 7 },
			Expires: now.Add(8 * time.Second),
		}, full)
	}
	refused, isRefused := decideLate(start).(Refuse)
	if !isRefused || refused.RetryAfter < time.Second {
		t.Fatalf("got %+v, want a refusal until room is expected", refused)
	}
	if _, isRefused := decideLate(start.Add(refused.RetryAfter / 2)).(Refuse); !isRefused {
		t.Fatal("a caller that returned early was let in")
	}
	due := controller.groups["g"].promises.due[7]
	if _, isStart := decideLate(due).(Start); !isStart {
		t.Fatal("a caller that returned when told was held back")
	}
	if _, isRefused := decideLate(due).(Refuse); !isRefused {
		t.Fatal("a promise was redeemed twice")
	}
}

// TestOthersKeepTheirRankWhileSomeAreOrdered guards against urgent requests that started at a free slot and are preempted by less urgent ones
// which were ordered, and against an order that prolongs itself beyond the contention, here or at the other gateways.
func TestOthersKeepTheirRankWhileSomeAreOrdered(t *testing.T) {
	controller, other := newTestController(), newTestController()
	decide := func(c *Controller, now time.Time, outlook Outlook) Start {
		decision := c.Decide(now, Request{Group: "g", Tokens: 1, Arrived: now, Objective: time.Second, Deadline: now.Add(time.Second)}, outlook).(Start)
		c.Sent(now, slotOf(decision.Urgency))
		return decision
	}
	room := Outlook{Start: time.Millisecond, YieldingStart: time.Millisecond}
	if decision := decide(controller, start, room); decision != (Start{Urgency: DefaultUrgency}) {
		t.Errorf("got %+v before", decision)
	}
	full := room
	full.FreeAt = start.Add(time.Millisecond)
	decide(controller, start, full)
	other.ApplyPeer(start, "c", controller.Counts(start))
	for _, c := range []*Controller{controller, other} {
		if decision := decide(c, start.Add(contentionTime/2), room); decision.Urgency != inTimeUrgencies[0][0] || decision.Reason == "" {
			t.Errorf("got %+v while others are ordered", decision)
		}
	}
	for at := contentionTime; at < 2*peerTimeout; at += contentionTime / 4 {
		now := start.Add(at)
		if counts := controller.Counts(now); len(counts) > 0 {
			t.Errorf("counts are sent after the contention: %+v", counts)
		}
		if decision := decide(controller, now, room); decision != (Start{Urgency: DefaultUrgency}) {
			t.Errorf("got %+v after %v", decision, at)
		}
		if decision := decide(other, now, room); at > peerTimeout && decision != (Start{Urgency: DefaultUrgency}) {
			t.Errorf("got %+v at the other gateway after %v", decision, at)
		}
	}
}

// TestTenantTakesPrecedence guards against a priority of a tenant that does not precede that of the rule, and one that hides those of rules
// where all tenants have it.
func TestTenantTakesPrecedence(t *testing.T) {
	controller := NewController(DefaultSettings())
	controller.SetPriorities(map[string][]Priority{"g": {{1, 0}, {1, 1}, {1, 2}, {0, 2}}})
	previous := -1
	for _, priority := range []Priority{{0, 2}, {1, 0}, {1, 1}, {1, 2}} {
		urgency := controller.InTimeUrgency("g", priority)
		if urgency <= previous {
			t.Errorf("%v has urgency %d, the one before %d", priority, urgency, previous)
		}
		previous = urgency
	}
}

// TestPromisesAreSpread guards against promises for more room than becomes free, and Retry-After times that callers do not wait.
func TestPromisesAreSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		controller := newTestController()
		interval := time.Duration(rapid.IntRange(1, 50).Draw(t, "interval")) * time.Millisecond
		perWindow := map[int64]int{}
		for i := range rapid.IntRange(1, 300).Draw(t, "refusals") {
			key := uint64(i + 1)
			after, _ := controller.PromiseReturn(start, Request{
				ID: rapid.String().Draw(t, "id"), Group: "g", Deadline: start.Add(2 * time.Second), Expires: start.Add(6 * time.Second),
				Key: func() uint64 { return key },
			}, interval)
			if after < DefaultSettings().MinRetryAfter || after > 2*time.Second {
				t.Fatalf("Retry-After %v", after)
			}
			if at, promised := controller.groups["g"].promises.due[key]; promised {
				perWindow[at.Sub(start).Milliseconds()/100]++
			}
		}
		most := int(DefaultSettings().PromisedShare*float64(100*time.Millisecond)/float64(interval)) + 1
		for window, n := range perWindow {
			if n > most {
				t.Fatalf("%d promises in window %d, want at most %d", n, window, most)
			}
		}
	})
}

// TestTokensOfCallersAreBounded guards against token counts, which callers name themselves, that are negative or overflow and change the shares
// of other tenants.
func TestTokensOfCallersAreBounded(t *testing.T) {
	for _, tokens := range []int{math.MinInt, -1_000_000, math.MaxInt} {
		controller := newTestController()
		decide := func(tenant string, tokens int) Start {
			request := Request{Group: "g", Tenant: tenant, Tokens: tokens, Priority: Priority{Rule: 9}, Arrived: start, Objective: time.Second, Committed: true}
			return controller.Decide(start, request, Outlook{Start: time.Millisecond, FreeAt: start.Add(time.Millisecond)}).(Start)
		}
		decide("a", tokens)
		if usage := controller.groups["g"].usage; usage.total < 1 || usage.total > 1e8 {
			t.Errorf("%d tokens count as %.0f", tokens, usage.total)
		}
		if tokens > 0 {
			continue
		}
		// The floor lets the tenth request of its class start with the most urgent.
		for i := range 4 {
			if got, want := decide("b", 1), decide("c", 1); got != want {
				t.Errorf("%d tokens, request %d: equal tenants have %+v and %+v", tokens, i, got, want)
			}
		}
	}
}
