package store

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/boottime"
)

// idleStore is a store without changes. It records the waits of its watches.
type idleStore struct {
	Store
	mutex sync.Mutex
	waits []time.Duration
	// fail makes watches fail immediately.
	fail bool
}

func (s *idleStore) List(context.Context, string) ([]Item, Revision, error) {
	return []Item{item("a", 3)}, 5, nil
}

func (s *idleStore) ListUntil(ctx context.Context, prefix string, _ func([]Item) bool) ([]Item, Revision, bool, error) {
	items, revision, err := s.List(ctx, prefix)
	return items, revision, true, err
}

func (s *idleStore) Watch(ctx context.Context, _ string, _ Revision, wait time.Duration) ([]Event, Revision, error) {
	s.mutex.Lock()
	s.waits = append(s.waits, wait)
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
	idle, recorded := &idleStore{}, &asOfRecorder{}
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
	if idle.waits[0] != minWatchWait || idle.waits[1] < 250*time.Millisecond || idle.waits[1] > 300*time.Millisecond {
		t.Errorf("waits %v, want the minimum and then the staleness bound", idle.waits)
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
		t.Errorf("a failed watch and a list advanced the time up to which changes are known from %s to %s", recorded.asOf[3], last)
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
	upstream := NewReplica(&idleStore{}, "", DefaultReplicaSettings(), &asOfRecorder{}, nil)
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
