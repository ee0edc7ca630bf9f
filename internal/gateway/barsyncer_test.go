package gateway

import (
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/decisionlog"
	"github.com/granitebay/granitebay/internal/poison"
	"github.com/granitebay/granitebay/internal/store"
)

// recordingStore records committed transactions.
type recordingStore struct {
	store.Store
	mu      sync.Mutex
	commits []store.Transaction
}

// Commit implements store.Store.
func (s *recordingStore) Commit(_ context.Context, transaction store.Transaction) (store.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits = append(s.commits, transaction)
	return store.Revision(len(s.commits)), nil
}

// newTestBarSyncer returns the syncer of a gateway without other components.
func newTestBarSyncer() (*barSyncer, *recordingStore) {
	recording := &recordingStore{}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	g := &Gateway{dependencies: Dependencies{Store: recording}, logger: logger, decisions: decisionlog.New("a", 16)}
	g.metrics = newGatewayMetrics(g.decisions, logger)
	g.barSyncer = newBarSyncer(g, nil)
	return g.barSyncer, recording
}

// remoteBar returns a bar as reported by another gateway.
func remoteBar(digest poison.Digest) poison.Update {
	return poison.Update{Bars: []poison.BarUpdate{{
		Digest: digest, Rule: "quick", Workers: []string{"w1", "w2", "w3"}, Times: 1, AgoMs: 100, LeftMs: time.Hour.Milliseconds(),
	}}}
}

// TestBarWrittenOnlyWhileInForce guards against writing a bar that was cleared while this gateway waited for the gateway
// that created it.
func TestBarWrittenOnlyWhileInForce(t *testing.T) {
	b, recording := newTestBarSyncer()
	barred, cleared := poison.Request{Target: "/barred"}.Digest(), poison.Request{Target: "/cleared"}.Digest()
	b.guard.ApplyUpdate(remoteBar(barred))
	b.guard.ApplyUpdate(remoteBar(cleared))
	b.guard.ApplyUpdate(poison.Update{Successes: []poison.SuccessUpdate{{Digest: cleared}}})
	for _, change := range b.takeDue(time.Now().Add(remoteBarDelay)) {
		b.apply(t.Context(), change)
	}
	if len(recording.commits) != 1 || !strings.HasSuffix(recording.commits[0].Puts[0].Key, barred.String()) {
		t.Errorf("got commits %+v, want only the bar of %s", recording.commits, barred)
	}
}

// TestReleaseOfBarNotYetStored guards against writing a bar that was released before it reached the store.
func TestReleaseOfBarNotYetStored(t *testing.T) {
	b, recording := newTestBarSyncer()
	digest := poison.Request{Target: "/x"}.Digest()
	b.guard.ApplyUpdate(remoteBar(digest))
	if wasBarred, err := b.release(t.Context(), digest); !wasBarred || err != nil {
		t.Errorf("release returned %t, %v", wasBarred, err)
	}
	if state, _ := b.guard.Status(digest); state != poison.Clear {
		t.Errorf("status is %d after the release, want clear", state)
	}
	for _, change := range b.takeDue(time.Now().Add(remoteBarDelay)) {
		b.apply(t.Context(), change)
	}
	if len(recording.commits) > 0 {
		t.Errorf("got commits %+v, want none", recording.commits)
	}
}

// TestLiftedBarLeavesStore guards against a bar that is lifted before the store has reported it, and that gateways which start later obey.
func TestLiftedBarLeavesStore(t *testing.T) {
	b, recorded := newTestBarSyncer()
	part := poison.NewPart("g", "b")
	b.guard.ApplyPartUpdate(&poison.PartUpdate{Bars: []poison.PartBar{{
		Group: part.Group, Part: part.ID, Workers: []string{"w1", "w2", "w3"}, Times: 1, AgoMs: 100, LeftMs: 600000, TrialDelayMs: 3000,
	}}})
	commitDue := func() {
		for _, change := range b.takeDue(time.Now().Add(remoteBarDelay)) {
			b.apply(t.Context(), change)
		}
	}
	commitDue()
	b.guard.RecordAnswer(&backend.Worker{ID: "w9", Group: "g"}, b.guard.Now(), []poison.Part{part})
	commitDue()
	if len(recorded.commits) != 2 || len(recorded.commits[1].Deletes) != 1 {
		t.Errorf("the gateway has made the changes %+v, want a put and a delete", recorded.commits)
	}
}
