package experiment

import (
	"cmp"
	"slices"
)

// fairQueue holds waiting requests: higher priority first, then by start tags of their tenants, then by deadline.
type fairQueue struct {
	settings frontSettings
	waiting  []queued
	// virtual is the start tag of the request that was taken out last.
	virtual float64
	// finish is the end of the last tag of each tenant.
	finish map[string]float64
	serial int
}

// queued is a waiting request with its tag.
type queued struct {
	call   *call
	start  float64
	serial int
}

// outputTokenCost is what a token of an answer costs in tokens of a prompt.
const outputTokenCost = 4

func newFairQueue(settings frontSettings) *fairQueue {
	return &fairQueue{settings: settings, finish: map[string]float64{}}
}

func (q *fairQueue) push(next *call) {
	item := q.tag(next)
	q.serial++
	if q.settings.fair {
		q.finish[next.request.Tenant] = item.start + queueCost(next.request)
	}
	place, _ := slices.BinarySearchFunc(q.waiting, item, q.compare)
	q.waiting = slices.Insert(q.waiting, place, item)
}

// tag returns a request with the tag that it would get.
func (q *fairQueue) tag(next *call) queued {
	item := queued{call: next, serial: q.serial}
	if q.settings.fair {
		item.start = max(q.virtual, q.finish[next.request.Tenant])
	}
	return item
}

func queueCost(request *Request) float64 {
	return float64(request.PromptTokens + outputTokenCost*request.OutputTokens)
}

func (q *fairQueue) compare(a, b queued) int {
	if q.settings.priorities {
		if order := cmp.Compare(b.call.request.Priority, a.call.request.Priority); order != 0 {
			return order
		}
	}
	return cmp.Or(cmp.Compare(a.start, b.start), cmp.Compare(a.serial, b.serial))
}

func (q *fairQueue) head() *call {
	if len(q.waiting) == 0 {
		return nil
	}
	return q.waiting[0].call
}

func (q *fairQueue) remove(gone *call) {
	place := slices.IndexFunc(q.waiting, func(item queued) bool { return item.call == gone })
	if place < 0 {
		return
	}
	q.virtual = max(q.virtual, q.waiting[place].start)
	q.waiting = slices.Delete(q.waiting, place, place+1)
	if len(q.waiting) == 0 {
		clear(q.finish)
		q.virtual = 0
	}
}

func (q *fairQueue) all() []*call {
	result := make([]*call, 0, len(q.waiting))
	for _, each := range q.waiting {
		result = append(result, each.call)
	}
	return result
}

func (q *fairQueue) length() int { return len(q.waiting) }

// secondsBefore sums the engine time of the requests that would be taken before a new one.
func (q *fairQueue) secondsBefore(candidate *call, seconds func(*Request) float64) float64 {
	item := q.tag(candidate)
	sum := 0.0
	for _, each := range q.waiting {
		if q.compare(each, item) > 0 {
			break
		}
		sum += seconds(each.call.request)
	}
	return sum
}
