// Package decisionlog keeps the latest decisions of one process and streams new ones to those who follow.
package decisionlog

import (
	"sync"
	"time"

	"github.com/granitebay/granitebay/internal/decision"
)

// followerBuffer bounds the records that wait for one follower; a slower one loses records and sees the gap in Sequence.
const followerBuffer = 1024

// Log is a bounded ring of records. It is safe for use by many goroutines.
type Log struct {
	process  string
	capacity int

	mutex     sync.Mutex
	records   []decision.Record
	sequence  uint64
	followers map[chan decision.Record]struct{}
}

// New returns a log of a process that keeps the latest capacity records.
func New(process string, capacity int) *Log {
	return &Log{process: process, capacity: capacity, followers: make(map[chan decision.Record]struct{})}
}

// Append numbers and stamps records, keeps them and hands them to the followers. It returns them as kept.
func (l *Log) Append(now time.Time, records []decision.Record) []decision.Record {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	kept := make([]decision.Record, 0, len(records))
	for _, record := range records {
		l.sequence++
		record.Sequence = l.sequence
		record.Time = now
		record.Process = l.process
		l.records = append(l.records, record)
		l.offer(record)
		kept = append(kept, record)
	}
	l.trim()
	return kept
}

// offer hands a record to each follower that has room.
func (l *Log) offer(record decision.Record) {
	for follower := range l.followers {
		select {
		case follower <- record:
		default:
		}
	}
}

// trim drops the oldest records. It lets the ring grow to twice its capacity, so that it copies seldom.
func (l *Log) trim() {
	if len(l.records) < 2*l.capacity {
		return
	}
	l.records = append([]decision.Record(nil), l.records[len(l.records)-l.capacity:]...)
}

// Latest returns the kept records with a sequence above since, oldest first.
func (l *Log) Latest(since uint64) []decision.Record {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var found []decision.Record
	for _, record := range l.records {
		if record.Sequence > since {
			found = append(found, record)
		}
	}
	return found
}

// Follow returns a channel of new records and a function that ends it.
func (l *Log) Follow() (<-chan decision.Record, func()) {
	follower := make(chan decision.Record, followerBuffer)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.followers[follower] = struct{}{}
	return follower, func() {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		delete(l.followers, follower)
	}
}
