// Package store defines the interface to the key-value store that holds all persistent state, and maintains a replica of
// its items by watching it. Entries are the gateways that watch the store. A standby gateway gets changes from an entry,
// its upstream.
package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors returned by stores.
var (
	// ErrCompacted is returned by Watch if the store no longer holds the changes after the revision.
	ErrCompacted = errors.New("the store has compacted the history after this revision")
	// ErrRestored is returned by calls during which the store was restored from a backup, and for late responses from
	// before. The effects of such a call may be lost.
	ErrRestored = errors.New("the store was restored from a backup")
	// ErrConflict is returned by Commit if a condition does not hold.
	ErrConflict = errors.New("a condition of the transaction does not hold")
	// ErrBusy is returned if the store rejects a call because of overload. The call had no effect.
	ErrBusy = errors.New("the store is overloaded")
	// ErrLeaseExpired is returned for a lease that has expired or was revoked.
	ErrLeaseExpired = errors.New("the lease has expired")
)

// Item is a key with its value.
type Item struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision is that of the last change of the item.
	Revision Revision `json:"revision"`
	// Lease is the ID of the lease that the item is deleted with; 0 if none.
	Lease int64 `json:"lease"`
}

// Event is a change of an item.
type Event struct {
	Item
	// Deleted reports that the item was deleted; it then has no value.
	Deleted bool `json:"deleted,omitempty"`
}

// Condition holds if the last change of the key has the revision. Zero means that the key is absent.
type Condition struct {
	Key      string
	Revision Revision
}

// Put writes an item.
type Put struct {
	Key   string
	Value []byte
	// Lease is the ID of the lease that the item is deleted with; 0 if none.
	Lease int64
}

// Transaction is an atomic set of writes that is committed only if all conditions hold.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// Lease is a lease granted by the store, which deletes its items when it expires.
type Lease struct {
	ID int64
	// TTL is the duration of the lease. The holder must count it from before the call, as it may start as soon as the call
	// arrives at the store.
	TTL time.Duration
}

// Listing is the result of a list.
type Listing struct {
	// Items are the listed items, ordered by key.
	Items []Item
	// Revision is that of the store: a watch after it returns every change that the items do not include.
	Revision Revision
	// Complete reports that no pages are left.
	Complete bool
	// Stale reports that the items may be older than the call. Otherwise they contain all changes from before it.
	Stale bool
}

// Store is a linearizable key-value store with leases and watches. Its errors name the operation and the peer. A call
// that failed without a response may still take effect, even later.
type Store interface {
	// List returns the items below a prefix, and a revision: a watch after it returns every change that the items do not
	// include. If the store is too busy for linearizable reads, the items may be a few seconds old.
	List(ctx context.Context, prefix string) ([]Item, Revision, error)
	// ListUntil is like List, reading pages in key order. After each page but the last it passes all items so far to
	// stop, which may be nil, and ends early with an incomplete listing if that returns true.
	ListUntil(ctx context.Context, prefix string, stop func(items []Item) bool) (Listing, error)
	// Watch waits for changes below a prefix after a revision. It returns the events and the revision to continue from.
	// The events are empty if there were none within the wait.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error)
	// Commit commits a transaction and returns its revision.
	Commit(ctx context.Context, transaction Transaction) (Revision, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// KeepAlive renews a lease.
	KeepAlive(ctx context.Context, lease int64) error
	// Revoke ends a lease and deletes its items.
	Revoke(ctx context.Context, lease int64) error
}
