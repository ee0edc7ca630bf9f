package cluster

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/member"
	"github.com/granitebay/granitebay/internal/roles"
	"github.com/granitebay/granitebay/internal/routing"
	"github.com/granitebay/granitebay/internal/store"
)

// plainDecoder reads versions from the length of a value, and workers from their keys.
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

// recorder keeps what it was told.
type recorder struct {
	versions []int64
	// workersBefore is how many workers were known when a configuration was told last.
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
	r.workers += len(changes.Put) - len(changes.Gone)
}

func (r *recorder) StoreRestored(int64)                              {}
func (r *recorder) GatewaysChanged()                                 {}
func (r *recorder) ControllerChanged(value []byte, _ store.Revision) { r.controller = string(value) }
func (r *recorder) UsageAgreed([]byte)                               {}
func (r *recorder) BarsListed([]store.Item)                          {}
func (r *recorder) BarChanged(store.Event)                           {}
func (r *recorder) Unregistered()                                    { r.unregistered++ }
func (r *recorder) Confirmed(at time.Time, fleetIsNew bool) {
	r.confirmed, r.fleetIsNew = at, fleetIsNew
}
func (r *recorder) Registered() { r.registered++ }

const ownKey = member.KeyPrefix + "a"

// newTestView returns a view with its recorder.
func newTestView() (*View, *recorder) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	recorded := &recorder{}
	roster := backend.NewRoster(backend.RosterSettings{FadeTime: 30 * time.Millisecond, OutageMemory: time.Second})
	return NewView(fakeDecoder{}, recorded, member.NewList(member.Gateway{Name: "a"}), roster, ownKey, logger), recorded
}

// put is an event of a written item.
func putEvent(key, value string) store.Event {
	return store.Event{Item: store.Item{Key: key, Value: []byte(value)}}
}

func TestStaleConfigurationsAreIgnored(t *testing.T) {
	view, recorded := newTestView()
	view.Reset([]store.Item{putEvent("configuration", "333").Item})
	view.Apply([]store.Event{putEvent("configuration", "22"), putEvent("configuration", ""), putEvent("configuration", "55555")})
	view.Reset([]store.Item{putEvent("configuration", "4444").Item})
	if len(recorded.versions) != 2 || recorded.versions[0] != 3 || recorded.versions[1] != 5 {
		t.Errorf("in force were %v", recorded.versions)
	}
}

func TestWorkersFollowRecords(t *testing.T) {
	view, recorded := newTestView()
	view.Reset([]store.Item{putEvent("worker/1", "x").Item, putEvent("worker/2", "x").Item})
	view.Apply([]store.Event{{Item: store.Item{Key: "worker/1"}, Deleted: true}, putEvent("worker/3", "x")})
	if recorded.workers != 2 {
		t.Errorf("%d workers are in use", recorded.workers)
	}
}

func TestWorkersWithoutRecordsExpireAfterOutage(t *testing.T) {
	view, recorded := newTestView()
	view.Reset([]store.Item{putEvent("worker/1", "x").Item})
	view.Lost(errors.New("lost"))
	view.Reset(nil)
	inUse := func() int {
		view.rosterMutex.Lock()
		defer view.rosterMutex.Unlock()
		return recorded.workers
	}
	if inUse() != 1 {
		t.Error("the worker was lost with the store")
	}
	time.Sleep(60 * time.Millisecond)
	if inUse() != 0 {
		t.Error("the worker did not fade")
	}
}

func TestOwnRegistrationAndControllerAreWatched(t *testing.T) {
	view, recorded := newTestView()
	view.Reset([]store.Item{putEvent(ownKey, "{}").Item, putEvent(roles.Key, "holder").Item})
	if recorded.unregistered != 0 || recorded.controller != "holder" {
		t.Errorf("told %+v", recorded)
	}
	view.Apply([]store.Event{{Item: store.Item{Key: ownKey}, Deleted: true}, {Item: store.Item{Key: roles.Key}, Deleted: true}})
	if recorded.unregistered != 1 || recorded.controller != "" {
		t.Errorf("told %+v", recorded)
	}
}

// TestARegistrationOnItsWayIsNotMadeAgain guards against each gateway of a fleet that starts registering twice.
func TestPendingRegistrationIsNotReportedMissing(t *testing.T) {
	view, recorded := newTestView()
	own := store.Item{Key: view.ownKey, Value: []byte("{}"), Revision: 5}
	view.Reset(nil)
	if recorded.unregistered != 0 {
		t.Error("a registration that is on its way was told to be gone")
	}
	view.Apply([]store.Event{{Item: own}})
	view.Reset([]store.Item{own})
	view.Reset(nil)
	if recorded.unregistered != 1 {
		t.Errorf("a registration that is gone was told %d times", recorded.unregistered)
	}
}

// TestTheListVouchesForWhenItWasCurrent follows for which moments the others know of this gateway, and this one of them: those up to which
// all changes are known, from when the registration was seen, while it is there and does not leave.
func TestRegistrationIsConfirmedWhileListed(t *testing.T) {
	view, recorded := newTestView()
	now := time.Unix(1000, 0)
	view.now = func() time.Time { return now }
	expect := func(when string, asOf, want time.Time) {
		t.Helper()
		recorded.confirmed = time.Time{}
		view.Current(asOf)
		if !recorded.confirmed.Equal(want) {
			t.Errorf("%s it vouches for %v, expected %v", when, recorded.confirmed, want)
		}
	}
	own := func(revision store.Revision) store.Event {
		return store.Event{Item: store.Item{Key: ownKey, Value: []byte(`{"name":"a"}`), Revision: revision}}
	}
	advance := func() { now = now.Add(time.Second) }
	view.Reset([]store.Item{own(5).Item})
	expect("by the word of a list that may be old", time.Time{}, time.Time{})
	expect("up to a moment before the registration was seen", now.Add(-time.Millisecond), time.Time{})
	expect("from when it was seen", now, now)
	advance()
	view.Reset([]store.Item{own(5).Item})
	expect("listed again as it was", now.Add(-time.Millisecond), now.Add(-time.Millisecond))
	view.Apply([]store.Event{own(7)})
	expect("written anew, with what was before not known", now.Add(-time.Millisecond), time.Time{})
	view.Lost(errors.New("away"))
	advance()
	expect("while the store is lost and nothing later is known", now.Add(-time.Second), now.Add(-time.Second))
	view.Apply([]store.Event{{Item: store.Item{Key: ownKey, Revision: 9}, Deleted: true}})
	expect("without its registration", now, time.Time{})
	advance()
	view.Apply([]store.Event{own(11)})
	expect("registered anew", now, now)
	view.Leave()
	expect("while it leaves", now, time.Time{})
	if recorded.registered != 3 {
		t.Errorf("it was seen to be registered anew %d times of 3", recorded.registered)
	}
}

// TestAFleetIsNewWhileNobodyHasGivenOrders checks what goes with the word that the registration is confirmed.
func TestFleetIsNewWithoutControllerHistory(t *testing.T) {
	history := putEvent(roles.HistoryKey, "{}")
	for _, test := range []struct {
		name     string
		history  bool
		expected bool
	}{{"the first start", false, true}, {"a later one", true, false}} {
		view, recorded := newTestView()
		items := []store.Item{putEvent(ownKey, `{"name":"a"}`).Item}
		if test.history {
			items = append(items, history.Item)
		}
		view.Reset(items)
		view.Apply([]store.Event{history})
		view.Current(view.now())
		if recorded.confirmed.IsZero() || recorded.fleetIsNew != test.expected {
			t.Errorf("%s: the fleet is new: %v", test.name, recorded.fleetIsNew)
		}
	}
}

// TestOneThatIsToldNothingKnowsThatItsConfigurationMayBeOld has the store answer the renewals of a gateway that learns from others, while
// those tell it nothing: it must not deny what a newer configuration allows.
func TestStoreResponseDoesNotRefreshFollower(t *testing.T) {
	view, _ := newTestView()
	now := time.Unix(1000, 0)
	view.now = func() time.Time { return now }
	view.Current(now)
	now = now.Add(4 * time.Second)
	view.Connected(false)
	if view.IsFresh(3 * time.Second) {
		t.Error("a renewal made it fresh")
	}
	view.Current(now)
	if !view.IsFresh(3 * time.Second) {
		t.Error("it was told, and is not fresh")
	}
	now = now.Add(4 * time.Second)
	view.Connected(true)
	if !view.IsFresh(3 * time.Second) {
		t.Error("one that follows the store itself was answered, and is not fresh")
	}
}

// TestWorkersAreKnownBeforeTheConfiguration guards against a gateway that is ready and knows no workers, for as long as the process is held up
// between both.
func TestWorkersAreReportedBeforeConfiguration(t *testing.T) {
	view, recorded := newTestView()
	view.Reset([]store.Item{putEvent("configuration", "333").Item, putEvent("worker/1", "x").Item})
	if recorded.workersAtConfiguration != 1 {
		t.Errorf("%d workers were known when the configuration was told", recorded.workersAtConfiguration)
	}
}
