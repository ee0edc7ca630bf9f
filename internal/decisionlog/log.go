// Package decisionlog keeps the latest decisions of one process and streams new ones to those who follow.
package decisionlog

import (
	"sync"
	"time"

	"github.com/granitebay/granitebay/internal/decision"
)

// followerBuffer bounds the records that wait for one follower; a slower one loses records and sees the gap in Sequence.
const followerBuffer = 1024

// Entry is a decision as its maker keeps it. Most entries are never read, so that the record is made only for a reader.
type Entry interface {
	// Record returns the decision without its number, time and process.
	Record() decision.Record
}

// kept is an entry with what the log adds to it.
type storedEntry struct {
	sequence uint64
	time     time.Time
	entry    Entry
}

// Log is a bounded ring of decisions. It is safe for use by many goroutines.
type Log struct {
	process  string
	capacity int

	mu        sync.Mutex
	entries   []storedEntry
	next      int
	sequence  uint64
	followers map[chan decision.Record]struct{}
}

// New returns a log of a process that keeps the latest capacity decisions.
func New(process string, capacity int) *Log {
	return &Log{process: process, capacity: max(capacity, 1), followers: make(map[chan decision.Record]struct{})}
}

// Append numbers and stamps a decision, keeps it and hands it to the followers.
func (l *Log) Append(now time.Time, entry Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	stored := storedEntry{sequence: l.sequence, time: now, entry: entry}
	if len(l.entries) < l.capacity {
		l.entries = append(l.entries, stored)
	} else {
		l.entries[l.next] = stored
		l.next = (l.next + 1) % l.capacity
	}
	l.publish(stored)
}

// offer hands a decision to each follower that has room.
func (l *Log) publish(stored storedEntry) {
	if len(l.followers) == 0 {
		return
	}
	record := l.record(stored)
	for follower := range l.followers {
		select {
		case follower <- record:
		default:
		}
	}
}

// record completes the record of an entry.
func (l *Log) record(stored storedEntry) decision.Record {
	record := stored.entry.Record()
	record.Sequence, record.Time, record.Process = stored.sequence, stored.time, l.process
	return record
}

// Latest returns the kept decisions with a sequence above since, oldest first.
func (l *Log) Latest(since uint64) []decision.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []decision.Record
	for i := range l.entries {
		stored := l.entries[(l.next+i)%len(l.entries)]
		if stored.sequence > since {
			found = append(found, l.record(stored))
		}
	}
	return found
}

// Follow returns a channel of new decisions and a function that ends it.
func (l *Log) Follow() (<-chan decision.Record, func()) {
	follower := make(chan decision.Record, followerBuffer)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.followers[follower] = struct{}{}
	return follower, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.followers, follower)
	}
}
