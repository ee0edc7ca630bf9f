package store

import (
	"maps"
	"slices"
	"time"

	"github.com/granitebay/granitebay/internal/boottime"
)

// Snapshot holds the items of a replica at a revision.
type Snapshot struct {
	Items    []Item   `json:"items"`
	Revision Revision `json:"revision"`
	// Era is the era of all revisions, which are encoded without one; nil if the sender does not support eras.
	Era *int64 `json:"era,omitempty"`
	// Shards is the number of shards that sharded items are divided into, of which the snapshot holds one. One means that it
	// holds all items, and so does zero in a snapshot that was received.
	Shards int `json:"shards,omitempty"`
}

// Snapshot returns the current items, or false before the first list. It is safe for concurrent use.
func (r *Replica) Snapshot() (Snapshot, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.table == nil {
		return Snapshot{}, false
	}
	return Snapshot{Revision: r.revision, Era: eraPointer(r.revision), Items: r.table.present(), Shards: r.shardCount}, true
}

// applyUnsharded passes the unsharded items of a partial list to the consumer and returns the key up to which these
// are complete.
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

// unshardedItems returns the items that are not sharded.
func (r *Replica) unshardedItems(items []Item) []Item {
	return slices.DeleteFunc(slices.Clone(items), func(item Item) bool { return r.isSharded(item.Key) })
}

// isSharded reports whether an item is assigned to a shard.
func (r *Replica) isSharded(key string) bool {
	return r.settings.Sharded != nil && r.settings.Sharded(key)
}

// startWithoutShard initializes the replica with the unsharded items of a list that ended at the key listedThrough.
func (r *Replica) startWithoutShard(items []Item, revision Revision, listedThrough string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.table, r.revision, r.historyStart = newTable(eventsOf(items)), revision, revision
	r.shardCount, r.shardedItems, r.listedThrough, r.shardWaitStart = 0, 0, listedThrough, boottime.Now()
}

// eventsOf converts items to events.
func eventsOf(items []Item) []Event {
	events := make([]Event, len(items))
	for i, item := range items {
		events[i] = Event{Item: item}
	}
	return events
}

// maxTombstones bounds the tombstones of deleted items, which are kept so that standby gateways can be told of deletions.
const maxTombstones = 16 << 10

// replace merges a snapshot into the replica and resets the consumer. Items with later revisions are kept, as a
// snapshot may be a few seconds old. It does nothing and returns false if the snapshot is of an earlier era.
func (r *Replica) replace(snapshot Snapshot) bool {
	snapshot.Shards = max(snapshot.Shards, 1)
	r.mutex.Lock()
	if r.isFromEarlierEra(snapshot.Revision) {
		r.mutex.Unlock()
		return false
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
		r.dropTombstones()
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
	return true
}

// replaceShard replaces the items with a snapshot if that or the replica holds a shard, and discards tombstones. The
// caller holds the mutex.
func (r *Replica) replaceShard(snapshot Snapshot) {
	events := eventsOf(snapshot.Items)
	if r.table != nil {
		listed := make(map[string]Revision, len(events))
		for _, event := range events {
			listed[event.Key] = event.Revision
		}
		for event := range r.table.after(snapshot.Revision) {
			isOwn := !r.isSharded(event.Key) || inShard(event.Key, r.settings.ShardHash, snapshot.Shards)
			if isOwn && event.Revision > listed[event.Key] {
				events = append(events, event)
			}
		}
	}
	r.table, r.historyStart = newTable(events), snapshot.Revision
	r.gapStart, r.gapEnd = 0, 0
}

// merge merges a snapshot of all items and adds tombstones for items that it lacks. The caller holds the mutex.
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

// dropTombstones drops all tombstones. Requests from earlier revisions then get full changes. The caller holds the mutex.
func (r *Replica) dropTombstones() { r.historyStart = max(r.revision, r.table.dropTombstones()) }

// advanceCurrentAsOf records that all changes up to asOf are known, and returns the latest such time.
func (r *Replica) advanceCurrentAsOf(asOf time.Time) time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if asOf.After(r.currentAsOf) {
		r.currentAsOf = asOf
	}
	return r.currentAsOf
}

// recordNewer stores the events that are newer than the known items and returns them. An event may be older than the
// known item, as later pages of a list are read at later revisions.
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
		inOtherShard := r.isSharded(event.Key) && !inShard(event.Key, r.settings.ShardHash, r.shardCount)
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

// updateShardedCount updates the number of sharded items after a change. The caller holds the mutex.
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
