package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/granitebay/granitebay/review/harness"
)

// beatTimeout is the time after which the entry of a silent worker is removed: three heartbeats of 1.2 s.
const beatTimeout = 3600 * time.Millisecond

// item is an item of the store, or a change of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Gone     bool   `json:"gone,omitempty"`
}

// lease is a lease with the time at which it ends.
type lease struct {
	ttl time.Duration
	end time.Time
}

// store is a linearizable store in memory.
type store struct {
	mu        sync.Mutex
	changed   chan struct{}
	revision  int64
	items     map[string]item
	history   []item
	leases    map[int64]lease
	nextLease int64
	beats     map[string]time.Time
}

// runStore serves a store until the process ends.
func runStore(listen, control string) error {
	s := &store{changed: make(chan struct{}), items: map[string]item{}, leases: map[int64]lease{}, beats: map[string]time.Time{}}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire(time.Now())
		}
	}()
	failed := make(chan error, 2)
	go func() { failed <- http.ListenAndServe(control, s.controlHandler()) }()
	go func() { failed <- http.ListenAndServe(listen, s.apiHandler()) }()
	return <-failed
}

// expire removes what leases that have ended hold, and the entries of silent workers.
func (s *store) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, held := range s.leases {
		if now.After(held.end) {
			s.endLease(id)
		}
	}
	for key, beat := range s.beats {
		if now.Sub(beat) > beatTimeout {
			delete(s.beats, key)
			s.revision++
			s.remove(key)
		}
	}
}

// endLease removes a lease and its items. The mutex is held.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, each := range s.items {
		if each.Lease == id {
			s.revision++
			s.remove(key)
		}
	}
}

// put and remove change an item at the current revision. The mutex is held.
func (s *store) put(key string, value []byte, leaseID int64) {
	created := s.revision
	if before, found := s.items[key]; found {
		created = before.Created
	}
	written := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: leaseID}
	s.items[key] = written
	s.record(written)
}

func (s *store) remove(key string) {
	if _, found := s.items[key]; found {
		delete(s.items, key)
		s.record(item{Key: key, Revision: s.revision, Gone: true})
	}
}

// record adds a change to the history and wakes the watches.
func (s *store) record(change item) {
	s.history = append(s.history, change)
	close(s.changed)
	s.changed = make(chan struct{})
}

// controlHandler serves the operator, who puts and removes items, and the workers, who send heartbeats.
func (s *store) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /put", func(w http.ResponseWriter, r *http.Request) {
		value, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		key := r.URL.Query().Get("key")
		s.mu.Lock()
		defer s.mu.Unlock()
		if strings.HasPrefix(key, harness.Wire.WorkerKeys) {
			s.beats[key] = time.Now()
		}
		if before, found := s.items[key]; found && string(before.Value) == string(value) {
			return
		}
		s.revision++
		s.put(key, value, 0)
	})
	mux.HandleFunc("POST /remove", func(_ http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		key := r.URL.Query().Get("key")
		delete(s.beats, key)
		s.revision++
		s.remove(key)
	})
	return mux
}

// apiHandler serves the system.
func (s *store) apiHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.getKey)
	mux.HandleFunc("GET /v1/kv-range", s.getRange)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.commit)
	mux.HandleFunc("POST /v1/kv-lease", s.grant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.end)
	return mux
}

// answer writes a JSON body.
func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	found, present := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !present {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	answer(w, http.StatusOK, found)
}

// pageSize is the number of items of a page.
const pageSize = 500

func (s *store) getRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get(harness.Wire.KeyPrefixQuery), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, each := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, each)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > pageSize
	if more {
		items = items[:pageSize]
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "more": more, "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get(harness.Wire.WaitQuery))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, change := range s.history {
			if change.Revision > after && strings.HasPrefix(change.Key, query.Get(harness.Wire.KeyPrefixQuery)) {
				events = append(events, change)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected"`
		Put []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"put"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, failed := []item{}, false
	for _, expected := range body.Expected {
		found, present := s.items[expected.Key]
		if present {
			current = append(current, found)
		}
		failed = failed || found.Revision != expected.Revision
	}
	if failed {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, each := range body.Put {
		if strings.HasPrefix(each.Key, harness.Wire.OperatorKeys) || strings.HasPrefix(each.Key, harness.Wire.WorkerKeys) {
			answer(w, http.StatusForbidden, map[string]any{})
			return
		}
		if _, held := s.leases[each.Lease]; each.Lease != 0 && !held {
			answer(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	s.revision++
	for _, each := range body.Put {
		s.put(each.Key, each.Value, each.Lease)
	}
	for _, key := range body.Remove {
		s.remove(key)
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	ttl := time.Duration(body.TTLMs) * time.Millisecond
	s.leases[s.nextLease] = lease{ttl: ttl, end: time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"lease": s.nextLease, "ttlMs": body.TTLMs})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	held, found := s.leases[id]
	if !found {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	s.leases[id] = lease{ttl: held.ttl, end: time.Now().Add(held.ttl)}
	answer(w, http.StatusOK, map[string]any{"ttlMs": held.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
	answer(w, http.StatusOK, map[string]any{})
}
