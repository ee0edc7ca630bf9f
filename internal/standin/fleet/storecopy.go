package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Copy is what a store held at a moment.
type Copy struct {
	revision int64
	items    map[string]storeItem
	leases   map[int64]lease
}

// Copy returns a copy of what the store holds.
func (s *Store) Copy() Copy {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expireLeasesLocked()
	return Copy{revision: s.revision, items: maps.Clone(s.items), leases: maps.Clone(s.leases)}
}

// Restore has the store come back from a copy, in the next era. What was written since is gone and revisions are given out again. It returns
// the items of operators and workers that are gone or older now, with which those write them again.
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
		// Nobody could renew it meanwhile.
		lease.expiresAt = time.Now().Add(lease.ttl)
		s.leases[id] = lease
	}
	s.changed.Broadcast()
	return lost
}

// differing returns the keys of items that are not the same in two sets.
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

// isOfOthers tells whether operators or workers write a key.
func isExternalKey(key string) bool {
	return strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/")
}

// Lost is an item of operators or workers as it was before the store came back.
type Lost struct {
	Key     string
	value   []byte
	deleted bool
	// copied is the revision of the copy.
	copyRevision int64
}

// isNewer tells whether an item was changed since the copy came back. The mutex is held.
func (s *Store) changedSince(lost Lost) bool {
	return slices.ContainsFunc(s.history, func(change storeItem) bool { return change.Key == lost.Key && change.Revision > lost.copyRevision })
}

// WriteAgain has operators and workers write what they had written, unless they have written something newer.
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
		// The value went through those who stand between when it was written first.
		rewrite := s.rewrite
		s.rewrite = nil
		s.putLocked(storeItem{Key: each.Key, Value: each.value})
		s.rewrite = rewrite
	}
}

// Era returns how often the store has come back, counted from one.
func (s *Store) Era() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.era
}
