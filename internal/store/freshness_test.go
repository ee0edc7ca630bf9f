package store

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/boottime"
)

// quietStore is a store in which nothing changes: its watches wait their time, and it notes how long that is.
type idleStore struct {
	Store
	mutex sync.Mutex
	waits []time.Duration
	// cut makes watches end early, without changes.
	fail bool
}

func (q *idleStore) List(context.Context, string) ([]Item, Revision, error) {
	return []Item{item("a", 3)}, 5, nil
}

func (q *idleStore) ListUntil(ctx context.Context, prefix string, _ func([]Item) bool) ([]Item, Revision, bool, error) {
	items, at, err := q.List(ctx, prefix)
	return items, at, true, err
}

func (q *idleStore) Watch(ctx context.Context, _ string, _ Revision, wait time.Duration) ([]Event, Revision, error) {
	q.mutex.Lock()
	q.waits = append(q.waits, wait)
	fail := q.fail
	q.mutex.Unlock()
	if fail {
		return nil, 0, errors.New("cut")
	}
	sleep(ctx, wait)
	return nil, 5, nil
}

// knownRecorder keeps the moments up to which everything was told.
type asOfRecorder struct {
	recorder
	asOf []time.Time
}

func (k *asOfRecorder) Current(known time.Time) { k.asOf = append(k.asOf, known) }

// TestAQuietStoreIsAskedWithinTheBoundOfAge watches a store in which nothing changes.
func TestIdleStoreIsWatchedWithinMaxStaleness(t *testing.T) {
	idle, recorded := &idleStore{}, &asOfRecorder{}
	replica := NewReplica(idle, "", DefaultReplicaSettings(), recorded, nil)
	replica.SetFreshFor(300 * time.Millisecond)
	started := boottime.Now()
	for range 3 {
		if err := replica.step(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if len(recorded.asOf) != 3 || !recorded.asOf[0].IsZero() {
		t.Fatalf("a list that may be old, and two watches, were known up to %v", recorded.asOf)
	}
	if idle.waits[0] != minWatchWait || idle.waits[1] < 250*time.Millisecond || idle.waits[1] > 300*time.Millisecond {
		t.Errorf("the watches waited for %v: at first shortly, because nothing is known for sure, then for the bound", idle.waits)
	}
	if first, second := recorded.asOf[1].Sub(started), recorded.asOf[2].Sub(started); first < minWatchWait || second < 350*time.Millisecond || recorded.asOf[2].After(boottime.Now()) {
		t.Errorf("known up to %s and %s after the start", first, second)
	}
	replica.SetFreshFor(0)
	replica.Hasten()
	if err := replica.step(t.Context()); err != nil || idle.waits[2] != minWatchWait {
		t.Errorf("hastened, a watch waited for %s: %v", idle.waits[2], err)
	}
	idle.fail = true
	if replica.step(t.Context()) == nil || replica.step(t.Context()) != nil {
		t.Fatal("a watch that is cut is no error, or the list after it is one")
	}
	if last := recorded.asOf[len(recorded.asOf)-1]; !last.Equal(recorded.asOf[3]) {
		t.Error("a watch that was cut, and a list, made known what came later")
	}
}

// TestAnAnswerVouchesForWhatItCannotHaveMissed checks what the answers of watches tell for sure.
func TestCompleteAsOf(t *testing.T) {
	started, wait := time.Unix(1000, 0), 5*time.Second
	for _, test := range []struct {
		name   string
		passed time.Duration
		events int
		want   time.Duration
	}{
		{"nothing in the whole wait", wait, 0, wait},
		{"nothing, and a late answer", 7 * time.Second, 0, wait},
		{"nothing, before the wait was over", 2 * time.Second, 0, 0},
		{"a change, of which nobody knows how long it was on its way", 7 * time.Second, 1, 0},
	} {
		if got := completeAsOf(started, started.Add(test.passed), wait, test.events).Sub(started); got != test.want {
			t.Errorf("%s: known up to %s, expected %s", test.name, got, test.want)
		}
	}
}

// TestWhoIsToldKnowsNoMoreThanItsTeller follows the age of what is known from one process to another.
func TestFollowerIsNoFresherThanUpstream(t *testing.T) {
	upstream := NewReplica(&idleStore{}, "", DefaultReplicaSettings(), &asOfRecorder{}, nil)
	if err := upstream.step(t.Context()); err != nil {
		t.Fatal(err)
	}
	if changes, served := upstream.Changes(ChangesRequest{Shards: 1}); !served || changes.Age != nil {
		t.Error("one that knows nothing for sure told an age")
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
		t.Errorf("told that all is known up to %s after what the teller knows", got.Sub(known))
	}
	changes.Age = nil
	if err := follower.pollFeed(t.Context(), time.Second); err != nil || !recorded.asOf[1].Equal(recorded.asOf[0]) {
		t.Errorf("a teller that does not say its age makes known what came later: %v", err)
	}
}
