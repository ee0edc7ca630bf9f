package changefeed_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/changefeed"
	"github.com/granitebay/granitebay/internal/store"
)

// fakeSource serves changes that a test sets.
type fakeSource struct {
	changefeed.Source
	mutex       sync.Mutex
	changes     store.Changes
	unavailable bool
	changed     chan struct{}
	requests    int
}

func newSource(changes store.Changes) *fakeSource {
	return &fakeSource{changes: changes, changed: make(chan struct{})}
}

func (s *fakeSource) Changes(request store.ChangesRequest) (store.Changes, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.requests++
	changes := s.changes
	if request.After >= changes.Revision {
		changes.Changed = nil
	}
	return changes, !s.unavailable
}

func (s *fakeSource) Changed() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.changed
}

// set replaces the changes and notifies waiters.
func (s *fakeSource) set(changes store.Changes) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.changes = changes
	close(s.changed)
	s.changed = make(chan struct{})
}

// count returns the number of requests.
func (s *fakeSource) count() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.requests
}

// serve serves a source with one live entry and returns its address.
func serve(t *testing.T, source changefeed.Source) string {
	t.Helper()
	server := httptest.NewServer(changefeed.Handler(source, func() (all, live []string) { return []string{"entry", "new"}, []string{"entry"} }))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// requestAfter returns a request for the changes after a revision.
func requestAfter(after store.Revision, wait time.Duration) store.ChangesRequest {
	return store.ChangesRequest{After: after, Wait: wait, Shards: 1}
}

// changeAt returns the change of one item.
func changeAt(revision store.Revision) store.Changes {
	return store.Changes{Changed: []store.Event{{Item: store.Item{Key: "k", Revision: revision}}}, Revision: revision}
}

// newFollower returns a follower in zone a, and a function that returns the entries it reported.
func newFollower(upstreams ...changefeed.Upstream) (*changefeed.Follower, func() []string) {
	var mutex sync.Mutex
	var reported []string
	follower := changefeed.NewFollower("me", "a", func(entries, live []string) {
		mutex.Lock()
		defer mutex.Unlock()
		reported = append(slices.Clone(entries), live...)
	})
	follower.SetUpstreams(upstreams)
	return follower, func() []string {
		mutex.Lock()
		defer mutex.Unlock()
		return reported
	}
}

// TestRequestReturnsAtFirstChange guards against a request that waits although a change is known, or that misses a later
// one.
func TestRequestReturnsAtFirstChange(t *testing.T) {
	source := newSource(changeAt(4))
	follower, entries := newFollower(changefeed.Upstream{Name: "x", Zone: "a", Address: serve(t, source)})
	changes, err := follower.Next(t.Context(), requestAfter(3, time.Second))
	if err != nil || changes.Revision != 4 || len(changes.Changed) != 1 {
		t.Fatalf("got %+v, %v", changes, err)
	}
	if reported := entries(); !slices.Equal(reported, []string{"entry", "new", "entry"}) {
		t.Errorf("reported entries %v", reported)
	}
	time.AfterFunc(50*time.Millisecond, func() { source.set(changeAt(5)) })
	started := time.Now()
	if changes, err = follower.Next(t.Context(), requestAfter(4, 5*time.Second)); err != nil || changes.Revision != 5 || time.Since(started) > 2*time.Second {
		t.Errorf("got %+v, %v after %s", changes, err, time.Since(started))
	}
	if changes, err = follower.Next(t.Context(), requestAfter(5, 20*time.Millisecond)); err != nil || len(changes.Changed) != 0 {
		t.Errorf("without a change: got %+v, %v", changes, err)
	}
}

// TestUpstreamsOfOwnZoneAlternateAndFailOver guards against querying one upstream only, and against not using another zone
// when the upstreams of the own zone fail.
func TestUpstreamsOfOwnZoneAlternateAndFailOver(t *testing.T) {
	sameZone, otherSameZone, otherZone := newSource(changeAt(4)), newSource(changeAt(4)), newSource(changeAt(4))
	follower, _ := newFollower(
		changefeed.Upstream{Name: "sameZone", Zone: "a", Address: serve(t, sameZone)},
		changefeed.Upstream{Name: "otherSameZone", Zone: "a", Address: serve(t, otherSameZone)},
		changefeed.Upstream{Name: "otherZone", Zone: "b", Address: serve(t, otherZone)},
		changefeed.Upstream{Name: "me", Zone: "a", Address: "127.0.0.1:1"},
	)
	request := func(times int) {
		t.Helper()
		for range times {
			if _, err := follower.Next(t.Context(), requestAfter(3, 0)); err != nil {
				t.Fatal(err)
			}
		}
	}
	request(4)
	if sameZone.count() != 2 || otherSameZone.count() != 2 || otherZone.count() != 0 {
		t.Errorf("got %d, %d and %d requests", sameZone.count(), otherSameZone.count(), otherZone.count())
	}
	sameZone.unavailable, otherSameZone.unavailable = true, true
	request(4)
	if otherZone.count() != 4 {
		t.Errorf("both upstreams of the zone are unavailable: the upstream of the other zone got %d requests", otherZone.count())
	}
}

// TestFailedUpstreamsDelayRequestOnce guards against waiting for more than two upstreams that do not respond before the store is called.
func TestFailedUpstreamsDelayRequestOnce(t *testing.T) {
	closed := httptest.NewServer(http.NotFoundHandler())
	address := strings.TrimPrefix(closed.URL, "http://")
	closed.Close()
	otherZone := newSource(changeAt(4))
	follower, _ := newFollower(
		changefeed.Upstream{Name: "one", Zone: "a", Address: address}, changefeed.Upstream{Name: "two", Zone: "a", Address: strings.Replace(address, "127.0.0.1", "127.0.0.2", 1)},
		changefeed.Upstream{Name: "otherZone", Zone: "b", Address: serve(t, otherZone)},
	)
	if _, err := follower.Next(t.Context(), requestAfter(3, 0)); !errors.Is(err, store.ErrNoUpstream) {
		t.Errorf("both upstreams of the zone are down: got error %v", err)
	}
	for range 3 {
		if _, err := follower.Next(t.Context(), requestAfter(3, 0)); err != nil {
			t.Error(err)
		}
	}
	if otherZone.count() != 3 {
		t.Errorf("the upstream of the other zone got %d requests", otherZone.count())
	}
}

// TestMistakenZoneAsksOtherZones guards against a gateway that takes gateways of its zone for entries that are none, and so never hears which
// ones are.
func TestMistakenZoneAsksOtherZones(t *testing.T) {
	standby, otherStandby, entry := newSource(changeAt(4)), newSource(changeAt(4)), newSource(changeAt(4))
	standby.unavailable, otherStandby.unavailable = true, true
	follower, entries := newFollower(
		changefeed.Upstream{Name: "standby", Zone: "a", Address: serve(t, standby)},
		changefeed.Upstream{Name: "otherStandby", Zone: "a", Address: serve(t, otherStandby)},
		changefeed.Upstream{Name: "entry", Zone: "b", Address: serve(t, entry)},
	)
	if _, err := follower.Next(t.Context(), requestAfter(3, 0)); err != nil {
		t.Fatal(err)
	}
	if reported := entries(); !slices.Contains(reported, "entry") {
		t.Errorf("reported entries %v", reported)
	}
}

// TestStoreIsTriedWhileUnavailableToUpstreams guards against a follower that never calls the store while all its upstreams
// report it unavailable.
func TestStoreIsTriedWhileUnavailableToUpstreams(t *testing.T) {
	unavailable := changeAt(4)
	unavailable.StoreUnavailable = true
	address := serve(t, newSource(unavailable))
	follower, _ := newFollower(
		changefeed.Upstream{Name: "x", Zone: "a", Address: address}, changefeed.Upstream{Name: "y", Zone: "a", Address: serve(t, newSource(unavailable))},
	)
	if _, err := follower.Next(t.Context(), requestAfter(3, 0)); !errors.Is(err, store.ErrNoUpstream) {
		t.Errorf("first request: got error %v, want an attempt to use the store", err)
	}
	if changes, err := follower.Next(t.Context(), requestAfter(3, 0)); err != nil || !changes.StoreUnavailable {
		t.Errorf("second request: got %+v, %v, want changes of an upstream that cannot reach the store", changes, err)
	}
}

// TestPendingRequestIsAnsweredWhenContextEnds guards against a response without a body, which peers reject, when a
// gateway stops.
func TestPendingRequestIsAnsweredWhenContextEnds(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	recorder := httptest.NewRecorder()
	handler := changefeed.Handler(newSource(changeAt(4)), func() (all, live []string) { return nil, nil })
	handler.ServeHTTP(recorder, httptest.NewRequestWithContext(ctx, http.MethodGet, "/changes?after=4&hold=5000", nil))
	if body := recorder.Body.String(); recorder.Code != http.StatusOK || !strings.HasPrefix(body, "{") {
		t.Errorf("got %d %q", recorder.Code, body)
	}
}

// TestInvalidRequestsAreRejected guards against serving requests with missing or invalid parameters.
func TestInvalidRequestsAreRejected(t *testing.T) {
	address := serve(t, newSource(changeAt(4)))
	for _, query := range []string{"", "?after=x&hold=0", "?after=1&hold=-1"} {
		response, err := http.Get("http://" + address + "/changes" + query)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if response.StatusCode != http.StatusBadRequest || !strings.Contains(string(body), "whole numbers") {
			t.Errorf("%s: %d %s", query, response.StatusCode, body)
		}
	}
}

// TestUpstreamCutOffFromStoreIsReplaced guards against late configurations when both entries of a zone are cut off from
// the store. Until their calls to the store time out, they respond that there are no changes.
func TestUpstreamCutOffFromStoreIsReplaced(t *testing.T) {
	silentFor := func(ms int64) store.Changes { return store.Changes{Revision: 4, StoreSilence: &ms} }
	sameZone, otherSameZone, otherZone := newSource(silentFor(500)), newSource(silentFor(500)), newSource(changeAt(9))
	follower, _ := newFollower(
		changefeed.Upstream{Name: "sameZone", Zone: "a", Address: serve(t, sameZone)},
		changefeed.Upstream{Name: "otherSameZone", Zone: "a", Address: serve(t, otherSameZone)},
		changefeed.Upstream{Name: "otherZone", Zone: "b", Address: serve(t, otherZone)},
	)
	follower.SetPropagationBound(2 * time.Second)
	if changes, err := follower.Next(t.Context(), requestAfter(4, 0)); err != nil || changes.Revision != 4 {
		t.Errorf("store silent for 0.5 s: got %+v, %v", changes, err)
	}
	sameZone.set(silentFor(1600))
	otherSameZone.set(silentFor(1700))
	if changes, err := follower.Next(t.Context(), requestAfter(4, 0)); err != nil || changes.Revision != 9 {
		t.Errorf("own zone cut off: got %+v, %v, want changes of the other zone", changes, err)
	}
	otherZone.set(silentFor(1800))
	if _, err := follower.Next(t.Context(), requestAfter(4, 0)); !errors.Is(err, store.ErrNoUpstream) {
		t.Errorf("all cut off: got error %v, want an attempt to use the store", err)
	}
	if changes, err := follower.Next(t.Context(), requestAfter(4, 0)); err != nil || changes.StoreSilence == nil {
		t.Errorf("all cut off, store tried: got %+v, %v, want changes of a cut-off upstream", changes, err)
	}
}

// TestUnrelatedChangesDoNotEndRequest guards against a response to every standby gateway for each change that does not
// concern it.
func TestUnrelatedChangesDoNotEndRequest(t *testing.T) {
	source := newSource(changeAt(4))
	follower, _ := newFollower(changefeed.Upstream{Name: "x", Zone: "a", Address: serve(t, source)})
	time.AfterFunc(30*time.Millisecond, func() { source.set(store.Changes{Revision: 4}) })
	started := time.Now()
	changes, err := follower.Next(t.Context(), requestAfter(4, 150*time.Millisecond))
	if waited := time.Since(started); err != nil || len(changes.Changed) != 0 || waited < 140*time.Millisecond {
		t.Errorf("got %+v, %v after %s", changes, err, waited)
	}
}

// TestRegisteredEntryIsAskedWhenNoUpstreamServes guards against a gateway that is mistaken about the entries of all zones, and so asks in
// vain for as long as it takes others for dead.
func TestRegisteredEntryIsAskedWhenNoUpstreamServes(t *testing.T) {
	var upstreams []changefeed.Upstream
	for _, zone := range []string{"a", "a", "b", "b", "c", "c"} {
		standby := newSource(changeAt(4))
		standby.unavailable = true
		upstreams = append(upstreams, changefeed.Upstream{Name: "standby", Zone: zone, Address: serve(t, standby)})
	}
	entry := newSource(changeAt(4))
	follower, entries := newFollower(upstreams...)
	follower.SetRegistered([]changefeed.Upstream{upstreams[0], {Name: "me", Zone: "a", Address: "127.0.0.1:1"}, {Name: "entry", Zone: "a", Address: serve(t, entry)}})
	if _, err := follower.Next(t.Context(), requestAfter(3, 0)); err != nil {
		t.Fatal(err)
	}
	if reported := entries(); !slices.Contains(reported, "entry") {
		t.Errorf("reported entries %v", reported)
	}
}

// TestOutcomesAreReported guards against standby gateways that get no changes while no metric tells why.
func TestOutcomesAreReported(t *testing.T) {
	unavailable := changeAt(4)
	unavailable.StoreUnavailable = true
	standby := newSource(changeAt(4))
	standby.unavailable = true
	closed := httptest.NewServer(http.NotFoundHandler())
	down := strings.TrimPrefix(closed.URL, "http://")
	closed.Close()
	for want, address := range map[changefeed.Outcome]string{
		changefeed.OutcomeServed: serve(t, newSource(changeAt(4))), changefeed.OutcomeCutOff: serve(t, newSource(unavailable)),
		changefeed.OutcomeNotServing: serve(t, standby), changefeed.OutcomeFailed: down,
	} {
		follower, _ := newFollower(changefeed.Upstream{Name: "x", Zone: "a", Address: address})
		var outcomes []changefeed.Outcome
		follower.OnOutcome(func(outcome changefeed.Outcome, _ time.Duration) { outcomes = append(outcomes, outcome) })
		_, _ = follower.Next(t.Context(), requestAfter(3, 0))
		if len(outcomes) == 0 || outcomes[0] != want {
			t.Errorf("got outcomes %q, want %q", outcomes, want)
		}
	}
}

// TestCancelledRequestIsNoFailure guards against skipping an upstream because this gateway ended its own request.
func TestCancelledRequestIsNoFailure(t *testing.T) {
	source := newSource(changeAt(4))
	follower, _ := newFollower(changefeed.Upstream{Name: "x", Zone: "a", Address: serve(t, source)})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := follower.Next(ctx, requestAfter(4, time.Second)); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("got error %v, want that of the context", err)
	}
	if changes, err := follower.Next(t.Context(), requestAfter(3, time.Second)); err != nil || changes.Revision != 4 {
		t.Errorf("the next request: got %+v, %v", changes, err)
	}
}
