package balance

import (
	"cmp"
	"iter"
	"slices"
	"strings"
)

// ring is a consistent hash ring (Karger et al., 1997) of workers ordered by the hash of their addresses. Gateways
// with the same workers find the same successors of a key, and removing a worker moves only its own keys. A lookup
// takes logarithmic time, where rendezvous hashing takes linear time.
type ring struct{ members []*workerState }

// add inserts a worker.
func (r *ring) add(state *workerState) {
	i, _ := slices.BinarySearchFunc(r.members, state, compareRingPositions)
	r.members = slices.Insert(r.members, i, state)
}

// remove removes a worker, whose position must be the one at which it was added.
func (r *ring) remove(state *workerState) {
	if i, found := slices.BinarySearchFunc(r.members, state, compareRingPositions); found {
		r.members = slices.Delete(r.members, i, i+1)
	}
}

// compareRingPositions orders workers on a ring, and those of the same address by ID.
func compareRingPositions(a, b *workerState) int {
	return cmp.Or(cmp.Compare(a.ringPosition, b.ringPosition), strings.Compare(a.worker.ID, b.worker.ID))
}

// startingAt returns each member once, in ring order from a position on.
func (r *ring) startingAt(position uint64) iter.Seq[*workerState] {
	return func(yield func(*workerState) bool) {
		first, _ := slices.BinarySearchFunc(r.members, position, func(state *workerState, target uint64) int { return cmp.Compare(state.ringPosition, target) })
		for i := range r.members {
			if !yield(r.members[(first+i)%len(r.members)]) {
				return
			}
		}
	}
}
