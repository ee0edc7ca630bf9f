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
	order  []place
	// changed are the items of which more than one change was heard since they came.
	changed map[string]bool
	// deleted counts the items that are known to be gone.
	deleted int
}

// place is one change in the order.
type place struct {
	revision Revision
	key      string
}

// newTable returns a table of some changes.
func newTable(events []Event) *table {
	t := &table{latest: make(map[string]Event, len(events)), changed: map[string]bool{}}
	for _, event := range events {
		t.latest[event.Key] = event
	}
	t.arrange()
	return t
}

// get returns the latest change of an item; the zero event when none is known.
func (t *table) get(key string) Event { return t.latest[key] }

// isFirst tells whether the latest change of an item is its first one, as far as is known.
func (t *table) isFirst(key string) bool { return !t.changed[key] }

// put takes a change.
func (t *table) put(event Event) {
	before, known := t.latest[event.Key]
	if known && !before.Deleted && !event.Deleted {
		t.changed[event.Key] = true
	} else {
		delete(t.changed, event.Key)
	}
	if before.Deleted {
		t.deleted--
	}
	if event.Deleted {
		t.deleted++
	}
	t.latest[event.Key] = event
	added := place{event.Revision, event.Key}
	if len(t.order) > 0 && t.order[len(t.order)-1].revision > event.Revision {
		at, _ := slices.BinarySearchFunc(t.order, added, comparePlaces)
		t.order = slices.Insert(t.order, at, added)
	} else {
		t.order = append(t.order, added)
	}
	if len(t.order) > outdatedFactor*len(t.latest)+outdatedPlaces {
		t.arrange()
	}
}

// Bounds of the places that are out of date: as many as there are items, and some more.
const (
	outdatedFactor = 2
	outdatedPlaces = 64
)

// arrange puts the items into their order anew.
func (t *table) arrange() {
	t.order = make([]place, 0, len(t.latest))
	t.deleted = 0
	for key, event := range t.latest {
		t.order = append(t.order, place{event.Revision, key})
		if event.Deleted {
			t.deleted++
		}
	}
	slices.SortFunc(t.order, comparePlaces)
}

// comparePlaces orders changes by their revisions, and those of one transaction by their keys.
func comparePlaces(a, b place) int {
	return cmp.Or(cmp.Compare(a.revision, b.revision), strings.Compare(a.key, b.key))
}

// after returns the latest changes of the items that have changed after a revision, in their order.
func (t *table) after(revision Revision) iter.Seq[Event] {
	return func(yield func(Event) bool) {
		first, _ := slices.BinarySearchFunc(t.order, revision+1, func(p place, revision Revision) int { return cmp.Compare(p.revision, revision) })
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
func (t *table) forgetDeleted() Revision {
	last := Revision(0)
	for key, event := range t.latest {
		if event.Deleted {
			last = max(last, event.Revision)
			delete(t.latest, key)
		}
	}
	t.arrange()
	return last
}
