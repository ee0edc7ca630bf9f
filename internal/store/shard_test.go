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

// isWorkerKey reports whether a key is sharded in the tests.
func isWorkerKey(key string) bool { return strings.HasPrefix(key, "workers/") }

// newShardedReplica returns a replica with sharded worker keys and its recorder.
func newShardedReplica(store Store, shardHash uint64) (*Replica, *recorder) {
	settings := DefaultReplicaSettings()
	settings.MinFeedInterval, settings.BatchPause, settings.Sharded, settings.ShardHash = 0, time.Millisecond, isWorkerKey, shardHash
	recorded := &recorder{}
	return NewReplica(store, "", settings, recorded, nil), recorded
}

// TestStandbyConvergesToShard guards against a follower that does not end with its shard and all unsharded items, or with
// all items while it is an entry. It polls two upstreams with random changes, lists and restarts, and alternates between
// standby and entry; the number of shards varies.
//
// The failing case kept in testdata/rapid covers a follower that receives full changes from a less current upstream. These
// lower its revision to one before the gap of the other upstream, although it holds items from within that gap.
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
			for _, item := range present {
				all = append(all, item)
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
		shardHash := rapid.Uint64().Draw(t, "shard hash")
		follower, recorded := newShardedReplica(nil, shardHash)
		follower.startWithoutShard(nil, 0, "")
		follower.SetStandby(true)
		poll := func(upstream *Replica) {
			follower.feed = changesFunc(upstream.Changes)
			if err := follower.pollFeed(context.Background(), 0); err != nil && upstream.table != nil {
				t.Fatal(err)
			}
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			index := rapid.IntRange(0, 1).Draw(t, "upstream")
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0:
				first := rapid.IntRange(0, 900).Draw(t, "first")
				for i := range rapid.SampledFrom([]int{1, 300, 700}).Draw(t, "records") {
					change(fmt.Sprint("workers/", first+i), false)
				}
			case 1:
				for _, item := range items() {
					if isWorkerKey(item.Key) && rapid.IntRange(0, 2).Draw(t, "keep") == 0 {
						change(item.Key, true)
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
				follower.SetStandby(!follower.standby.Load())
			}
		}
		list(upstreams[0])
		list(upstreams[1])
		poll(upstreams[0])
		poll(upstreams[1])
		expectedItems := slices.DeleteFunc(items(), func(item Item) bool {
			return isWorkerKey(item.Key) && !inShard(item.Key, shardHash, follower.shardCount)
		})
		if follower.shardCount == 0 || (!follower.standby.Load() && follower.shardCount != 1) {
			t.Fatalf("the follower holds one of %d shards, standby: %t", follower.shardCount, follower.standby.Load())
		}
		expected := &recorder{}
		expected.Reset(expectedItems)
		if recorded.String() != expected.String() {
			t.Fatalf("with %d shards: got %q, want %q", follower.shardCount, recorded, expected)
		}
		if items := len(expectedItems); follower.standby.Load() && items > 4*maxShardSize {
			t.Fatalf("the standby follower holds %d items", items)
		}
	})
}

// changesFunc is a Feed that returns ErrNoUpstream when the function returns false.
type changesFunc func(request ChangesRequest) (Changes, bool)

// Next implements Feed.
func (f changesFunc) Next(_ context.Context, request ChangesRequest) (Changes, error) {
	changes, served := f(request)
	if !served {
		return Changes{}, ErrNoUpstream
	}
	return changes, nil
}

// TestShardsFor guards against shards that are too large or small, and against a number of shards that oscillates.
func TestShardsFor(t *testing.T) {
	for _, test := range []struct{ records, current, want int }{
		{0, 0, 1}, {177, 0, 1}, {300, 1, 1}, {300, 0, 2}, {385, 1, 2}, {10_004, 0, 64}, {10_004, 64, 64}, {20_008, 64, 64}, {20_008, 0, 128},
		{3_000, 64, 16}, {10, 16, 1},
	} {
		if got := shardsFor(test.records, test.current); got != test.want {
			t.Errorf("%d records, currently %d shards: got %d shards, want %d", test.records, test.current, got, test.want)
		}
	}
}

// pagedStore lists a fixed set of items in pages of two and counts the pages.
type pagedStore struct {
	fakeStore
	pages int
}

func (p *pagedStore) ListUntil(_ context.Context, _ string, stop func([]Item) bool) (Listing, error) {
	all := []Item{
		item("configuration", 1), item("gateways/a", 2), item("gateways/b", 3), item("workers/1", 4), item("workers/2", 5), item("workers/3", 6),
		item("workers/4", 7), item("z", 8),
	}
	for first := 0; ; first += 2 {
		p.pages++
		switch {
		case first+2 >= len(all):
			return Listing{Items: all, Revision: 8, Complete: true}, nil
		case stop != nil && stop(all[:first+2]):
			return Listing{Items: all[:first+2], Revision: 8}, nil
		}
	}
}

// standbyOnApply makes a replica standby when it passes on its first changes.
type standbyOnApply struct {
	recorder
	replica *Replica
}

func (s *standbyOnApply) Apply(events []Event) {
	s.recorder.Apply(events)
	s.replica.SetStandby(true)
}

// TestStandbyDoesNotListWorkers guards against a starting process that lists all worker records although it became standby
// after the first pages, and against one that does not get its shard and the remaining items from its feed.
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
	all, _ := (&pagedStore{}).ListUntil(t.Context(), "", nil)
	upstream.replace(Snapshot{Items: all.Items, Revision: all.Revision})
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
		t.Errorf("%d pages were listed, want 2", paged.pages)
	}
}

// BenchmarkChanges measures recording a change of one record and answering the request of a standby gateway. An entry
// serves hundreds of these.
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

// TestNewRecordsAreDeferrable guards against deferring other changes than the creation of a worker record, or of a key that
// Deferrable selects. Creating a key again after its deletion counts as a creation.
func TestNewRecordsAreDeferrable(t *testing.T) {
	upstream, _ := newShardedReplica(nil, 0)
	upstream.settings.Deferrable = func(key string) bool { return strings.HasPrefix(key, "gateways/") }
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
			t.Errorf("change %d, %+v: deferrable %t", i, changes.Changed, changes.Deferrable)
		}
	}
}

// TestPauseStaysWithinPropagationBound guards against a pause that exceeds a tenth of the propagation bound in large
// fleets.
func TestPauseStaysWithinPropagationBound(t *testing.T) {
	for _, test := range []struct {
		readers int
		bound   time.Duration
		want    time.Duration
	}{{12, 5 * time.Second, 40 * time.Millisecond}, {300, 5 * time.Second, 300 * time.Millisecond}, {5000, 5 * time.Second, 500 * time.Millisecond}, {5000, 0, 5 * time.Second}} {
		replica, _ := newShardedReplica(nil, 0)
		replica.SetReaderCount(test.readers)
		replica.SetPropagationBound(test.bound)
		if got := replica.stretchPause(40 * time.Millisecond); got != test.want {
			t.Errorf("%d readers: the pause is %s, want %s", test.readers, got, test.want)
		}
	}
}

// TestReplicaQueriesListerAfterCompaction guards against a replica that lists the store after a compaction although the
// lister has newer changes.
func TestReplicaQueriesListerAfterCompaction(t *testing.T) {
	compacted := func(Revision) ([]Event, Revision, error) { return nil, 0, ErrCompacted }
	for _, test := range []struct {
		desc    string
		changes Changes
		err     error
		lists   int
	}{
		{"lister has changes", Changes{Changed: []Event{{Item: item("b", 7)}}, Revision: 8, Shards: 1}, nil, 0},
		{"lister has no newer changes", Changes{Revision: 5, Shards: 1}, nil, 1},
		{"lister does not answer", Changes{}, ErrNoUpstream, 1},
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
			t.Errorf("%s: error %v, %d lists, queried %q, items %s", test.desc, err, lists, queried, recorded)
		}
	}
}

// feedFunc is a Feed that calls a function.
type feedFunc func(request ChangesRequest) (Changes, error)

// Next implements Feed.
func (f feedFunc) Next(_ context.Context, request ChangesRequest) (Changes, error) { return f(request) }

// TestUpstreamListSendsOnlyChanges guards against sending full changes to hundreds of gateways whenever an upstream
// lists the store again: the list hides items that were created and deleted since the previous one, and followers may
// know revisions in between from other upstreams.
func TestUpstreamListSendsOnlyChanges(t *testing.T) {
	upstream, _ := newShardedReplica(nil, 0)
	var items []Item
	for i := range 1_000 {
		items = append(items, item(fmt.Sprint("gateways/", i), Revision(i+1)))
	}
	upstream.replace(Snapshot{Items: items, Revision: 1_000})
	upstream.replace(Snapshot{Items: append(items, item("configuration", 1_040)), Revision: 1_050})
	follower, recorded := newShardedReplica(nil, 0)
	follower.replace(Snapshot{Items: append(items, item("created-and-deleted", 1_010)), Revision: 1_020})
	follower.SetFeed(changesFunc(func(request ChangesRequest) (Changes, bool) {
		changes, served := upstream.Changes(request)
		if changes.Full || len(changes.Changed) > 2 {
			t.Errorf("sent %d changes, full: %t", len(changes.Changed), changes.Full)
		}
		return changes, served
	}))
	if err := follower.pollFeed(t.Context(), 0); err != nil {
		t.Fatal(err)
	}
	if held := recorded.String(); strings.Contains(held, "created-and-deleted") || !strings.Contains(held, "configuration=1040") || follower.revision != 1_050 {
		t.Errorf("the follower holds %s", held)
	}
}

// TestPromotedStandbyLearnsFromEntries guards against a standby gateway that becomes an entry and lists the store although
// another entry provides all items.
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
		replica.SetStandby(true)
		replica.SetFeed(changesFunc(upstream.Changes))
		if err := replica.pollFeed(t.Context(), 0); err != nil || replica.shardCount != 8 {
			t.Fatalf("the replica holds one of %d shards, error %v", replica.shardCount, err)
		}
		if !entriesAnswer {
			upstream.SetStandby(true)
		}
		replica.SetStandby(false)
		if err := replica.step(t.Context()); err != nil || replica.shardCount != 1 || replica.shardedItems != 1_000 || (lists == 0) != entriesAnswer {
			t.Errorf("entries answer: %t; one of %d shards, %d records, %d lists, error %v", entriesAnswer, replica.shardCount, replica.shardedItems, lists, err)
		}
	}
}

// TestStandbyAvoidsListsWhileFeedAnswers guards against a standby replica that lists the store after a compaction although
// its feed, whose upstreams cannot reach the store, responded recently.
func TestStandbyAvoidsListsWhileFeedAnswers(t *testing.T) {
	lists := 0
	store := &fakeStore{events: make(chan func(Revision) ([]Event, Revision, error), 1)}
	store.lists = []func() ([]Item, Revision, error){func() ([]Item, Revision, error) {
		lists++
		return []Item{item("a", 3)}, 8, nil
	}}
	replica, _ := newShardedReplica(store, 0)
	replica.SetPropagationBound(250 * time.Millisecond)
	replica.replace(Snapshot{Items: []Item{item("a", 3)}, Revision: 5})
	replica.SetStandby(true)
	lost := Changes{Revision: 5, Shards: 1, StoreUnavailable: true}
	replica.SetFeed(feedFunc(func(ChangesRequest) (Changes, error) { return lost, nil }))
	if err := replica.pollFeed(t.Context(), 0); err != nil {
		t.Fatal(err)
	}
	// The first step follows an answer of the feed, so the store must not be listed. The second begins when the feed has not
	// answered for feedTimeout, so the store must be listed once.
	for _, want := range []int{0, 1} {
		store.events <- func(Revision) ([]Event, Revision, error) { return nil, 0, ErrCompacted }
		replica.mustList = false
		if err := replica.step(t.Context()); err != nil || lists != want {
			t.Errorf("%d lists, want %d: %v", lists, want, err)
		}
		time.Sleep(replica.feedTimeout())
	}
}
