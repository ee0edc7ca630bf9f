// Package store is the port to the key-value store in which everything lies that must outlast a process, and keeps a watched
// copy of it.
package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of a store.
var (
	// ErrCompacted is returned by Watch when changes after the revision are not kept any more.
	ErrCompacted = errors.New("the history of the store after this revision is gone")
	// ErrRestored is returned when the store came back from an older copy while it was called, and by late answers of before. What the
	// call did may be gone.
	ErrRestored = errors.New("the store has come back from an older copy")
	// ErrConflict is returned by Commit when a condition does not hold.
	ErrConflict = errors.New("a condition of the transaction does not hold")
	// ErrBusy is returned when the store refuses a call because there are too many. Nothing was done.
	ErrBusy = errors.New("the store is busy")
	// ErrLeaseExpired is returned for a lease that is over.
	ErrLeaseExpired = errors.New("the lease is over")
)

// Item is one key with its value.
type Item struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision of the last change of the item.
	Revision Revision `json:"revision"`
	// Lease with which the item goes; 0 is none.
	Lease int64 `json:"lease"`
}

// Event is one change of an item.
type Event struct {
	Item
	// Deleted is set when the item is gone; it has no value then.
	Deleted bool `json:"deleted,omitempty"`
}

// Condition holds when the last change of a key has this revision. Zero means that the key is absent.
type Condition struct {
	Key      string
	Revision Revision
}

// Put writes one item.
type Put struct {
	Key   string
	Value []byte
	// Lease with which the item goes; 0 is none.
	Lease int64
}

// Transaction is done whole or not at all.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// Lease is a right that ends by itself.
type Lease struct {
	ID int64
	// TTL counts from the arrival of the call at the store, so that a holder counts it from before the call.
	TTL time.Duration
}

// Store is a linearizable key-value store with leases and watches. Errors name the step and the peer. A call that failed
// without an answer may have been carried out, also later.
type Store interface {
	// List returns the items below a prefix, and a revision from which to watch: every change after it is not yet in the
	// items, or is. When the store is too busy for linearizable reads the items may be some seconds old; a watch from the
	// revision tells what came since.
	List(ctx context.Context, prefix string) ([]Item, Revision, error)
	// ListUntil is List, by pages in the order of the keys. It ends early once enough, which is given all items so far and may be nil, says
	// so after a page that others follow; then the items are not the whole.
	ListUntil(ctx context.Context, prefix string, stop func(items []Item) bool) (items []Item, revision Revision, complete bool, err error)
	// Watch waits for changes below a prefix after a revision. It returns the revision to go on from, and no events when
	// there were none for so long.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error)
	// Commit carries out a transaction and returns its revision.
	Commit(ctx context.Context, transaction Transaction) (Revision, error)
	// Grant returns a new lease.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// KeepAlive renews a lease.
	KeepAlive(ctx context.Context, lease int64) error
	// Revoke ends a lease and deletes its items.
	Revoke(ctx context.Context, lease int64) error
}
