package store

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/boottime"
)

// Changes are what a process that follows the store tells one that does not.
type Changes struct {
	// Full is set when the changes are all items there are, because the teller does not know what happened since the revision.
	Full bool `json:"full,omitempty"`
	// Changed items, each with its latest change, in the order of the changes.
	Changed []Event `json:"changed,omitempty"`
	// Revision up to which everything is told.
	Revision Revision `json:"revision"`
	// Era is that of all revisions, which are told without it; nil when the teller does not say.
	Era *int64 `json:"era,omitempty"`
	// StoreLost is set while the teller can't reach the store itself.
	StoreUnavailable bool `json:"storeLost,omitempty"`
	// After and Until are set when lists of the teller may have hidden items that came and went between these revisions: the changes are all
	// after the first one, and what the one that asks knows of a revision between both and is not told is gone.
	GapStart Revision `json:"after,omitempty"`
	GapEnd   Revision `json:"until,omitempty"`
	// Shards is of how many shards the items that are divided are those of one, and Whole is set when all of that shard are told, because
	// the one that asked held another.
	Shards    int  `json:"shards,omitempty"`
	FullShard bool `json:"whole,omitempty"`
	// Unhurried is set when all that has changed may be told late: nobody waits for records and registrations that were not there before.
	Deferrable bool `json:"-"`
	// Unanswered is for how long the store has answered no call of the teller, in milliseconds; nil when it never did or does not say. A
	// teller that was cut off finds out only when a call has run into its time-out.
	StoreSilence *int64 `json:"unansweredMs,omitempty"`
	// Age is how long ago the teller knew all changes for sure, in milliseconds; nil when it never did or does not say.
	Age *int64 `json:"ageMs,omitempty"`
	// Entries are the names of the gateways to which the teller sends callers.
	Entries []string `json:"entries"`
	// Sound are those among them that the teller has heard.
	Live []string `json:"sound"`
}

// Question is what a process asks a feed.
type ChangesRequest struct {
	// After is the revision up to which everything is known.
	After Revision
	// AnyEra is set when the one that asks does not say of which era that is: then it is that of the one that answers.
	EraUnknown bool
	// Wait is how long an answer may be held until there is something to tell.
	Wait time.Duration
	// Shards is of how many shards the one of the Seat is known; zero is none, and then only the keys up to Upto are known of the rest.
	Shards        int
	ShardHash     uint64
	ListedThrough string
	// All is set when all shards are wanted.
	AllShards bool
	// Teller is the name of the process that is to be asked; empty is any.
	Upstream string
}

// Feed tells what other processes know of the store.
type Feed interface {
	// Next returns what has changed as soon as there is something, or after the wait. ErrNobody means that no process that can be asked
	// follows the store.
	Next(ctx context.Context, request ChangesRequest) (Changes, error)
}

// ErrNobody is returned by a feed when nobody tells anything.
var ErrNoUpstream = errors.New("step follow other gateways: nobody that follows the store answered")

// errToldLost is what the consumer is told when the teller has lost the store.
var errUpstreamLostStore = errors.New("step follow other gateways: they have lost the store")

// Waits of a replica that follows a feed.
const (
	// feedWait bounds one question, so that a teller that dies or freezes is noticed within a second and a half; a third of the
	// least bound within which configurations are in force. It is shorter than the silence after which a gateway is suspected: each
	// answer tells those that stand by who was heard, and without it they take the places of those that take requests.
	feedPollWait = 700 * time.Millisecond
	// directWait bounds a watch of the store by a process that would rather follow a feed, and so the time until it asks again.
	standbyWatchWait = 2 * time.Second
	// tryWait bounds a watch of the store by one that was told something of late, and only finds out whether the store serves it.
	probeWatchWait = 300 * time.Millisecond
)

// SetFeed makes the replica learn from other processes while it is calm, and while the store does not answer. It is called before
// Run.
func (r *Replica) SetFeed(feed Feed) { r.feed = feed }

// follow takes the next changes from the feed.
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

// question asks for what came after what is known.
func (r *Replica) newRequest(wait time.Duration) ChangesRequest {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return ChangesRequest{After: r.revision, Wait: wait, Shards: r.shardCount, ShardHash: r.settings.Seat, ListedThrough: r.listedThrough, AllShards: !r.standby.Load()}
}

// take takes what a feed told, to a question that was begun at a moment. It tells whether that was of the era that is known, or a later one.
func (r *Replica) applyChanges(started time.Time, changes Changes) bool {
	r.mutex.Lock()
	outdated := r.isFromEarlierEra(changes.Revision)
	r.mutex.Unlock()
	if outdated {
		return false
	}
	r.feedAnsweredAt = boottime.Now()
	if changes.StoreUnavailable {
		r.consumer.Lost(errUpstreamLostStore)
	}
	if changes.Full || changes.FullShard {
		r.replace(r.snapshotOf(changes))
	} else if newer := r.recordNewer(slices.Concat(r.deletedInGap(changes), changes.Changed), changes.Revision); len(newer) > 0 {
		r.consumer.Apply(newer)
	}
	if !changes.StoreUnavailable {
		// The teller has told all that came after what was known here, whatever an own watch has missed.
		r.mustList = false
		r.consumer.Current(r.advanceCurrentAsOf(changes.currentAsOf(started)))
	}
	return true
}

// hidden returns the ends of items that are known here and went without being seen by the teller.
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

// learnInstead takes from another process what a list would tell, after the store has forgotten the changes that come next. Of all that watch
// the store one lists it, and the others learn from that one: a list of a large fleet is dozens of calls. It tells whether that went well.
func (r *Replica) queryLister(ctx context.Context) bool {
	if r.feed == nil || r.lister == nil || r.standby.Load() {
		// One that is calm has its own tellers: hundreds of questions at once are more than the one that lists can answer.
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

// listWait is how long the one that lists the store for others is waited for: dozens of calls of some milliseconds.
const listerWait = time.Second

// SetLister tells which process lists the store for all that watch it, by its name, and whether it is this one. It is called before Run.
func (r *Replica) SetLister(lister func() (name string, isOwn bool)) { r.lister = lister }

// knownAt returns the moment up to which the changes are all for sure, for a question that was begun at another one: the teller said its
// age later. It is zero when that is not known.
func (c Changes) currentAsOf(started time.Time) time.Time {
	if c.Age == nil {
		return time.Time{}
	}
	return started.Add(-time.Duration(*c.Age) * time.Millisecond)
}

// told returns the items that there are after changes that tell everything, or everything of a shard.
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

// Changes returns what the replica knows that the one that asks does not, or false when it does not follow the store, or does not know all
// of it, and so must not be learnt from.
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
	changes.Age, changes.StoreSilence = millisecondsSince(r.currentAsOf, now), millisecondsSince(r.storeAnsweredAt, now)
	if changes.Full || changes.FullShard {
		changes.Changed = r.fullChanges(request, changes)
		return changes, true
	}
	changes.Deferrable = true
	if request.After < r.gapEnd {
		// Also one that asks from before the gap may hold what came within: it was told by another one, and what it asks from went back
		// when it took the whole of one that knew less.
		changes.GapStart, changes.GapEnd = r.gapStart, r.gapEnd
	}
	if request.After > r.gapStart && request.After < r.gapEnd {
		changes.Deferrable = false
		request.After = r.gapStart
	}
	for event := range r.table.after(request.After) {
		if !r.isSharded(event.Key) || inShard(event.Key, request.ShardHash, changes.Shards) {
			changes.Changed = append(changes.Changed, event)
			changes.Deferrable = changes.Deferrable && r.isDeferrableForStandbys(event)
		}
	}
	return changes, true
}

// mayBeLate tells whether nobody waits for a change: it is the first of its item, which is a record of a worker or an unhurried one. The
// mutex is held.
func (r *Replica) isDeferrableForStandbys(event Event) bool {
	isEligible := r.isSharded(event.Key) || (r.settings.Unhurried != nil && r.settings.Unhurried(event.Key))
	return isEligible && !event.Deleted && r.table.isFirstChange(event.Key)
}

// wholeFor returns the changes for one that is told everything, or everything of a shard. The mutex is held.
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

// millisecondsSince returns the time since a moment, rounded up, so that nothing is said to be younger than it is; nil for the zero moment.
func millisecondsSince(moment, now time.Time) *int64 {
	if moment.IsZero() {
		return nil
	}
	elapsed := now.Sub(moment).Milliseconds() + 1
	return &elapsed
}

// Changed returns a channel that is closed when the replica takes the next changes.
func (r *Replica) Changed() <-chan struct{} {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.changed
}

// Wake makes those that wait for changes look again, because something else has changed that they are told.
func (r *Replica) Wake() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.notifyWaiters()
}

// wake is Wake with the mutex held.
func (r *Replica) notifyWaiters() {
	close(r.changed)
	r.changed = make(chan struct{})
}
