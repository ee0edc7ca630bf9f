package poison

import (
	"math/rand/v2"
	"slices"
)

// Full updates are sent once a second by each gateway to each other one, so what a gateway receives grows with their number.
const (
	// fullShare is the number of gateways whose full updates may each repeat as many items as fit into an update. More gateways share the
	// items of that many.
	fullShare = 4
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
}

// newRotation returns a rotation of items in an order.
func newRotation[T any](compare func(a, b T) int) *rotation[T] {
	return &rotation[T]{compare: compare, isNew: true}
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

// end records the item that an update ends with.
func (r *rotation[T]) end(last T) { r.last, r.isNew = last, false }

// next returns the items of the next update, at most limit.
func (r *rotation[T]) next(items []T, limit int) []T {
	chosen := r.order(items)
	chosen = chosen[:min(len(chosen), max(limit, 0))]
	if len(chosen) > 0 {
		r.end(chosen[len(chosen)-1])
	}
	return chosen
}
