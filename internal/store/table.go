package store

import (
	"cmp"
	"iter"
	"slices"
	"strings"
)

// table holds the latest change of each item, ordered by revision, so that the changes after a revision are found by
// binary search.
//
// Invariant: order contains the position of the latest change of each item; its other positions are stale and skipped.
type table struct {
	latest map[string]Event
	order  []position
	// updated holds the items that were changed since they were created.
	updated map[string]bool
	// tombstones is the number of deleted items in latest.
	tombstones int
}

// position is the position of a change in the order.
type position struct {
	revision Revision
	key      string
}

// newTable returns a table of the given changes, at most one per key.
func newTable(events []Event) *table {
	t := &table{latest: make(map[string]Event, len(events)), updated: map[string]bool{}}
	for _, event := range events {
		t.latest[event.Key] = event
	}
	t.rebuildOrder()
	return t
}

// get returns the latest change of an item, or the zero event if there is none.
func (t *table) get(key string) Event { return t.latest[key] }

// isFirstChange reports whether the latest known change of an item is its creation or deletion, or was read from a list.
func (t *table) isFirstChange(key string) bool { return !t.updated[key] }

// put records a change.
func (t *table) put(event Event) {
	previous, known := t.latest[event.Key]
	if known && !previous.Deleted && !event.Deleted {
		t.updated[event.Key] = true
	} else {
		delete(t.updated, event.Key)
	}
	if previous.Deleted {
		t.tombstones--
	}
	if event.Deleted {
		t.tombstones++
	}
	t.latest[event.Key] = event
	newPosition := position{event.Revision, event.Key}
	if len(t.order) > 0 && t.order[len(t.order)-1].revision > event.Revision {
		index, _ := slices.BinarySearchFunc(t.order, newPosition, comparePositions)
		t.order = slices.Insert(t.order, index, newPosition)
	} else {
		t.order = append(t.order, newPosition)
	}
	if len(t.order) > staleFactor*len(t.latest)+staleSlack {
		t.rebuildOrder()
	}
}

// Limits on the length of the order, relative to the number of items, before stale positions are removed.
const (
	staleFactor = 2
	staleSlack  = 64
)

// rebuildOrder rebuilds the order without stale positions.
func (t *table) rebuildOrder() {
	t.order = make([]position, 0, len(t.latest))
	t.tombstones = 0
	for key, event := range t.latest {
		t.order = append(t.order, position{event.Revision, key})
		if event.Deleted {
			t.tombstones++
		}
	}
	slices.SortFunc(t.order, comparePositions)
}

// comparePositions orders changes by revision, and those of the same transaction by key.
func comparePositions(a, b position) int {
	return cmp.Or(cmp.Compare(a.revision, b.revision), strings.Compare(a.key, b.key))
}

// after returns the latest changes of the items that changed after a revision, in order.
func (t *table) after(revision Revision) iter.Seq[Event] {
	return func(yield func(Event) bool) {
		first, _ := slices.BinarySearchFunc(t.order, revision+1, func(p position, revision Revision) int { return cmp.Compare(p.revision, revision) })
		for _, each := range t.order[first:] {
			if event := t.latest[each.key]; event.Revision == each.revision && !yield(event) {
				return
			}
		}
	}
}

// present returns the items that are not deleted, by key.
func (t *table) present() []Item {
	var items []Item
	for _, event := range t.latest {
		if !event.Deleted {
			items = append(items, event.Item)
		}
	}
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	return items
}

// dropTombstones removes deleted items and returns the revision of the latest deletion.
func (t *table) dropTombstones() Revision {
	last := Revision(0)
	for key, event := range t.latest {
		if event.Deleted {
			last = max(last, event.Revision)
			delete(t.latest, key)
		}
	}
	t.rebuildOrder()
	return last
}
