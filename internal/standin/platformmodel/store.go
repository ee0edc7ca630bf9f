package platformmodel

import (
	"bytes"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/platform"
)

// Commit is one change of the key-value service. Revisions have no gaps.
type Commit struct {
	Revision uint64    `json:"revision"`
	Time     time.Time `json:"time"`
	// Client that asked for the change; empty when a lease expired.
	Client string `json:"client,omitempty"`
	// ExpiredLease is the lease that expired; zero when a client asked.
	ExpiredLease uint64           `json:"expiredLease,omitempty"`
	Puts         []platform.Entry `json:"puts,omitempty"`
	Deletes      []string         `json:"deletes,omitempty"`
}

// store holds the keys and the latest commits.
type store struct {
	entries  map[string]platform.Entry
	revision uint64
	// commits end with that of revision and have no gaps.
	commits       []Commit
	historyLength int
	recordAll     bool
}

func newStore(settings Settings) store {
	return store{
		entries:       map[string]platform.Entry{},
		historyLength: settings.HistoryLength,
		recordAll:     settings.RecordAllCommits,
	}
}

func (s *store) get(key string) []platform.Entry {
	entry, exists := s.entries[key]
	if !exists {
		return nil
	}
	return []platform.Entry{entry}
}

func (s *store) list(prefix string) []platform.Entry {
	found := lo.Filter(lo.Values(s.entries), func(entry platform.Entry, _ int) bool {
		return strings.HasPrefix(entry.Key, prefix)
	})
	slices.SortFunc(found, func(a, b platform.Entry) int { return strings.Compare(a.Key, b.Key) })
	return found
}

func (s *store) holds(compares []platform.Compare) bool {
	return lo.EveryBy(compares, func(compare platform.Compare) bool {
		return s.entries[compare.Key].ModRevision == compare.ModRevision
	})
}

// write applies puts and deletes at one new revision. A key that is put more than once keeps the last value, one that is
// both put and deleted is put. The new commit is returned; nothing changes and the result is false when there is nothing
// to write.
func (s *store) write(commit Commit, puts []platform.Put, deletes []string) (Commit, bool) {
	putByKey := lo.KeyBy(puts, func(put platform.Put) string { return put.Key })
	deletes = lo.Filter(lo.Uniq(deletes), func(key string, _ int) bool {
		return lo.HasKey(s.entries, key) && !lo.HasKey(putByKey, key)
	})
	if len(putByKey) == 0 && len(deletes) == 0 {
		return Commit{}, false
	}
	s.revision++
	commit.Revision = s.revision
	for _, key := range sortedKeys(putByKey) {
		commit.Puts = append(commit.Puts, s.put(putByKey[key]))
	}
	slices.Sort(deletes)
	for _, key := range deletes {
		delete(s.entries, key)
	}
	commit.Deletes = deletes
	s.record(commit)
	return commit, true
}

func (s *store) put(put platform.Put) platform.Entry {
	entry := platform.Entry{
		Key:            put.Key,
		Value:          bytes.Clone(put.Value),
		ModRevision:    s.revision,
		CreateRevision: s.revision,
		Lease:          put.Lease,
	}
	if old, exists := s.entries[put.Key]; exists {
		entry.CreateRevision = old.CreateRevision
	}
	s.entries[put.Key] = entry
	return entry
}

func (s *store) record(commit Commit) {
	s.commits = append(s.commits, commit)
	if s.recordAll || len(s.commits) <= s.historyLength {
		return
	}
	s.commits = slices.Clone(s.commits[len(s.commits)-s.historyLength:])
}

// compacted returns the newest revision whose commit is no longer kept for watches.
func (s *store) compacted() uint64 {
	return s.revision - uint64(min(len(s.commits), s.historyLength))
}

// commitsAfter returns the commits after a revision that is not below compacted.
func (s *store) commitsAfter(revision uint64) []Commit {
	if revision >= s.revision {
		return nil
	}
	return s.commits[len(s.commits)-int(s.revision-revision):]
}

// boundTo returns the keys that are bound to a lease.
func (s *store) boundTo(lease uint64) []string {
	bound := lo.PickBy(s.entries, func(_ string, entry platform.Entry) bool { return entry.Lease == lease })
	return sortedKeys(bound)
}

func sortedKeys[Value any](items map[string]Value) []string {
	keys := lo.Keys(items)
	slices.Sort(keys)
	return keys
}
