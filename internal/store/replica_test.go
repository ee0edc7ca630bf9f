package store

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"
)

// fakeStore is a store whose responses a test defines. Methods that are not overridden panic.
type fakeStore struct {
	Store
	mutex        sync.Mutex
	lists        []func() ([]Item, Revision, error)
	events       chan func(after Revision) ([]Event, Revision, error)
	watchedAfter []Revision
}

func (f *fakeStore) List(context.Context, string) ([]Item, Revision, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	next := f.lists[0]
	if len(f.lists) > 1 {
		f.lists = f.lists[1:]
	}
	return next()
}

func (f *fakeStore) ListUntil(ctx context.Context, prefix string, _ func([]Item) bool) (Listing, error) {
	items, revision, err := f.List(ctx, prefix)
	return Listing{Items: items, Revision: revision, Complete: true}, err
}

func (f *fakeStore) Watch(ctx context.Context, _ string, after Revision, _ time.Duration) ([]Event, Revision, error) {
	f.mutex.Lock()
	f.watchedAfter = append(f.watchedAfter, after)
	f.mutex.Unlock()
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case respond := <-f.events:
		return respond(after)
	}
}

// recorder is a consumer that records the values of items.
type recorder struct {
	mutex  sync.Mutex
	eras   []int64
	items  map[string]string
	losses int
}

func (r *recorder) Restored(era int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.eras = append(r.eras, era)
}

func (r *recorder) Reset(items []Item) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.items = map[string]string{}
	for _, item := range items {
		r.items[item.Key] = string(item.Value)
	}
}

func (r *recorder) Apply(events []Event) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, event := range events {
		if event.Deleted {
			delete(r.items, event.Key)
			continue
		}
		r.items[event.Key] = string(event.Value)
	}
}

func (r *recorder) StoreUnavailable(error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.losses++
}

func (r *recorder) UpToDate(time.Time) {}

// String lists the items by key.
func (r *recorder) String() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var all []string
	for key, value := range r.items {
		all = append(all, key+"="+value)
	}
	sort.Strings(all)
	return strings.Join(all, " ")
}

// eventually waits until the recorder holds the given items.
func (r *recorder) eventually(t *testing.T, want string) {
	t.Helper()
	for range 300 {
		if r.String() == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("got %q, want %q", r, want)
}

// item returns an item whose value is its revision.
func item(key string, revision Revision) Item {
	return Item{Key: key, Value: fmt.Append(nil, revision), Revision: revision}
}

// runReplica runs a replica until the test ends.
func runReplica(t *testing.T, store Store, fallback Fallback) (*Replica, *recorder) {
	t.Helper()
	settings := DefaultReplicaSettings()
	settings.BatchPause = time.Millisecond
	recorded := &recorder{}
	replica := NewReplica(store, "", settings, recorded, fallback)
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
	return replica, recorded
}

// listResult returns a response for fakeStore.lists.
func listResult(revision Revision, items ...Item) func() ([]Item, Revision, error) {
	return func() ([]Item, Revision, error) { return items, revision, nil }
}

// TestReplicaAppliesChangesAndIgnoresStaleOnes guards against reverting an item to an older change, which a watch may
// return after a paged list.
func TestReplicaAppliesChangesAndIgnoresStaleOnes(t *testing.T) {
	store := &fakeStore{lists: []func() ([]Item, Revision, error){listResult(5, item("a", 3), item("b", 7))}, events: make(chan func(Revision) ([]Event, Revision, error), 4)}
	_, recorded := runReplica(t, store, nil)
	recorded.eventually(t, "a=3 b=7")
	// The second page of the list was read at revision 7, so the change at 6 is stale.
	store.events <- func(Revision) ([]Event, Revision, error) {
		return []Event{{Item: item("b", 6)}, {Item: item("a", 8), Deleted: true}, {Item: item("c", 9)}}, 9, nil
	}
	recorded.eventually(t, "b=7 c=9")
	store.events <- func(after Revision) ([]Event, Revision, error) {
		if after != 9 {
			t.Errorf("the store is watched after revision %d, want 9", after)
		}
		return []Event{{Item: item("a", 8)}, {Item: item("a", 10)}}, 10, nil
	}
	recorded.eventually(t, "a=10 b=7 c=9")
}

// TestReplicaListsAgainAfterCompaction guards against missing changes that the store no longer holds.
func TestReplicaListsAgainAfterCompaction(t *testing.T) {
	store := &fakeStore{
		lists:  []func() ([]Item, Revision, error){listResult(5, item("a", 3), item("b", 4)), listResult(20, item("a", 15))},
		events: make(chan func(Revision) ([]Event, Revision, error), 4),
	}
	_, recorded := runReplica(t, store, nil)
	recorded.eventually(t, "a=3 b=4")
	store.events <- func(Revision) ([]Event, Revision, error) { return nil, 0, ErrCompacted }
	recorded.eventually(t, "a=15")
}

// TestReplicaStartsFromFallbackDuringOutage guards against a process that starts without items while the store is
// unavailable.
func TestReplicaStartsFromFallbackDuringOutage(t *testing.T) {
	unavailable := func() ([]Item, Revision, error) { return nil, 0, errors.New("unavailable") }
	recovered := make(chan struct{})
	store := &fakeStore{events: make(chan func(Revision) ([]Event, Revision, error), 4)}
	store.lists = []func() ([]Item, Revision, error){func() ([]Item, Revision, error) {
		select {
		case <-recovered:
			return []Item{item("a", 3), item("b", 5)}, 5, nil
		default:
			return unavailable()
		}
	}}
	replica, recorded := runReplica(t, store, func(context.Context) (Snapshot, error) {
		return Snapshot{Items: []Item{item("a", 3)}, Revision: 4}, nil
	})
	recorded.eventually(t, "a=3")
	if snapshot, known := replica.Snapshot(); !known || snapshot.Revision != 4 || len(snapshot.Items) != 1 {
		t.Errorf("got snapshot %+v", snapshot)
	}
	// The fallback may lack changes, so the store must be listed once it is available.
	close(recovered)
	recorded.eventually(t, "a=3 b=5")
}

// TestRestartWatchEndsPendingWatch guards against waiting for a dead connection after a network change, and against
// reporting the restart as a failure of the store.
func TestRestartWatchEndsPendingWatch(t *testing.T) {
	store := &fakeStore{lists: []func() ([]Item, Revision, error){listResult(5)}, events: make(chan func(Revision) ([]Event, Revision, error))}
	replica, recorded := runReplica(t, store, nil)
	watches := func() int {
		store.mutex.Lock()
		defer store.mutex.Unlock()
		return len(store.watchedAfter)
	}
	for range 300 {
		if watches() > 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	replica.RestartWatch()
	for range 300 {
		if watches() > 1 {
			if recorded.losses != 0 {
				t.Error("a restarted watch was reported as a failure of the store")
			}
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the watch was not restarted")
}

// TestRestartDuringListCausesNoOtherList guards against listing the store twice after a restore, which the response to the first list reports.
func TestRestartDuringListCausesNoOtherList(t *testing.T) {
	var replica *Replica
	lists := 0
	fake := &fakeStore{events: make(chan func(Revision) ([]Event, Revision, error))}
	fake.lists = []func() ([]Item, Revision, error){func() ([]Item, Revision, error) {
		lists++
		replica.RestartWatch()
		return []Item{item("a", 1)}, Revision(lists), nil
	}}
	replica = NewReplica(fake, "", DefaultReplicaSettings(), &recorder{}, nil)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		replica.Run(ctx)
	}()
	fake.events <- func(after Revision) ([]Event, Revision, error) { return nil, after, nil }
	cancel()
	<-done
	if lists != 1 {
		t.Errorf("%d lists of the store", lists)
	}
}

// TestOnlyListerListsSoonAfterFailure guards against lists of all processes that watch the store when it is unavailable and when it is back.
func TestOnlyListerListsSoonAfterFailure(t *testing.T) {
	settings := DefaultReplicaSettings()
	errRefused := errors.New("refused")
	failedAt, listedAt := make(chan time.Time, 1), make(chan time.Time, 1)
	fake := &fakeStore{events: make(chan func(Revision) ([]Event, Revision, error), 1)}
	fake.lists = []func() ([]Item, Revision, error){listResult(1), func() ([]Item, Revision, error) {
		select {
		case listedAt <- time.Now():
		default:
		}
		return nil, 0, errRefused
	}}
	replica := NewReplica(fake, "", settings, &recorder{}, nil)
	replica.SetFeed(feedFunc(func(ChangesRequest) (Changes, error) { return Changes{}, ErrNoUpstream }))
	replica.SetLister(func() (string, bool) { return "another", false })
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		replica.Run(ctx)
	}()
	fake.events <- func(Revision) ([]Event, Revision, error) {
		failedAt <- time.Now()
		return nil, 0, errRefused
	}
	// The pause is jittered down to half of its maximum.
	if waited := (<-listedAt).Sub(<-failedAt); waited < settings.MaxRetryPause/2 {
		t.Errorf("a process that does not list for all listed the store after %s, want %s", waited, settings.MaxRetryPause/2)
	}
	cancel()
	<-done
}

// TestReplicaListsAfterFailedWatch guards against missing changes that the store discarded when a watch failed, since a
// new watch returns only later ones.
func TestReplicaListsAfterFailedWatch(t *testing.T) {
	store := &fakeStore{
		lists:  []func() ([]Item, Revision, error){listResult(5, item("a", 3)), listResult(9, item("a", 8))},
		events: make(chan func(Revision) ([]Event, Revision, error), 4),
	}
	_, recorded := runReplica(t, store, nil)
	recorded.eventually(t, "a=3")
	store.events <- func(Revision) ([]Event, Revision, error) { return nil, 0, errors.New("connection reset") }
	recorded.eventually(t, "a=8")
}

// TestBatchPauseGrowsWithReaders guards against the calls of a starting fleet growing with the square of its size.
func TestBatchPauseGrowsWithReaders(t *testing.T) {
	settings := DefaultReplicaSettings()
	settings.Deferrable = func(key string) bool { return strings.HasPrefix(key, "registrations/") }
	deferrable := Event{Item: Item{Key: "registrations/a"}}
	urgent := Event{Item: Item{Key: "configuration"}}
	added := Event{Item: Item{Key: "workers/new"}}
	for _, test := range []struct {
		name    string
		readers int
		events  []Event
		want    time.Duration
	}{
		{"few readers", 2, []Event{deferrable}, 40 * time.Millisecond},
		{"more readers", 20, []Event{deferrable, deferrable}, 200 * time.Millisecond},
		{"many readers", 300, []Event{deferrable}, time.Second},
		{"no events", 300, nil, 0},
		{"new items", 300, []Event{deferrable, added}, time.Second},
		{"one urgent change", 300, []Event{deferrable, urgent}, 300 * time.Millisecond},
	} {
		replica := NewReplica(nil, "", settings, &recorder{}, nil)
		replica.SetReaderCount(test.readers)
		replica.replace(Snapshot{Items: []Item{urgent.Item}})
		if got := replica.batchPause(test.events); got != test.want {
			t.Errorf("%s: the pause is %s, want %s", test.name, got, test.want)
		}
		replica.SetStandby(true)
		if got := replica.batchPause(test.events); len(test.events) > 0 && got != max(test.want, min(time.Duration(test.readers)*10*time.Millisecond, time.Second)) {
			t.Errorf("%s: the pause of a standby process is %s", test.name, got)
		}
	}
}
