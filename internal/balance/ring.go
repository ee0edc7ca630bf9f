package balance

import (
	"cmp"
	"iter"
	"slices"
	"strings"
)

// ring holds workers in the order of a hash of their addresses, as consistent hashing does (Karger et al., 1997): the workers that follow
// the hash of a key are the same for all gateways that know the same workers, and when one goes only its own keys move. Finding them takes
// the logarithm of the number of workers, where weighing each one for each key takes the number itself.
type ring struct{ members []*workerState }

// add takes a worker.
func (r *ring) add(state *workerState) {
	i, _ := slices.BinarySearchFunc(r.members, state, compareRingPositions)
	r.members = slices.Insert(r.members, i, state)
}

// remove drops a worker that was added at the same place.
func (r *ring) remove(state *workerState) {
	if i, found := slices.BinarySearchFunc(r.members, state, compareRingPositions); found {
		r.members = slices.Delete(r.members, i, i+1)
	}
}

// byPlace orders workers on a ring. Two incarnations at one address stand beside each other.
func compareRingPositions(a, b *workerState) int {
	return cmp.Or(cmp.Compare(a.ringPosition, b.ringPosition), strings.Compare(a.worker.ID, b.worker.ID))
}

// from returns the workers from a place on, each once.
func (r *ring) startingAt(position uint64) iter.Seq[*workerState] {
	return func(yield func(*workerState) bool) {
		first, _ := slices.BinarySearchFunc(r.members, position, func(state *workerState, place uint64) int { return cmp.Compare(state.ringPosition, place) })
		for i := range r.members {
			if !yield(r.members[(first+i)%len(r.members)]) {
				return
			}
		}
	}
}
