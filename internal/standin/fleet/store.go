// Package fleet simulates the platform around a gateway: its key-value store, workers, operators and clients. The tests and the
// soak run gateways against it. Field and header names follow the platform's protocol.
package fleet

import (
	"encoding/json"
	"maps"
	"sort"
	"strings"
	"sync"
	"time"
)

// storeItem is an item of the store, or a change in its history.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"gone,omitempty"`
}

// lease is a lease and its expiry time.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// StoreFault is a fault that the store simulates.
type StoreFault int

// The faults of the store.
const (
	// FaultNone means normal operation.
	FaultNone StoreFault = iota
	// FaultRefuse answers 503 without executing the call.
	FaultRefuse
	// FaultSilent accepts calls and never answers or executes them.
	FaultSilent
	// FaultBusy answers 429 to all calls except stale reads, without executing them.
	FaultBusy
	// FaultDropResponses executes writes but never answers them.
	FaultDropResponses
	// FaultSilentWatches never answers watches, pending ones included. It answers all other calls.
	FaultSilentWatches
	// FaultOldLists answers 429 to lists, except to stale ones, which return the items as they were when the fault began. It answers all other
	// calls.
	FaultOldLists
)

// Store is an in-memory, linearizable key-value store with leases and watches.
type Store struct {
	mutex   sync.Mutex
	changed *sync.Cond
	// era is incremented each time the store is restored from a snapshot.
	era      int64
	revision int64
	items    map[string]storeItem
	history  []storeItem
	// compacted is the last revision whose history has been discarded.
	compacted int64
	leases    map[int64]lease
	nextLease int64
	fault     StoreFault
	// old holds the items and the revision that stale lists return with FaultOldLists.
	old     Copy
	delay   time.Duration
	calls   map[string]int
	rewrite func(key string, value []byte) []byte
}

// Rewrite installs a function that modifies every value written from now on, as a proxy between the store and its writers would.
func (s *Store) Rewrite(rewrite func(key string, value []byte) []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.rewrite = rewrite
}

// NewStore returns an empty store.
func NewStore() *Store {
	store := &Store{era: 1, items: map[string]storeItem{}, leases: map[int64]lease{}, calls: map[string]int{}}
	store.changed = sync.NewCond(&store.mutex)
	return store
}

// SetFault sets the fault that the store simulates and a delay added to each call.
func (s *Store) SetFault(fault StoreFault, delay time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fault, s.delay = fault, delay
	s.old = Copy{revision: s.revision, items: maps.Clone(s.items)}
	s.changed.Broadcast()
}

// Compact discards the history of changes.
func (s *Store) Compact() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history, s.compacted = nil, s.revision
	s.changed.Broadcast()
}

// Put writes an item on behalf of an operator or a worker.
func (s *Store) Put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.putLocked(storeItem{Key: key, Value: encoded})
}

// Delete removes an item on behalf of an operator or a worker.
func (s *Store) Delete(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.removeLocked(key)
}

// Keys returns the sorted keys with a prefix.
func (s *Store) Keys(prefix string) []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expireLeasesLocked()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// Value returns the value of a key, or false if the store has no such item.
func (s *Store) Value(key string) ([]byte, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	item, found := s.items[key]
	return item.Value, found
}

// Calls returns the number of calls by name.
func (s *Store) Calls() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	calls := map[string]int{}
	for name, count := range s.calls {
		calls[name] = count
	}
	return calls
}

// putLocked and removeLocked change an item at the current revision. The caller holds the mutex.
func (s *Store) putLocked(item storeItem) {
	if s.rewrite != nil {
		item.Value = s.rewrite(item.Key, item.Value)
	}
	item.Revision, item.Created = s.revision, s.revision
	if known, found := s.items[item.Key]; found {
		item.Created = known.Created
	}
	s.items[item.Key] = item
	s.history = append(s.history, item)
	s.changed.Broadcast()
}

func (s *Store) removeLocked(key string) {
	if _, found := s.items[key]; !found {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, storeItem{Key: key, Revision: s.revision, Deleted: true})
	s.changed.Broadcast()
}

// expireLeasesLocked ends expired leases. The caller holds the mutex.
func (s *Store) expireLeasesLocked() {
	now := time.Now()
	for id, lease := range s.leases {
		if now.After(lease.expiresAt) {
			s.endLeaseLocked(id)
		}
	}
}

// ExpireLeases ends all leases, as if none had been renewed in time.
func (s *Store) ExpireLeases() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for id := range s.leases {
		s.endLeaseLocked(id)
	}
}

// endLeaseLocked ends a lease and removes its items. The caller holds the mutex.
func (s *Store) endLeaseLocked(id int64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.revision++
			s.removeLocked(key)
		}
	}
}
