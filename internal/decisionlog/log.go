// Package decisionlog keeps the most recent decisions of a process and streams new ones to followers.
package decisionlog

import (
	"sync"
	"time"

	"github.com/granitebay/granitebay/internal/decision"
)

// followerBuffer is the number of records buffered for a follower. A follower that falls behind loses records, which it
// can tell from gaps in Sequence.
const followerBuffer = 1024

// Entry is a decision that is converted to a record only when it is read, as most never are.
type Entry interface {
	// Record returns the record of the decision. The log sets its sequence number, time and process.
	Record() decision.Record
}

// storedEntry is an entry with its sequence number and time.
type storedEntry struct {
	sequence uint64
	time     time.Time
	entry    Entry
}

// Log is a ring buffer of decisions. It is safe for concurrent use.
type Log struct {
	process  string
	capacity int

	mu      sync.Mutex
	entries []storedEntry
	// next is the index of the oldest entry once the buffer is full, and 0 until then.
	next      int
	sequence  uint64
	followers map[chan decision.Record]struct{}
}

// New returns the log of a process, which keeps the latest capacity decisions.
func New(process string, capacity int) *Log {
	return &Log{process: process, capacity: max(capacity, 1), followers: make(map[chan decision.Record]struct{})}
}

// Append adds a decision, assigns its sequence number and sends it to the followers.
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

// publish sends a decision to the followers and drops it for those whose buffers are full.
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

// record returns the complete record of a stored entry.
func (l *Log) record(stored storedEntry) decision.Record {
	record := stored.entry.Record()
	record.Sequence, record.Time, record.Process = stored.sequence, stored.time, l.process
	return record
}

// Latest returns the stored decisions with a sequence number above since, oldest first.
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

// Follow returns a channel of new decisions and a function that ends the subscription.
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
