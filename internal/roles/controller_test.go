package roles

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/boottime"
	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/store"
)

// fakeStore stores only the controller key and its history.
type fakeStore struct {
	store.Store
	mutex    sync.Mutex
	revision store.Revision
	value    []byte
	history  []byte
	// loseResponse makes commits succeed but return an error.
	loseResponse bool
	// failCommits makes commits fail without effect, and failedCommits counts these.
	failCommits   bool
	failedCommits int
}

func (s *fakeStore) List(context.Context, string) ([]store.Item, store.Revision, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.history == nil {
		return nil, s.revision, nil
	}
	return []store.Item{{Key: ControllerHistoryKey, Value: s.history, Revision: s.revision}}, s.revision, nil
}

func (s *fakeStore) Commit(_ context.Context, transaction store.Transaction) (store.Revision, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.failCommits {
		s.failedCommits++
		return 0, errors.New("no response")
	}
	if len(transaction.Deletes) > 0 && transaction.Conditions[0].Revision == s.revision {
		s.value = nil
		return s.revision, nil
	}
	if s.value != nil || (s.history != nil && transaction.Conditions[1].Revision != s.revision) {
		return 0, store.ErrConflict
	}
	s.revision++
	s.value, s.history = transaction.Puts[0].Value, transaction.Puts[1].Value
	if s.loseResponse {
		return 0, errors.New("no response")
	}
	return s.revision, nil
}

// recordingOrderer records orders.
type recordingOrderer struct {
	mutex  sync.Mutex
	state  EngineState
	orders []Order
	err    error
}

func (r *recordingOrderer) Inspect(context.Context, *backend.Worker) (EngineState, error) {
	return r.state, nil
}

func (r *recordingOrderer) Order(_ context.Context, order Order) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.orders = append(r.orders, order)
	return r.err
}

// busyPrefillFleet is a fleet whose prefill engines are busy.
type busyPrefillFleet struct {
	mutex sync.Mutex
	// roleChanges holds the roles of all calls of SetRoleChange.
	roleChanges []backend.Role
}

func (f *busyPrefillFleet) Groups() map[string]*Group {
	return map[string]*Group{"g": {Engines: newEngines(5, 7, 1), PrefillDemand: 5}}
}

func (f *busyPrefillFleet) SetRoleChange(_ string, role backend.Role) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.roleChanges = append(f.roleChanges, role)
}

// newTestController returns a controller without delays.
func newTestController(keys *fakeStore, orderer Orderer, fleet Fleet) *Controller {
	settings := DefaultControllerSettings()
	settings.Holder = "a"
	settings.DrainDelay = time.Millisecond
	settings.Authority.Handover = time.Millisecond
	settings.Planner.ChangeInterval, settings.Planner.TickInterval = time.Nanosecond, 0
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return NewController(settings, keys, orderer, fleet, logger, func(decision.Record) {})
}

// runSteps runs steps of a controller.
func runSteps(controller *Controller, times int) {
	for range times {
		controller.step(context.Background())
		time.Sleep(2 * time.Millisecond)
	}
}

// TestOrdersCarryFenceAndOrderCount guards against orders without the fence or the order count, and against orders from a process that
// does not hold the controller key.
func TestOrdersCarryFenceAndOrderCount(t *testing.T) {
	keys, orderer, fleet := &fakeStore{revision: 41}, &recordingOrderer{state: EngineState{Role: backend.RoleDecode, Orders: 7}}, &busyPrefillFleet{}
	controller := newTestController(keys, orderer, fleet)
	controller.KeyChanged(boottime.Now(), nil, 0)
	runSteps(controller, 3)
	if len(orderer.orders) != 0 {
		t.Fatal("an order was sent without a lease")
	}
	controller.LeaseRenewed(boottime.Now(), 5, time.Minute)
	runSteps(controller, 4)
	if len(orderer.orders) == 0 {
		t.Fatal("no order was sent although prefill engines are busy")
	}
	first := orderer.orders[0]
	if first.Holder != "a" || first.Fence != 42 || first.ExpectedOrders != 7 || first.Role != backend.RolePrefill {
		t.Errorf("first order: %+v, want holder a, fence 42, 7 expected orders and role prefill", first)
	}
	before := len(orderer.orders)
	controller.KeyChanged(boottime.Now(), &store.Item{Value: []byte(`{"holder":"b","lease":9}`), Revision: 50, Lease: 9}, 0)
	runSteps(controller, 3)
	if len(orderer.orders) != before {
		t.Error("an order was sent after another process acquired the key")
	}
}

func TestLostCommitResponseIsResolvedByKeyChange(t *testing.T) {
	keys, orderer := &fakeStore{revision: 9, loseResponse: true}, &recordingOrderer{state: EngineState{Role: backend.RoleDecode}}
	controller := newTestController(keys, orderer, &busyPrefillFleet{})
	controller.LeaseRenewed(boottime.Now(), 5, time.Minute)
	controller.KeyChanged(boottime.Now(), nil, 0)
	runSteps(controller, 3)
	if len(orderer.orders) != 0 {
		t.Fatal("an order was sent although the holder of the key is unknown")
	}
	var held keyHolder
	if err := json.Unmarshal(keys.value, &held); err != nil || held.Lease != 5 {
		t.Fatalf("the value of the controller key is %s, want lease 5", keys.value)
	}
	controller.KeyChanged(boottime.Now(), &store.Item{Value: keys.value, Revision: keys.revision, Lease: held.Lease}, 0)
	runSteps(controller, 3)
	if len(orderer.orders) == 0 || orderer.orders[0].Fence != 10 {
		t.Errorf("orders: %+v, want at least one with fence 10", orderer.orders)
	}
}

func TestRefusedOrderRestoresRouting(t *testing.T) {
	orderer := &recordingOrderer{state: EngineState{Role: backend.RoleDecode}, err: errors.New("refused")}
	fleet := &busyPrefillFleet{}
	controller := newTestController(&fakeStore{}, orderer, fleet)
	controller.LeaseRenewed(boottime.Now(), 5, time.Minute)
	controller.KeyChanged(boottime.Now(), nil, 0)
	runSteps(controller, 4)
	if len(fleet.roleChanges) < 2 || fleet.roleChanges[0] != backend.RolePrefill || fleet.roleChanges[1] != backend.RoleDecode {
		t.Errorf("SetRoleChange was called with %v, want prefill and then decode", fleet.roleChanges)
	}
}

func TestBusyEngineGetsNoOrder(t *testing.T) {
	orderer := &recordingOrderer{state: EngineState{Role: backend.RoleDecode, Busy: true}}
	controller := newTestController(&fakeStore{}, orderer, &busyPrefillFleet{})
	controller.LeaseRenewed(boottime.Now(), 5, time.Minute)
	controller.KeyChanged(boottime.Now(), nil, 0)
	runSteps(controller, 4)
	if len(orderer.orders) != 0 {
		t.Errorf("orders: %+v, want none", orderer.orders)
	}
}

// TestChangingEngineGetsNoWork guards against routing to an engine that accepted an order and refuses new work while it finishes its
// requests.
func TestChangingEngineGetsNoWork(t *testing.T) {
	cases := []struct {
		desc  string
		state EngineState
		want  backend.Role
	}{
		{"busy", EngineState{Role: backend.RoleDecode, Busy: true}, backend.RolePrefill},
		{"changed, but the record is outdated", EngineState{Role: backend.RolePrefill}, backend.RolePrefill},
		{"idle in its old role", EngineState{Role: backend.RoleDecode}, backend.RoleDecode},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			orderer, fleet := &recordingOrderer{state: c.state}, &busyPrefillFleet{}
			controller := newTestController(&fakeStore{}, orderer, fleet)
			change := Change{Worker: &backend.Worker{ID: "w0", Role: backend.RoleDecode}, Role: backend.RolePrefill}
			controller.pendingChanges.add(epoch, change)
			controller.confirm(context.Background(), epoch.Add(confirmInterval/2))
			if len(fleet.roleChanges) != 0 {
				t.Fatalf("SetRoleChange was called with %v before confirmInterval", fleet.roleChanges)
			}
			controller.confirm(context.Background(), epoch.Add(confirmInterval))
			if len(fleet.roleChanges) != 1 || fleet.roleChanges[0] != c.want {
				t.Errorf("SetRoleChange was called with %v, want %s", fleet.roleChanges, c.want)
			}
		})
	}
}

// TestHandoverDelayOfNewHolder guards against calls on behalf of the fleet while the previous holder may still call. The first holder
// may call at once, and one that succeeds itself or is new soon, after CallHandover. A returning one, or one that finds no history of the
// present era of the store, may call late, after Handover.
func TestHandoverDelayOfNewHolder(t *testing.T) {
	keys := &fakeStore{}
	takeOver := func(name string) string {
		t.Helper()
		settings := DefaultControllerSettings()
		settings.Holder = name
		settings.Authority.Handover, settings.Authority.CallHandover = time.Minute, 20*time.Millisecond
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		c := NewController(settings, keys, &recordingOrderer{}, &busyPrefillFleet{}, logger, func(decision.Record) {})
		c.LeaseRenewed(boottime.Now(), 5, time.Hour)
		c.KeyChanged(boottime.Now(), nil, 0)
		c.step(context.Background())
		_, immediate := c.Authority()
		time.Sleep(30 * time.Millisecond)
		_, shortly := c.Authority()
		c.Resign()
		c.step(context.Background())
		if _, may := c.Authority(); may || keys.value != nil {
			t.Errorf("%s resigned but still holds the key", name)
		}
		switch {
		case immediate:
			return "at once"
		case shortly:
			return "soon"
		default:
			return "late"
		}
	}
	for _, c := range []struct {
		name, want string
		// era of the store. A new era means that the store was restored with its present history.
		era int64
	}{
		{"a", "at once", 1}, {"a", "soon", 1}, {"b", "soon", 1}, {"a", "late", 1}, {"c", "soon", 1}, {"d", "soon", 1}, {"e", "soon", 1}, {"b", "soon", 1}, {"d", "late", 1},
		{"f", "late", 2}, {"f", "soon", 2}, {"g", "soon", 2}, {"f", "late", 2}, {"h", "late", 3}, {"i", "soon", 3},
	} {
		keys.revision = store.NewRevision(c.era, keys.revision.Number())
		if got := takeOver(c.name); got != c.want {
			t.Errorf("%s may call %s, want %s", c.name, got, c.want)
		}
	}
}

// TestKeyIsHandedOverWithoutEngines guards against a controller that keeps the key, or acquires it, while it reaches too few engines, and
// against one that stops trying to hand it over because the store did not answer.
func TestKeyIsHandedOverWithoutEngines(t *testing.T) {
	keys, orderer, fleet := &fakeStore{revision: 41}, &recordingOrderer{state: EngineState{Role: backend.RoleDecode}}, &busyPrefillFleet{}
	controller := newTestController(keys, orderer, fleet)
	now := boottime.Now()
	controller.settings.Now = func() time.Time { return now }
	var reaches bool
	controller.SetReachability(func() bool { return reaches })
	controller.KeyChanged(now, nil, 0)
	controller.LeaseRenewed(now, 5, time.Minute)
	runSteps(controller, 3)
	if keys.value != nil {
		t.Fatal("the key was acquired without engines in reach")
	}
	reaches = true
	runSteps(controller, 1)
	if keys.value == nil {
		t.Fatal("the key was not acquired with engines in reach")
	}
	reaches, keys.failCommits = false, true
	for range 20 {
		runSteps(controller, 1)
		now = now.Add(100 * time.Millisecond)
	}
	if attempts := keys.failedCommits; attempts < 2 || attempts > 5 {
		t.Errorf("%d attempts to hand the key over in 2 s, want 2 to 5", attempts)
	}
	keys.failCommits = false
	now = now.Add(2 * time.Second)
	runSteps(controller, 1)
	if keys.value != nil || controller.HasAuthority() {
		t.Error("the key was not handed over")
	}
	if len(orderer.orders) > 0 {
		t.Errorf("%d orders", len(orderer.orders))
	}
}
