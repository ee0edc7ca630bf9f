package store

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// scriptedFeed is a feed that a test scripts. Without a script nobody tells anything.
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

// script replaces what is told.
func (f *scriptedFeed) script(next func(after Revision) (Changes, error)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.next = next
}

// TestACalmReplicaAsksTheStoreOnlyWhileNobodyTells counts the calls to the store of a replica that follows a feed.
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
		return Changes{Revision: 4}, nil
	})
	replica.SetFeed(feed)
	replica.SetCalm(true)
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
		t.Errorf("the store was watched %d times while others told", watches)
	}
	if _, served := replica.Changes(ChangesRequest{Shards: 1}); served {
		t.Error("one that does not follow the store tells others")
	}
	feed.script(nil)
	store.events <- func(after Revision) ([]Event, Revision, error) {
		if after != 8 {
			t.Errorf("the store is watched after %d, and 8 is known", after)
		}
		return []Event{{Item: item("c", 9)}}, 9, nil
	}
	recorded.eventually(t, "b=7 c=9")
}

// TestAReplicaWhoseStoreTurnsItAwayLearnsFromOthers has the store fail for a gateway that takes requests.
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
		t.Errorf("it tells %+v, %t, and not that it has lost the store", changes, served)
	}
}

// TestAListThatIsOldTakesNothingBack lists a store whose answer is older than what was told.
func TestStaleListKeepsNewerItems(t *testing.T) {
	recorded := &recorder{}
	replica := NewReplica(nil, "", DefaultReplicaSettings(), recorded, nil)
	replica.replace(Snapshot{Items: []Item{item("a", 3), item("b", 9), item("d", 2)}, Revision: 10})
	replica.replace(Snapshot{Items: []Item{item("a", 3), item("b", 4), item("c", 5)}, Revision: 6})
	if got := recorded.String(); got != "a=3 b=9 c=5" {
		t.Errorf("got %s", got)
	}
}

// TestOneThatIsToldHoldsWhatTheTellersHold plays changes, lists and restarts of two tellers that hear of a store at different
// times. One that learns from them in turn ends with what the store holds, and never goes back.
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
				t.Fatalf("went back from %d to %d", previous, follower.revision)
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			index := rapid.IntRange(0, 1).Draw(t, "teller")
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
			t.Fatalf("told %q, the store holds %q", recorded, expected)
		}
	})
}

// TestDeletedItemsAreForgottenInTheEnd bounds what is remembered of a fleet whose workers come and go.
func TestTombstonesAreBounded(t *testing.T) {
	replica := NewReplica(nil, "", DefaultReplicaSettings(), &recorder{}, nil)
	replica.replace(Snapshot{Revision: 1})
	for i := range maxTombstones + 2 {
		replica.recordNewer([]Event{{Item: Item{Key: fmt.Sprint(i), Revision: Revision(i + 2)}, Deleted: true}}, Revision(i+2))
	}
	replica.replace(Snapshot{Revision: maxTombstones + 9})
	if len(replica.table.latest) > 0 {
		t.Errorf("%d deleted items are remembered", len(replica.table.latest))
	}
	if changes, _ := replica.Changes(ChangesRequest{After: 5, Shards: 1}); !changes.Full {
		t.Error("one that knows little is told the latest changes only")
	}
}
