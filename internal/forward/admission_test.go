package forward

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/granitebay/granitebay/internal/admission"
	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/balance"
	"github.com/granitebay/granitebay/internal/enginemodel"
	"github.com/granitebay/granitebay/internal/peersync"
	"github.com/granitebay/granitebay/internal/poison"
	"github.com/granitebay/granitebay/internal/routing"
	"github.com/granitebay/granitebay/internal/tenant"
)

// rulesOf returns the priorities of groups whose rules have the given ones.
func rulesOf(groups map[string][]int) map[string][]admission.Priority {
	priorities := map[string][]admission.Priority{}
	for group, rules := range groups {
		for _, rule := range rules {
			priorities[group] = append(priorities[group], admission.Priority{Tenant: rule, Rule: rule})
		}
	}
	return priorities
}

// admissionOptions returns the placement options of a request that has just arrived.
func admissionOptions(dispatcher *Dispatcher, id string, priority int, objective time.Duration) PlaceOptions {
	now := dispatcher.now()
	return PlaceOptions{Objective: objective, Remaining: objective, Admission: admission.Request{
		ID: id, Group: "g", Priority: admission.Priority{Tenant: priority, Rule: priority}, Tokens: 800, Arrived: now, Objective: objective,
		Deadline: now.Add(2 * time.Second), Expires: now.Add(8 * time.Second),
	}}
}

// drawLoads draws the loads that another gateway has at the engines.
func drawLoads(t *rapid.T, maxRunning int) *peersync.Message {
	message := &peersync.Message{Sender: "other", Epoch: 1, Sequence: 1, Full: true}
	for _, role := range []backend.Role{backend.RolePrefill, backend.RoleDecode} {
		for i := range 3 {
			message.Loads = append(message.Loads, peersync.Load{
				Worker: fmt.Sprint(role, i), Running: rapid.IntRange(0, maxRunning).Draw(t, "running"),
				PrefillTokens: rapid.IntRange(0, 60_000).Draw(t, "queued"), Waiting: rapid.IntRange(0, 5).Draw(t, "waiting"),
			})
		}
	}
	return message
}

// describePlacement returns what a placement decided.
func describePlacement(p *Placement, found bool) string {
	if !found {
		return "none"
	}
	text := fmt.Sprint(p.Deferred, p.Urgency, p.HeldBack, p.FetchFrom)
	for _, assigned := range []*Assignment{p.Prefill, p.Runner} {
		if assigned != nil {
			text += fmt.Sprint(" ", assigned.Worker.ID, assigned.Score, assigned.load, assigned.deferred)
		}
	}
	return text
}

// TestWithoutDifferentPrioritiesPlacementIsUnchanged guards against an admission that changes placements where the configuration does not
// call for it: where all priorities of a group are equal.
func TestWithoutDifferentPrioritiesPlacementIsUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plain, equal := newEngineDispatcher(), newEngineDispatcher()
		equal.setPriorities(rulesOf(map[string][]int{"g": {5, 5, 5}, "other": {0, 1}}))
		message := drawLoads(t, 90)
		plain.ApplyUpdate(message)
		equal.ApplyUpdate(message)
		for i := range rapid.IntRange(1, 10).Draw(t, "requests") {
			objective := time.Duration(rapid.IntRange(0, 900).Draw(t, "objective")) * time.Millisecond
			request := &Request{ID: fmt.Sprint(i), Demand: rapid.SampledFrom([]backend.Demand{shortPrompt, longPrompt}).Draw(t, "demand")}
			options := admissionOptions(plain, request.ID, i%3, objective)
			want, wantFound := plain.Place(request, engineGroup, options)
			got, found := equal.Place(request, engineGroup, options)
			if describePlacement(got, found) != describePlacement(want, wantFound) {
				t.Fatalf("got %s, want %s", describePlacement(got, found), describePlacement(want, wantFound))
			}
			if want.Urgency != defaultUrgency(want.Deferred) {
				t.Fatalf("urgency %d", want.Urgency)
			}
		}
	})
}

// TestWithoutContentionPlacementIsUnchanged guards against an admission that changes placements while slots are free and answers are in
// time.
func TestWithoutContentionPlacementIsUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plain, controlled := newEngineDispatcher(), newEngineDispatcher()
		controlled.setPriorities(rulesOf(map[string][]int{"g": {0, 1, 2}}))
		message := drawLoads(t, 20)
		plain.ApplyUpdate(message)
		controlled.ApplyUpdate(message)
		for i := range rapid.IntRange(1, 10).Draw(t, "requests") {
			request := &Request{ID: fmt.Sprint(i), Demand: rapid.SampledFrom([]backend.Demand{shortPrompt, longPrompt}).Draw(t, "demand")}
			options := admissionOptions(plain, request.ID, i%3, time.Hour)
			want, wantFound := plain.Place(request, engineGroup, options)
			got, found := controlled.Place(request, engineGroup, options)
			if describePlacement(got, found) != describePlacement(want, wantFound) {
				t.Fatalf("got %s, want %s", describePlacement(got, found), describePlacement(want, wantFound))
			}
		}
	})
}

// newContendedDispatcher returns a dispatcher whose decode engines hold the given number of requests each, and whose service takes 1 s.
func newContendedDispatcher(running int) *Dispatcher {
	dispatcher := newEngineDispatcher()
	dispatcher.setPriorities(rulesOf(map[string][]int{"g": {0, 2}}))
	for i := range 3 {
		worker, _ := dispatcher.balancer.Worker(fmt.Sprint(backend.RoleDecode, i))
		for range 50 {
			dispatcher.model.ObserveRequest(dispatcher.now(), enginemodel.ClassOf(worker), time.Second)
		}
	}
	hearLoad(dispatcher, backend.RoleDecode, running, 0)
	return dispatcher
}

// TestContendedPlacementFollowsPriorities guards against urgent requests that run with the urgency of less urgent ones where slots are
// taken, and against hopeless requests whose prompts are prefilled for nothing.
func TestContendedPlacementFollowsPriorities(t *testing.T) {
	cases := []struct {
		desc      string
		running   int
		priority  int
		objective time.Duration
		want      string
	}{
		{"a slot is free", 20, 0, time.Second, "5"},
		{"urgent in time", 34, 0, time.Second, "1"},
		{"less urgent in time", 34, 2, time.Second, "3"},
		{"urgent and late", 60, 0, 300 * time.Millisecond, "8"},
		{"less urgent and late", 60, 2, 300 * time.Millisecond, "8"},
		{"hopeless", 200, 2, 300 * time.Millisecond, "refused"},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			dispatcher := newContendedDispatcher(c.running)
			options := admissionOptions(dispatcher, "r", c.priority, c.objective)
			options.Admission.Waited = true
			placement, found := dispatcher.Place(&Request{ID: "r", Demand: shortPrompt}, engineGroup, options)
			if !found {
				t.Fatal("no placement")
			}
			got := fmt.Sprint(placement.Urgency)
			if refused, isRefused := placement.HeldBack.(admission.Refuse); isRefused {
				got = "refused"
				if refused.RetryAfter < 500*time.Millisecond || refused.RetryAfter > 8*time.Second/3 {
					t.Errorf("Retry-After %v, want the time until room is expected, at most a third of what is left", refused.RetryAfter)
				}
			}
			if got != c.want {
				t.Fatalf("got %s, want %s: %+v", got, c.want, placement)
			}
		})
	}
}

// TestRefusedRequestsAreDemand guards against planners that see only what was let in: refusals would hide the demand that new engines are
// needed for.
func TestRefusedRequestsAreDemand(t *testing.T) {
	demandOf := func(running int) (int64, bool) {
		dispatcher := newContendedDispatcher(running)
		placement, _ := dispatcher.Place(&Request{ID: "r", Demand: longPrompt}, engineGroup, admissionOptions(dispatcher, "r", 2, time.Second))
		total := int64(0)
		for _, offered := range dispatcher.TakeUpdate(true).Offered {
			total += offered.Tokens
		}
		_, refused := placement.HeldBack.(admission.Refuse)
		return total, refused
	}
	served, refused := demandOf(0)
	if refused || served == 0 {
		t.Fatalf("demand %d, refused %v without load", served, refused)
	}
	if asked, refused := demandOf(400); !refused || asked != served {
		t.Fatalf("demand %d, refused %v without room; want %d and a refusal", asked, refused, served)
	}
	dispatcher := newContendedDispatcher(400)
	before := dispatcher.Utilization("g")
	for i := range 32 {
		id := fmt.Sprint("r", i)
		options := admissionOptions(dispatcher, id, 2, 300*time.Millisecond)
		dispatcher.Place(&Request{ID: id, Demand: shortPrompt}, engineGroup, options)
	}
	// Requests of 1 s, 32 a second, need the 32 slots of one engine; the floor lets some of them in.
	if added := dispatcher.Utilization("g") - before; added < 0.8 || added > 1.2 {
		t.Errorf("32 requests a second without room add %.2f engines of demand, want about 1", added)
	}
}

// TestPrioritiesOfTenantsAndRules guards against priorities of rules and tenants that no decision reads, and tenants that count at public
// rules.
func TestPrioritiesOfTenantsAndRules(t *testing.T) {
	urgent := 1
	tenants, err := tenant.NewTable([]tenant.KeyGrant{{Name: "a", Keys: []string{"k"}, Priority: &urgent}, {Name: "b", Keys: []string{"l"}}})
	if err != nil {
		t.Fatal(err)
	}
	configuration := &routing.Configuration{
		Tenants: tenants, Groups: []routing.Group{*engineGroup, {Name: "plain"}, {Name: "public", Engine: engineGroup.Engine}},
		Rules: []routing.Rule{
			{Name: "r", Priority: 4, Shares: []routing.Share{{Group: "g", Weight: 1}, {Group: "plain", Weight: 1}}},
			{Name: "p", Priority: 2, Public: true, Shares: []routing.Share{{Group: "public", Weight: 1}}},
		},
	}
	if got := fmt.Sprint(prioritiesOf(configuration)); got != "map[g:[priority 1 of the tenant, 4 of the rule priority 4] public:[priority 2]]" {
		t.Errorf("got %s", got)
	}
}

// TestGatewaysShareQueuesAndPromises guards against counts of queues that do not reach the other gateways, ones that outlive a silent
// gateway, and promises that only the gateway which made them keeps.
func TestGatewaysShareQueuesAndPromises(t *testing.T) {
	sender, receiver := newContendedDispatcher(60), newContendedDispatcher(60)
	options := admissionOptions(sender, "r", 2, 300*time.Millisecond)
	options.Admission.Committed = true
	if placement, found := sender.Place(&Request{ID: "r", Demand: shortPrompt}, engineGroup, options); !found || !placement.Deferred {
		t.Fatalf("got %+v", placement)
	}
	queued, _ := sender.TakeQueued(true)
	sent := encodeCounts(sender.admission.Counts(sender.now()))
	if len(queued) == 0 || fmt.Sprint(queued) != fmt.Sprint(sent) || fmt.Sprint(encodeCounts(decodeCounts(queued))) != fmt.Sprint(queued) {
		t.Fatalf("counts %+v, want %+v, the same after they were decoded", queued, sent)
	}
	if again, _ := sender.TakeQueued(false); len(again) > 0 {
		t.Errorf("counts %+v in an update that is not full", again)
	}
	receiver.ApplyQueued("sender", []peersync.Queued{{
		Group: "g", Queue: int(admission.QueueSlots), Counts: []peersync.QueuedCount{{Urgency: 9, Waiting: 10, SentPer10s: 100, StartedPer10s: 10}},
	}}, nil)
	if order := receiver.admission.OrderOf(receiver.now(), "g", admission.QueueSlots, 1); order.YieldingShare != 1 {
		t.Errorf("order %+v, want that all yield", order)
	}
	if order := receiver.admission.OrderOf(receiver.now().Add(4*time.Second), "g", admission.QueueSlots, 1); order != (admission.Order{}) {
		t.Errorf("order %+v after the sender fell silent, want none", order)
	}
	hopeless := admissionOptions(sender, "s", 2, 300*time.Millisecond)
	hopeless.Admission.Deadline = sender.now().Add(time.Millisecond)
	hopeless.Admission.Key = func() uint64 { return 42 }
	placement, _ := sender.Place(&Request{ID: "s", Demand: shortPrompt}, engineGroup, hopeless)
	if _, refused := placement.HeldBack.(admission.Refuse); !refused {
		t.Fatalf("got %+v, want a refusal", placement)
	}
	_, promises := sender.TakeQueued(false)
	if len(promises) != 1 || promises[0].Key != 42 || promises[0].AfterMs <= 0 {
		t.Fatalf("promises %+v", promises)
	}
	promises[0].AfterMs = 0
	receiver.ApplyQueued("sender", nil, promises)
	if placement, _ := receiver.Place(&Request{ID: "t", Demand: shortPrompt}, engineGroup, hopeless); placement.HeldBack != nil || placement.UrgencyReason == "" {
		t.Errorf("a caller that returned when told by another gateway got %+v", placement)
	}
}

// newFullFixture returns a fixture whose decode engines of 4 slots hold the given number of requests each and take 1 s for one.
func newFullFixture(t *testing.T, running int) *fixture {
	t.Helper()
	workers := &fakeWorkers{run: func(context.Context, int, *backend.Worker, RunOptions) (*Response, error) {
		return wholeResponse(http.StatusOK, "ok"), nil
	}}
	f := newFixture(t, fixtureOptions{
		engine: true, demand: longPrompt,
		rule: routing.Rule{Kind: routing.KindRepeatable, Objective: 300 * time.Millisecond, Timeout: 8 * time.Second, Patience: 2 * time.Second, Priority: 2},
	}, workers)
	dispatcher := f.handler.dispatcher
	dispatcher.setPriorities(rulesOf(map[string][]int{"g": {0, 2}}))
	for range 50 {
		dispatcher.model.ObserveRequest(dispatcher.now(), enginemodel.Class{Group: "g", Role: backend.RoleDecode}, time.Second)
	}
	hearLoad(dispatcher, backend.RoleDecode, running, 0)
	return f
}

// TestHopelessRequestIsRefusedAtOnce guards against requests that are held, or prefilled, although no engine can start them before their
// callers leave.
func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	f := newFullFixture(t, 60)
	response, body, err := f.get(t)
	if err != nil || response.StatusCode != http.StatusServiceUnavailable || !strings.Contains(body, string(ReasonNoRoom)) {
		t.Fatalf("got %v, %q, %v", response, body, err)
	}
	after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil || after < 1 || after > 8.0/3 {
		t.Errorf("Retry-After %q, want the time until room is expected, at most a third of what is left", response.Header.Get("Retry-After"))
	}
	if len(f.workers.prefilledAt)+len(f.workers.ranAt) > 0 {
		t.Error("a worker was asked")
	}
	if !strings.HasPrefix(f.reports.last.HeldBack, "refused: ") {
		t.Errorf("the report says %q", f.reports.last.HeldBack)
	}
}

// TestLateRequestWaitsBeforeItsPrefill guards against prompts that are prefilled long before a slot is free for them, and requests that wait
// more than once.
func TestLateRequestWaitsBeforeItsPrefill(t *testing.T) {
	f := newFullFixture(t, 5)
	begin := time.Now()
	response, _, err := f.get(t)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("got %v, %v", response, err)
	}
	if took := time.Since(begin); took < 100*time.Millisecond || took > time.Second {
		t.Errorf("it took %v, want one wait of at most a quarter of 2 s", took)
	}
	if !strings.HasPrefix(f.reports.last.HeldBack, "waited for room: ") {
		t.Errorf("the report says %q", f.reports.last.HeldBack)
	}
	if len(f.workers.runOptions) != 1 || f.workers.runOptions[0].Urgency != 8 || f.workers.prefillOptions[0].Urgency != 8 {
		t.Errorf("run options %+v, want the urgency of a late request of the second rank", f.workers.runOptions)
	}
}

// TestNoRefusalWhileAnEngineHasAFreeSlot guards against refusals for want of a slot while a decode engine other than that of the cheapest plan
// has one.
func TestNoRefusalWhileAnEngineHasAFreeSlot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dispatcher := newContendedDispatcher(0)
		message := drawLoads(t, 200)
		message.Sequence = 2
		dispatcher.ApplyUpdate(message)
		for i := range rapid.IntRange(1, 10).Draw(t, "requests") {
			free := ""
			for worker, status := range dispatcher.balancer.WorkerStatuses(dispatcher.now(), "g") {
				if worker.Role == backend.RoleDecode && status.Usable && status.Load.Decoding()+status.Load.Waiting < worker.Slots {
					free = worker.ID
				}
			}
			request := &Request{ID: fmt.Sprint(i), Demand: rapid.SampledFrom([]backend.Demand{shortPrompt, longPrompt}).Draw(t, "demand")}
			objective := time.Duration(rapid.IntRange(1, 900).Draw(t, "objective")) * time.Millisecond
			options := admissionOptions(dispatcher, request.ID, 2*(i%2), objective)
			options.Admission.Deadline = dispatcher.now().Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "patience")) * time.Millisecond)
			placement, found := dispatcher.Place(request, engineGroup, options)
			if found && placement.HeldBack != nil && free != "" {
				t.Fatalf("%+v although %s has a free slot", placement.HeldBack, free)
			}
		}
	})
}

// TestQueueCountsEndWithTheirGroup guards against requests that were sent before the priorities of their group differed and, when they end, are
// subtracted from the counts of those sent later.
func TestQueueCountsEndWithTheirGroup(t *testing.T) {
	dispatcher := newEngineDispatcher()
	place := func(id string) *Assignment {
		placement, _ := dispatcher.Place(&Request{ID: id, Demand: shortPrompt}, engineGroup, PlaceOptions{Colocated: true})
		return placement.Runner
	}
	before := place("before")
	dispatcher.setPriorities(rulesOf(map[string][]int{"g": {0, 2}}))
	after := place("after")
	before.finish(balance.OutcomeNone)
	if counts := dispatcher.Queues(); len(counts) != 1 || counts[0].Amount != 1 {
		t.Errorf("counts %+v, want the one request that was sent since", counts)
	}
	after.finish(balance.OutcomeNone)
	if counts := dispatcher.Queues(); len(counts) != 1 || counts[0].Amount != 0 {
		t.Errorf("counts %+v, want none waiting", counts)
	}
}

// TestDemandIsCountedOnceForARequest guards against planners that see the prompt of a request again when all engines that refused it are
// tried once more.
func TestDemandIsCountedOnceForARequest(t *testing.T) {
	dispatcher := newEngineDispatcher()
	c := &call{
		handler: &Handler{dispatcher: dispatcher}, request: &Request{ID: "r", Demand: longPrompt}, report: &Report{Arrived: dispatcher.now()},
		match: routing.Match{Rule: &routing.Rule{}, Group: engineGroup},
	}
	place := func() int64 {
		dispatcher.Place(c.request, engineGroup, c.placeOptions(poison.Clear, poison.Bar{}))
		total := int64(0)
		for _, offered := range dispatcher.TakeUpdate(true).Offered {
			total += offered.Tokens
		}
		return total
	}
	first := place()
	c.attempts.record("prefill0", failureRefused)
	c.attempts.reincludeRefused()
	if again := place(); first == 0 || again != first {
		t.Errorf("demand %d tokens, %d after the engines were tried again", first, again)
	}
}
