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
	if r.table == nil {
		return Snapshot{}, false
	}
	return Snapshot{Revision: r.revision, Era: eraPointer(r.revision), Items: r.table.present(), Shards: r.shardCount}, true
}

// introduce tells the consumer the items that are not divided into shards, before the others are listed, and returns the last key of them.
func (r *Replica) applyUnsharded(items []Item) string {
	unsharded := r.unshardedItems(items)
	events := make([]Event, len(unsharded))
	for i, item := range unsharded {
		events[i] = Event{Item: item}
	}
	r.consumer.Apply(events)
	if len(unsharded) == 0 {
		return items[0].Key
	}
	return unsharded[len(unsharded)-1].Key
}

// undivided returns the items that are not divided into shards.
func (r *Replica) unshardedItems(items []Item) []Item {
	return slices.DeleteFunc(slices.Clone(items), func(item Item) bool { return r.isSharded(item.Key) })
}

// isSharded tells whether a key is divided into shards.
func (r *Replica) isSharded(key string) bool {
	return r.settings.Sharded != nil && r.settings.Sharded(key)
}

// begin takes the items that were listed up to a key, without any that are divided.
func (r *Replica) startWithoutShard(items []Item, revision Revision, listedThrough string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.table, r.revision, r.historyStart = newTable(eventsOf(items)), revision, revision
	r.shardCount, r.shardedItems, r.listedThrough, r.shardWaitStart = 0, 0, listedThrough, boottime.Now()
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
const maxTombstones = 16 << 10

// replace takes a snapshot in place of what was known and tells it to the consumer. What is known of a later revision stays: a
// snapshot may be some seconds old, and nothing goes back.
func (r *Replica) replace(snapshot Snapshot) {
	snapshot.Shards = max(snapshot.Shards, 1)
	r.mutex.Lock()
	if r.isFromEarlierEra(snapshot.Revision) {
		r.mutex.Unlock()
		return
	}
	isRestored := r.isFromLaterEra(snapshot)
	if isRestored {
		r.adoptEra(snapshot)
	} else if snapshot.Shards != 1 || (r.table != nil && r.shardCount != 1) {
		r.replaceShard(snapshot)
	} else {
		r.merge(snapshot)
	}
	r.revision, r.shardCount = snapshot.Revision, snapshot.Shards
	if r.table.tombstones > maxTombstones {
		r.dropDeleted()
	}
	items := r.table.present()
	r.shardedItems = 0
	for _, item := range items {
		if r.isSharded(item.Key) {
			r.shardedItems++
		}
	}
	r.notifyWaiters()
	r.mutex.Unlock()
	if isRestored {
		r.consumer.Restored(snapshot.Revision.Era())
	}
	r.consumer.Reset(items)
}

// restart takes a snapshot for what was known of another number of shards. It forgets what came and went before. The mutex is held.
func (r *Replica) replaceShard(snapshot Snapshot) {
	events := eventsOf(snapshot.Items)
	if r.table != nil {
		listed := make(map[string]Revision, len(events))
		for _, event := range events {
			listed[event.Key] = event.Revision
		}
		for event := range r.table.after(snapshot.Revision) {
			isOwn := !r.isSharded(event.Key) || inShard(event.Key, r.settings.Seat, snapshot.Shards)
			if isOwn && event.Revision > listed[event.Key] {
				events = append(events, event)
			}
		}
	}
	r.table, r.historyStart = newTable(events), snapshot.Revision
	r.gapStart, r.gapEnd = 0, 0
}

// merge takes a snapshot of everything, and remembers what was known before and is gone. The mutex is held.
func (r *Replica) merge(snapshot Snapshot) {
	merged := make(map[string]Event, len(snapshot.Items))
	for _, item := range snapshot.Items {
		merged[item.Key] = Event{Item: item}
	}
	switch {
	case r.table == nil:
		r.historyStart = snapshot.Revision
	case snapshot.Revision > r.revision && r.gapEnd == 0:
		r.gapStart, r.gapEnd = r.revision, snapshot.Revision
	case snapshot.Revision > r.revision:
		r.gapEnd = max(r.gapEnd, snapshot.Revision)
	}
	if r.table != nil {
		for key, event := range r.table.latest {
			listed, found := merged[key]
			switch {
			case event.Revision > snapshot.Revision && event.Revision > listed.Revision:
				merged[key] = event
			case !found && event.Deleted:
				merged[key] = event
			case !found:
				merged[key] = Event{Item: Item{Key: key, Revision: snapshot.Revision}, Deleted: true}
			}
		}
	}
	r.table = newTable(slices.Collect(maps.Values(merged)))
}

// forgetDeleted drops deleted items. Those that know less than this process have to be told everything. The mutex is held.
func (r *Replica) dropDeleted() { r.historyStart = max(r.revision, r.table.dropTombstones()) }

// knownSince notes that all changes up to a moment are known, and returns the latest such moment.
func (r *Replica) advanceCurrentAsOf(moment time.Time) time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if moment.After(r.currentAsOf) {
		r.currentAsOf = moment
	}
	return r.currentAsOf
}

// fresh notes events and drops those that the list has told already: pages of a list are read at different revisions.
func (r *Replica) recordNewer(events []Event, revision Revision) []Event {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.isFromEarlierEra(revision) {
		return nil
	}
	r.revision = max(revision, r.revision)
	var newer []Event
	for _, event := range events {
		previous := r.table.get(event.Key)
		inOtherShard := r.isSharded(event.Key) && !inShard(event.Key, r.settings.Seat, r.shardCount)
		if event.Revision <= previous.Revision || inOtherShard {
			continue
		}
		r.updateShardedCount(previous, event)
		r.table.put(event)
		newer = append(newer, event)
	}
	if len(newer) > 0 {
		r.notifyWaiters()
	}
	return newer
}

// countSharded keeps count of the items that are divided and there. The mutex is held.
func (r *Replica) updateShardedCount(previous, current Event) {
	if !r.isSharded(current.Key) {
		return
	}
	if previous.Key != "" && !previous.Deleted {
		r.shardedItems--
	}
	if !current.Deleted {
		r.shardedItems++
	}
}
