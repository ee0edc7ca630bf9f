package store

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/boottime"
)

// idleStore is a store without changes. It records the waits of its watches.
type idleStore struct {
	Store
	mutex sync.Mutex
	waits []time.Duration
	// watchedAt are the times at which the watches began.
	watchedAt []time.Time
	// fail makes watches fail immediately.
	fail bool
	// stale makes lists stale.
	stale bool
}

func (s *idleStore) List(context.Context, string) ([]Item, Revision, error) {
	return []Item{item("a", 3)}, 5, nil
}

func (s *idleStore) ListUntil(ctx context.Context, prefix string, _ func([]Item) bool) (Listing, error) {
	items, revision, err := s.List(ctx, prefix)
	return Listing{Items: items, Revision: revision, Complete: true, Stale: s.stale}, err
}

func (s *idleStore) Watch(ctx context.Context, _ string, _ Revision, wait time.Duration) ([]Event, Revision, error) {
	s.mutex.Lock()
	s.waits, s.watchedAt = append(s.waits, wait), append(s.watchedAt, boottime.Now())
	fail := s.fail
	s.mutex.Unlock()
	if fail {
		return nil, 0, errors.New("connection reset")
	}
	sleep(ctx, wait)
	return nil, 5, nil
}

// asOfRecorder records the times passed to UpToDate.
type asOfRecorder struct {
	recorder
	asOf []time.Time
}

func (r *asOfRecorder) UpToDate(asOf time.Time) { r.asOf = append(r.asOf, asOf) }

// TestIdleStoreIsWatchedWithinMaxStaleness guards against an idle replica whose data is reported older than the staleness
// bound.
func TestIdleStoreIsWatchedWithinMaxStaleness(t *testing.T) {
	idle, recorded := &idleStore{stale: true}, &asOfRecorder{}
	replica := NewReplica(idle, "", DefaultReplicaSettings(), recorded, nil)
	replica.SetMaxStaleness(300 * time.Millisecond)
	started := boottime.Now()
	for range 3 {
		if err := replica.step(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if len(recorded.asOf) != 3 || !recorded.asOf[0].IsZero() {
		t.Fatalf("after a list and two watches: got times %v, want three with the first zero", recorded.asOf)
	}
	ageAfterWait := idle.watchedAt[1].Add(idle.waits[1]).Sub(recorded.asOf[1])
	if idle.waits[0] != minWatchWait || ageAfterWait < 250*time.Millisecond || idle.waits[1] > 300*time.Millisecond {
		t.Errorf("waits %v, age after the second one %s, want the minimum and then the staleness bound", idle.waits, ageAfterWait)
	}
	if first, second := recorded.asOf[1].Sub(started), recorded.asOf[2].Sub(started); first < minWatchWait || second < 350*time.Millisecond || recorded.asOf[2].After(boottime.Now()) {
		t.Errorf("current as of %s and %s after the start", first, second)
	}
	replica.SetMaxStaleness(0)
	replica.ShortenNextWatch()
	if err := replica.step(t.Context()); err != nil || idle.waits[2] != minWatchWait {
		t.Errorf("after ShortenNextWatch a watch waited %s, want %s: %v", idle.waits[2], minWatchWait, err)
	}
	idle.fail = true
	if replica.step(t.Context()) == nil || replica.step(t.Context()) != nil {
		t.Fatal("want an error from the failed watch and none from the following list")
	}
	if last := recorded.asOf[len(recorded.asOf)-1]; !last.Equal(recorded.asOf[3]) {
		t.Errorf("a failed watch and a stale list advanced the time up to which changes are known from %s to %s", recorded.asOf[3], last)
	}
}

// TestListIsCompleteAsOfItsStart guards against a list that counts as current as of a later time than the store ensured: that
// of its response, or any time at all if it was stale or is of an earlier era.
func TestListIsCompleteAsOfItsStart(t *testing.T) {
	for _, test := range []struct {
		name    string
		listing Listing
		// known is the revision of the items that the replica has; zero if it has none.
		known      Revision
		isEvidence bool
	}{
		{"linearizable", Listing{Revision: 5, Complete: true}, 0, true},
		{"linearizable, after other items", Listing{Revision: 5, Complete: true}, 4, true},
		{"stale", Listing{Revision: 5, Complete: true, Stale: true}, 0, false},
		{"stale, as old as the known items", Listing{Revision: 5, Complete: true, Stale: true}, 5, false},
		{"of an earlier era", Listing{Revision: NewRevision(1, 5), Complete: true}, NewRevision(2, 3), false},
	} {
		recorded := &asOfRecorder{}
		lister := &listingStore{listing: test.listing}
		replica := NewReplica(lister, "", DefaultReplicaSettings(), recorded, nil)
		if test.known != 0 {
			replica.replace(Snapshot{Items: []Item{item("a", test.known)}, Revision: test.known})
		}
		started := boottime.Now()
		if err := replica.list(t.Context()); err != nil || len(recorded.asOf) != 1 {
			t.Fatalf("%s: %v, current as of %v", test.name, err, recorded.asOf)
		}
		asOf := recorded.asOf[0]
		if !test.isEvidence && !asOf.IsZero() {
			t.Errorf("%s: current as of %s after the start, want unknown", test.name, asOf.Sub(started))
		}
		if test.isEvidence && (asOf.Before(started) || asOf.After(lister.calledAt)) {
			t.Errorf("%s: current as of %s after the start, want no later than the call", test.name, asOf.Sub(started))
		}
	}
}

// TestWatchOfEarlierEraIsNoEvidence guards against a watch that counts as current although the feed has told of a restore since it began.
func TestWatchOfEarlierEraIsNoEvidence(t *testing.T) {
	recorded := &asOfRecorder{}
	replica := NewReplica(&idleStore{}, "", DefaultReplicaSettings(), recorded, nil)
	replica.SetMaxStaleness(minWatchWait)
	replica.replace(Snapshot{Items: []Item{item("a", NewRevision(2, 3))}, Revision: NewRevision(2, 3)})
	if err := replica.step(t.Context()); !errors.Is(err, errOutdated) || len(recorded.asOf) != 0 {
		t.Errorf("after a watch that answers from an earlier era: current as of %v, %v", recorded.asOf, err)
	}
}

// listingStore answers a list after a delay. It records when it was called.
type listingStore struct {
	Store
	listing  Listing
	calledAt time.Time
}

func (s *listingStore) ListUntil(ctx context.Context, _ string, _ func([]Item) bool) (Listing, error) {
	s.calledAt = boottime.Now()
	sleep(ctx, 50*time.Millisecond)
	return s.listing, nil
}

// TestStaleListsDoNotHideSilence guards against a replica whose items count as current while watches fail for want of
// history and lists are stale.
func TestStaleListsDoNotHideSilence(t *testing.T) {
	recorded := &asOfRecorder{}
	store := &forgetfulStore{idleStore: idleStore{stale: true}}
	replica := NewReplica(store, "", DefaultReplicaSettings(), recorded, nil)
	for range 5 {
		if err := replica.step(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	for _, asOf := range recorded.asOf {
		if !asOf.IsZero() {
			t.Errorf("current as of %s ago, want unknown", boottime.Now().Sub(asOf))
		}
	}
}

// forgetfulStore has lost the history of its changes. It counts the calls.
type forgetfulStore struct {
	idleStore
	calls atomic.Int64
}

func (s *forgetfulStore) ListUntil(ctx context.Context, prefix string, stop func([]Item) bool) (Listing, error) {
	s.calls.Add(1)
	return s.idleStore.ListUntil(ctx, prefix, stop)
}

func (s *forgetfulStore) Watch(context.Context, string, Revision, time.Duration) ([]Event, Revision, error) {
	s.calls.Add(1)
	return nil, 0, ErrCompacted
}

// TestStaleListsAreSpaced guards against calls without a pause while the history is gone and stale lists are older than what is
// left of it.
func TestStaleListsAreSpaced(t *testing.T) {
	const (
		runTime = 2 * time.Second
		// maxCalls allows for the shortest jittered pauses.
		maxCalls = 20
	)
	store := &forgetfulStore{idleStore: idleStore{stale: true}}
	replica := NewReplica(store, "", DefaultReplicaSettings(), &asOfRecorder{}, nil)
	ctx, cancel := context.WithTimeout(t.Context(), runTime)
	defer cancel()
	replica.Run(ctx)
	if calls := store.calls.Load(); calls < 4 || calls > maxCalls {
		t.Errorf("%d calls in %s, want 4 to %d", calls, runTime, maxCalls)
	}
	// A list that is not stale is newer than the history that is gone, so the watch goes on at once.
	store = &forgetfulStore{}
	replica = NewReplica(store, "", DefaultReplicaSettings(), &asOfRecorder{}, nil)
	started := time.Now()
	for range 3 {
		if err := replica.step(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(started); took > 100*time.Millisecond {
		t.Errorf("lists that are not stale were delayed by %s", took)
	}
}

// TestAgeIsCountedFromReceipt guards against a follower that is more certain than its upstream, and against one that counts
// the wait of its request as age: it would reject nothing for good at an idle store.
func TestAgeIsCountedFromReceipt(t *testing.T) {
	const wait = 700 * time.Millisecond
	sent := boottime.Now().Add(-2 * time.Second)
	for _, test := range []struct {
		name string
		// transit is the time until the request was received, and known the time after that up to which the upstream knows all
		// changes when it responds.
		transit, known time.Duration
	}{
		{"known before the request", 0, -300 * time.Millisecond},
		{"confirmed during the wait", 0, 500 * time.Millisecond},
		{"confirmed during the wait of a late request", 400 * time.Millisecond, 500 * time.Millisecond},
		{"upstream cut off", 0, -20 * time.Second},
	} {
		upstream := NewReplica(&idleStore{stale: true}, "", DefaultReplicaSettings(), &asOfRecorder{}, nil)
		if err := upstream.step(t.Context()); err != nil {
			t.Fatal(err)
		}
		received := sent.Add(test.transit)
		asOf := received.Add(test.known)
		upstream.advanceCurrentAsOf(asOf)
		changes, _ := upstream.Changes(ChangesRequest{Shards: 1, Wait: wait, ReceivedAt: received})
		got := changes.currentAsOf(sent)
		if got.After(asOf) || asOf.Sub(got) > test.transit+2*time.Millisecond {
			t.Errorf("%s: the follower is current as of %s, its upstream as of %s after the request", test.name, got.Sub(sent), asOf.Sub(sent))
		}
	}
}

// TestCompleteAsOf guards against reporting changes as complete up to a later time than the store ensured.
func TestCompleteAsOf(t *testing.T) {
	started, wait := time.Unix(1000, 0), 5*time.Second
	for _, test := range []struct {
		name   string
		passed time.Duration
		events int
		want   time.Duration
	}{
		{"no events, full wait", wait, 0, wait},
		{"no events, delayed response", 7 * time.Second, 0, wait},
		{"no events, early response", 2 * time.Second, 0, 0},
		{"one event, unknown transit time", 7 * time.Second, 1, 0},
	} {
		if got := completeAsOf(started, started.Add(test.passed), wait, test.events).Sub(started); got != test.want {
			t.Errorf("%s: complete as of %s, want %s", test.name, got, test.want)
		}
	}
}

// TestFollowerIsNoFresherThanUpstream guards against a follower that reports its items as fresher than those of its
// upstream.
func TestFollowerIsNoFresherThanUpstream(t *testing.T) {
	upstream := NewReplica(&idleStore{stale: true}, "", DefaultReplicaSettings(), &asOfRecorder{}, nil)
	if err := upstream.step(t.Context()); err != nil {
		t.Fatal(err)
	}
	if changes, served := upstream.Changes(ChangesRequest{Shards: 1}); !served || changes.Age != nil {
		t.Error("want served changes without an age before the first watch")
	}
	known := boottime.Now().Add(-3 * time.Second)
	upstream.advanceCurrentAsOf(known)
	changes, _ := upstream.Changes(ChangesRequest{Shards: 1})
	recorded, feed := &asOfRecorder{}, &scriptedFeed{}
	feed.script(func(Revision) (Changes, error) { return changes, nil })
	follower := NewReplica(&idleStore{}, "", DefaultReplicaSettings(), recorded, nil)
	follower.SetFeed(feed)
	requested := boottime.Now()
	if err := follower.pollFeed(t.Context(), time.Second); err != nil {
		t.Fatal(err)
	}
	if got := recorded.asOf[0]; got.After(known.Add(boottime.Now().Sub(requested))) || got.Before(known.Add(-10*time.Millisecond)) {
		t.Errorf("the follower is current as of %s after its upstream", got.Sub(known))
	}
	changes.Age = nil
	if err := follower.pollFeed(t.Context(), time.Second); err != nil || !recorded.asOf[1].Equal(recorded.asOf[0]) {
		t.Errorf("a response without an age advanced the time up to which changes are known: %v", err)
	}
}
