package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Copy is a snapshot of the store.
type Copy struct {
	revision int64
	items    map[string]storeItem
	leases   map[int64]lease
}

// Copy returns a snapshot of the store.
func (s *Store) Copy() Copy {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expireLeasesLocked()
	return Copy{revision: s.revision, items: maps.Clone(s.items), leases: maps.Clone(s.leases)}
}

// Restore resets the store to a snapshot and starts a new era. Later writes are lost, and their revisions are assigned again. It
// returns the lost items of operators and workers, for WriteAgain.
func (s *Store) Restore(snapshot Copy) []Lost {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var lost []Lost
	for _, key := range changedKeys(s.items, snapshot.items) {
		if isExternalKey(key) {
			current, found := s.items[key]
			lost = append(lost, Lost{Key: key, value: current.Value, deleted: !found, copyRevision: snapshot.revision})
		}
	}
	s.era++
	s.revision = snapshot.revision
	s.items, s.leases = maps.Clone(snapshot.items), maps.Clone(snapshot.leases)
	s.history, s.compacted = nil, snapshot.revision
	for id, lease := range s.leases {
		// No lease could be renewed during the outage.
		lease.expiresAt = time.Now().Add(lease.ttl)
		s.leases[id] = lease
	}
	s.changed.Broadcast()
	return lost
}

// changedKeys returns the keys whose revisions differ between two sets of items.
func changedKeys(a, b map[string]storeItem) []string {
	var keys []string
	for key, item := range a {
		if b[key].Revision != item.Revision {
			keys = append(keys, key)
		}
	}
	for key := range b {
		if _, found := a[key]; !found {
			keys = append(keys, key)
		}
	}
	return keys
}

// isExternalKey reports whether operators or workers, rather than gateways, write a key.
func isExternalKey(key string) bool {
	return strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/")
}

// Lost is an item of an operator or a worker as it was before a restore.
type Lost struct {
	Key     string
	value   []byte
	deleted bool
	// copyRevision is the revision of the snapshot.
	copyRevision int64
}

// changedSince reports whether an item has changed since the restore. The caller holds the mutex.
func (s *Store) changedSince(lost Lost) bool {
	return slices.ContainsFunc(s.history, func(change storeItem) bool { return change.Key == lost.Key && change.Revision > lost.copyRevision })
}

// WriteAgain writes lost items again, as their operators and workers would, unless they have changed since the restore.
func (s *Store) WriteAgain(lost ...Lost) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, each := range lost {
		if s.changedSince(each) {
			continue
		}
		s.revision++
		if each.deleted {
			s.removeLocked(each.Key)
			continue
		}
		// The value was already rewritten when it was first written.
		rewrite := s.rewrite
		s.rewrite = nil
		s.putLocked(storeItem{Key: each.Key, Value: each.value})
		s.rewrite = rewrite
	}
}

// Era returns the era of the store: one more than the number of restores.
func (s *Store) Era() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.era
}
