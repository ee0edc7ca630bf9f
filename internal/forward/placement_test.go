package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/balance"
	"github.com/granitebay/granitebay/internal/peersync"
	"github.com/granitebay/granitebay/internal/routing"
)

// engineGroup is a group of engines.
var engineGroup = &routing.Group{Name: "g", Engine: &routing.Engine{KVCacheTokens: 400_000, BytesPerToken: 160_000, LinkMbps: 1e6}}

// newEngineDispatcher returns a dispatcher with three engines of each role.
func newEngineDispatcher() *Dispatcher {
	dispatcher := NewDispatcher(DefaultDispatchSettings(), func() time.Time { return time.Unix(1000, 0) })
	dispatcher.SetGroups([]routing.Group{*engineGroup})
	set := backend.Set{}
	for _, role := range []backend.Role{backend.RolePrefill, backend.RoleDecode} {
		for i := range 3 {
			id := fmt.Sprint(role, i)
			set[id] = &backend.Worker{ID: id, Group: "g", Address: id, Role: role, Slots: 32}
		}
	}
	dispatcher.SetWorkers(set)
	return dispatcher
}

// hearLoad delivers the same load of another gateway for each engine of a role. The epoch differs for each load, so that the message counts
// as newer.
func hearLoad(dispatcher *Dispatcher, role backend.Role, running, prefillTokens int) {
	message := &peersync.Message{Sender: "other", Epoch: int64(running*1000 + prefillTokens), Sequence: 1, Full: true}
	for i := range 3 {
		message.Loads = append(message.Loads, peersync.Load{Worker: fmt.Sprint(role, i), Running: running, PrefillTokens: prefillTokens})
	}
	dispatcher.ApplyUpdate(message)
}

// shortPrompt is prefilled quickly on any engine.
var shortPrompt = backend.Demand{PromptTokens: 380, Segments: []backend.Segment{{ID: "a", Tokens: 90}, {ID: "b", Tokens: 290}}}

// TestPrefillPlacementFollowsLoad guards against prefilling long prompts on decode engines, and short ones on prefill engines with long
// queues.
func TestPrefillPlacementFollowsLoad(t *testing.T) {
	cases := []struct {
		desc                          string
		demand                        backend.Demand
		decodeRuns, decodeQueueTokens int
		prefillQueueTokens            int
		wantDisaggregated             bool
	}{
		{"short prompts are prefilled on idle decode engines", shortPrompt, 0, 0, 0, false},
		{"long prompts are prefilled separately", longPrompt, 2, 0, 0, true},
		{"short prompts are prefilled separately when decode engines are busy", shortPrompt, 25, 800, 0, true},
		{"short prompts are prefilled on decode engines when prefill engines are busy too", shortPrompt, 25, 800, 40_000, false},
		{"long prompts are prefilled on idle decode engines when prefill engines have long queues", longPrompt, 0, 0, 200_000, false},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			dispatcher := newEngineDispatcher()
			hearLoad(dispatcher, backend.RoleDecode, c.decodeRuns, c.decodeQueueTokens)
			message := &peersync.Message{Sender: "third", Epoch: 1, Sequence: 1}
			for i := range 3 {
				message.Loads = append(message.Loads, peersync.Load{Worker: fmt.Sprint(backend.RolePrefill, i), PrefillTokens: c.prefillQueueTokens})
			}
			dispatcher.ApplyUpdate(message)
			placement, found := dispatcher.Place(&Request{ID: "r", Demand: c.demand}, engineGroup, PlaceOptions{})
			if !found || (placement.Prefill != nil) != c.wantDisaggregated {
				t.Fatalf("got %+v, want disaggregated: %v", placement, c.wantDisaggregated)
			}
		})
	}
}

// TestSharedPrefixIsPrefilledOnceAndFetched guards against prefilling a shared prefix again that an engine has cached.
func TestSharedPrefixIsPrefilledOnceAndFetched(t *testing.T) {
	dispatcher := newEngineDispatcher()
	demand := backend.Demand{PromptTokens: 12_000, Segments: []backend.Segment{{ID: "a", Tokens: 8000}, {ID: "b", Tokens: 4000}}}
	request := &Request{ID: "r", Demand: demand}
	first, _ := dispatcher.Place(request, engineGroup, PlaceOptions{})
	if first.FetchFrom != nil {
		t.Fatal("a prefix that is not cached is fetched")
	}
	dispatcher.RecordPrefilled(first.Prefill.Worker, request)
	again, _ := dispatcher.Place(&Request{ID: "s", Demand: demand}, engineGroup, PlaceOptions{})
	if again.Prefill.Worker != first.Prefill.Worker || again.FetchFrom != nil {
		t.Fatalf("the engine that has cached the prefix was not picked: %+v", again)
	}
	busy := &peersync.Message{Sender: "other", Epoch: 1, Sequence: 1}
	busy.Loads = []peersync.Load{{Worker: first.Prefill.Worker.ID, PrefillTokens: 100_000}}
	dispatcher.ApplyUpdate(busy)
	another, _ := dispatcher.Place(&Request{ID: "t", Demand: demand}, engineGroup, PlaceOptions{})
	if another.Prefill == nil || another.Prefill.Worker == first.Prefill.Worker || another.FetchFrom != first.Prefill.Worker {
		t.Fatalf("the prefix is not fetched from the busy engine: %+v", another)
	}
}

// TestGatewaysShareLoadAndCache guards against placements that ignore the load, the cached segments and the role changes of other gateways.
func TestGatewaysShareLoadAndCache(t *testing.T) {
	sender, receiver := newEngineDispatcher(), newEngineDispatcher()
	notified := 0
	sender.NotifyUpdates(func(bool) { notified++ })
	request := &Request{ID: "r", Demand: longPrompt}
	placement, _ := sender.Place(request, engineGroup, PlaceOptions{})
	sender.RecordPrefilled(placement.Prefill.Worker, request)
	message := sender.TakeUpdate(false)
	if notified == 0 || len(message.Loads) == 0 || len(message.CachedSegments) == 0 {
		t.Fatalf("got update %+v after %d notifications", message, notified)
	}
	message.Sender, message.Epoch, message.Sequence = "one", 1, 1
	receiver.ApplyUpdate(&message)
	if load := receiver.peers.board.Load(placement.Prefill.Worker.ID); load.PrefillTokens == 0 {
		t.Error("the load was not applied")
	}
	if holders := receiver.usableHolders([]prefixSegment{{key: "a", tokens: 8000}}); len(holders) != 1 || holders[placement.Prefill.Worker.ID].readyTokens != 8000 {
		t.Errorf("the cached segment was not applied: %v", holders)
	}
	if again := sender.TakeUpdate(false); len(again.Loads)+len(again.CachedSegments) != 0 {
		t.Error("an update was sent twice")
	}
	runner, _ := sender.PlaceRunner(request, engineGroup, nil, placement.Prefill)
	sender.SetRoleChange(runner.Worker.ID, backend.RolePrefill)
	message = sender.TakeUpdate(false)
	message.Sender, message.Epoch, message.Sequence = "one", 1, 2
	receiver.ApplyUpdate(&message)
	if receiver.balancer.Usable(receiver.now(), runner.Worker.ID) {
		t.Error("an engine is used although another gateway changes its role")
	}
	changed := *runner.Worker
	changed.Role = backend.RolePrefill
	receiver.SetWorkers(backend.Set{changed.ID: &changed})
	if !receiver.balancer.Usable(receiver.now(), changed.ID) {
		t.Error("an engine is not used although its record shows its new role")
	}
}

// TestWorkerDrainingDuringPrefillGetsNoRequest guards against picking the runner before the prefill: a worker that starts draining
// meanwhile would get the request.
func TestWorkerDrainingDuringPrefillGetsNoRequest(t *testing.T) {
	dispatcher := newEngineDispatcher()
	request := &Request{ID: "r", Demand: longPrompt}
	before, _ := dispatcher.PlaceRunner(request, engineGroup, nil, &Assignment{Worker: &backend.Worker{}})
	placement, _ := dispatcher.Place(request, engineGroup, PlaceOptions{})
	if placement.Prefill == nil || placement.Runner != nil {
		t.Fatalf("the runner was picked before the prefill: %+v", placement)
	}
	set := backend.Set{}
	for _, id := range dispatcher.balancer.IDs() {
		worker, _ := dispatcher.balancer.Worker(id)
		changed := *worker
		changed.Draining = id == before.Worker.ID
		set[id] = &changed
	}
	dispatcher.SetWorkers(set)
	after, found := dispatcher.PlaceRunner(request, engineGroup, nil, placement.Prefill)
	if !found || after.Worker.ID == before.Worker.ID {
		t.Fatalf("picked the draining engine or none: %+v", after)
	}
}

// TestShortPromptsArePrefilledFirst guards against long prompts that delay short ones in the queue of an engine.
func TestShortPromptsArePrefilledFirst(t *testing.T) {
	dispatcher := newEngineDispatcher()
	previous := -1
	for _, tokens := range []int{600, 3000, 8000, 50_000} {
		demand := backend.Demand{PromptTokens: tokens, Segments: []backend.Segment{{ID: fmt.Sprint("own", tokens), Tokens: tokens}}}
		placement, found := dispatcher.Place(&Request{ID: "r", Demand: demand}, engineGroup, PlaceOptions{})
		if !found {
			t.Fatal("no engine was found")
		}
		if placement.Prefill == nil {
			placement.Prefill = placement.Runner
		}
		urgency := placement.prefillUrgency()
		if urgency <= previous || urgency >= urgencyDeferred {
			t.Errorf("%d tokens have urgency %d, the shorter prompt before has %d", tokens, urgency, previous)
		}
		previous = urgency
	}
	if late := (&Placement{Deferred: true}).prefillUrgency(); late != urgencyDeferred {
		t.Errorf("a deferred prompt has urgency %d", late)
	}
}

// TestPromptsDelayedByQueueAreDeferred guards against the collapse of goodput under overload: if all prompts are prefilled in the order of
// arrival, all answers are late.
func TestPromptsDelayedByQueueAreDeferred(t *testing.T) {
	cases := []struct {
		desc            string
		tokens          int
		waiting         int
		objective, left time.Duration
		want            bool
	}{
		{"empty queue", 4000, 0, 400 * time.Millisecond, 400 * time.Millisecond, false},
		{"long queue", 4000, 50_000, 400 * time.Millisecond, 400 * time.Millisecond, true},
		{"long queue and a long objective", 4000, 50_000, 4 * time.Second, 4 * time.Second, false},
		{"long queue and no objective", 4000, 50_000, 0, 0, false},
		{"prompt too long for its objective", 40_000, 50_000, 400 * time.Millisecond, 400 * time.Millisecond, false},
		{"objective spent on earlier attempts", 4000, 0, 400 * time.Millisecond, -time.Second, true},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			dispatcher := newEngineDispatcher()
			hearLoad(dispatcher, backend.RolePrefill, 0, c.waiting)
			message := &peersync.Message{Sender: "third", Epoch: 1, Sequence: 1}
			for i := range 3 {
				message.Loads = append(message.Loads, peersync.Load{Worker: fmt.Sprint(backend.RoleDecode, i), Running: 20, PrefillTokens: c.waiting})
			}
			dispatcher.ApplyUpdate(message)
			demand := backend.Demand{PromptTokens: c.tokens, Segments: []backend.Segment{{ID: "own", Tokens: c.tokens}}}
			placement, found := dispatcher.Place(&Request{ID: "r", Demand: demand}, engineGroup, PlaceOptions{Objective: c.objective, Remaining: c.left})
			if !found || placement.Deferred != c.want {
				t.Fatalf("got deferred %v, want %v", placement.Deferred, c.want)
			}
			if placement.Deferred && placement.Prefill == nil {
				t.Fatal("a deferred prompt is prefilled on a decode engine")
			}
		})
	}
}

// TestDeferredPromptsDoNotDelayOthers guards against deferring prompts because of prompts that are deferred themselves.
func TestDeferredPromptsDoNotDelayOthers(t *testing.T) {
	dispatcher := newEngineDispatcher()
	message := &peersync.Message{Sender: "other", Epoch: 1, Sequence: 1}
	for _, role := range []backend.Role{backend.RolePrefill, backend.RoleDecode} {
		for i := range 3 {
			message.Loads = append(message.Loads, peersync.Load{Worker: fmt.Sprint(role, i), Running: 1, Prefilling: 1, DeferredTokens: 500_000})
		}
	}
	dispatcher.ApplyUpdate(message)
	options := PlaceOptions{Objective: 400 * time.Millisecond, Remaining: 400 * time.Millisecond}
	placement, found := dispatcher.Place(&Request{ID: "r", Demand: longPrompt}, engineGroup, options)
	if !found || placement.Deferred {
		t.Fatalf("got %+v", placement)
	}
}

// TestPrefillReusesLongestCachedPrefix guards against using a cached segment without those before it, and against prefilling a cached
// prefix again.
func TestPrefillReusesLongestCachedPrefix(t *testing.T) {
	chain := func(ids ...string) backend.Demand {
		demand := backend.Demand{}
		for _, id := range ids {
			demand.Segments = append(demand.Segments, backend.Segment{ID: id, Tokens: 3000})
			demand.PromptTokens += 3000
		}
		return demand
	}
	dispatcher := newEngineDispatcher()
	workerOf := func(id string) *backend.Worker {
		worker, _ := dispatcher.balancer.Worker(id)
		return worker
	}
	dispatcher.RecordPrefilled(workerOf("prefill0"), &Request{ID: "a", Demand: chain("root", "leaf", "own-a")})
	dispatcher.RecordPrefilled(workerOf("prefill1"), &Request{ID: "b", Demand: chain("leaf-b", "own-b")})
	cases := []struct {
		desc   string
		worker string
		demand backend.Demand
		// cached is the number of tokens cached at the worker, and fetch the engine from which the rest is fetched.
		cached int
		fetch  string
	}{
		{"the whole path", "prefill0", chain("root", "leaf", "own"), 6000, ""},
		{"a new leaf", "prefill0", chain("root", "other", "own"), 3000, ""},
		{"a leaf without its root", "prefill1", chain("root", "leaf-b", "own"), 0, "prefill0"},
		{"nothing cached, path cached elsewhere", "prefill2", chain("root", "leaf", "own"), 0, "prefill0"},
		{"an unknown root", "prefill0", chain("new", "leaf", "own"), 0, ""},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			prompt := dispatcher.newPromptContext(&Request{ID: "r", Demand: c.demand}, engineGroup)
			if got := prompt.holders[c.worker].tokens; got != c.cached {
				t.Errorf("%d tokens are cached, want %d", got, c.cached)
			}
			got := ""
			if source := prompt.fetchSource(workerOf(c.worker)); source != nil {
				got = source.ID
			}
			if got != c.fetch {
				t.Errorf("the rest is fetched from %q, want %q", got, c.fetch)
			}
		})
	}
}

// TestDeferredRunsDoNotDelayOthers guards against counting a deferred request as load before it has started.
func TestDeferredRunsDoNotDelayOthers(t *testing.T) {
	for deferred, want := range map[bool]int{false: 1, true: 0} {
		dispatcher := newEngineDispatcher()
		prefill := &Assignment{Worker: &backend.Worker{}, deferred: deferred}
		runner, found := dispatcher.PlaceRunner(&Request{ID: "r", Demand: longPrompt}, engineGroup, nil, prefill)
		if !found {
			t.Fatal("no runner was found")
		}
		load := dispatcher.balancer.TotalLoad(runner.Worker.ID)
		if load.Running != 1 || load.Decoding() != want {
			t.Errorf("deferred %v: %+v counts as %d runs", deferred, load, load.Decoding())
		}
		runner.responseStarted()
		if load = dispatcher.balancer.TotalLoad(runner.Worker.ID); load.Decoding() != 1 {
			t.Errorf("deferred %v: a run that has started counts as %d", deferred, load.Decoding())
		}
		runner.finish(balance.OutcomeGood)
		if load = dispatcher.balancer.TotalLoad(runner.Worker.ID); load != (backend.Load{}) {
			t.Errorf("deferred %v: load %+v remains", deferred, load)
		}
	}
}

// TestSilentPlainWorkerIsEjected guards against ejecting busy engines and against keeping silent plain workers.
func TestSilentPlainWorkerIsEjected(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, role := range []backend.Role{backend.RoleNone, backend.RoleDecode} {
		dispatcher := NewDispatcher(DefaultDispatchSettings(), func() time.Time { return now })
		dispatcher.SetWorkers(backend.Set{"w": {ID: "w", Group: "g", Address: "w", Role: role, Slots: 6}})
		for range 3 {
			worker, _ := dispatcher.balancer.Worker("w")
			assignment := dispatcher.assign(balance.Choice{Worker: worker}, 0, false, 0)
			now = now.Add(60 * time.Millisecond)
			assignment.finish(balance.OutcomeTimeout)
		}
		if usable, want := dispatcher.balancer.Usable(now, "w"), role == backend.RoleDecode; usable != want {
			t.Errorf("role %q: usable %v, want %v", role, usable, want)
		}
	}
}

// TestEngineReturningErrorsIsEjected guards against engines that report themselves healthy but fail all requests. They are ejected and the
// other gateways are notified. Errors of plain workers do not count as their failures.
func TestEngineReturningErrorsIsEjected(t *testing.T) {
	for _, role := range []backend.Role{backend.RoleNone, backend.RoleDecode} {
		now := time.Unix(1000, 0)
		dispatcher := NewDispatcher(DefaultDispatchSettings(), func() time.Time { return now })
		dispatcher.NotifyUpdates(func(bool) {})
		dispatcher.SetWorkers(backend.Set{"w": {ID: "w", Group: "g", Address: "w", Role: role, Slots: 6}})
		for range 2 {
			worker, _ := dispatcher.balancer.Worker("w")
			assignment := dispatcher.assign(balance.Choice{Worker: worker}, 0, false, 0)
			now = now.Add(60 * time.Millisecond)
			assignment.finish(balance.OutcomeError)
		}
		engine := role == backend.RoleDecode
		if usable := dispatcher.balancer.Usable(now, "w"); usable == engine {
			t.Errorf("role %q: usable %v after two errors", role, usable)
		}
		if failed := dispatcher.TakeUpdate(false).Failed; (len(failed) == 1) != engine {
			t.Errorf("role %q: reported as failed: %v", role, failed)
		}
	}
}
