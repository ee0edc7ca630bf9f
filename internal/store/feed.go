package store

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/boottime"
)

// Changes is the response of an entry to a request for changes.
type Changes struct {
	// Full reports that Changed contains all items, because the sender does not know all changes after the requested
	// revision.
	Full bool `json:"full,omitempty"`
	// Changed holds the latest change of each changed item, ordered by revision.
	Changed []Event `json:"changed,omitempty"`
	// Revision is the revision up to which the changes are complete.
	Revision Revision `json:"revision"`
	// Era is the era of all revisions, which are encoded without one; nil if the sender does not support eras.
	Era *int64 `json:"era,omitempty"`
	// StoreUnavailable reports that the sender's calls to the store fail.
	StoreUnavailable bool `json:"storeLost,omitempty"`
	// GapStart and GapEnd delimit, both exclusive, the revisions whose changes the sender knows only from a list. Changed
	// then starts at the latest after GapStart. The receiver must delete its items that were last changed in the gap and
	// that Changed lacks.
	GapStart Revision `json:"after,omitempty"`
	GapEnd   Revision `json:"until,omitempty"`
	// Shards is the number of shards that the sharded items are divided into; the changes contain those of one shard.
	// FullShard reports that all items of that shard are included, since the receiver requested another number.
	Shards    int  `json:"shards,omitempty"`
	FullShard bool `json:"whole,omitempty"`
	// Deferrable reports that all changes are new worker records or registrations, which may be sent late.
	Deferrable bool `json:"-"`
	// StoreSilence is the time in milliseconds since the store last answered a call of the sender; nil if it never did
	// or the sender does not report it. A sender that was partitioned from the store only notices when a call times
	// out.
	StoreSilence *int64 `json:"unansweredMs,omitempty"`
	// Age is the time in milliseconds from the moment up to which the sender knows all changes until it received the
	// request, negative if it learned of changes since; nil if there is no such moment or the sender does not report it.
	Age *int64 `json:"ageMs,omitempty"`
	// Entries names the gateways to which the sender directs callers.
	Entries []string `json:"entries"`
	// Live names the entries that the sender received heartbeats from.
	Live []string `json:"sound"`
}

// ChangesRequest requests changes from an entry.
type ChangesRequest struct {
	// After is the revision up to which the requester knows all changes.
	After Revision
	// EraUnknown reports that the requester does not support eras. After is then taken to be of the responder's era.
	EraUnknown bool
	// Wait is how long the response may be delayed until there is a change.
	Wait time.Duration
	// Shards is the number of shards by which the requester divides the sharded items; it holds the shard that ShardHash
	// selects. Zero means that it holds no sharded items, and only the other items up to the key ListedThrough.
	Shards        int
	ShardHash     uint64
	ListedThrough string
	// AllShards requests the items of all shards.
	AllShards bool
	// Upstream is the name of the gateway to query; empty means any.
	Upstream string
	// ReceivedAt is when the responder received the request, by boottime; zero means now.
	ReceivedAt time.Time
}

// Feed provides changes of the store from other processes.
type Feed interface {
	// Next returns the changes as soon as there are any, or after the wait. It returns ErrNoUpstream if no entry is
	// reachable.
	Next(ctx context.Context, request ChangesRequest) (Changes, error)
}

// ErrNoUpstream is returned by a feed when no upstream provided changes. An upstream is an entry that other gateways get
// changes from.
var ErrNoUpstream = errors.New("request changes from other gateways: no gateway that follows the store answered")

// errUpstreamStoreUnavailable is passed to the consumer when the upstream cannot reach the store.
var errUpstreamStoreUnavailable = errors.New("request changes from other gateways: the upstream cannot reach the store")

// Wait times of a replica that follows a feed.
const (
	// feedPollWait is the wait of a request to a feed. It bounds the time to notice a failed upstream. It is shorter than
	// the heartbeat timeout of gateways: each response lists the live entries, and a standby gateway replaces entries
	// that are not reported live in time.
	feedPollWait = 700 * time.Millisecond
	// standbyWatchWait is the wait of a watch by a standby process whose feed has not answered for feedTimeout, and so the
	// time until it retries the feed.
	standbyWatchWait = 2 * time.Second
	// feedPollFraction limits the wait of a request to a fraction of the propagation bound: the time up to which all changes
	// are known advances only with the response.
	feedPollFraction = 0.2
	// probeWatchWait is the wait of a watch by a standby process whose feed answered recently, which only checks
	// whether the store serves it.
	probeWatchWait = 300 * time.Millisecond
)

// SetFeed sets the feed to follow while this process is standby or the store is unavailable. It must be called before
// Run.
func (r *Replica) SetFeed(feed Feed) { r.feed = feed }

// feedWait returns the wait of a request to the feed.
func (r *Replica) feedWait() time.Duration {
	if bound := r.propagationBound.Load(); bound > 0 {
		return min(feedPollWait, time.Duration(feedPollFraction*float64(bound)))
	}
	return feedPollWait
}

// pollFeed requests the next changes from the feed and applies them. It keeps MinFeedInterval between requests.
func (r *Replica) pollFeed(ctx context.Context, wait time.Duration) error {
	sleep(ctx, time.Until(r.lastFeedPoll.Add(r.settings.MinFeedInterval)))
	started := boottime.Now()
	changes, err := r.feed.Next(ctx, r.newRequest(wait))
	r.lastFeedPoll = time.Now()
	if err != nil {
		return err
	}
	if !r.applyChanges(started, changes) {
		return ErrNoUpstream
	}
	return nil
}

// newRequest returns a request for the changes after the current revision.
func (r *Replica) newRequest(wait time.Duration) ChangesRequest {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return ChangesRequest{After: r.revision, Wait: wait, Shards: r.shardCount, ShardHash: r.settings.ShardHash, ListedThrough: r.listedThrough, AllShards: !r.standby.Load()}
}

// applyChanges applies the response to a request that was sent at started. It returns false if the response is of an
// earlier era.
func (r *Replica) applyChanges(started time.Time, changes Changes) bool {
	if r.isOutdated(changes.Revision) {
		return false
	}
	r.feedAnsweredAt = boottime.Now()
	if changes.StoreUnavailable {
		r.consumer.StoreUnavailable(errUpstreamStoreUnavailable)
	}
	if changes.Full || changes.FullShard {
		r.replace(r.snapshotOf(changes))
	} else if newer := r.recordNewer(slices.Concat(r.deletedInGap(changes), changes.Changed), changes.Revision); len(newer) > 0 {
		r.consumer.Apply(newer)
	}
	if !changes.StoreUnavailable {
		// The upstream sent all changes after the local revision, so a failed watch requires no list.
		r.mustList = false
		r.consumer.UpToDate(r.advanceCurrentAsOf(changes.currentAsOf(started)))
	}
	return true
}

// deletedInGap returns deletions of the items that were last changed within the gap of the upstream and are not among
// its changes.
func (r *Replica) deletedInGap(changes Changes) []Event {
	if changes.GapEnd == 0 {
		return nil
	}
	received := make(map[string]bool, len(changes.Changed))
	for _, change := range changes.Changed {
		received[change.Key] = true
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var deletions []Event
	for event := range r.table.after(changes.GapStart) {
		if event.Revision < changes.GapEnd && !event.Deleted && !received[event.Key] {
			deletions = append(deletions, Event{Item: Item{Key: event.Key, Revision: changes.GapEnd}, Deleted: true})
		}
	}
	return deletions
}

// queryLister requests the changes that the store no longer holds from the lister: the entry that lists the store on
// behalf of all, since listing the items of a large fleet takes dozens of calls. It does nothing for standby processes,
// which have their own upstreams and would overload the lister. It reports whether the changes were applied.
func (r *Replica) queryLister(ctx context.Context) bool {
	if r.feed == nil || r.lister == nil || r.standby.Load() {
		return false
	}
	lister, isOwn := r.lister()
	if isOwn || lister == "" {
		return false
	}
	request := r.newRequest(listerWait)
	request.Upstream = lister
	started := boottime.Now()
	changes, err := r.feed.Next(ctx, request)
	if err != nil || changes.StoreUnavailable || changes.Revision <= request.After {
		return false
	}
	return r.applyChanges(started, changes)
}

// listerWait is how long to wait for the lister, whose list may take dozens of calls of a few milliseconds each.
const listerWait = time.Second

// SetLister sets a function that returns the name of the process that lists the store on behalf of all that watch it,
// and whether it is this one. It must be called before Run.
func (r *Replica) SetLister(lister func() (name string, isOwn bool)) { r.lister = lister }

// currentAsOf returns the time up to which all changes are known, given when their request was sent; zero if unknown. The
// request was received after that, so the result is never too late.
func (c Changes) currentAsOf(started time.Time) time.Time {
	if c.Age == nil {
		return time.Time{}
	}
	return started.Add(-time.Duration(*c.Age) * time.Millisecond)
}

// snapshotOf converts full changes, or the full changes of a shard together with the unsharded items already known,
// into a snapshot.
func (r *Replica) snapshotOf(changes Changes) Snapshot {
	snapshot := Snapshot{Revision: changes.Revision, Shards: changes.Shards}
	latest := map[string]Event{}
	if !changes.Full {
		r.mutex.Lock()
		for key, event := range r.table.latest {
			if !r.isSharded(key) {
				latest[key] = event
			}
		}
		r.mutex.Unlock()
	}
	for _, change := range changes.Changed {
		if change.Revision >= latest[change.Key].Revision {
			latest[change.Key] = change
		}
	}
	for _, event := range latest {
		if !event.Deleted {
			snapshot.Items = append(snapshot.Items, event.Item)
		}
	}
	return snapshot
}

// Changes returns the changes that the requester lacks. It returns false if this process is standby, the replica does not
// hold all items, or the request is of a later era.
func (r *Replica) Changes(request ChangesRequest) (Changes, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if request.EraUnknown {
		request.After = request.After.withEra(r.revision.Era())
	}
	if r.table == nil || r.standby.Load() || r.shardCount != 1 || request.After.Era() > r.revision.Era() {
		return Changes{}, false
	}
	changes := Changes{Revision: r.revision, Era: eraPointer(r.revision), Full: request.After < r.historyStart, StoreUnavailable: r.storeUnavailable, Shards: 1}
	if !request.AllShards {
		changes.Shards = shardsFor(r.shardedItems, request.Shards)
	}
	changes.FullShard = changes.Shards != request.Shards
	now := boottime.Now()
	if request.ReceivedAt.IsZero() {
		request.ReceivedAt = now
	}
	changes.Age, changes.StoreSilence = millisecondsSince(r.currentAsOf, request.ReceivedAt), millisecondsSince(r.storeAnsweredAt, now)
	if changes.Full || changes.FullShard {
		changes.Changed = r.fullChanges(request, changes)
		return changes, true
	}
	changes.Deferrable = true
	if request.After < r.gapEnd {
		// A requester may hold items from within the gap although its revision is before it: full changes from a less
		// current upstream lower its revision.
		changes.GapStart, changes.GapEnd = r.gapStart, r.gapEnd
	}
	if request.After > r.gapStart && request.After < r.gapEnd {
		changes.Deferrable = false
		request.After = r.gapStart
	}
	for event := range r.table.after(request.After) {
		if !r.isSharded(event.Key) || inShard(event.Key, request.ShardHash, changes.Shards) {
			changes.Changed = append(changes.Changed, event)
			changes.Deferrable = changes.Deferrable && r.mayReachStandbysLate(event)
		}
	}
	return changes, true
}

// mayReachStandbysLate reports whether an event may be sent to standby gateways late: the first change of a worker record
// or of a key that Deferrable selects. The caller holds the mutex.
func (r *Replica) mayReachStandbysLate(event Event) bool {
	isEligible := r.isSharded(event.Key) || (r.settings.Deferrable != nil && r.settings.Deferrable(event.Key))
	return isEligible && !event.Deleted && r.table.isFirstChange(event.Key)
}

// fullChanges returns the events of a response with Full or FullShard set. The caller holds the mutex.
func (r *Replica) fullChanges(request ChangesRequest, changes Changes) []Event {
	var events []Event
	for event := range r.table.after(0) {
		isSharded := r.isSharded(event.Key)
		isNew := changes.Full || event.Revision > request.After || (request.Shards == 0 && event.Key > request.ListedThrough)
		switch {
		case isSharded && !event.Deleted && inShard(event.Key, request.ShardHash, changes.Shards):
			events = append(events, event)
		case !isSharded && isNew && !(changes.Full && event.Deleted):
			events = append(events, event)
		}
	}
	return events
}

// millisecondsSince returns the time since start, rounded up so that ages are never understated; nil for the zero time. It
// is negative if start is later than now.
func millisecondsSince(start, now time.Time) *int64 {
	if start.IsZero() {
		return nil
	}
	elapsed := now.Sub(start).Milliseconds() + 1
	return &elapsed
}

// Changed returns a channel that is closed at the next change.
func (r *Replica) Changed() <-chan struct{} {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.changed
}

// NotifyWaiters notifies those waiting on Changed, because other data that they send has changed.
func (r *Replica) NotifyWaiters() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.notifyWaiters()
}

// notifyWaiters closes the channel returned by Changed. The caller holds the mutex.
func (r *Replica) notifyWaiters() {
	close(r.changed)
	r.changed = make(chan struct{})
}
