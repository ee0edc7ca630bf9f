package store

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// scriptedFeed is a feed whose responses a test defines. Without a script it returns ErrNoUpstream.
type scriptedFeed struct {
	mutex sync.Mutex
	next  func(after Revision) (Changes, error)
	polls int
}

func (f *scriptedFeed) Next(ctx context.Context, request ChangesRequest) (Changes, error) {
	f.mutex.Lock()
	f.polls++
	next := f.next
	f.mutex.Unlock()
	if next == nil {
		return Changes{}, ErrNoUpstream
	}
	changes, err := next(request.After)
	if err == nil && len(changes.Changed) == 0 {
		sleep(ctx, 5*time.Millisecond)
	}
	return changes, err
}

// script sets the function that provides the responses.
func (f *scriptedFeed) script(next func(after Revision) (Changes, error)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.next = next
}

// TestStandbyWatchesStoreOnlyWithoutFeed guards against every standby gateway watching the store while its feed provides
// changes.
func TestStandbyWatchesStoreOnlyWithoutFeed(t *testing.T) {
	store := &fakeStore{
		lists:  []func() ([]Item, Revision, error){listResult(5, item("a", 3))},
		events: make(chan func(Revision) ([]Event, Revision, error), 4),
	}
	recorded := &recorder{}
	settings := DefaultReplicaSettings()
	settings.BatchPause = time.Millisecond
	replica := NewReplica(store, "", settings, recorded, nil)
	feed := &scriptedFeed{}
	feed.script(func(after Revision) (Changes, error) {
		if after < 8 {
			return Changes{Changed: []Event{{Item: item("b", 7)}, {Item: item("a", 8), Deleted: true}}, Revision: 8}, nil
		}
		// An older revision must not lower that of the replica.
		return Changes{Revision: 4}, nil
	})
	replica.SetFeed(feed)
	replica.SetStandby(true)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		replica.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	recorded.eventually(t, "b=7")
	store.mutex.Lock()
	watches := len(store.watchedAfter)
	store.mutex.Unlock()
	if watches != 0 {
		t.Errorf("the store was watched %d times while the feed provided changes", watches)
	}
	if _, served := replica.Changes(ChangesRequest{Shards: 1}); served {
		t.Error("a standby replica served changes")
	}
	feed.script(nil)
	store.events <- func(after Revision) ([]Event, Revision, error) {
		if after != 8 {
			t.Errorf("the store is watched after revision %d, want 8", after)
		}
		return []Event{{Item: item("c", 9)}}, 9, nil
	}
	recorded.eventually(t, "b=7 c=9")
}

// TestReplicaUsesFeedWhileStoreIsBusy guards against an entry that gets no changes from its feed while its calls to the
// store fail, or does not report the failure in its own responses.
func TestReplicaUsesFeedWhileStoreIsBusy(t *testing.T) {
	store := &fakeStore{
		lists: []func() ([]Item, Revision, error){
			listResult(5, item("a", 3)), func() ([]Item, Revision, error) { return nil, 0, ErrBusy },
		},
		events: make(chan func(Revision) ([]Event, Revision, error), 4),
	}
	recorded := &recorder{}
	replica := NewReplica(store, "", DefaultReplicaSettings(), recorded, nil)
	feed := &scriptedFeed{}
	feed.script(func(Revision) (Changes, error) {
		return Changes{Changed: []Event{{Item: item("a", 6)}}, Revision: 6}, nil
	})
	replica.SetFeed(feed)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		replica.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	recorded.eventually(t, "a=3")
	store.events <- func(Revision) ([]Event, Revision, error) { return nil, 0, ErrBusy }
	recorded.eventually(t, "a=6")
	if changes, served := replica.Changes(ChangesRequest{After: 5, Shards: 1}); !served || !changes.StoreUnavailable {
		t.Errorf("got changes %+v, served %t, want StoreUnavailable", changes, served)
	}
}

// TestStaleListKeepsNewerItems guards against a list that is older than the replica and reverts items.
func TestStaleListKeepsNewerItems(t *testing.T) {
	recorded := &recorder{}
	replica := NewReplica(nil, "", DefaultReplicaSettings(), recorded, nil)
	replica.replace(Snapshot{Items: []Item{item("a", 3), item("b", 9), item("d", 2)}, Revision: 10})
	replica.replace(Snapshot{Items: []Item{item("a", 3), item("b", 4), item("c", 5)}, Revision: 6})
	if got := recorded.String(); got != "a=3 b=9 c=5" {
		t.Errorf("got %s", got)
	}
}

// TestFeedFollowerConverges guards against a follower of two upstreams that ends with other items than the store has, or
// whose revision decreases without full changes. Random changes, lists and restarts make the upstreams current at
// different times.
func TestFeedFollowerConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history []Event
		items := func(at Revision) []Item {
			latest := map[string]Event{}
			for _, event := range history[:at] {
				latest[event.Key] = event
			}
			var present []Item
			for _, event := range latest {
				if !event.Deleted {
					present = append(present, event.Item)
				}
			}
			return present
		}
		settings := DefaultReplicaSettings()
		settings.MinFeedInterval = 0
		newUpstream := func() *Replica { return NewReplica(nil, "", settings, &recorder{}, nil) }
		upstreams := []*Replica{newUpstream(), newUpstream()}
		follower := newUpstream()
		recorded := &recorder{}
		follower.consumer = recorded
		follower.replace(Snapshot{})
		poll := func(upstream *Replica) {
			after := follower.revision
			changes, served := upstream.Changes(ChangesRequest{After: after, Shards: 1})
			if !served {
				return
			}
			follower.feed = &scriptedFeed{next: func(Revision) (Changes, error) { return changes, nil }}
			previous := follower.revision
			if err := follower.pollFeed(context.Background(), 0); err != nil {
				t.Fatal(err)
			}
			if follower.revision < previous && !changes.Full {
				t.Fatalf("the revision decreased from %d to %d", previous, follower.revision)
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			index := rapid.IntRange(0, 1).Draw(t, "upstream")
			upstream := upstreams[index]
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				revision := Revision(len(history) + 1)
				key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
				history = append(history, Event{Item: item(key, revision), Deleted: rapid.Bool().Draw(t, "deleted")})
			case 2:
				if upstream.table != nil {
					upstream.recordNewer(history[upstream.revision:], Revision(len(history)))
				}
			case 3:
				upstream.replace(Snapshot{Items: items(Revision(len(history))), Revision: Revision(len(history))})
			case 4:
				upstreams[index] = newUpstream()
			case 5:
				poll(upstream)
			}
		}
		for _, upstream := range upstreams {
			upstream.replace(Snapshot{Items: items(Revision(len(history))), Revision: Revision(len(history))})
		}
		poll(upstreams[0])
		poll(upstreams[1])
		expected := &recorder{}
		expected.Reset(items(Revision(len(history))))
		if recorded.String() != expected.String() {
			t.Fatalf("got items %q, the store has %q", recorded, expected)
		}
	})
}

// TestTombstonesAreBounded guards against unbounded memory for deleted items in a fleet whose workers are replaced often.
func TestTombstonesAreBounded(t *testing.T) {
	replica := NewReplica(nil, "", DefaultReplicaSettings(), &recorder{}, nil)
	replica.replace(Snapshot{Revision: 1})
	for i := range maxTombstones + 2 {
		replica.recordNewer([]Event{{Item: Item{Key: fmt.Sprint(i), Revision: Revision(i + 2)}, Deleted: true}}, Revision(i+2))
	}
	replica.replace(Snapshot{Revision: maxTombstones + 9})
	if len(replica.table.latest) > 0 {
		t.Errorf("%d tombstones are kept", len(replica.table.latest))
	}
	if changes, _ := replica.Changes(ChangesRequest{After: 5, Shards: 1}); !changes.Full {
		t.Error("a request from before the dropped tombstones did not get full changes")
	}
}
