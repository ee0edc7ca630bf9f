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
type ring struct{ members []*state }

// add takes a worker.
func (r *ring) add(one *state) {
	at, _ := slices.BinarySearchFunc(r.members, one, byPlace)
	r.members = slices.Insert(r.members, at, one)
}

// remove drops a worker that was added at the same place.
func (r *ring) remove(one *state) {
	if at, found := slices.BinarySearchFunc(r.members, one, byPlace); found {
		r.members = slices.Delete(r.members, at, at+1)
	}
}

// byPlace orders workers on a ring. Two incarnations at one address stand beside each other.
func byPlace(one, other *state) int {
	return cmp.Or(cmp.Compare(one.place, other.place), strings.Compare(one.worker.ID, other.worker.ID))
}

// from returns the workers from a place on, each once.
func (r *ring) from(place uint64) iter.Seq[*state] {
	return func(yield func(*state) bool) {
		first, _ := slices.BinarySearchFunc(r.members, place, func(one *state, place uint64) int { return cmp.Compare(one.place, place) })
		for i := range r.members {
			if !yield(r.members[(first+i)%len(r.members)]) {
				return
			}
		}
	}
}
