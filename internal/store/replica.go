package store

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/boottime"
)

// ReplicaSettings of a replica.
type ReplicaSettings struct {
	// Wait is how long one watch waits for changes.
	Wait time.Duration
	// Settle is a pause after changes, so that those that come together are read together.
	BatchPause time.Duration
	// Unhurried tells whether changes of a key may be told late. Nil is none.
	Unhurried func(key string) bool
	// UnhurriedPerReader is the pause after changes of unhurried keys alone, for each process that watches, and
	// LongestUnhurried bounds it.
	DeferrablePausePerReader time.Duration
	MaxDeferrablePause       time.Duration
	// FirstPause and LongestPause bound the pause after a failed call; it doubles and is jittered.
	MinRetryPause time.Duration
	MaxRetryPause time.Duration
	// Sharded tells which keys are divided into shards, of which a process that is calm holds one. Nil is none.
	Sharded func(key string) bool
	// Seat names the shard of this process for any number of shards.
	Seat uint64
	// FeedPause is the least time between two questions to the feed: changes that come together are asked for together, and a
	// fleet of hundreds that starts asks a few times a second.
	MinFeedInterval time.Duration
}

// DefaultReplicaSettings keep calls few and catch up within a second after an outage.
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

// Consumer is told what a replica holds. Its methods are called by one goroutine.
type Consumer interface {
	// Reset replaces everything that was told before.
	Reset(items []Item)
	// Restored tells that the store has come back from an older copy, in an era. What it holds is told next; changes that were told before
	// are gone unless it holds them.
	Restored(era int64)
	// Apply tells changes in the order of their revisions.
	Apply(events []Event)
	// Lost tells that the store failed; what was told before may be out of date from here on.
	Lost(err error)
	// Current tells that the store has told everything there is, and that everything up to a moment of boottime was told for sure:
	// an answer may have been on its way for long. The moment is zero while none is known.
	Current(asOf time.Time)
}

// Replica keeps a consumer in step with the items below a prefix: it lists them once and watches them from there on, and
// lists them again when the history is gone.
type Replica struct {
	store        Store
	prefix       string
	settings     ReplicaSettings
	consumer     Consumer
	restartWatch chan struct{}
	fallback     Fallback
	// feed tells what other processes know; nil is nobody.
	feed Feed
	// lister tells which process lists the store for all; nil is each for itself.
	lister func() (name string, isOwn bool)
	// followed is when the feed was asked last.
	lastFeedPoll time.Time

	// readers is how many processes watch the same store, and calm is set while this one may hear of every change late.
	readers atomic.Int64
	standby atomic.Bool
	// freshFor is how old what is known may become while the store answers; zero does not bound it.
	maxStaleness atomic.Int64
	// knownWithin is within which time changes have to be known; zero bounds nothing.
	propagationBound atomic.Int64
	// hastened is set when the next watch is to wait as shortly as it can.
	shortenNextWatch atomic.Bool

	mutex sync.Mutex
	// known holds the items that the consumer was told; nil before the first list. Deleted ones stay as such.
	table    *table
	revision Revision
	// shards is of how many shards this process holds its own: one is everything, and zero nothing of what is divided. With none, listed
	// is the last key of the rest that was listed.
	shardCount    int
	listedThrough string
	// begunAt is when this process began without a shard, and toldAt when a feed told it something, or that there was nothing.
	shardWaitStart, feedAnsweredAt time.Time
	// sharded counts the items that are divided and there.
	shardedItems int
	// completeFrom is the revision after which no change is missing in known, deletions included.
	historyStart Revision
	// Between gapFrom and gapTo, both not included, items may have come and gone that lists did not show.
	gapStart, gapEnd Revision
	// changed is closed at the next change.
	changed chan struct{}
	// knownAt is the moment of boottime up to which all changes are known for sure; zero before the first.
	currentAsOf time.Time
	// answeredAt is when the store answered any call of this process, by boottime; zero before the first.
	storeAnsweredAt time.Time
	// storeLost is set while calls to the store fail.
	storeUnavailable bool
	// doubted is set after a watch has failed. The store may have dropped changes that the watch did not hear, and one that
	// begins anew would not tell of them, so that everything is listed first.
	mustList bool
}

// Fallback gives the items as another process knows them, for a start while the store is away.
type Fallback func(ctx context.Context) (Snapshot, error)

// NewReplica returns a replica that does nothing before Run.
func NewReplica(store Store, prefix string, settings ReplicaSettings, consumer Consumer, fallback Fallback) *Replica {
	return &Replica{
		store: store, prefix: prefix, settings: settings, consumer: consumer, restartWatch: make(chan struct{}, 1), fallback: fallback,
		changed: make(chan struct{}),
	}
}

// Answered tells that the store has answered a call of this process, be it one of the replica or not.
func (r *Replica) Answered() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.storeAnsweredAt = boottime.Now()
}

// SetReaders tells how many processes watch the same store. The more they are, the longer each gathers changes and waits
// after failures, so that all together stay within what the store answers.
func (r *Replica) SetReaders(count int) { r.readers.Store(int64(count)) }

// SetCalm tells whether this process may hear of every change late, by up to LongestUnhurried: one that nobody is sent to. It
// learns from its feed where there is one, and goes to the store only while nobody tells it anything.
func (r *Replica) SetCalm(standby bool) { r.standby.Store(standby) }

// SetFreshFor tells how old what is known for sure may become while the store answers and this process watches it itself: a watch waits
// no longer than that allows. Each bound that is shorter than the wait of a watch costs a quiet store one call a bound.
func (r *Replica) SetFreshFor(bound time.Duration) { r.maxStaleness.Store(int64(bound)) }

// SetKnownWithin tells within which time changes have to be known everywhere.
func (r *Replica) SetKnownWithin(bound time.Duration) { r.propagationBound.Store(int64(bound)) }

// Hasten makes the next watch of the store short, so that it is soon known for sure that nothing else has changed. One that is waiting
// goes on: it is called for what a watch has told.
func (r *Replica) Hasten() { r.shortenNextWatch.Store(true) }

// perReader is the time in which the store answers one call of each of two processes.
const pausePerReader = time.Millisecond

// Renew makes a watch that is waiting begin anew, for example after the network has changed.
func (r *Replica) Renew() {
	select {
	case r.restartWatch <- struct{}{}:
	default:
	}
}

// Run keeps the consumer in step until the context ends.
func (r *Replica) Run(ctx context.Context) {
	pause := r.settings.MinRetryPause
	for ctx.Err() == nil {
		if r.usesFeed() {
			if r.pollFeed(ctx, feedPollWait) == nil {
				continue
			}
			if r.awaitsShard() {
				sleep(ctx, jitter(r.stretchPause(shardRetryPause)))
				continue
			}
		}
		err := r.step(ctx)
		if err == nil {
			pause = r.settings.MinRetryPause
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
		r.consumer.Lost(err)
		if r.table == nil && r.loadFallback(ctx) {
			continue
		}
		r.waitWithFeed(ctx, jitter(r.stretchPause(pause)))
		pause = min(2*pause, r.settings.MaxRetryPause)
	}
}

// followsFeed tells whether the replica learns from others in place of the store.
func (r *Replica) usesFeed() bool { return r.feed != nil && r.table != nil && r.standby.Load() }

// Times of a process that has begun without its shard.
const (
	// shardPatience is how long its feed is waited for: those that tell it list everything first, within what a start may take. It is no more
	// than shardPatienceShare of the time within which changes have to be known, since nothing new is heard meanwhile.
	maxFeedTimeout      = 3 * time.Second
	feedTimeoutFraction = 0.4
	// shardPause is the pause between two questions that nobody answers.
	shardRetryPause = 150 * time.Millisecond
)

// awaitsShard tells whether a process that knows nothing of what is divided waits for its feed, and does not list the store yet.
func (r *Replica) awaitsShard() bool {
	return r.shardCount == 0 && boottime.Now().Sub(r.shardWaitStart) < r.feedTimeout()
}

// patience is how long a process that is calm goes without its feed before it lists the store.
func (r *Replica) feedTimeout() time.Duration {
	if bound := r.propagationBound.Load(); bound > 0 {
		return min(maxFeedTimeout, time.Duration(feedTimeoutFraction*float64(bound)))
	}
	return maxFeedTimeout
}

// mayList tells whether the whole store may be listed. One that is calm, holds its shard and was told something of late leaves that to those
// that tell it: each of them may try the store when its tellers have lost it, and hundreds of lists at once take longer than the bound of
// changes.
func (r *Replica) mayList() bool {
	return !r.usesFeed() || r.shardCount == 0 || boottime.Now().Sub(r.feedAnsweredAt) >= r.feedTimeout()
}

// setStoreLost notes whether the store answers.
func (r *Replica) setStoreUnavailable(unavailable bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.storeUnavailable = unavailable
}

// bridge spends the pause before the store is asked again with what others know: the store may turn away some processes and serve
// others.
func (r *Replica) waitWithFeed(ctx context.Context, pause time.Duration) {
	end := time.Now().Add(pause)
	if r.feed != nil && r.table != nil {
		// Without an answer this process goes on with what it knows, as it does without a feed.
		_ = r.pollFeed(ctx, pause)
	}
	sleep(ctx, time.Until(end))
}

// errRenewed ends a watch that Renew interrupts.
var errWatchRestarted = errors.New("the watch was begun anew")

// step lists when nothing is known, or not all of what is needed, and watches otherwise.
func (r *Replica) step(ctx context.Context) error {
	isPartial := r.shardCount == 0 || (r.shardCount > 1 && !r.standby.Load())
	if r.table != nil && isPartial && !r.standby.Load() && r.feed != nil && r.pollFeed(ctx, 0) == nil && r.shardCount == 1 {
		// Those that take requests have told all that they know.
		return nil
	}
	if r.table == nil || r.mustList || isPartial {
		return r.listOrWait(ctx)
	}
	err := r.watch(ctx)
	r.mustList = err != nil
	return err
}

// listOrWait lists, or leaves that to the feed, which is asked next.
func (r *Replica) listOrWait(ctx context.Context) error {
	if r.mayList() {
		return r.list(ctx)
	}
	r.mustList = true
	sleep(ctx, jitter(shardRetryPause))
	return nil
}

// list tells the consumer everything anew. A process that turns out to be calm before it has come to what is divided into shards leaves
// that to its feed: a fleet that starts at once else lists every record once for each process.
func (r *Replica) list(ctx context.Context) error {
	var listedThrough string
	stop := func(items []Item) bool {
		if r.table != nil || r.feed == nil || listedThrough != "" || r.settings.Sharded == nil || !r.settings.Sharded(items[len(items)-1].Key) {
			return false
		}
		listedThrough = r.applyUnsharded(items)
		return r.standby.Load()
	}
	items, revision, complete, err := r.store.ListUntil(ctx, r.prefix, stop)
	if err != nil {
		return err
	}
	r.Answered()
	if !complete {
		r.startWithoutShard(r.unshardedItems(items), revision, listedThrough)
		return nil
	}
	r.replace(Snapshot{Items: items, Revision: revision})
	r.mustList = false
	// A list may be some seconds old; the watch that goes on from it tells what came since.
	r.consumer.Current(r.advanceCurrentAsOf(time.Time{}))
	return nil
}

// seed takes what another process knows, and tells whether there was one. It is doubted: the store is listed once it answers.
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

// watch tells the consumer the next changes.
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
	wait, started := r.watchWait(), boottime.Now()
	events, revision, err := r.store.Watch(watchCtx, r.prefix, r.revision, wait)
	switch {
	case errors.Is(err, ErrCompacted):
		if r.queryLister(ctx) {
			return nil
		}
		return r.listOrWait(ctx)
	case err != nil && context.Cause(watchCtx) != nil && ctx.Err() == nil:
		return errWatchRestarted
	case err != nil:
		return err
	}
	r.Answered()
	pause := r.batchPause(events)
	if newer := r.recordNewer(events, revision); len(newer) > 0 {
		r.consumer.Apply(newer)
	}
	r.consumer.Current(r.advanceCurrentAsOf(completeAsOf(started, boottime.Now(), wait, len(events))))
	sleep(ctx, pause)
	return nil
}

// leastWait is the shortest wait of a watch: two round trips on a slow network.
const minWatchWait = 100 * time.Millisecond

// waitOfWatch returns how long the next watch may wait for changes.
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
	freshFor := time.Duration(r.maxStaleness.Load())
	if freshFor <= 0 {
		return wait
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return min(wait, max(freshFor-boottime.Now().Sub(r.currentAsOf), minWatchWait))
}

// toldUntil returns the moment up to which the answer of a watch tells all changes for sure. One without changes that took its whole
// wait tells all of it; of any other one it is not known how long it was on its way.
func completeAsOf(started, ended time.Time, wait time.Duration, events int) time.Time {
	if events == 0 && ended.Sub(started) >= wait {
		return started.Add(wait)
	}
	return started
}
