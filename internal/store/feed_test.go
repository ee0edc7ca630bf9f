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
	asked int
}

func (f *scriptedFeed) Next(ctx context.Context, question Question) (Changes, error) {
	f.mutex.Lock()
	f.asked++
	next := f.next
	f.mutex.Unlock()
	if next == nil {
		return Changes{}, ErrNobody
	}
	changes, err := next(question.After)
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
func TestACalmReplicaAsksTheStoreOnlyWhileNobodyTells(t *testing.T) {
	store := &fakeStore{
		lists:  []func() ([]Item, Revision, error){listed(5, item("a", 3))},
		events: make(chan func(Revision) ([]Event, Revision, error), 4),
	}
	recorded := &recorder{}
	settings := DefaultReplicaSettings()
	settings.Settle = time.Millisecond
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
	watches := len(store.after)
	store.mutex.Unlock()
	if watches != 0 {
		t.Errorf("the store was watched %d times while others told", watches)
	}
	if _, follows := replica.Changes(Question{Shards: 1}); follows {
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
func TestAReplicaWhoseStoreTurnsItAwayLearnsFromOthers(t *testing.T) {
	store := &fakeStore{
		lists: []func() ([]Item, Revision, error){
			listed(5, item("a", 3)), func() ([]Item, Revision, error) { return nil, 0, ErrBusy },
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
	if changes, follows := replica.Changes(Question{After: 5, Shards: 1}); !follows || !changes.StoreLost {
		t.Errorf("it tells %+v, %t, and not that it has lost the store", changes, follows)
	}
}

// TestAListThatIsOldTakesNothingBack lists a store whose answer is older than what was told.
func TestAListThatIsOldTakesNothingBack(t *testing.T) {
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
func TestOneThatIsToldHoldsWhatTheTellersHold(t *testing.T) {
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
		settings.FeedPause = 0
		newTeller := func() *Replica { return NewReplica(nil, "", settings, &recorder{}, nil) }
		tellers := []*Replica{newTeller(), newTeller()}
		told := newTeller()
		recorded := &recorder{}
		told.consumer = recorded
		told.replace(Snapshot{})
		learn := func(teller *Replica) {
			after := told.after
			changes, follows := teller.Changes(Question{After: after, Shards: 1})
			if !follows {
				return
			}
			told.feed = &scriptedFeed{next: func(Revision) (Changes, error) { return changes, nil }}
			before := told.after
			if err := told.follow(context.Background(), 0); err != nil {
				t.Fatal(err)
			}
			if told.after < before && !changes.Full {
				t.Fatalf("went back from %d to %d", before, told.after)
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			teller := rapid.IntRange(0, 1).Draw(t, "teller")
			replica := tellers[teller]
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				revision := Revision(len(history) + 1)
				key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
				history = append(history, Event{Item: item(key, revision), Deleted: rapid.Bool().Draw(t, "deleted")})
			case 2:
				if replica.known != nil {
					replica.fresh(history[replica.after:], Revision(len(history)))
				}
			case 3:
				replica.replace(Snapshot{Items: items(Revision(len(history))), Revision: Revision(len(history))})
			case 4:
				tellers[teller] = newTeller()
			case 5:
				learn(replica)
			}
		}
		for _, replica := range tellers {
			replica.replace(Snapshot{Items: items(Revision(len(history))), Revision: Revision(len(history))})
		}
		learn(tellers[0])
		learn(tellers[1])
		wanted := &recorder{}
		wanted.Reset(items(Revision(len(history))))
		if recorded.String() != wanted.String() {
			t.Fatalf("told %q, the store holds %q", recorded, wanted)
		}
	})
}

// TestDeletedItemsAreForgottenInTheEnd bounds what is remembered of a fleet whose workers come and go.
func TestDeletedItemsAreForgottenInTheEnd(t *testing.T) {
	replica := NewReplica(nil, "", DefaultReplicaSettings(), &recorder{}, nil)
	replica.replace(Snapshot{Revision: 1})
	for i := range maxDeleted + 2 {
		replica.fresh([]Event{{Item: Item{Key: fmt.Sprint(i), Revision: Revision(i + 2)}, Deleted: true}}, Revision(i+2))
	}
	replica.replace(Snapshot{Revision: maxDeleted + 9})
	if len(replica.known.latest) > 0 {
		t.Errorf("%d deleted items are remembered", len(replica.known.latest))
	}
	if changes, _ := replica.Changes(Question{After: 5, Shards: 1}); !changes.Full {
		t.Error("one that knows little is told the latest changes only")
	}
}
