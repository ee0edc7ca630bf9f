package poison

import (
	"math/rand/v2"
	"slices"
)

// Full updates are sent once a second by each gateway to each other one, so what a gateway receives grows with their number. They share what they
// repeat.
const (
	// fullShare is the number of gateways whose full updates may each repeat as much as fits into an update.
	fullShare = 8
	// minRepeated is how many items of a kind a full update may repeat at least.
	minRepeated = 4
)

// maxRepeated returns how many items of a kind a full update repeats, of those that the other gateways were told before, given how many fit into
// an update.
func maxRepeated(perUpdate, gateways int) int {
	return min(perUpdate, max(perUpdate*fullShare/max(gateways, 1), minRepeated))
}

// rotation chooses items for successive full updates, so that all are repeated in turn. Each gateway begins with another one.
type rotation[T any] struct {
	compare func(a, b T) int
	// last is the item that the last update ended with, unless isNew is set.
	last  T
	isNew bool
	// credit is what the items of the next update may cost beyond its limit: what earlier updates have not used.
	credit int
}

// newRotation returns a rotation of items in an order.
func newRotation[T any](compare func(a, b T) int) *rotation[T] {
	return &rotation[T]{compare: compare, isNew: true}
}

// next returns the items of the next update, whose costs are limited on the mean of several updates. An item that costs more than the limit waits
// for as many updates. The items are sorted in place.
func (r *rotation[T]) next(items []T, limit int, cost func(item T) int) []T {
	var chosen []T
	r.credit += limit
	for _, item := range r.order(items) {
		price := cost(item)
		if price > r.credit {
			return chosen
		}
		r.credit -= price
		chosen = append(chosen, item)
		r.last, r.isNew = item, false
	}
	r.credit = 0
	return chosen
}

// order sorts the items, beginning after the last one of the last update.
func (r *rotation[T]) order(items []T) []T {
	if len(items) == 0 {
		return nil
	}
	slices.SortFunc(items, r.compare)
	start := 0
	if r.isNew {
		start = rand.IntN(len(items))
	} else if start = slices.IndexFunc(items, func(item T) bool { return r.compare(item, r.last) > 0 }); start < 0 {
		start = 0
	}
	return slices.Concat(items[start:], items[:start])
}

// one is the cost of items that are limited by their number.
func one[T any](T) int { return 1 }
