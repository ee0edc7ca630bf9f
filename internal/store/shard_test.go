package store

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// divided is a key that is divided into shards.
func isWorkerKey(key string) bool { return strings.HasPrefix(key, "workers/") }

// newSharded returns a replica whose keys are divided, and what it told.
func newShardedReplica(store Store, shardHash uint64) (*Replica, *recorder) {
	settings := DefaultReplicaSettings()
	settings.MinFeedInterval, settings.BatchPause, settings.Sharded, settings.Seat = 0, time.Millisecond, isWorkerKey, shardHash
	recorded := &recorder{}
	return NewReplica(store, "", settings, recorded, nil), recorded
}

// TestOneThatStandsByHoldsItsShardAndAllThatIsNotDivided plays changes, lists and restarts of two tellers, and one that learns from them by
// turns, stands by, takes requests and stands by again. It ends with its shard of what the store holds and with all of the rest, and with
// everything while it takes requests. The numbers of records make the number of shards change.
//
// Once in some thousands of draws, one of which is kept, it went on holding records that were gone. It had learned from one teller, taken the
// whole of another that knew less, and so asked the next time from an early revision, while it still held what the first had told. The teller
// had listed the store meanwhile, and named the time that its list hides only to those that asked from within it.
func TestStandbyConvergesToShard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		present := map[string]Item{}
		var history []Event
		change := func(key string, deleted bool) {
			event := Event{Item: item(key, Revision(len(history)+1)), Deleted: deleted}
			history = append(history, event)
			if delete(present, key); !deleted {
				present[key] = event.Item
			}
		}
		items := func() []Item {
			var all []Item
			for _, each := range present {
				all = append(all, each)
			}
			slices.SortFunc(all, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
			return all
		}
		list := func(r *Replica) { r.replace(Snapshot{Items: items(), Revision: Revision(len(history))}) }
		newUpstream := func() *Replica {
			upstream, _ := newShardedReplica(nil, 0)
			return upstream
		}
		upstreams := []*Replica{newUpstream(), newUpstream()}
		shardHash := rapid.Uint64().Draw(t, "seat")
		follower, recorded := newShardedReplica(nil, shardHash)
		follower.startWithoutShard(nil, 0, "")
		follower.SetCalm(true)
		poll := func(upstream *Replica) {
			follower.feed = changesFunc(upstream.Changes)
			if err := follower.pollFeed(context.Background(), 0); err != nil && upstream.table != nil {
				t.Fatal(err)
			}
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			index := rapid.IntRange(0, 1).Draw(t, "teller")
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0:
				first := rapid.IntRange(0, 900).Draw(t, "first")
				for i := range rapid.SampledFrom([]int{1, 300, 700}).Draw(t, "records") {
					change(fmt.Sprint("workers/", first+i), false)
				}
			case 1:
				for _, each := range items() {
					if isWorkerKey(each.Key) && rapid.IntRange(0, 2).Draw(t, "stays") == 0 {
						change(each.Key, true)
					}
				}
			case 2:
				change(rapid.SampledFrom([]string{"a", "z"}).Draw(t, "key"), rapid.Bool().Draw(t, "deleted"))
			case 3:
				if upstream := upstreams[index]; upstream.table != nil {
					upstream.recordNewer(history[upstream.revision:], Revision(len(history)))
				}
			case 4:
				list(upstreams[index])
			case 5:
				upstreams[index] = newUpstream()
			case 6:
				poll(upstreams[index])
			case 7:
				follower.SetCalm(!follower.standby.Load())
			}
		}
		list(upstreams[0])
		list(upstreams[1])
		poll(upstreams[0])
		poll(upstreams[1])
		expectedItems := slices.DeleteFunc(items(), func(each Item) bool {
			return isWorkerKey(each.Key) && !inShard(each.Key, shardHash, follower.shardCount)
		})
		if follower.shardCount == 0 || (!follower.standby.Load() && follower.shardCount != 1) {
			t.Fatalf("it holds one of %d shards, and stands by: %t", follower.shardCount, follower.standby.Load())
		}
		expected := &recorder{}
		expected.Reset(expectedItems)
		if recorded.String() != expected.String() {
			t.Fatalf("of %d shards told %q, expected %q", follower.shardCount, recorded, expected)
		}
		if records := len(expectedItems); follower.standby.Load() && records > 4*maxShardSize {
			t.Fatalf("a shard has %d records", records)
		}
	})
}

// askedFeed answers each question by a function.
type changesFunc func(request ChangesRequest) (Changes, bool)

// Next is part of Feed.
func (f changesFunc) Next(_ context.Context, request ChangesRequest) (Changes, error) {
	changes, served := f(request)
	if !served {
		return Changes{}, ErrNoUpstream
	}
	return changes, nil
}

// TestTheNumberOfShardsFollowsTheRecords asks for the number at sizes of fleets, and from a number that was known.
func TestShardsFor(t *testing.T) {
	for _, test := range []struct{ records, current, want int }{
		{0, 0, 1}, {177, 0, 1}, {300, 1, 1}, {300, 0, 2}, {385, 1, 2}, {10_004, 0, 64}, {10_004, 64, 64}, {20_008, 64, 64}, {20_008, 0, 128},
		{3_000, 64, 16}, {10, 16, 1},
	} {
		if got := shardsFor(test.records, test.current); got != test.want {
			t.Errorf("%d records, %d shards known: %d, want %d", test.records, test.current, got, test.want)
		}
	}
}

// pagedStore lists by pages of two items, and counts them.
type pagedStore struct {
	fakeStore
	pages int
}

func (p *pagedStore) ListUntil(_ context.Context, _ string, enough func([]Item) bool) ([]Item, Revision, bool, error) {
	all := []Item{
		item("configuration", 1), item("gateways/a", 2), item("gateways/b", 3), item("workers/1", 4), item("workers/2", 5), item("workers/3", 6),
		item("workers/4", 7), item("z", 8),
	}
	for first := 0; ; first += 2 {
		p.pages++
		switch {
		case first+2 >= len(all):
			return all, 8, true, nil
		case enough != nil && enough(all[:first+2]):
			return all[:first+2], 8, false, nil
		}
	}
}

// standsByOnceToldOf tells a replica that it stands by as soon as it hears of a gateway.
type standbyOnApply struct {
	recorder
	replica *Replica
}

func (s *standbyOnApply) Apply(events []Event) {
	s.recorder.Apply(events)
	s.replica.SetCalm(true)
}

// TestWhoStandsByListsNoWorkers starts a process that learns from the first pages of the list that others take requests, while those that
// tell it changes start, too. It lists nothing more, waits for them, and gets its shard and what it has not listed from them.
func TestStandbyDoesNotListWorkers(t *testing.T) {
	paged := &pagedStore{}
	paged.events = make(chan func(Revision) ([]Event, Revision, error))
	replica, _ := newShardedReplica(paged, 7)
	recorded := &standbyOnApply{replica: replica, recorder: recorder{items: map[string]string{}}}
	replica.consumer = recorded
	upstream, _ := newShardedReplica(nil, 0)
	started := time.Now()
	replica.SetFeed(changesFunc(func(request ChangesRequest) (Changes, bool) {
		if time.Since(started) < 300*time.Millisecond {
			return Changes{}, false
		}
		return upstream.Changes(request)
	}))
	all, revision, _, _ := (&pagedStore{}).ListUntil(t.Context(), "", nil)
	upstream.replace(Snapshot{Items: all, Revision: revision})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		replica.Run(ctx)
		close(done)
	}()
	recorded.eventually(t, "configuration=1 gateways/a=2 gateways/b=3 workers/1=4 workers/2=5 workers/3=6 workers/4=7 z=8")
	cancel()
	<-done
	if paged.pages != 2 {
		t.Errorf("%d pages were listed", paged.pages)
	}
}

// BenchmarkOneChangeTold has one record of a fleet change, and a gateway that stands by ask what is new, as hundreds do at each entry.
func BenchmarkChanges(b *testing.B) {
	for _, size := range []int{1_000, 10_000, 20_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			upstream, _ := newShardedReplica(nil, 0)
			var items []Item
			for i := range size {
				items = append(items, item(fmt.Sprint("workers/", i), Revision(i+1)))
			}
			upstream.replace(Snapshot{Items: items, Revision: Revision(size)})
			shards := shardsFor(size, 0)
			b.ResetTimer()
			for i := range b.N {
				revision := Revision(size + i + 1)
				upstream.recordNewer([]Event{{Item: item(items[i%size].Key, revision)}}, revision)
				upstream.Changes(ChangesRequest{After: revision - 1, Shards: shards, ShardHash: 5})
			}
		})
	}
}

// TestNewRecordsAreToldWithoutHurry asks what may be told late: records and registrations that were not there before, and nothing else.
func TestNewRecordsAreDeferrable(t *testing.T) {
	upstream, _ := newShardedReplica(nil, 0)
	upstream.settings.Unhurried = func(key string) bool { return strings.HasPrefix(key, "gateways/") }
	upstream.replace(Snapshot{Items: []Item{item("configuration", 1), item("workers/0", 2)}, Revision: 2})
	for i, test := range []struct {
		event Event
		want  bool
	}{
		{Event{Item: item("workers/1", 0)}, true},
		{Event{Item: item("gateways/a", 0)}, true},
		{Event{Item: item("configuration", 0)}, false},
		{Event{Item: item("workers/0", 0)}, false},
		{Event{Item: item("workers/1", 0)}, false},
		{Event{Item: item("gateways/a", 0), Deleted: true}, false},
		{Event{Item: item("gateways/a", 0)}, true},
	} {
		revision := Revision(i + 3)
		test.event.Revision = revision
		upstream.recordNewer([]Event{test.event}, revision)
		if changes, _ := upstream.Changes(ChangesRequest{After: revision - 1, Shards: 1}); changes.Deferrable != test.want || len(changes.Changed) != 1 {
			t.Errorf("change %d, %+v: told late %t", i, changes.Changed, changes.Deferrable)
		}
	}
}

// TestGatheringChangesLeavesTimeToKnowThem bounds the pause of an entry of a fleet of any size.
func TestPauseStaysWithinPropagationBound(t *testing.T) {
	for _, test := range []struct {
		readers int
		bound   time.Duration
		want    time.Duration
	}{{12, 5 * time.Second, 40 * time.Millisecond}, {300, 5 * time.Second, 300 * time.Millisecond}, {5000, 5 * time.Second, 500 * time.Millisecond}, {5000, 0, 5 * time.Second}} {
		replica, _ := newShardedReplica(nil, 0)
		replica.SetReaders(test.readers)
		replica.SetKnownWithin(test.bound)
		if got := replica.stretchPause(40 * time.Millisecond); got != test.want {
			t.Errorf("%d readers: the pause is %s, want %s", test.readers, got, test.want)
		}
	}
}

// TestOneListsForAllAfterTheHistoryIsGone has the store forget its history. The process that lists it for all does; another one that watches
// it learns from that one, and lists it itself only if that one tells nothing.
func TestReplicaQueriesListerAfterCompaction(t *testing.T) {
	compacted := func(Revision) ([]Event, Revision, error) { return nil, 0, ErrCompacted }
	for _, test := range []struct {
		desc    string
		changes Changes
		err     error
		lists   int
	}{
		{"the lister tells", Changes{Changed: []Event{{Item: item("b", 7)}}, Revision: 8, Shards: 1}, nil, 0},
		{"the lister knows no more", Changes{Revision: 5, Shards: 1}, nil, 1},
		{"the lister does not answer", Changes{}, ErrNoUpstream, 1},
	} {
		lists := 0
		store := &fakeStore{events: make(chan func(Revision) ([]Event, Revision, error), 1)}
		store.lists = []func() ([]Item, Revision, error){func() ([]Item, Revision, error) {
			lists++
			return []Item{item("a", 3), item("b", 7)}, 8, nil
		}}
		replica, recorded := newShardedReplica(store, 0)
		replica.replace(Snapshot{Items: []Item{item("a", 3)}, Revision: 5})
		queried := ""
		replica.SetFeed(feedFunc(func(request ChangesRequest) (Changes, error) {
			queried = request.Upstream
			return test.changes, test.err
		}))
		replica.SetLister(func() (string, bool) { return "one", false })
		store.events <- compacted
		if err := replica.watch(t.Context()); err != nil || lists != test.lists || queried != "one" || recorded.String() != "a=3 b=7" {
			t.Errorf("%s: %v, %d lists, asked %q, told %s", test.desc, err, lists, queried, recorded)
		}
	}
}

// scriptFeed answers each question by a function.
type feedFunc func(request ChangesRequest) (Changes, error)

// Next is part of Feed.
func (f feedFunc) Next(_ context.Context, request ChangesRequest) (Changes, error) { return f(request) }

// TestAListOfATellerCostsThoseThatLearnOnlyWhatHasChanged guards against hundreds of gateways being told everything each time the store forgets
// its history: lists hide what came and went between two of them, and those that learn know revisions in between from others.
func TestUpstreamListSendsOnlyChanges(t *testing.T) {
	upstream, _ := newShardedReplica(nil, 0)
	var items []Item
	for i := range 1_000 {
		items = append(items, item(fmt.Sprint("gateways/", i), Revision(i+1)))
	}
	upstream.replace(Snapshot{Items: items, Revision: 1_000})
	upstream.replace(Snapshot{Items: append(items, item("configuration", 1_040)), Revision: 1_050})
	follower, recorded := newShardedReplica(nil, 0)
	follower.replace(Snapshot{Items: append(items, item("came-and-went", 1_010)), Revision: 1_020})
	follower.SetFeed(changesFunc(func(request ChangesRequest) (Changes, bool) {
		changes, served := upstream.Changes(request)
		if changes.Full || len(changes.Changed) > 2 {
			t.Errorf("told %d changes, everything: %t", len(changes.Changed), changes.Full)
		}
		return changes, served
	}))
	if err := follower.pollFeed(t.Context(), 0); err != nil {
		t.Fatal(err)
	}
	if held := recorded.String(); strings.Contains(held, "came-and-went") || !strings.Contains(held, "configuration=1040") || follower.revision != 1_050 {
		t.Errorf("it holds %s", held)
	}
}

// TestOneThatBeginsToTakeRequestsLearnsAllFromTheOthers has one that stands by with a shard take requests. It lists the store only if nobody
// tells it everything.
func TestPromotedStandbyLearnsFromEntries(t *testing.T) {
	for _, entriesAnswer := range []bool{true, false} {
		upstream, _ := newShardedReplica(nil, 0)
		var items []Item
		for i := range 1_000 {
			items = append(items, item(fmt.Sprint("workers/", i), Revision(i+1)))
		}
		upstream.replace(Snapshot{Items: items, Revision: 1_000})
		lists := 0
		replica, _ := newShardedReplica(&fakeStore{lists: []func() ([]Item, Revision, error){func() ([]Item, Revision, error) {
			lists++
			return items, 1_000, nil
		}}}, 3)
		replica.startWithoutShard(nil, 0, "")
		replica.SetCalm(true)
		replica.SetFeed(changesFunc(upstream.Changes))
		if err := replica.pollFeed(t.Context(), 0); err != nil || replica.shardCount != 8 {
			t.Fatalf("it holds one of %d shards, %v", replica.shardCount, err)
		}
		if !entriesAnswer {
			upstream.SetCalm(true)
		}
		replica.SetCalm(false)
		if err := replica.step(t.Context()); err != nil || replica.shardCount != 1 || replica.shardedItems != 1_000 || (lists == 0) != entriesAnswer {
			t.Errorf("others tell: %t; one of %d shards, %d records, %d lists, %v", entriesAnswer, replica.shardCount, replica.shardedItems, lists, err)
		}
	}
}

// TestWhoStandsByLeavesListsToItsTellers has the tellers of one that stands by lose the store, which forgets its history. It tries the store
// and does not list it while it is told something, and does once nobody has told it anything for long.
func TestStandbyAvoidsListsWhileFeedAnswers(t *testing.T) {
	lists := 0
	store := &fakeStore{events: make(chan func(Revision) ([]Event, Revision, error), 1)}
	store.lists = []func() ([]Item, Revision, error){func() ([]Item, Revision, error) {
		lists++
		return []Item{item("a", 3)}, 8, nil
	}}
	replica, _ := newShardedReplica(store, 0)
	replica.SetKnownWithin(250 * time.Millisecond)
	replica.replace(Snapshot{Items: []Item{item("a", 3)}, Revision: 5})
	replica.SetCalm(true)
	lost := Changes{Revision: 5, Shards: 1, StoreUnavailable: true}
	replica.SetFeed(feedFunc(func(ChangesRequest) (Changes, error) { return lost, nil }))
	if err := replica.pollFeed(t.Context(), 0); err != nil {
		t.Fatal(err)
	}
	for _, want := range []int{0, 1} {
		store.events <- func(Revision) ([]Event, Revision, error) { return nil, 0, ErrCompacted }
		replica.mustList = false
		if err := replica.step(t.Context()); err != nil || lists != want {
			t.Errorf("%d lists, want %d: %v", lists, want, err)
		}
		time.Sleep(replica.feedTimeout())
	}
}
