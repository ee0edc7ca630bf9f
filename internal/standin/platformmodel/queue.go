package platformmodel

import "time"

// eventKind tells what an event is for, so that an outage can tell work of the service from clocks of clients.
type eventKind uint8

const (
	eventApply   eventKind = iota // a request is carried out
	eventAnswer                   // an answer or a change of a watch reaches the client
	eventTimeout                  // a client gives up waiting
	eventLease                    // a lease may have expired
)

// event is something that happens at a later time.
type event struct {
	due      time.Time
	sequence uint64
	kind     eventKind
	call     *call
	run      func()
}

// eventQueue is a heap of events by time, and by sequence when times are equal.
type eventQueue []*event

// Len is part of heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less is part of heap.Interface.
func (q eventQueue) Less(i, j int) bool { return q[i].before(q[j]) }

// Swap is part of heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is part of heap.Interface.
func (q *eventQueue) Push(item any) { *q = append(*q, item.(*event)) }

// Pop is part of heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := len(old) - 1
	item := old[last]
	old[last] = nil
	*q = old[:last]
	return item
}

// void tells that the event is the time-out of a call that was answered.
func (e *event) void() bool { return e.kind == eventTimeout && e.call.answered }

func (e *event) before(other *event) bool {
	if !e.due.Equal(other.due) {
		return e.due.Before(other.due)
	}
	return e.sequence < other.sequence
}
