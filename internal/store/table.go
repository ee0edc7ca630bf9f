package store

import (
	"cmp"
	"iter"
	"slices"
	"strings"
)

// table holds the latest change of each item, in the order of the changes, so that what came after a revision is found without a look at
// the rest.
//
// Invariant: each item stands in the order at the revision of its latest change; other places of it are out of date and passed over.
type table struct {
	latest map[string]Event
	order  []position
	// changed are the items of which more than one change was heard since they came.
	updated map[string]bool
	// deleted counts the items that are known to be gone.
	tombstones int
}

// place is one change in the order.
type position struct {
	revision Revision
	key      string
}

// newTable returns a table of some changes.
func newTable(events []Event) *table {
	t := &table{latest: make(map[string]Event, len(events)), updated: map[string]bool{}}
	for _, event := range events {
		t.latest[event.Key] = event
	}
	t.rebuildOrder()
	return t
}

// get returns the latest change of an item; the zero event when none is known.
func (t *table) get(key string) Event { return t.latest[key] }

// isFirst tells whether the latest change of an item is its first one, as far as is known.
func (t *table) isFirstChange(key string) bool { return !t.updated[key] }

// put takes a change.
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

// Bounds of the places that are out of date: as many as there are items, and some more.
const (
	staleFactor = 2
	staleSlack  = 64
)

// arrange puts the items into their order anew.
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

// comparePlaces orders changes by their revisions, and those of one transaction by their keys.
func comparePositions(a, b position) int {
	return cmp.Or(cmp.Compare(a.revision, b.revision), strings.Compare(a.key, b.key))
}

// after returns the latest changes of the items that have changed after a revision, in their order.
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

// present returns the items that are there, by key.
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

// forgetDeleted drops the items that are gone, and returns the revision of the last of them.
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
