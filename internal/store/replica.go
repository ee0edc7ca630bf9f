package store

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/boottime"
)

// ReplicaSettings configures a Replica.
type ReplicaSettings struct {
	// Wait is how long a watch waits for changes.
	Wait time.Duration
	// BatchPause is the pause after changes, so that later ones are read in batches.
	BatchPause time.Duration
	// Deferrable reports whether changes of a key may be delayed. Nil means none.
	Deferrable func(key string) bool
	// DeferrablePausePerReader, multiplied by the reader count (see SetReaderCount), is the pause after changes that are
	// all deferrable. MaxDeferrablePause limits it.
	DeferrablePausePerReader time.Duration
	MaxDeferrablePause       time.Duration
	// MinRetryPause and MaxRetryPause bound the pause after a failed call, which doubles each time and is jittered.
	MinRetryPause time.Duration
	MaxRetryPause time.Duration
	// Sharded reports whether a key is sharded. Standby processes hold only one shard of these. Nil means none.
	Sharded func(key string) bool
	// ShardHash is a hash of the process's identity that selects its shard for any number of shards.
	ShardHash uint64
	// MinFeedInterval is the minimum time between requests to the feed. It batches changes and limits the requests when
	// a fleet of hundreds of gateways starts.
	MinFeedInterval time.Duration
}

// DefaultReplicaSettings returns settings that keep the number of calls low and recover within a second after an
// outage.
func DefaultReplicaSettings() ReplicaSettings {
	return ReplicaSettings{
		Wait:          20 * time.Second,
		BatchPause:    40 * time.Millisecond,
		MinRetryPause: 100 * time.Millisecond,
		MaxRetryPause: 600 * time.Millisecond,

		DeferrablePausePerReader: 10 * time.Millisecond,
		MaxDeferrablePause:       time.Second,

		MinFeedInterval: 200 * time.Millisecond,
	}
}

// Consumer receives the items of a replica. Its methods are called from a single goroutine.
type Consumer interface {
	// Reset replaces all items.
	Reset(items []Item)
	// Restored reports that the store was restored from a backup, with its new era. A Reset with its items follows;
	// changes that these lack are lost.
	Restored(era int64)
	// Apply passes changes in the order of their revisions.
	Apply(events []Event)
	// StoreUnavailable reports that the store failed; the items may be out of date from now on.
	StoreUnavailable(err error)
	// UpToDate reports that all changes that the store sent have been passed on. asOf is the time, by boottime, up to
	// which all changes are known even if responses were delayed; zero while unknown. It may be long ago: a stale list, for
	// example, does not advance it.
	UpToDate(asOf time.Time)
}

// Replica keeps a consumer up to date with the items below a prefix. It lists them once, then watches them, and lists
// them again when the history was compacted.
type Replica struct {
	store        Store
	prefix       string
	settings     ReplicaSettings
	consumer     Consumer
	restartWatch chan struct{}
	fallback     Fallback
	// feed provides changes from other processes; may be nil.
	feed Feed
	// lister returns the name of the lister, and whether it is this process; nil if each process lists the store itself.
	lister func() (name string, isOwn bool)
	// lastFeedPoll is when the last request to the feed ended.
	lastFeedPoll time.Time

	// readers is the reader count; see SetReaderCount. standby is set while this process may receive changes late.
	readers atomic.Int64
	standby atomic.Bool
	// maxStaleness bounds how old currentAsOf may become while the store answers; zero means unbounded.
	maxStaleness atomic.Int64
	// propagationBound is the time within which all processes must know a change; zero means unbounded.
	propagationBound atomic.Int64
	// shortenNextWatch makes the next watch use the minimum wait.
	shortenNextWatch atomic.Bool

	// mutex guards the fields below. Only the goroutine of Run writes them, except changed and storeAnsweredAt, which any
	// goroutine may write. That goroutine may read its own fields without the mutex. It uses feedAnsweredAt, listedStale and
	// mustList, which no other goroutine reads, always without it.
	mutex sync.Mutex
	// table holds the items that the consumer has, and tombstones of deleted ones; nil before the first list.
	table    *table
	revision Revision
	// shardCount is the number of shards of which this process holds its own: one means all items, zero means no
	// sharded items. With zero, listedThrough is the last key of the partial list of the other items.
	shardCount    int
	listedThrough string
	// shardWaitStart is when this process began to wait for its shard, and feedAnsweredAt when the feed last answered.
	shardWaitStart, feedAnsweredAt time.Time
	// shardedItems is the number of sharded items, without tombstones.
	shardedItems int
	// historyStart is the revision after which the table contains all changes, including deletions.
	historyStart Revision
	// Between gapStart and gapEnd, both exclusive, items may have been created and deleted without appearing in a list.
	gapStart, gapEnd Revision
	// changed is closed at the next change.
	changed chan struct{}
	// currentAsOf is the time, by boottime, up to which all changes are known; zero if unknown.
	currentAsOf time.Time
	// storeAnsweredAt is when the store last answered a call of this process, by boottime; zero if never.
	storeAnsweredAt time.Time
	// storeUnavailable is set while calls to the store fail.
	storeUnavailable bool
	// listedStale is set if the last list was stale, so that it may be older than what the history has left.
	listedStale bool
	// mustList is set after a failed watch, as the store may have discarded changes that the watch did not receive and
	// a new watch would not return them.
	mustList bool
}

// Fallback fetches the items of another process, for a start while the store is unavailable.
type Fallback func(ctx context.Context) (Snapshot, error)

// NewReplica returns a replica that is idle until Run is called.
func NewReplica(store Store, prefix string, settings ReplicaSettings, consumer Consumer, fallback Fallback) *Replica {
	return &Replica{
		store: store, prefix: prefix, settings: settings, consumer: consumer, restartWatch: make(chan struct{}, 1), fallback: fallback,
		changed: make(chan struct{}),
	}
}

// RecordStoreResponse records that the store responded to a call of this process, of the replica or another component.
func (r *Replica) RecordStoreResponse() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.storeAnsweredAt = boottime.Now()
}

// SetReaderCount sets the reader count: the number of processes that may watch the store at the same time. It includes the
// standby processes, which usually follow a feed but watch the store while no feed answers. The more readers there are, the
// longer each batches changes and waits after failures, which limits the load on the store.
func (r *Replica) SetReaderCount(count int) { r.readers.Store(int64(count)) }

// SetStandby sets whether this process is standby and may receive any change late, by up to MaxDeferrablePause. A standby
// process follows its feed if it has one, and calls the store only while the feed provides nothing.
func (r *Replica) SetStandby(standby bool) { r.standby.Store(standby) }

// SetMaxStaleness bounds how old the time passed to Consumer.UpToDate may become while the store answers and this process
// watches it, by limiting the wait of a watch. A bound shorter than that wait increases the calls to an idle store.
func (r *Replica) SetMaxStaleness(bound time.Duration) { r.maxStaleness.Store(int64(bound)) }

// SetPropagationBound sets the time within which all processes must know a change.
func (r *Replica) SetPropagationBound(bound time.Duration) { r.propagationBound.Store(int64(bound)) }

// ShortenNextWatch makes the next watch use the minimum wait, so that it soon confirms that there are no further changes.
// A pending watch is not affected.
func (r *Replica) ShortenNextWatch() { r.shortenNextWatch.Store(true) }

// pausePerReader is the part of a pause for each process in the reader count.
const pausePerReader = time.Millisecond

// RestartWatch restarts a pending watch, for example after a network change.
func (r *Replica) RestartWatch() {
	select {
	case r.restartWatch <- struct{}{}:
	default:
	}
}

// Run keeps the consumer up to date until the context ends.
func (r *Replica) Run(ctx context.Context) {
	pause := r.firstRetryPause()
	for ctx.Err() == nil {
		if r.usesFeed() {
			if r.pollFeed(ctx, r.feedWait()) == nil {
				continue
			}
			if r.awaitsShard() {
				sleep(ctx, jitter(r.stretchPause(shardRetryPause)))
				continue
			}
		}
		err := r.step(ctx)
		if err == nil {
			pause = r.firstRetryPause()
			r.setStoreUnavailable(false)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errWatchRestarted) {
			continue
		}
		r.setStoreUnavailable(true)
		r.consumer.StoreUnavailable(err)
		if r.table == nil && r.loadFallback(ctx) {
			continue
		}
		r.waitWithFeed(ctx, jitter(r.stretchPause(pause)))
		pause = min(2*pause, r.settings.MaxRetryPause)
	}
}

// firstRetryPause returns the pause after the first failed call. The lister tries again soon. The other processes that watch the store get its
// list by the feed, and so need not list the store themselves when it is back: they would all do so at once, and during the outage as well.
func (r *Replica) firstRetryPause() time.Duration {
	if r.feed == nil || r.lister == nil || r.table == nil {
		return r.settings.MinRetryPause
	}
	if _, isOwn := r.lister(); isOwn {
		return r.settings.MinRetryPause
	}
	return r.settings.MaxRetryPause
}

// usesFeed reports whether the replica follows its feed instead of the store.
func (r *Replica) usesFeed() bool { return r.feed != nil && r.table != nil && r.standby.Load() }

// Timing of a standby process that waits for its feed.
const (
	// maxFeedTimeout is how long a standby process waits for its feed before it lists the store: upstreams that start at
	// the same time must list the store first. feedTimeoutFraction limits it to a fraction of the propagation bound,
	// since no changes are received meanwhile.
	maxFeedTimeout      = 3 * time.Second
	feedTimeoutFraction = 0.4
	// shardRetryPause is the pause after a failed request to the feed.
	shardRetryPause = 150 * time.Millisecond
)

// awaitsShard reports whether this process has no shard yet and its feed has not timed out.
func (r *Replica) awaitsShard() bool {
	return r.shardCount == 0 && boottime.Now().Sub(r.shardWaitStart) < r.feedTimeout()
}

// feedTimeout returns how long a standby process waits for its feed before it lists the store.
func (r *Replica) feedTimeout() time.Duration {
	if bound := r.propagationBound.Load(); bound > 0 {
		return min(maxFeedTimeout, time.Duration(feedTimeoutFraction*float64(bound)))
	}
	return maxFeedTimeout
}

// mayList reports whether to list the store. A standby process that holds its shard and whose feed responded recently must
// not: otherwise all standby processes would list the store at once when their upstreams cannot reach it, which takes
// longer than the propagation bound.
func (r *Replica) mayList() bool {
	return !r.usesFeed() || r.shardCount == 0 || boottime.Now().Sub(r.feedAnsweredAt) >= r.feedTimeout()
}

// setStoreUnavailable records whether calls to the store fail.
func (r *Replica) setStoreUnavailable(unavailable bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.storeUnavailable = unavailable
}

// errWatchRestarted ends a watch that RestartWatch interrupts.
var errWatchRestarted = errors.New("the watch was restarted")

// errOutdated ends a watch that the feed has overtaken.
var errOutdated = errors.New("the store answered as of before it was restored")

// step gets missing items from the feed or by listing the store, and otherwise watches the store.
func (r *Replica) step(ctx context.Context) error {
	isPartial := r.shardCount == 0 || (r.shardCount > 1 && !r.standby.Load())
	if r.table != nil && isPartial && !r.standby.Load() && r.feed != nil && r.pollFeed(ctx, 0) == nil && r.shardCount == 1 {
		// The feed provided all items, so the store need not be listed.
		return nil
	}
	if r.table == nil || r.mustList || isPartial {
		return r.listOrWait(ctx)
	}
	err := r.watch(ctx)
	r.mustList = err != nil
	return err
}

// listOrWait lists the store, or waits for the next request to the feed if the store must not be listed.
func (r *Replica) listOrWait(ctx context.Context) error {
	if r.mayList() {
		return r.list(ctx)
	}
	r.mustList = true
	sleep(ctx, jitter(shardRetryPause))
	return nil
}

// list lists the store page by page and resets the consumer. The first list of a process with a feed may end early: after
// the first page that ends with a sharded key, the consumer gets the unsharded items listed so far. If the process is
// standby then, it lists no further pages and gets its shard from the feed. Otherwise every process of a starting fleet
// would list all worker records.
func (r *Replica) list(ctx context.Context) error {
	var listedThrough string
	stop := func(items []Item) bool {
		if r.feed == nil || listedThrough != "" || r.settings.Sharded == nil || !r.settings.Sharded(items[len(items)-1].Key) {
			return false
		}
		listedThrough = r.applyUnsharded(items)
		return r.standby.Load()
	}
	if r.table != nil {
		stop = nil
	}
	started := boottime.Now()
	var listing Listing
	var err error
	r.callWithFeed(ctx, 0, func() { listing, err = r.store.ListUntil(ctx, r.prefix, stop) })
	if err != nil {
		return err
	}
	r.RecordStoreResponse()
	r.dropRestart()
	if !listing.Complete {
		r.startWithoutShard(r.unshardedItems(listing.Items), listing.Revision, listedThrough)
		return nil
	}
	isReplaced := r.replace(Snapshot{Items: listing.Items, Revision: listing.Revision})
	r.mustList, r.listedStale = false, listing.Stale
	if !isReplaced || listing.Stale {
		started = time.Time{}
	}
	r.consumer.UpToDate(r.advanceCurrentAsOf(started))
	return nil
}

// dropRestart drops a pending restart of the watch. A list is as current as a restarted watch, which would cause another list: the response
// that reports a restore of the store requests a restart, and is often that of the list itself.
func (r *Replica) dropRestart() {
	select {
	case <-r.restartWatch:
	default:
	}
}

// loadFallback loads the items of another process and reports whether there were any. The replica still lists the store as
// soon as that responds.
func (r *Replica) loadFallback(ctx context.Context) bool {
	if r.fallback == nil {
		return false
	}
	snapshot, err := r.fallback(ctx)
	if err != nil || len(snapshot.Items) == 0 {
		return false
	}
	r.replace(snapshot)
	r.mustList = true
	return true
}

// watch waits for the next changes and passes them to the consumer.
func (r *Replica) watch(ctx context.Context) error {
	watchCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-r.restartWatch:
			cancel(errWatchRestarted)
		case <-stop:
		}
	}()
	wait, after, started := r.watchWait(), r.revision, boottime.Now()
	var events []Event
	var revision Revision
	var err error
	r.callWithFeed(ctx, wait, func() { events, revision, err = r.store.Watch(watchCtx, r.prefix, after, wait) })
	switch {
	case errors.Is(err, ErrCompacted):
		if r.queryLister(ctx) {
			return nil
		}
		if r.listedStale {
			// The next list may be as old.
			r.waitWithFeed(ctx, jitter(r.stretchPause(r.settings.MaxRetryPause)))
		}
		return r.listOrWait(ctx)
	case err != nil && context.Cause(watchCtx) != nil && ctx.Err() == nil:
		return errWatchRestarted
	case err != nil:
		return err
	}
	r.RecordStoreResponse()
	if r.isOutdated(revision) {
		return errOutdated
	}
	if r.revision < after {
		// The feed has replaced the items by ones of an earlier revision meanwhile, so the response lacks changes between the two.
		return nil
	}
	pause := r.batchPause(events)
	if newer := r.recordNewer(events, revision); len(newer) > 0 {
		r.consumer.Apply(newer)
	}
	r.consumer.UpToDate(r.advanceCurrentAsOf(completeAsOf(started, boottime.Now(), wait, len(events))))
	sleep(ctx, pause)
	return nil
}

// minWatchWait is the minimum wait of a watch. It allows for two round trips on a slow network.
const minWatchWait = 100 * time.Millisecond

// watchWait returns how long the next watch waits for changes.
func (r *Replica) watchWait() time.Duration {
	wait := r.settings.Wait
	if r.usesFeed() {
		wait = standbyWatchWait
		if !r.mayList() {
			wait = probeWatchWait
		}
	}
	if r.shortenNextWatch.Swap(false) {
		return min(wait, minWatchWait)
	}
	maxStaleness := time.Duration(r.maxStaleness.Load())
	if maxStaleness <= 0 {
		return wait
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return min(wait, max(maxStaleness-boottime.Now().Sub(r.currentAsOf), minWatchWait))
}

// completeAsOf returns the time up to which the response of a watch contains all changes. A response without events
// after the full wait covers all of the wait; any other may have been in transit for an unknown time.
func completeAsOf(started, ended time.Time, wait time.Duration, events int) time.Time {
	if events == 0 && ended.Sub(started) >= wait {
		return started.Add(wait)
	}
	return started
}
