package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is an item of the store, or an entry of its history.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Gone     bool   `json:"gone,omitempty"`
}

// storeLease is a lease with its end.
type storeLease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in of the platform's metadata store, as PROTOCOL.md describes it. It is sound: it loses nothing and answers at once.
type store struct {
	address string

	mutex     sync.Mutex
	revision  int64
	items     map[string]storeItem
	history   []storeItem
	leases    map[int64]storeLease
	lastLease int64
	// changed is closed at the next change.
	changed chan struct{}
}

// expiryInterval is how often leases are looked at.
const expiryInterval = 50 * time.Millisecond

// startStore starts a store at a free loopback port.
func startStore() (*store, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: listener.Addr().String(), revision: 100, items: map[string]storeItem{}, leases: map[int64]storeLease{}, lastLease: 1000,
		changed: make(chan struct{}),
	}
	go func() { _ = http.Serve(listener, s) }()
	go func() {
		for range time.Tick(expiryInterval) {
			s.mutex.Lock()
			s.expireLeases()
			s.mutex.Unlock()
		}
	}()
	return s, nil
}

// put writes a value on behalf of the operator or a worker.
func (s *store) put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.putItem(storeItem{Key: key, Value: encoded})
}

// remove removes a key on behalf of the operator or a worker.
func (s *store) remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.removeItem(key)
}

// putItem and removeItem change an item at the current revision. The mutex is held.
func (s *store) putItem(item storeItem) {
	item.Revision, item.Created = s.revision, s.revision
	if known, found := s.items[item.Key]; found {
		item.Created = known.Created
	}
	s.items[item.Key] = item
	s.record(item)
}

func (s *store) removeItem(key string) {
	if _, found := s.items[key]; found {
		delete(s.items, key)
		s.record(storeItem{Key: key, Revision: s.revision, Gone: true})
	}
}

// record adds a change to the history. The mutex is held.
func (s *store) record(change storeItem) {
	s.history = append(s.history, change)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases ends the leases that are over. The mutex is held.
func (s *store) expireLeases() {
	now := time.Now()
	for id, lease := range s.leases {
		if now.After(lease.end) {
			s.endLease(id)
		}
	}
}

// endLease ends a lease and removes its keys. The mutex is held.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.revision++
			s.removeItem(key)
		}
	}
}

// object is a JSON object.
type object map[string]any

// respond writes a JSON response.
func respond(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	name, id, _ := strings.Cut(strings.TrimPrefix(request.URL.Path, "/v1/"), "/")
	lease, _ := strconv.ParseInt(id, 10, 64)
	switch name {
	case "kv-key":
		s.serveKey(writer, request)
	case "kv-range":
		s.serveRange(writer, request)
	case "kv-watch":
		s.serveWatch(writer, request)
	case "kv-txn":
		s.serveTransaction(writer, request)
	case "kv-lease":
		s.serveGrant(writer, request)
	case "kv-keep":
		s.serveRenewal(writer, lease)
	case "kv-lease-end":
		s.mutex.Lock()
		s.endLease(lease)
		s.mutex.Unlock()
		respond(writer, http.StatusOK, object{})
	default:
		respond(writer, http.StatusNotFound, object{})
	}
}

func (s *store) serveKey(writer http.ResponseWriter, request *http.Request) {
	s.mutex.Lock()
	item, found := s.items[request.URL.Query().Get("key")]
	s.mutex.Unlock()
	if !found {
		respond(writer, http.StatusNotFound, object{})
		return
	}
	respond(writer, http.StatusOK, item)
}

// pageSize is the number of items of a page.
const pageSize = 500

func (s *store) serveRange(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	s.mutex.Lock()
	items := []storeItem{}
	for key, item := range s.items {
		if strings.HasPrefix(key, query.Get(names.PrefixParameter)) && key > query.Get("after") {
			items = append(items, item)
		}
	}
	at := s.revision
	s.mutex.Unlock()
	slices.SortFunc(items, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > pageSize
	respond(writer, http.StatusOK, object{"items": items[:min(len(items), pageSize)], "more": more, "at": at})
}

func (s *store) serveWatch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get(names.WaitParameter))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for isOver := false; ; {
		s.mutex.Lock()
		events := []storeItem{}
		for _, change := range s.history {
			if change.Revision > after && strings.HasPrefix(change.Key, query.Get(names.PrefixParameter)) {
				events = append(events, change)
			}
		}
		at, changed := s.revision, s.changed
		s.mutex.Unlock()
		if len(events) > 0 || isOver {
			respond(writer, http.StatusOK, object{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-end:
			isOver = true
		case <-request.Context().Done():
			return
		}
	}
}

func (s *store) serveTransaction(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected"`
		Put    []storeItem `json:"put"`
		Remove []string    `json:"remove"`
	}
	if json.NewDecoder(request.Body).Decode(&body) != nil {
		respond(writer, http.StatusBadRequest, object{})
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expireLeases()
	for _, expected := range body.Expected {
		if s.items[expected.Key].Revision != expected.Revision {
			respond(writer, http.StatusPreconditionFailed, object{"items": []storeItem{}})
			return
		}
	}
	for _, item := range body.Put {
		if _, found := s.leases[item.Lease]; item.Lease != 0 && !found {
			respond(writer, http.StatusNotFound, object{})
			return
		}
	}
	s.revision++
	for _, item := range body.Put {
		s.putItem(storeItem{Key: item.Key, Value: item.Value, Lease: item.Lease})
	}
	for _, key := range body.Remove {
		s.removeItem(key)
	}
	respond(writer, http.StatusOK, object{"revision": s.revision})
}

func (s *store) serveGrant(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if json.NewDecoder(request.Body).Decode(&body) != nil {
		respond(writer, http.StatusBadRequest, object{})
		return
	}
	ttl := time.Duration(body.TTLMs) * time.Millisecond
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastLease++
	s.leases[s.lastLease] = storeLease{ttl: ttl, end: time.Now().Add(ttl)}
	respond(writer, http.StatusOK, object{"lease": s.lastLease, "ttlMs": body.TTLMs})
}

func (s *store) serveRenewal(writer http.ResponseWriter, id int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expireLeases()
	lease, found := s.leases[id]
	if !found {
		respond(writer, http.StatusNotFound, object{})
		return
	}
	lease.end = time.Now().Add(lease.ttl)
	s.leases[id] = lease
	respond(writer, http.StatusOK, object{"ttlMs": lease.ttl.Milliseconds()})
}
