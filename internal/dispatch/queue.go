package dispatch

import (
	"slices"
)

// fairQueue orders waiting requests: higher priority first, then tenants in proportion to their weights by virtual finish
// time, then order of arrival.
type fairQueue struct {
	waiting []*queued
	// virtual is the virtual time of the queue: the finish tag of the latest request that was taken out.
	virtual float64
	// finish is the latest finish tag of each tenant.
	finish   map[string]float64
	sequence uint64
}

// queued is one waiting request with its tag.
type queued struct {
	entry    *request
	finish   float64
	sequence uint64
}

func newFairQueue() *fairQueue {
	return &fairQueue{finish: make(map[string]float64)}
}

// push adds a request.
func (q *fairQueue) push(entry *request) {
	q.sequence++
	tenant := entry.work.GetTenant()
	start := max(q.virtual, q.finish[tenant])
	finish := start + cost(entry)/max(entry.policy.Weight, minimumWeight)
	q.finish[tenant] = finish
	item := &queued{entry: entry, finish: finish, sequence: q.sequence}
	at, _ := slices.BinarySearchFunc(q.waiting, item, compareQueued)
	q.waiting = slices.Insert(q.waiting, at, item)
}

// minimumWeight keeps a weight of zero from stopping a tenant for good.
const minimumWeight = 0.001

// outputTokenCost is what an output token costs in prompt tokens: engines read prompts much faster than they write.
const outputTokenCost = 20

// cost is the work of a request in prompt tokens.
func cost(entry *request) float64 {
	return float64(entry.work.GetPromptTokens()) + outputTokenCost*float64(entry.work.GetMaxTokens())
}

// compareQueued orders the queue.
func compareQueued(a, b *queued) int {
	switch {
	case a.entry.policy.Priority != b.entry.policy.Priority:
		return int(b.entry.policy.Priority) - int(a.entry.policy.Priority)
	case a.finish < b.finish:
		return -1
	case a.finish > b.finish:
		return 1
	case a.sequence < b.sequence:
		return -1
	case a.sequence > b.sequence:
		return 1
	}
	return 0
}

// remove takes a request out, because it was dispatched or given up.
func (q *fairQueue) remove(entry *request) {
	at := slices.IndexFunc(q.waiting, func(item *queued) bool { return item.entry == entry })
	if at < 0 {
		return
	}
	q.virtual = max(q.virtual, q.waiting[at].finish-cost(entry)/max(entry.policy.Weight, minimumWeight))
	q.waiting = slices.Delete(q.waiting, at, at+1)
	if len(q.waiting) == 0 {
		clear(q.finish)
		q.virtual = 0
	}
}

// entries returns the waiting requests in order.
func (q *fairQueue) entries() []*request {
	entries := make([]*request, 0, len(q.waiting))
	for _, item := range q.waiting {
		entries = append(entries, item.entry)
	}
	return entries
}

// length counts the waiting requests.
func (q *fairQueue) length() int { return len(q.waiting) }

// lengthOfRule counts the waiting requests of one rule.
func (q *fairQueue) lengthOfRule(rule string) int {
	count := 0
	for _, item := range q.waiting {
		if item.entry.policy.Rule == rule {
			count++
		}
	}
	return count
}
