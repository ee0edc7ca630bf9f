package store

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// ReplicaSettings of a replica.
type ReplicaSettings struct {
	// Wait is how long one watch waits for changes.
	Wait time.Duration
	// Settle is a pause after changes, so that those that come together are read together.
	Settle time.Duration
	// Unhurried tells whether changes of a key may be told late. Nil is none.
	Unhurried func(key string) bool
	// UnhurriedPerReader is the pause after changes of unhurried keys alone, for each process that watches, and
	// LongestUnhurried bounds it.
	UnhurriedPerReader time.Duration
	LongestUnhurried   time.Duration
	// FirstPause and LongestPause bound the pause after a failed call; it doubles and is jittered.
	FirstPause   time.Duration
	LongestPause time.Duration
}

// DefaultReplicaSettings keep calls few and catch up within a second after an outage.
func DefaultReplicaSettings() ReplicaSettings {
	return ReplicaSettings{
		Wait:         20 * time.Second,
		Settle:       40 * time.Millisecond,
		FirstPause:   100 * time.Millisecond,
		LongestPause: 600 * time.Millisecond,

		UnhurriedPerReader: 10 * time.Millisecond,
		LongestUnhurried:   time.Second,
	}
}

// Consumer is told what a replica holds. Its methods are called by one goroutine.
type Consumer interface {
	// Reset replaces everything that was told before.
	Reset(items []Item)
	// Apply tells changes in the order of their revisions.
	Apply(events []Event)
	// Lost tells that the store failed; what was told before may be out of date from here on.
	Lost(err error)
	// Current tells that everything up to this moment was told.
	Current()
}

// Replica keeps a consumer in step with the items below a prefix: it lists them once and watches them from there on, and
// lists them again when the history is gone.
type Replica struct {
	store    Store
	prefix   string
	settings ReplicaSettings
	consumer Consumer
	renew    chan struct{}
	fallback Fallback

	// readers is how many processes watch the same store, and calm is set while this one may hear of every change late.
	readers atomic.Int64
	calm    atomic.Bool

	mutex sync.Mutex
	// known holds the items that the consumer was told; nil before the first list. Deleted ones stay as such.
	known map[string]Event
	after int64
	// doubted is set after a watch has failed. The store may have dropped changes that the watch did not hear, and one that
	// begins anew would not tell of them, so that everything is listed first.
	doubted bool
}

// Fallback gives the items as another process knows them, for a start while the store is away.
type Fallback func(ctx context.Context) (Snapshot, error)

// Snapshot is what a replica knows at a revision.
type Snapshot struct {
	Items    []Item `json:"items"`
	Revision int64  `json:"revision"`
}

// NewReplica returns a replica that does nothing before Run.
func NewReplica(store Store, prefix string, settings ReplicaSettings, consumer Consumer, fallback Fallback) *Replica {
	return &Replica{
		store: store, prefix: prefix, settings: settings, consumer: consumer, renew: make(chan struct{}, 1), fallback: fallback,
	}
}

// Snapshot returns what the replica knows, or false when it knows nothing yet. It may be called by any goroutine.
func (r *Replica) Snapshot() (Snapshot, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.known == nil {
		return Snapshot{}, false
	}
	snapshot := Snapshot{Revision: r.after}
	for _, event := range r.known {
		if !event.Deleted {
			snapshot.Items = append(snapshot.Items, event.Item)
		}
	}
	slices.SortFunc(snapshot.Items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	return snapshot, true
}

// SetReaders tells how many processes watch the same store. The more they are, the longer each gathers changes and waits
// after failures, so that all together stay within what the store answers.
func (r *Replica) SetReaders(count int) { r.readers.Store(int64(count)) }

// SetCalm tells whether this process may hear of every change late, by up to LongestUnhurried: one that nobody is sent to.
func (r *Replica) SetCalm(calm bool) { r.calm.Store(calm) }

// perReader is the time in which the store answers one call of each of two processes.
const perReader = time.Millisecond

// Renew makes a watch that is waiting begin anew, for example after the network has changed.
func (r *Replica) Renew() {
	select {
	case r.renew <- struct{}{}:
	default:
	}
}

// Run keeps the consumer in step until the context ends.
func (r *Replica) Run(ctx context.Context) {
	pause := r.settings.FirstPause
	for ctx.Err() == nil {
		err := r.step(ctx)
		if err == nil {
			pause = r.settings.FirstPause
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errRenewed) {
			continue
		}
		r.consumer.Lost(err)
		if r.known == nil && r.seed(ctx) {
			continue
		}
		sleep(ctx, jitter(r.share(pause)))
		pause = min(2*pause, r.settings.LongestPause)
	}
}

// errRenewed ends a watch that Renew interrupts.
var errRenewed = errors.New("the watch was begun anew")

// step lists when nothing is known, and watches otherwise.
func (r *Replica) step(ctx context.Context) error {
	if r.known == nil || r.doubted {
		return r.list(ctx)
	}
	err := r.watch(ctx)
	r.doubted = err != nil
	return err
}

// list tells the consumer everything anew.
func (r *Replica) list(ctx context.Context) error {
	items, at, err := r.store.List(ctx, r.prefix)
	if err != nil {
		return err
	}
	r.replace(Snapshot{Items: items, Revision: at})
	r.doubted = false
	r.consumer.Current()
	return nil
}

// seed takes what another process knows, and tells whether there was one. It is doubted: the store is listed once it answers.
func (r *Replica) seed(ctx context.Context) bool {
	if r.fallback == nil {
		return false
	}
	snapshot, err := r.fallback(ctx)
	if err != nil || len(snapshot.Items) == 0 {
		return false
	}
	r.replace(snapshot)
	r.doubted = true
	return true
}

// replace forgets everything and tells the consumer a snapshot.
func (r *Replica) replace(snapshot Snapshot) {
	known := make(map[string]Event, len(snapshot.Items))
	for _, item := range snapshot.Items {
		known[item.Key] = Event{Item: item}
	}
	r.mutex.Lock()
	r.known, r.after = known, snapshot.Revision
	r.mutex.Unlock()
	r.consumer.Reset(snapshot.Items)
}

// watch tells the consumer the next changes.
func (r *Replica) watch(ctx context.Context) error {
	watchCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-r.renew:
			cancel(errRenewed)
		case <-stop:
		}
	}()
	events, at, err := r.store.Watch(watchCtx, r.prefix, r.after, r.settings.Wait)
	switch {
	case errors.Is(err, ErrCompacted):
		return r.list(ctx)
	case err != nil && context.Cause(watchCtx) != nil && ctx.Err() == nil:
		return errRenewed
	case err != nil:
		return err
	}
	pause := r.settle(events)
	if fresh := r.fresh(events, at); len(fresh) > 0 {
		r.consumer.Apply(fresh)
	}
	r.consumer.Current()
	sleep(ctx, pause)
	return nil
}

// fresh notes events and drops those that the list has told already: pages of a list are read at different revisions.
func (r *Replica) fresh(events []Event, at int64) []Event {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.after = max(at, r.after)
	var fresh []Event
	for _, event := range events {
		if event.Revision <= r.known[event.Key].Revision {
			continue
		}
		r.known[event.Key] = event
		fresh = append(fresh, event)
	}
	return fresh
}
