package store

import (
	"maps"
	"slices"
	"time"

	"github.com/granitebay/granitebay/internal/boottime"
)

// Snapshot is what a replica knows at a revision.
type Snapshot struct {
	Items    []Item   `json:"items"`
	Revision Revision `json:"revision"`
	// Era is that of all revisions, which are told without it; nil when the teller does not say.
	Era *int64 `json:"era,omitempty"`
	// Shards is of how many shards the items hold one, of what is divided into shards; zero and one are all.
	Shards int `json:"shards,omitempty"`
}

// Snapshot returns what the replica knows, or false when it knows nothing yet. It may be called by any goroutine.
func (r *Replica) Snapshot() (Snapshot, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.known == nil {
		return Snapshot{}, false
	}
	return Snapshot{Revision: r.after, Era: eraOf(r.after), Items: r.known.present(), Shards: r.shards}, true
}

// introduce tells the consumer the items that are not divided into shards, before the others are listed, and returns the last key of them.
func (r *Replica) introduce(items []Item) string {
	undivided := r.undivided(items)
	events := make([]Event, len(undivided))
	for i, item := range undivided {
		events[i] = Event{Item: item}
	}
	r.consumer.Apply(events)
	if len(undivided) == 0 {
		return items[0].Key
	}
	return undivided[len(undivided)-1].Key
}

// undivided returns the items that are not divided into shards.
func (r *Replica) undivided(items []Item) []Item {
	return slices.DeleteFunc(slices.Clone(items), func(item Item) bool { return r.isSharded(item.Key) })
}

// isSharded tells whether a key is divided into shards.
func (r *Replica) isSharded(key string) bool {
	return r.settings.Sharded != nil && r.settings.Sharded(key)
}

// begin takes the items that were listed up to a key, without any that are divided.
func (r *Replica) begin(items []Item, at Revision, listed string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.known, r.after, r.completeFrom = newTable(eventsOf(items)), at, at
	r.shards, r.sharded, r.listed, r.begunAt = 0, 0, listed, boottime.Now()
}

// eventsOf returns items as changes.
func eventsOf(items []Item) []Event {
	events := make([]Event, len(items))
	for i, item := range items {
		events[i] = Event{Item: item}
	}
	return events
}

// maxDeleted bounds the deleted items that are remembered for those that learn from this process. A fleet that restarts each of
// its processes and workers some times a day deletes about as many.
const maxDeleted = 16 << 10

// replace takes a snapshot in place of what was known and tells it to the consumer. What is known of a later revision stays: a
// snapshot may be some seconds old, and nothing goes back.
func (r *Replica) replace(snapshot Snapshot) {
	snapshot.Shards = max(snapshot.Shards, 1)
	r.mutex.Lock()
	if r.behind(snapshot.Revision) {
		r.mutex.Unlock()
		return
	}
	isRestored := r.restoredIn(snapshot)
	if isRestored {
		r.resume(snapshot)
	} else if snapshot.Shards != 1 || (r.known != nil && r.shards != 1) {
		r.restart(snapshot)
	} else {
		r.merge(snapshot)
	}
	r.after, r.shards = snapshot.Revision, snapshot.Shards
	if r.known.deleted > maxDeleted {
		r.forgetDeleted()
	}
	items := r.known.present()
	r.sharded = 0
	for _, item := range items {
		if r.isSharded(item.Key) {
			r.sharded++
		}
	}
	r.wake()
	r.mutex.Unlock()
	if isRestored {
		r.consumer.Restored(snapshot.Revision.Era())
	}
	r.consumer.Reset(items)
}

// restart takes a snapshot for what was known of another number of shards. It forgets what came and went before. The mutex is held.
func (r *Replica) restart(snapshot Snapshot) {
	events := eventsOf(snapshot.Items)
	if r.known != nil {
		listed := make(map[string]Revision, len(events))
		for _, event := range events {
			listed[event.Key] = event.Revision
		}
		for event := range r.known.after(snapshot.Revision) {
			isOurs := !r.isSharded(event.Key) || inShard(event.Key, r.settings.Seat, snapshot.Shards)
			if isOurs && event.Revision > listed[event.Key] {
				events = append(events, event)
			}
		}
	}
	r.known, r.completeFrom = newTable(events), snapshot.Revision
	r.gapFrom, r.gapTo = 0, 0
}

// merge takes a snapshot of everything, and remembers what was known before and is gone. The mutex is held.
func (r *Replica) merge(snapshot Snapshot) {
	known := make(map[string]Event, len(snapshot.Items))
	for _, item := range snapshot.Items {
		known[item.Key] = Event{Item: item}
	}
	switch {
	case r.known == nil:
		r.completeFrom = snapshot.Revision
	case snapshot.Revision > r.after && r.gapTo == 0:
		r.gapFrom, r.gapTo = r.after, snapshot.Revision
	case snapshot.Revision > r.after:
		r.gapTo = max(r.gapTo, snapshot.Revision)
	}
	if r.known != nil {
		for key, event := range r.known.latest {
			listed, found := known[key]
			switch {
			case event.Revision > snapshot.Revision && event.Revision > listed.Revision:
				known[key] = event
			case !found && event.Deleted:
				known[key] = event
			case !found:
				known[key] = Event{Item: Item{Key: key, Revision: snapshot.Revision}, Deleted: true}
			}
		}
	}
	r.known = newTable(slices.Collect(maps.Values(known)))
}

// forgetDeleted drops deleted items. Those that know less than this process have to be told everything. The mutex is held.
func (r *Replica) forgetDeleted() { r.completeFrom = max(r.after, r.known.forgetDeleted()) }

// knownSince notes that all changes up to a moment are known, and returns the latest such moment.
func (r *Replica) knownSince(moment time.Time) time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if moment.After(r.knownAt) {
		r.knownAt = moment
	}
	return r.knownAt
}

// fresh notes events and drops those that the list has told already: pages of a list are read at different revisions.
func (r *Replica) fresh(events []Event, at Revision) []Event {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.behind(at) {
		return nil
	}
	r.after = max(at, r.after)
	var fresh []Event
	for _, event := range events {
		before := r.known.get(event.Key)
		isOthers := r.isSharded(event.Key) && !inShard(event.Key, r.settings.Seat, r.shards)
		if event.Revision <= before.Revision || isOthers {
			continue
		}
		r.countSharded(before, event)
		r.known.put(event)
		fresh = append(fresh, event)
	}
	if len(fresh) > 0 {
		r.wake()
	}
	return fresh
}

// countSharded keeps count of the items that are divided and there. The mutex is held.
func (r *Replica) countSharded(before, after Event) {
	if !r.isSharded(after.Key) {
		return
	}
	if before.Key != "" && !before.Deleted {
		r.sharded--
	}
	if !after.Deleted {
		r.sharded++
	}
}
