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
type quietStore struct {
	Store
	mutex sync.Mutex
	waits []time.Duration
	// cut makes watches end early, without changes.
	cut bool
}

func (q *quietStore) List(context.Context, string) ([]Item, Revision, error) {
	return []Item{item("a", 3)}, 5, nil
}

func (q *quietStore) ListUntil(ctx context.Context, prefix string, _ func([]Item) bool) ([]Item, Revision, bool, error) {
	items, at, err := q.List(ctx, prefix)
	return items, at, true, err
}

func (q *quietStore) Watch(ctx context.Context, _ string, _ Revision, wait time.Duration) ([]Event, Revision, error) {
	q.mutex.Lock()
	q.waits = append(q.waits, wait)
	cut := q.cut
	q.mutex.Unlock()
	if cut {
		return nil, 0, errors.New("cut")
	}
	sleep(ctx, wait)
	return nil, 5, nil
}

// knownRecorder keeps the moments up to which everything was told.
type knownRecorder struct {
	recorder
	known []time.Time
}

func (k *knownRecorder) Current(known time.Time) { k.known = append(k.known, known) }

// TestAQuietStoreIsAskedWithinTheBoundOfAge watches a store in which nothing changes.
func TestAQuietStoreIsAskedWithinTheBoundOfAge(t *testing.T) {
	quiet, told := &quietStore{}, &knownRecorder{}
	replica := NewReplica(quiet, "", DefaultReplicaSettings(), told, nil)
	replica.SetFreshFor(300 * time.Millisecond)
	begun := boottime.Now()
	for range 3 {
		if err := replica.step(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if len(told.known) != 3 || !told.known[0].IsZero() {
		t.Fatalf("a list that may be old, and two watches, were known up to %v", told.known)
	}
	if quiet.waits[0] != leastWait || quiet.waits[1] < 250*time.Millisecond || quiet.waits[1] > 300*time.Millisecond {
		t.Errorf("the watches waited for %v: at first shortly, because nothing is known for sure, then for the bound", quiet.waits)
	}
	if first, second := told.known[1].Sub(begun), told.known[2].Sub(begun); first < leastWait || second < 350*time.Millisecond || told.known[2].After(boottime.Now()) {
		t.Errorf("known up to %s and %s after the start", first, second)
	}
	replica.SetFreshFor(0)
	replica.Hasten()
	if err := replica.step(t.Context()); err != nil || quiet.waits[2] != leastWait {
		t.Errorf("hastened, a watch waited for %s: %v", quiet.waits[2], err)
	}
	quiet.cut = true
	if replica.step(t.Context()) == nil || replica.step(t.Context()) != nil {
		t.Fatal("a watch that is cut is no error, or the list after it is one")
	}
	if last := told.known[len(told.known)-1]; !last.Equal(told.known[3]) {
		t.Error("a watch that was cut, and a list, made known what came later")
	}
}

// TestAnAnswerVouchesForWhatItCannotHaveMissed checks what the answers of watches tell for sure.
func TestAnAnswerVouchesForWhatItCannotHaveMissed(t *testing.T) {
	begun, wait := time.Unix(1000, 0), 5*time.Second
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
		if got := toldUntil(begun, begun.Add(test.passed), wait, test.events).Sub(begun); got != test.want {
			t.Errorf("%s: known up to %s, expected %s", test.name, got, test.want)
		}
	}
}

// TestWhoIsToldKnowsNoMoreThanItsTeller follows the age of what is known from one process to another.
func TestWhoIsToldKnowsNoMoreThanItsTeller(t *testing.T) {
	teller := NewReplica(&quietStore{}, "", DefaultReplicaSettings(), &knownRecorder{}, nil)
	if err := teller.step(t.Context()); err != nil {
		t.Fatal(err)
	}
	if changes, tells := teller.Changes(Question{Shards: 1}); !tells || changes.Age != nil {
		t.Error("one that knows nothing for sure told an age")
	}
	known := boottime.Now().Add(-3 * time.Second)
	teller.knownSince(known)
	changes, _ := teller.Changes(Question{Shards: 1})
	told, feed := &knownRecorder{}, &scriptedFeed{}
	feed.script(func(Revision) (Changes, error) { return changes, nil })
	follower := NewReplica(&quietStore{}, "", DefaultReplicaSettings(), told, nil)
	follower.SetFeed(feed)
	asked := boottime.Now()
	if err := follower.follow(t.Context(), time.Second); err != nil {
		t.Fatal(err)
	}
	if got := told.known[0]; got.After(known.Add(boottime.Now().Sub(asked))) || got.Before(known.Add(-10*time.Millisecond)) {
		t.Errorf("told that all is known up to %s after what the teller knows", got.Sub(known))
	}
	changes.Age = nil
	if err := follower.follow(t.Context(), time.Second); err != nil || !told.known[1].Equal(told.known[0]) {
		t.Errorf("a teller that does not say its age makes known what came later: %v", err)
	}
}
