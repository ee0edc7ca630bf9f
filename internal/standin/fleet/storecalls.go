package fleet

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"
)

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	s.serve(writer, request, nil)
}

// View returns the store as one client sees it: rewrite modifies each value that is read through the handler.
func (s *Store) View(rewrite func(key string, value []byte) []byte) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) { s.serve(writer, request, rewrite) })
}

// rewriteItems modifies the values of the items in a response.
func rewriteItems(body any, rewrite func(key string, value []byte) []byte) {
	fields, isObject := body.(jsonObject)
	if !isObject || rewrite == nil {
		return
	}
	for _, name := range []string{"items", "events"} {
		items, _ := fields[name].([]storeItem)
		for i := range items {
			if len(items[i].Value) > 0 {
				items[i].Value = rewrite(items[i].Key, items[i].Value)
			}
		}
	}
}

// serve serves a request. A rewrite function that is not nil modifies the values in the response.
func (s *Store) serve(writer http.ResponseWriter, request *http.Request, rewrite func(key string, value []byte) []byte) {
	name, id := splitPath(request.URL.Path)
	s.mutex.Lock()
	s.calls[name]++
	fault, delay := s.fault, s.delay
	s.mutex.Unlock()
	time.Sleep(delay)
	isStale := request.URL.Query().Get("stale") != ""
	writes := name == "kv-txn" || name == "kv-lease" || name == "kv-keep"
	switch {
	case fault == FaultBusy && !isStale, fault == FaultOldLists && name == "kv-range" && !isStale:
		writer.WriteHeader(http.StatusTooManyRequests)
	case fault == FaultRefuse:
		writer.WriteHeader(http.StatusServiceUnavailable)
	case fault == FaultSilent:
		// The server detects a closed connection only after the body has been read.
		_, _ = io.Copy(io.Discard, request.Body)
		<-request.Context().Done()
	case fault == FaultDropResponses && writes:
		s.handle(name, id, request)
		<-request.Context().Done()
	default:
		status, body := s.handle(name, id, request)
		rewriteItems(body, rewrite)
		writer.Header().Set("Content-Type", "application/json")
		writer.Header().Set("Store-Era", strconv.FormatInt(s.Era(), 10))
		writer.WriteHeader(status)
		_ = json.NewEncoder(writer).Encode(body)
	}
}

// splitPath splits a path into the call and the ID at its end.
func splitPath(path string) (string, int64) {
	parts := strings.Split(strings.TrimPrefix(path, "/v1/"), "/")
	if len(parts) < 2 {
		return parts[0], 0
	}
	id, _ := strconv.ParseInt(parts[1], 10, 64)
	return parts[0], id
}

// jsonObject is a JSON object.
type jsonObject map[string]any

// handle executes a call and returns the status and the body of the response.
func (s *Store) handle(name string, id int64, request *http.Request) (int, any) {
	query := request.URL.Query()
	switch name {
	case "kv-range":
		return s.listPage(query.Get("pathPrefix"), query.Get("after"), query.Get("stale") != "")
	case "kv-watch":
		after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("waitMs"))
		return s.watch(request, query.Get("pathPrefix"), after, time.Duration(wait)*time.Millisecond)
	case "kv-txn":
		return s.transact(request)
	case "kv-lease":
		return s.grantLease(request)
	case "kv-keep":
		return s.renewLease(id)
	case "kv-lease-end":
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.endLeaseLocked(id)
		return http.StatusOK, jsonObject{}
	default:
		return http.StatusNotFound, jsonObject{"error": "no such call"}
	}
}

// pageSize is the number of items in a page of a listing, and pageBytes bounds the values of a page or of the answer to a watch.
const (
	pageSize  = 50
	pageBytes = 1 << 20
)

// page returns the first items that fit into an answer, one at least.
func page(items []storeItem) []storeItem {
	size := 0
	for i, item := range items[:min(len(items), pageSize)] {
		if size += len(item.Value); size > pageBytes {
			return items[:max(i, 1)]
		}
	}
	return items[:min(len(items), pageSize)]
}

// listPage returns the page of items that follows a key.
func (s *Store) listPage(prefix, after string, isStale bool) (int, any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expireLeasesLocked()
	listed, at := s.items, s.revision
	if isStale && s.fault == FaultOldLists {
		listed, at = s.old.items, s.old.revision
	}
	var keys []string
	for key := range listed {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items := []storeItem{}
	for _, key := range keys[:min(len(keys), pageSize)] {
		items = append(items, listed[key])
	}
	items = page(items)
	return http.StatusOK, jsonObject{"items": items, "more": len(keys) > len(items), "at": at}
}

// watch waits until there are changes after a revision, or until the wait is over.
func (s *Store) watch(request *http.Request, prefix string, after int64, wait time.Duration) (int, any) {
	deadline := time.Now().Add(wait)
	wake := func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.changed.Broadcast()
	}
	timer := time.AfterFunc(wait, wake)
	defer timer.Stop()
	ticker := time.AfterFunc(200*time.Millisecond, wake)
	defer ticker.Stop()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for {
		s.expireLeasesLocked()
		if s.fault == FaultSilentWatches && request.Context().Err() == nil {
			ticker.Reset(200 * time.Millisecond)
			s.changed.Wait()
			continue
		}
		if after < s.compacted || after > s.revision {
			return http.StatusGone, jsonObject{"error": "history is gone"}
		}
		events := []storeItem{}
		for _, change := range s.history {
			if change.Revision > after && strings.HasPrefix(change.Key, prefix) {
				events = append(events, change)
			}
		}
		if len(events) > 0 || !time.Now().Before(deadline) || request.Context().Err() != nil {
			at := s.revision
			if fitting := page(events); len(fitting) < len(events) {
				events, at = fitting, fitting[len(fitting)-1].Revision
			}
			return http.StatusOK, jsonObject{"events": events, "at": at}
		}
		ticker.Reset(200 * time.Millisecond)
		s.changed.Wait()
	}
}

// transact applies a transaction if all its conditions hold.
func (s *Store) transact(request *http.Request) (int, any) {
	var body struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected"`
		Put    []storeItem `json:"put"`
		Remove []string    `json:"remove"`
	}
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		return http.StatusBadRequest, jsonObject{"error": err.Error()}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expireLeasesLocked()
	for _, condition := range body.Expected {
		if s.items[condition.Key].Revision != condition.Revision {
			return http.StatusPreconditionFailed, jsonObject{"items": []storeItem{s.items[condition.Key]}}
		}
	}
	for _, item := range body.Put {
		if strings.HasPrefix(item.Key, "op/") || strings.HasPrefix(item.Key, "servers/") {
			return http.StatusForbidden, jsonObject{"error": "not for the system"}
		}
		if _, found := s.leases[item.Lease]; item.Lease != 0 && !found {
			return http.StatusNotFound, jsonObject{"error": "no such lease"}
		}
	}
	s.revision++
	for _, item := range body.Put {
		s.putLocked(storeItem{Key: item.Key, Value: item.Value, Lease: item.Lease})
	}
	for _, key := range body.Remove {
		s.removeLocked(key)
	}
	return http.StatusOK, jsonObject{"revision": s.revision}
}

// grantLease creates a lease.
func (s *Store) grantLease(request *http.Request) (int, any) {
	var body struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		return http.StatusBadRequest, jsonObject{"error": err.Error()}
	}
	ttl := time.Duration(body.TTLMs) * time.Millisecond
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.nextLease++
	s.leases[s.nextLease] = lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	return http.StatusOK, jsonObject{"lease": s.nextLease, "ttlMs": body.TTLMs}
}

// renewLease extends a lease by its TTL.
func (s *Store) renewLease(id int64) (int, any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expireLeasesLocked()
	lease, found := s.leases[id]
	if !found {
		return http.StatusNotFound, jsonObject{"error": "no such lease"}
	}
	lease.expiresAt = time.Now().Add(lease.ttl)
	s.leases[id] = lease
	return http.StatusOK, jsonObject{"ttlMs": lease.ttl.Milliseconds()}
}
