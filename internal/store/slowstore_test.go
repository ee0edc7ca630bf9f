package store

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/boottime"
)

// hangingStore is a store whose calls hang for a while and then fail, as those of a process do whose packets are lost.
type hangingStore struct {
	Store
	// watch and list are how long the calls hang.
	watch, list time.Duration
	mutex       sync.Mutex
	calls       int
}

func (s *hangingStore) hang(ctx context.Context, duration time.Duration) error {
	s.mutex.Lock()
	s.calls++
	s.mutex.Unlock()
	sleep(ctx, duration)
	return errors.New("i/o timeout")
}

func (s *hangingStore) ListUntil(ctx context.Context, _ string, _ func([]Item) bool) (Listing, error) {
	return Listing{}, s.hang(ctx, s.list)
}

func (s *hangingStore) Watch(ctx context.Context, _ string, _ Revision, wait time.Duration) ([]Event, Revision, error) {
	return nil, 0, s.hang(ctx, wait+s.watch)
}

// changingFeed is a feed with a change each interval. Each has its own key.
type changingFeed struct {
	started  time.Time
	interval time.Duration
}

// latest returns the revision of the latest change.
func (f *changingFeed) latest() Revision {
	return 5 + Revision(boottime.Now().Sub(f.started)/f.interval)
}

// changedAt returns when the change with a revision was made.
func (f *changingFeed) changedAt(revision Revision) time.Time {
	return f.started.Add(time.Duration(revision-5) * f.interval)
}

func (f *changingFeed) Next(ctx context.Context, request ChangesRequest) (Changes, error) {
	end := time.Now().Add(request.Wait)
	for f.latest() <= request.After && time.Now().Before(end) && ctx.Err() == nil {
		sleep(ctx, 10*time.Millisecond)
	}
	if ctx.Err() != nil {
		return Changes{}, ctx.Err()
	}
	latest, age := f.latest(), int64(0)
	var changed []Event
	for revision := request.After + 1; revision <= latest; revision++ {
		changed = append(changed, Event{Item: item(fmt.Sprint("k", revision), revision)})
	}
	return Changes{Changed: changed, Revision: latest, Shards: 1, Age: &age}, nil
}

// delayRecorder records the longest time after which a change of a changingFeed is known.
type delayRecorder struct {
	recorder
	feed    *changingFeed
	longest time.Duration
	changes int
}

func (r *delayRecorder) Apply(events []Event) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.changes += len(events)
	for _, event := range events {
		r.longest = max(r.longest, boottime.Now().Sub(r.feed.changedAt(event.Revision)))
	}
}

// TestHangingStoreDoesNotDelayFeed guards against an entry that learns of changes too late, a drain for example, because it waits for a store that
// does not answer it, or pauses before it calls the store again, while other gateways have the changes. A third of the bound is left for the way of a
// change to those.
func TestHangingStoreDoesNotDelayFeed(t *testing.T) {
	const bound = 3 * time.Second
	for _, test := range []struct {
		name  string
		store *hangingStore
	}{
		{"watches hang and lists fail", &hangingStore{watch: 2 * time.Second}},
		{"watches and lists hang", &hangingStore{watch: 2 * time.Second, list: 1500 * time.Millisecond}},
		{"all fail at once", &hangingStore{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			feed := &changingFeed{started: boottime.Now(), interval: 300 * time.Millisecond}
			recorded := &delayRecorder{feed: feed}
			replica := NewReplica(test.store, "", DefaultReplicaSettings(), recorded, nil)
			replica.SetFeed(feed)
			replica.SetPropagationBound(bound)
			replica.SetMaxStaleness(bound * 2 / 5)
			replica.replace(Snapshot{Items: []Item{item("a", 5)}, Revision: 5})
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			replica.Run(ctx)
			recorded.mutex.Lock()
			defer recorded.mutex.Unlock()
			if recorded.changes < 20 || recorded.longest > bound*2/3 {
				t.Errorf("%d changes, the longest delay is %s, want at most two thirds of %s; %d calls to the store",
					recorded.changes, recorded.longest, bound, test.store.calls)
			}
			t.Logf("%d changes, the longest delay is %s; %d calls to the store", recorded.changes, recorded.longest, test.store.calls)
		})
	}
}

// lateStore is a store whose watches answer late, with the events after their revision.
type lateStore struct {
	Store
	delay    time.Duration
	events   []Event
	revision Revision
}

func (s *lateStore) Watch(ctx context.Context, _ string, after Revision, wait time.Duration) ([]Event, Revision, error) {
	sleep(ctx, wait+s.delay)
	var events []Event
	for _, event := range s.events {
		if event.Revision > after {
			events = append(events, event)
		}
	}
	return events, s.revision, nil
}

// TestLateWatchLeavesNoGap guards against changes that are never received because a watch that began after a revision answers once the feed has replaced
// the items by ones of an earlier revision: those of a larger shard from an upstream that lags behind.
func TestLateWatchLeavesNoGap(t *testing.T) {
	drained := Event{Item: item("workers/drained", 98)}
	store := &lateStore{delay: callSlack + 150*time.Millisecond, events: []Event{drained, {Item: item("a", 110)}}, revision: 110}
	replica, _ := newShardedReplica(store, 0)
	replica.replace(Snapshot{Revision: 100, Shards: 1 << 20})
	replica.SetStandby(true)
	replica.SetMaxStaleness(minWatchWait)
	polls := 0
	replica.SetFeed(feedFunc(func(request ChangesRequest) (Changes, error) {
		if polls++; polls > 1 {
			return Changes{}, ErrNoUpstream
		}
		// A shard of one holds all items.
		return Changes{FullShard: true, Shards: 1, Revision: 95, Changed: []Event{{Item: item("workers/drained", 90)}}}, nil
	}))
	if err := replica.step(t.Context()); err != nil || polls == 0 {
		t.Fatalf("%d requests to the feed, %v, so the test checks nothing", polls, err)
	}
	if err := replica.step(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := replica.table.get("workers/drained"); got.Revision != drained.Revision {
		t.Errorf("the item has revision %d at revision %d, want %d", got.Revision, replica.revision, drained.Revision)
	}
}
