package store

import (
	"context"
	"time"
)

// Call identifies a store operation.
type Call string

// Store operations as reported to observers. List and ListUntil are both reported as CallList, and KeepAlive as
// CallRenew.
const (
	CallList   Call = "list"
	CallWatch  Call = "watch"
	CallCommit Call = "commit"
	CallGrant  Call = "grant"
	CallRenew  Call = "renew"
	CallRevoke Call = "revoke"
)

// Instrumented wraps a store and reports each completed call to observe, which must be safe for concurrent use.
func Instrumented(store Store, observe func(call Call, took time.Duration, err error)) Store {
	return instrumented{store, observe}
}

// instrumented is a Store that reports its calls to an observer.
type instrumented struct {
	store   Store
	observe func(call Call, took time.Duration, err error)
}

// report passes the outcome of a call that began at started to the observer.
func (c instrumented) report(call Call, started time.Time, err error) {
	c.observe(call, time.Since(started), err)
}

// List implements Store.
func (c instrumented) List(ctx context.Context, prefix string) ([]Item, Revision, error) {
	started := time.Now()
	items, revision, err := c.store.List(ctx, prefix)
	c.report(CallList, started, err)
	return items, revision, err
}

// ListUntil implements Store.
func (c instrumented) ListUntil(ctx context.Context, prefix string, stop func([]Item) bool) (Listing, error) {
	started := time.Now()
	listing, err := c.store.ListUntil(ctx, prefix, stop)
	c.report(CallList, started, err)
	return listing, err
}

// Watch implements Store.
func (c instrumented) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error) {
	started := time.Now()
	events, revision, err := c.store.Watch(ctx, prefix, after, wait)
	c.report(CallWatch, started, err)
	return events, revision, err
}

// Commit implements Store.
func (c instrumented) Commit(ctx context.Context, transaction Transaction) (Revision, error) {
	started := time.Now()
	revision, err := c.store.Commit(ctx, transaction)
	c.report(CallCommit, started, err)
	return revision, err
}

// Grant implements Store.
func (c instrumented) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	started := time.Now()
	lease, err := c.store.Grant(ctx, ttl)
	c.report(CallGrant, started, err)
	return lease, err
}

// KeepAlive implements Store.
func (c instrumented) KeepAlive(ctx context.Context, lease int64) error {
	started := time.Now()
	err := c.store.KeepAlive(ctx, lease)
	c.report(CallRenew, started, err)
	return err
}

// Revoke implements Store.
func (c instrumented) Revoke(ctx context.Context, lease int64) error {
	started := time.Now()
	err := c.store.Revoke(ctx, lease)
	c.report(CallRevoke, started, err)
	return err
}
