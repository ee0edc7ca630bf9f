package streamversion

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a stream in records; zero stands for an unnamed one.
type Key uint64

// KeyOf returns the key of the stream whose first event a request of a tenant brought. It is zero if the request has no id.
func KeyOf(tenant, request string) Key {
	if request == "" {
		return 0
	}
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(tenant)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(request)
	return Key(max(digest.Sum64(), 1))
}

// Record tells which version began a stream.
type Record struct {
	Key     Key
	Version Version
	// Lifetime is how long the stream may be taken up again.
	Lifetime time.Duration
}

// Table holds the records of the streams that this gateway began, and of those that others told it of. It is not safe for concurrent use.
//
// Invariants: a record that was put is found, with the version of its first put, until its lifetime is over, unless two versions were put for
// its key: then none is found. An incarnation counts as the version until the version is put, and an unknown one until any is. The table holds no more records than its limit.
type Table struct {
	limit     int
	entries   map[Key]*entry
	nextSweep time.Time
}

// entry is a record as the table holds it.
type entry struct {
	version Version
	// isAmbiguous is set once two versions were put.
	isAmbiguous       bool
	putAt, expiresAt  time.Time
	isLocal, isShared bool
}

// sweepInterval is the minimum time between two removals of expired records.
const sweepInterval = time.Second

// NewTable returns an empty table.
func NewTable(limit int) *Table { return &Table{limit: limit, entries: map[Key]*entry{}} }

// Put adds a record of another gateway, or extends it. It returns false if the table is full.
func (t *Table) Put(now time.Time, record Record) bool { return t.put(now, record) != nil }

// PutLocal adds a record of a stream that this gateway runs, or extends it. isShared says that other gateways are told of it now.
func (t *Table) PutLocal(now time.Time, record Record, isShared bool) bool {
	added := t.put(now, record)
	if added == nil {
		return false
	}
	added.isLocal, added.isShared = true, added.isShared || isShared
	return true
}

// put implements Put and returns the entry.
func (t *Table) put(now time.Time, record Record) *entry {
	t.sweep(now)
	existing := t.entries[record.Key]
	if existing == nil || !now.Before(existing.expiresAt) {
		if existing == nil && len(t.entries) >= t.limit {
			return nil
		}
		existing = &entry{version: record.Version}
		t.entries[record.Key] = existing
	}
	switch known, told := existing.version.rank(), record.Version.rank(); {
	case told > known:
		existing.version = record.Version
	case told == known:
		existing.isAmbiguous = existing.isAmbiguous || existing.version != record.Version
	}
	existing.putAt = now
	if expiresAt := now.Add(record.Lifetime); expiresAt.After(existing.expiresAt) {
		existing.expiresAt = expiresAt
	}
	return existing
}

// Find returns the version that began a stream and the age of the record, or false if it is not known.
func (t *Table) Find(now time.Time, key Key) (Version, time.Duration, bool) {
	found := t.entries[key]
	if found == nil || found.isAmbiguous || !now.Before(found.expiresAt) {
		return Version{}, 0, false
	}
	return found.version, now.Sub(found.putAt), true
}

// TakeUnshared returns the records of own streams of which no other gateway was told, and marks them as shared.
func (t *Table) TakeUnshared(now time.Time) []Record {
	return t.take(now, func(e *entry) bool { return e.isLocal && !e.isShared })
}

// TakeAll returns all records and marks them as shared.
func (t *Table) TakeAll(now time.Time) []Record {
	return t.take(now, func(*entry) bool { return true })
}

// TakeUntold returns the records that tell no version, and marks them as shared.
func (t *Table) TakeUntold(now time.Time) []Record {
	return t.take(now, func(e *entry) bool { return !e.version.IsTold() })
}

// take returns the unexpired records that are wanted, and marks them as shared.
func (t *Table) take(now time.Time, isWanted func(*entry) bool) []Record {
	var records []Record
	for key, e := range t.entries {
		if e.isAmbiguous || !now.Before(e.expiresAt) || !isWanted(e) {
			continue
		}
		e.isShared = true
		records = append(records, Record{Key: key, Version: e.version, Lifetime: e.expiresAt.Sub(now)})
	}
	return records
}

// Len returns the number of records, some of which may have expired.
func (t *Table) Len() int { return len(t.entries) }

// sweep removes expired records, at most once in an interval.
func (t *Table) sweep(now time.Time) {
	if now.Before(t.nextSweep) {
		return
	}
	t.nextSweep = now.Add(sweepInterval)
	for key, e := range t.entries {
		if !now.Before(e.expiresAt) {
			delete(t.entries, key)
		}
	}
}
