package cluster

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/configuration"
	"github.com/granitebay/granitebay/internal/member"
	"github.com/granitebay/granitebay/internal/roles"
	"github.com/granitebay/granitebay/internal/routing"
	"github.com/granitebay/granitebay/internal/store"
)

// fakeDecoder decodes configurations whose version is the length of the value, and workers by their keys.
type fakeDecoder struct{}

func (fakeDecoder) IsConfiguration(key string) bool { return key == "configuration" }

func (fakeDecoder) Configuration(value []byte) (*routing.Configuration, error) {
	if len(value) == 0 {
		return nil, errors.New("empty")
	}
	return &routing.Configuration{Version: int64(len(value))}, nil
}

func (fakeDecoder) WorkerID(key string) (string, bool) { return strings.CutPrefix(key, "worker/") }

func (fakeDecoder) Worker(id string, _ []byte) (*backend.Worker, error) {
	return &backend.Worker{ID: id}, nil
}

// recorder is a Listener that records notifications.
type recorder struct {
	versions []int64
	// workersAtConfiguration is the number of workers at the last configuration.
	workersAtConfiguration int
	workers                int
	unregistered           int
	confirmed              time.Time
	fleetIsNew             bool
	registered             int
	controller             string
}

func (r *recorder) ConfigurationChanged(configuration *routing.Configuration) {
	r.versions = append(r.versions, configuration.Version)
	r.workersAtConfiguration = r.workers
}
func (r *recorder) WorkersChanged(changes backend.Changes) {
	r.workers += len(changes.Updated) - len(changes.Removed)
}

func (r *recorder) StoreRestored(int64) {}
func (r *recorder) GatewaysChanged()    {}
func (r *recorder) ControllerChanged(key *store.Item) {
	r.controller = ""
	if key != nil {
		r.controller = string(key.Value)
	}
}
func (r *recorder) UsageLedgerChanged([]byte) {}
func (r *recorder) BarsListed([]store.Item)   {}
func (r *recorder) BarChanged(store.Event)    {}
func (r *recorder) Unregistered()             { r.unregistered++ }
func (r *recorder) RegistrationConfirmed(at time.Time, fleetIsNew bool) {
	r.confirmed, r.fleetIsNew = at, fleetIsNew
}
func (r *recorder) Registered() { r.registered++ }

const ownKey = member.KeyPrefix + "a"

// outageGrace is how long workers outlast their records in the view of newTestView.
const outageGrace = 30 * time.Millisecond

// newTestView returns a view and its recorder.
func newTestView() (*View, *recorder) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	recorded := &recorder{}
	roster := backend.NewRoster(backend.RosterSettings{OutageGrace: outageGrace, OutageWindow: time.Second})
	return NewView(fakeDecoder{}, recorded, member.NewList(member.Gateway{Name: "a"}), roster, ownKey, logger), recorded
}

// putEvent returns the event of a written item.
func putEvent(key, value string) store.Event {
	return store.Event{Item: store.Item{Key: key, Value: []byte(value)}}
}

// TestStaleConfigurationsAreIgnored guards against replacing the configuration by an older or invalid one.
func TestStaleConfigurationsAreIgnored(t *testing.T) {
	view, recorded := newTestView()
	view.Reset([]store.Item{putEvent("configuration", "333").Item})
	view.Apply([]store.Event{putEvent("configuration", "22"), putEvent("configuration", ""), putEvent("configuration", "55555")})
	view.Reset([]store.Item{putEvent("configuration", "4444").Item})
	if len(recorded.versions) != 2 || recorded.versions[0] != 3 || recorded.versions[1] != 5 {
		t.Errorf("got configuration versions %v, want 3 and 5", recorded.versions)
	}
}

// TestWorkersFollowRecords guards against workers that are added or removed without a change of their records.
func TestWorkersFollowRecords(t *testing.T) {
	view, recorded := newTestView()
	view.Reset([]store.Item{putEvent("worker/1", "x").Item, putEvent("worker/2", "x").Item})
	view.Apply([]store.Event{{Item: store.Item{Key: "worker/1"}, Deleted: true}, putEvent("worker/3", "x")})
	if recorded.workers != 2 {
		t.Errorf("got %d workers, want 2", recorded.workers)
	}
}

// TestWorkersWithoutRecordsExpireAfterOutage guards against removing all workers when an outage expired their records, and
// against keeping those that never return.
func TestWorkersWithoutRecordsExpireAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view, recorded := newTestView()
		view.now = time.Now
		view.Reset([]store.Item{putEvent("worker/1", "x").Item})
		view.StoreUnavailable(errors.New("unavailable"))
		view.Reset(nil)
		expectAfter := func(pause time.Duration, want int) {
			t.Helper()
			time.Sleep(pause)
			synctest.Wait()
			view.rosterMutex.Lock()
			defer view.rosterMutex.Unlock()
			if recorded.workers != want {
				t.Errorf("got %d workers after another %s, want %d", recorded.workers, pause, want)
			}
		}
		expectAfter(0, 1)
		expectAfter(outageGrace-time.Nanosecond, 1)
		expectAfter(outageGrace, 0)
	})
}

// TestOwnRegistrationAndControllerAreReported guards against a deleted registration or controller key that the listener is
// not told of.
func TestOwnRegistrationAndControllerAreReported(t *testing.T) {
	view, recorded := newTestView()
	view.Reset([]store.Item{putEvent(ownKey, "{}").Item, putEvent(roles.ControllerKey, "holder").Item})
	if recorded.unregistered != 0 || recorded.controller != "holder" {
		t.Errorf("after the first list: got %+v", recorded)
	}
	view.Apply([]store.Event{{Item: store.Item{Key: ownKey}, Deleted: true}, {Item: store.Item{Key: roles.ControllerKey}, Deleted: true}})
	if recorded.unregistered != 1 || recorded.controller != "" {
		t.Errorf("after the deletion: got %+v", recorded)
	}
}

// TestPendingRegistrationIsNotReportedMissing guards against reporting a registration as missing before it was first seen,
// which would make each starting gateway register twice.
func TestPendingRegistrationIsNotReportedMissing(t *testing.T) {
	view, recorded := newTestView()
	own := store.Item{Key: view.ownKey, Value: []byte("{}"), Revision: 5}
	view.Reset(nil)
	if recorded.unregistered != 0 {
		t.Error("a pending registration was reported as missing")
	}
	view.Apply([]store.Event{{Item: own}})
	view.Reset([]store.Item{own})
	view.Reset(nil)
	if recorded.unregistered != 1 {
		t.Errorf("a missing registration was reported %d times, want 1", recorded.unregistered)
	}
}

// TestRegistrationIsConfirmedWhileListed guards against confirming a registration for a time at which the store may not
// have held it, or while the gateway is leaving.
func TestRegistrationIsConfirmedWhileListed(t *testing.T) {
	view, recorded := newTestView()
	now := time.Unix(1000, 0)
	view.now = func() time.Time { return now }
	expect := func(when string, asOf, want time.Time) {
		t.Helper()
		recorded.confirmed = time.Time{}
		view.UpToDate(asOf)
		if !recorded.confirmed.Equal(want) {
			t.Errorf("%s: confirmed as of %v, want %v", when, recorded.confirmed, want)
		}
	}
	own := func(revision store.Revision) store.Event {
		return store.Event{Item: store.Item{Key: ownKey, Value: []byte(`{"name":"a","address":"a:1","peerAddress":"a:2"}`), Revision: revision}}
	}
	advance := func() { now = now.Add(time.Second) }
	view.Reset([]store.Item{own(5).Item})
	expect("after a list that may be stale", time.Time{}, time.Time{})
	expect("as of before the registration was seen", now.Add(-time.Millisecond), time.Time{})
	expect("as of when the registration was seen", now, now)
	advance()
	view.Reset([]store.Item{own(5).Item})
	expect("listed again at the same revision", now.Add(-time.Millisecond), now.Add(-time.Millisecond))
	view.Apply([]store.Event{own(7)})
	expect("written again, as of before that", now.Add(-time.Millisecond), time.Time{})
	view.StoreUnavailable(errors.New("unavailable"))
	advance()
	expect("while the store is unavailable", now.Add(-time.Second), now.Add(-time.Second))
	view.Apply([]store.Event{{Item: store.Item{Key: ownKey, Revision: 9}, Deleted: true}})
	expect("without the registration", now, time.Time{})
	advance()
	view.Apply([]store.Event{own(11)})
	expect("registered again", now, now)
	view.Leave()
	expect("while leaving", now, time.Time{})
	if recorded.registered != 3 {
		t.Errorf("%d registrations were reported, want 3", recorded.registered)
	}
}

// TestFleetIsNewWithoutControllerHistory guards against treating a restarted fleet as new, which grants retry credit at
// once.
func TestFleetIsNewWithoutControllerHistory(t *testing.T) {
	history := putEvent(roles.ControllerHistoryKey, "{}")
	for _, test := range []struct {
		name     string
		history  bool
		expected bool
	}{{"first start", false, true}, {"later start", true, false}} {
		view, recorded := newTestView()
		items := []store.Item{putEvent(ownKey, `{"name":"a","address":"a:1","peerAddress":"a:2"}`).Item}
		if test.history {
			items = append(items, history.Item)
		}
		view.Reset(items)
		view.Apply([]store.Event{history})
		view.UpToDate(view.now())
		if recorded.confirmed.IsZero() || recorded.fleetIsNew != test.expected {
			t.Errorf("%s: fleet is new: %t, want %t", test.name, recorded.fleetIsNew, test.expected)
		}
	}
}

// TestOnlyNewsOfChangesKeepsConfigurationFresh guards against a configuration that counts as fresh because the store answers
// other calls, such as lease renewals beside a silent watch, or because it answers with old items.
func TestOnlyNewsOfChangesKeepsConfigurationFresh(t *testing.T) {
	const within = 3 * time.Second
	start := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	for _, test := range []struct {
		name  string
		play  func(view *View, now *time.Time)
		fresh bool
	}{
		{"nothing is known", func(*View, *time.Time) {}, false},
		{"all changes are known", func(view *View, now *time.Time) { view.UpToDate(*now) }, true},
		{"leases are renewed, a watch is silent", func(view *View, now *time.Time) {
			view.UpToDate(*now)
			for *now = at(1); now.Before(at(4)); *now = now.Add(time.Second) {
				view.StoreAnswered()
			}
		}, false},
		{"the first list is stale", func(view *View, _ *time.Time) { view.UpToDate(time.Time{}) }, false},
		{"a later list is stale", func(view *View, now *time.Time) {
			view.UpToDate(*now)
			*now = at(4)
			view.UpToDate(at(0))
		}, false},
		{"the upstream's items are old", func(view *View, now *time.Time) {
			*now = at(4)
			view.UpToDate(at(1))
		}, false},
		{"the upstream's items are young", func(view *View, now *time.Time) {
			*now = at(4)
			view.UpToDate(at(2))
		}, true},
		{"an older response follows a newer one", func(view *View, now *time.Time) {
			view.UpToDate(at(3))
			view.UpToDate(at(0))
			*now = at(4)
		}, true},
		{"the process was suspended", func(view *View, now *time.Time) {
			view.UpToDate(*now)
			*now = at(60)
			view.Resumed()
			view.StoreAnswered()
		}, false},
		{"the watch answers again", func(view *View, now *time.Time) {
			view.UpToDate(*now)
			*now = at(4)
			view.StoreUnavailable(errors.New("silent"))
			view.UpToDate(at(3))
		}, true},
	} {
		view, _ := newTestView()
		now := start
		view.now = func() time.Time { return now }
		test.play(view, &now)
		if got := view.IsFresh(within); got != test.fresh {
			t.Errorf("%s: fresh: %t, want %t", test.name, got, test.fresh)
		}
	}
}

// TestStalenessIsAgeOfKnownChanges guards against a list of workers that counts as young because the store, or an upstream, answers
// with old items: a gateway would conclude from it that there is only one software version.
func TestStalenessIsAgeOfKnownChanges(t *testing.T) {
	view, _ := newTestView()
	start := time.Unix(1000, 0)
	now := start
	view.now = func() time.Time { return now }
	view.UpToDate(time.Time{})
	if got := view.Staleness(); got < time.Hour {
		t.Errorf("after a stale list: stale for %s, want longer than any horizon", got)
	}
	view.UpToDate(start)
	now = start.Add(8 * time.Second)
	view.StoreAnswered()
	view.UpToDate(start)
	if got := view.Staleness(); got != 8*time.Second {
		t.Errorf("after a stale list and a renewed lease: stale for %s, want 8s", got)
	}
	view.UpToDate(start.Add(5 * time.Second))
	if got := view.Staleness(); got != 3*time.Second {
		t.Errorf("after changes up to 3 s ago: stale for %s, want 3s", got)
	}
}

// TestUnreadableConfigurationIsNotFresh guards against a configuration that counts as current although the store holds a newer
// one, which this process can't read.
func TestUnreadableConfigurationIsNotFresh(t *testing.T) {
	at := func(event store.Event, revision store.Revision) store.Event {
		event.Revision = revision
		return event
	}
	for _, test := range []struct {
		name   string
		events []store.Event
		fresh  bool
	}{
		{"readable", []store.Event{at(putEvent("configuration", "22"), 2)}, true},
		{"unreadable", []store.Event{at(putEvent("configuration", "22"), 2), at(putEvent("configuration", ""), 3)}, false},
		{"an older one is passed again", []store.Event{
			at(putEvent("configuration", "22"), 2), at(putEvent("configuration", ""), 3), at(putEvent("configuration", "22"), 2),
		}, false},
		{"replaced by a readable one", []store.Event{
			at(putEvent("configuration", "22"), 2), at(putEvent("configuration", ""), 3), at(putEvent("configuration", "333"), 4),
		}, true},
		{"labels unreadable", []store.Event{at(putEvent("configuration", "22"), 2), at(putEvent(configuration.StoreKey, "{"), 3)}, false},
		{"labels unreadable, other configuration replaced", []store.Event{
			at(putEvent(configuration.StoreKey, "{"), 3), at(putEvent("configuration", "333"), 4),
		}, false},
		{"labels unreadable, then deleted", []store.Event{
			at(putEvent(configuration.StoreKey, "{"), 3), {Item: store.Item{Key: configuration.StoreKey, Revision: 4}, Deleted: true},
		}, true},
		{"configuration deleted", []store.Event{at(putEvent("configuration", "22"), 2), {Item: store.Item{Key: "configuration", Revision: 3}, Deleted: true}}, true},
	} {
		view, _ := newTestView()
		view.Apply(test.events)
		view.UpToDate(view.now())
		if got := view.IsFresh(time.Minute); got != test.fresh {
			t.Errorf("%s: fresh: %t, want %t", test.name, got, test.fresh)
		}
		view.Reset(nil)
		if !view.IsFresh(time.Minute) {
			t.Errorf("%s: not fresh although the store holds no configuration that can't be read", test.name)
		}
	}
}

// TestWorkersAreReportedBeforeConfiguration guards against a gateway that is ready but knows no workers if it is
// delayed between the two.
func TestWorkersAreReportedBeforeConfiguration(t *testing.T) {
	view, recorded := newTestView()
	view.Reset([]store.Item{putEvent("configuration", "333").Item, putEvent("worker/1", "x").Item})
	if recorded.workersAtConfiguration != 1 {
		t.Errorf("%d workers were known at the configuration, want 1", recorded.workersAtConfiguration)
	}
}
