package roles

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/member"
	"github.com/granitebay/granitebay/internal/store"
)

// itemStore stores items without expiring them.
type itemStore struct {
	store.Store
	revision store.Revision
	items    map[string]store.Item
	// isStale makes lists stale.
	isStale bool
	lists   int
	// beforeCommit is called before the next commit, unless it is nil.
	beforeCommit func()
}

func newItemStore() *itemStore { return &itemStore{revision: 100, items: map[string]store.Item{}} }

// put writes an item.
func (s *itemStore) put(key, value string, lease int64) {
	s.revision++
	s.items[key] = store.Item{Key: key, Value: []byte(value), Revision: s.revision, Lease: lease}
}

func (s *itemStore) List(ctx context.Context, prefix string) ([]store.Item, store.Revision, error) {
	listing, err := s.ListUntil(ctx, prefix, nil)
	return listing.Items, listing.Revision, err
}

func (s *itemStore) ListUntil(_ context.Context, prefix string, _ func([]store.Item) bool) (store.Listing, error) {
	s.lists++
	listing := store.Listing{Revision: s.revision, Complete: true, Stale: s.isStale}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			listing.Items = append(listing.Items, item)
		}
	}
	return listing, nil
}

func (s *itemStore) Commit(_ context.Context, transaction store.Transaction) (store.Revision, error) {
	if interfere := s.beforeCommit; interfere != nil {
		s.beforeCommit = nil
		interfere()
	}
	for _, condition := range transaction.Conditions {
		if s.items[condition.Key].Revision != condition.Revision {
			return 0, store.ErrConflict
		}
	}
	s.revision++
	for _, put := range transaction.Puts {
		s.items[put.Key] = store.Item{Key: put.Key, Value: put.Value, Revision: s.revision, Lease: put.Lease}
	}
	for _, key := range transaction.Deletes {
		delete(s.items, key)
	}
	return s.revision, nil
}

// emptyFleet has no engines.
type emptyFleet struct{}

func (emptyFleet) Groups() map[string]*Group          { return nil }
func (emptyFleet) SetRoleChange(string, backend.Role) {}

// testProcess is a controller with a fake clock that follows the key in a store.
type testProcess struct {
	*Controller
	keys *itemStore
	now  time.Time
	log  *bytes.Buffer
	// seen is the revision of the key that the controller was told last.
	seen store.Revision
}

// newTestProcess returns a process with a lease that ends long after the test; zero means none.
func newTestProcess(name string, lease int64, keys *itemStore) *testProcess {
	p := &testProcess{keys: keys, now: epoch, log: &bytes.Buffer{}}
	settings := DefaultControllerSettings()
	settings.Holder = name
	settings.Now = func() time.Time { return p.now }
	logger := logrus.New()
	logger.SetOutput(p.log)
	p.Controller = NewController(settings, keys, &recordingOrderer{}, emptyFleet{}, logger, func(decision.Record) {})
	if lease != 0 {
		p.LeaseRenewed(p.now, lease, time.Hour)
	}
	p.seen = -1
	p.follow()
	return p
}

// follow tells the controller of the key.
func (p *testProcess) follow() {
	item, found := p.keys.items[ControllerKey]
	if item.Revision == p.seen {
		return
	}
	p.seen = item.Revision
	if !found {
		p.KeyChanged(p.now, nil, 0)
		return
	}
	p.KeyChanged(p.now, &item, 0)
}

// run makes steps for a time, and tells the controller of the key before each.
func (p *testProcess) run(duration time.Duration) {
	for end := p.now.Add(duration); p.now.Before(end); p.now = p.now.Add(p.settings.Authority.TickInterval) {
		p.follow()
		p.step(context.Background())
	}
}

// mayOrder reports whether the process may give orders.
func (p *testProcess) mayOrder() bool {
	_, may := p.authority.MayOrder(p.now)
	return may
}

// TestUnleasedKeyIsReplaced guards against a controller key without a lease that keeps all processes from giving orders for as long as it stands,
// whatever its value.
func TestUnleasedKeyIsReplaced(t *testing.T) {
	for _, value := range []string{`{"holder":7}`, `{"holder":"b","lease":9}`, `{"holder":"a","lease":5}`, `null`, ``, "\xff", strings.Repeat("[", 20_000)} {
		t.Run(fmt.Sprintf("%.30q", value), func(t *testing.T) {
			keys := newItemStore()
			keys.put(ControllerKey, value, 0)
			p := newTestProcess("a", 5, keys)
			p.run(p.settings.UnleasedKeyDelay)
			if p.HasAuthority() || keys.items[ControllerKey].Lease != 0 {
				t.Fatal("the key was replaced before the delay")
			}
			p.run(time.Second)
			if held := keys.items[ControllerKey]; held.Lease != 5 || !p.HasAuthority() || !p.mayOrder() {
				t.Errorf("the key is %+v, and the process may order: %t", held, p.mayOrder())
			}
			for _, want := range []string{"has no lease", "was deleted", "key=controller", "value=", "revision=101", "delay="} {
				if !strings.Contains(p.log.String(), want) {
					t.Errorf("the log lacks %q: %s", want, p.log)
				}
			}
		})
	}
}

// TestLeasedKeyIsKept guards against the replacement of a key that another process holds, however its value looks.
func TestLeasedKeyIsKept(t *testing.T) {
	for _, value := range []string{`{"holder":"b","lease":9}`, `{"holder":{"name":"b"},"version":2}`, `null`, "\xff"} {
		keys := newItemStore()
		keys.put(ControllerKey, value, 9)
		p := newTestProcess("a", 5, keys)
		p.run(time.Minute)
		if held := keys.items[ControllerKey]; held.Lease != 9 || p.HasAuthority() || keys.lists > 0 {
			t.Errorf("%q: the key is %+v after %d lists", value, held, keys.lists)
		}
	}
}

// TestKeyWithoutItsLeaseIsKept guards against the deletion of a held key whose lease is missing only in what other gateways pass on.
func TestKeyWithoutItsLeaseIsKept(t *testing.T) {
	keys := newItemStore()
	keys.put(ControllerKey, `{"holder":"b","lease":9}`, 9)
	p := newTestProcess("a", 5, keys)
	item := keys.items[ControllerKey]
	item.Lease = 0
	p.KeyChanged(p.now, &item, 0)
	p.run(time.Minute)
	if held := keys.items[ControllerKey]; held.Lease != 9 || p.HasAuthority() {
		t.Errorf("the key is %+v", held)
	}
}

// TestUnleasedKeyThatChangesIsKept guards against the deletion of a key that its writer writes again and again, until it no longer does.
func TestUnleasedKeyThatChangesIsKept(t *testing.T) {
	keys := newItemStore()
	p := newTestProcess("a", 5, keys)
	for i := range 20 {
		keys.put(ControllerKey, fmt.Sprint(i), 0)
		p.run(p.settings.UnleasedKeyDelay - p.settings.Authority.TickInterval)
	}
	if held := keys.items[ControllerKey]; string(held.Value) != "19" || p.HasAuthority() {
		t.Errorf("the key is %+v", held)
	}
	if warnings := strings.Count(p.log.String(), "has no lease"); warnings != 1 {
		t.Errorf("%d warnings of the key, want 1: %s", warnings, p.log)
	}
	p.run(2 * p.settings.UnleasedKeyDelay)
	if !p.HasAuthority() {
		t.Error("the key is kept although its writer is silent")
	}
}

// TestUnleasedKeyIsTakenByConditionOnly guards against the deletion of a key that was written since it was seen.
func TestUnleasedKeyIsTakenByConditionOnly(t *testing.T) {
	for _, when := range []string{"before the list", "before the commit"} {
		t.Run(when, func(t *testing.T) {
			keys := newItemStore()
			keys.put(ControllerKey, `{"holder":7}`, 0)
			p := newTestProcess("a", 5, keys)
			acquire := func() { keys.put(ControllerKey, `{"holder":"b","lease":9}`, 9) }
			p.now = p.now.Add(p.settings.UnleasedKeyDelay)
			if when == "before the list" {
				acquire()
			} else {
				keys.beforeCommit = acquire
			}
			p.step(context.Background())
			p.run(time.Minute)
			if held := keys.items[ControllerKey]; held.Lease != 9 || p.HasAuthority() {
				t.Errorf("the key is %+v", held)
			}
		})
	}
}

// TestUnawareHolderKeepsOthersFromOrders guards against two processes that give orders: another writer has overwritten the key of a holder that does
// not learn of it, for example because its watch is silent, and that renews its lease.
func TestUnawareHolderKeepsOthersFromOrders(t *testing.T) {
	keys := newItemStore()
	holder := newTestProcess("b", 9, keys)
	keys.put(member.KeyPrefix+"b", "{}", 9)
	keys.put(member.KeyPrefix+"bb", "{}", 11)
	holder.run(time.Second)
	if !holder.mayOrder() {
		t.Fatal("the first holder may not order")
	}
	other := newTestProcess("a", 5, keys)
	keys.put(ControllerKey, `{"holder":7}`, 0)
	for range 100 {
		other.run(time.Second)
		holder.now = other.now
		holder.step(context.Background())
		if holder.mayOrder() && other.HasAuthority() {
			t.Fatal("the key was acquired while the previous holder may order")
		}
	}
	if strings.Count(other.log.String(), "is registered") != 1 {
		t.Errorf("the log does not tell once why the key is kept: %s", other.log)
	}
	delete(keys.items, member.KeyPrefix+"b")
	other.run(10 * time.Second)
	if !other.mayOrder() {
		t.Error("the key is not acquired although the registration of its last holder has gone")
	}
}

// TestLastHolderDeletesUnleasedKey guards against an overwritten key that nobody may delete: its last holder does once it knows, even if it can't
// acquire the key, because it reaches no engines or has no lease for the key.
func TestLastHolderDeletesUnleasedKey(t *testing.T) {
	for _, why := range []string{"no engines", "no lease"} {
		t.Run(why, func(t *testing.T) {
			keys := newItemStore()
			keys.put(member.KeyPrefix+"b", "{}", 9)
			keys.put(ControllerHistoryKey, `{"holders":["b","a"]}`, 0)
			keys.put(ControllerKey, `{"holder":7}`, 0)
			last := newTestProcess("b", 9, keys)
			if why == "no lease" {
				last.LeaseRenewed(last.now, 0, time.Hour)
			} else {
				last.SetReachability(func() bool { return false })
			}
			last.run(3 * last.settings.UnleasedKeyDelay)
			if held, found := keys.items[ControllerKey]; found || last.HasAuthority() {
				t.Errorf("the key is %+v, found: %t", held, found)
			}
			other := newTestProcess("a", 5, keys)
			other.run(10 * time.Second)
			if !other.mayOrder() {
				t.Error("another process may not order after the deletion")
			}
		})
	}
}

// TestUnleasedKeyIsKeptOnStaleLists guards against a decision by a list that may lack the registration of the last holder.
func TestUnleasedKeyIsKeptOnStaleLists(t *testing.T) {
	keys := newItemStore()
	keys.put(ControllerKey, `{"holder":7}`, 0)
	keys.isStale = true
	p := newTestProcess("a", 5, keys)
	p.run(time.Minute)
	if held, found := keys.items[ControllerKey]; !found || held.Lease != 0 {
		t.Errorf("the key is %+v", held)
	}
	if keys.lists > 20 {
		t.Errorf("%d lists in a minute, want 20 at most", keys.lists)
	}
	keys.isStale = false
	p.run(10 * time.Second)
	if !p.mayOrder() {
		t.Error("the process may not order although lists are current")
	}
}

// oddHistories are histories of holders that no process writes.
var oddHistories = []string{
	`{"holders":7}`, `{"holders":[]}`, `{}`, `null`, ``, "\xff", `{"holders":["a"],"era":"x"}`, `{"holders":["` + strings.Repeat("a", maxHistoryBytes) + `"]}`,
}

// TestOddHistoryIsReplaced guards against a history of holders that another writer has left, and that keeps all processes from acquiring the key,
// or that lets the next holder take itself for the first.
func TestOddHistoryIsReplaced(t *testing.T) {
	for _, value := range oddHistories {
		t.Run(fmt.Sprintf("%.30q", value), func(t *testing.T) {
			keys := newItemStore()
			keys.put(ControllerHistoryKey, value, 0)
			p := newTestProcess("a", 5, keys)
			p.run(time.Second)
			if !p.HasAuthority() {
				t.Fatal("the key was not acquired")
			}
			if _, mayCall := p.Authority(); mayCall || p.mayOrder() {
				t.Error("the process may call or order at once")
			}
			p.run(p.settings.Authority.Handover)
			if _, mayCall := p.Authority(); !mayCall || !p.mayOrder() {
				t.Error("the process may not call or order after the handover")
			}
			if got := string(keys.items[ControllerHistoryKey].Value); got != `{"holders":["a"]}` {
				t.Errorf("the history is %s", got)
			}
			if !strings.Contains(p.log.String(), "key=controllers") {
				t.Errorf("the log doesn't name the history: %s", p.log)
			}
		})
	}
}

// TestUnleasedKeyBesideOddHistoryIsReplacedLate guards against the early deletion of an overwritten key whose last holder is unknown, and against
// one that stands for good.
func TestUnleasedKeyBesideOddHistoryIsReplacedLate(t *testing.T) {
	for _, value := range oddHistories {
		keys := newItemStore()
		keys.put(ControllerHistoryKey, value, 0)
		keys.put(ControllerKey, `{"holder":7}`, 0)
		p := newTestProcess("a", 5, keys)
		p.run(unknownHolderDelay)
		if p.HasAuthority() {
			t.Errorf("%.30q: the key was replaced before the delay", value)
		}
		p.run(2*p.settings.UnleasedKeyDelay + p.settings.Authority.Handover)
		if !p.mayOrder() {
			t.Errorf("%.30q: the process may not order after the delay", value)
		}
	}
}
