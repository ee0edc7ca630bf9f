// Package fleet stands in for the machines' platform: its store, its workers and its callers, as the platform's pages describe
// them. Tests and the soak run gateways against it. Names of the platform stand here for that reason only.
package fleet

import (
	"encoding/json"
	"sort"
	"strings"
	"sync"
	"time"
)

// record is one item of the store.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"gone,omitempty"`
}

// grant is a lease.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// StoreFault is how the store misbehaves.
type StoreFault int

// The faults of a store.
const (
	// FaultNone is none.
	FaultNone StoreFault = iota
	// FaultRefuse answers 503; nothing is done.
	FaultRefuse
	// FaultSilent accepts calls and never answers them; nothing is done.
	FaultSilent
	// FaultBusy answers 429 to all but stale reads; nothing is done.
	FaultBusy
	// FaultLoseAnswers carries writes out and never answers them.
	FaultDropResponses
)

// Store is a linearizable key-value store with leases and watches.
type Store struct {
	mutex   sync.Mutex
	changed *sync.Cond
	// era rises each time that the store comes back from an older copy.
	era      int64
	revision int64
	items    map[string]storeItem
	history  []storeItem
	// compacted is the last revision whose changes are not kept.
	compacted int64
	leases    map[int64]lease
	nextLease int64
	fault     StoreFault
	delay     time.Duration
	calls     map[string]int
	rewrite   func(key string, value []byte) []byte
}

// Rewrite changes what is written from now on, as one who stands between the store and those who write.
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

// SetFault makes the store misbehave from now on.
func (s *Store) SetFault(fault StoreFault, delay time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fault, s.delay = fault, delay
	s.changed.Broadcast()
}

// Compact forgets the history.
func (s *Store) Compact() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history, s.compacted = nil, s.revision
	s.changed.Broadcast()
}

// Put writes an item as operators and workers do.
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

// Delete removes an item.
func (s *Store) Delete(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.removeLocked(key)
}

// Keys returns the keys below a prefix.
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

// Calls returns how often each call was made.
func (s *Store) Calls() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	calls := map[string]int{}
	for name, count := range s.calls {
		calls[name] = count
	}
	return calls
}

// write and remove change an item at the current revision. The mutex is held.
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

// expire ends leases whose time is over. The mutex is held.
func (s *Store) expireLeasesLocked() {
	now := time.Now()
	for id, lease := range s.leases {
		if now.After(lease.expiresAt) {
			s.endLeaseLocked(id)
		}
	}
}

// EndLeases ends all leases, as when nobody renewed them in time.
func (s *Store) EndLeases() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for id := range s.leases {
		s.endLeaseLocked(id)
	}
}

// end ends one lease. The mutex is held.
func (s *Store) endLeaseLocked(id int64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.revision++
			s.removeLocked(key)
		}
	}
}
