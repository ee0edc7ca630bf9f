package agent

import (
	"container/heap"
	"time"
)

// wakeups orders requests by the time at which they want to be looked at. A request whose time moved later keeps its
// place until it comes up, so that the common case, a token that arrives, costs nothing.
type wakeups []*request

// Len is part of heap.Interface.
func (w wakeups) Len() int { return len(w) }

// Less is part of heap.Interface. Requests with the same time come in the order in which they were submitted.
func (w wakeups) Less(i, j int) bool {
	if w[i].wakeAt.Equal(w[j].wakeAt) {
		return w[i].sequence < w[j].sequence
	}
	return w[i].wakeAt.Before(w[j].wakeAt)
}

// Swap is part of heap.Interface.
func (w wakeups) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].heapIndex, w[j].heapIndex = i, j
}

// Push is part of heap.Interface.
func (w *wakeups) Push(item any) {
	entry := item.(*request)
	entry.heapIndex = len(*w)
	*w = append(*w, entry)
}

// Pop is part of heap.Interface.
func (w *wakeups) Pop() any {
	old := *w
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*w = old[:len(old)-1]
	last.heapIndex = -1
	return last
}

// earlier moves a request up if its time is now earlier than the one that it waits for.
func (w *wakeups) earlier(entry *request, due time.Time) {
	if due.Before(entry.wakeAt) {
		entry.wakeAt = due
		heap.Fix(w, entry.heapIndex)
	}
}

// set gives a request a new time.
func (w *wakeups) set(entry *request, due time.Time) {
	entry.wakeAt = due
	heap.Fix(w, entry.heapIndex)
}

func (w *wakeups) add(entry *request, due time.Time) {
	entry.wakeAt = due
	heap.Push(w, entry)
}

func (w *wakeups) remove(entry *request) {
	if entry.heapIndex >= 0 {
		heap.Remove(w, entry.heapIndex)
	}
}
