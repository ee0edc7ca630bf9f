package simulation

import (
	"container/heap"
	"time"
)

// event is something that happens at one moment of virtual time.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// eventHeap orders events by time, and those of one moment by the order in which they were added.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return popped
}

// scheduler is the virtual clock and the queue of what is still to happen.
type scheduler struct {
	now      time.Duration
	sequence uint64
	events   eventHeap
}

// at runs a function at a moment, or now if that moment has passed.
func (s *scheduler) at(moment time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, event{at: max(moment, s.now), sequence: s.sequence, run: run})
}

// after runs a function after a delay.
func (s *scheduler) after(delay time.Duration, run func()) { s.at(s.now+delay, run) }

// step runs the next event if it is due by the end, and tells whether there was one.
func (s *scheduler) step(end time.Duration) bool {
	if len(s.events) == 0 || s.events[0].at > end {
		return false
	}
	next := heap.Pop(&s.events).(event)
	s.now = next.at
	next.run()
	return true
}
