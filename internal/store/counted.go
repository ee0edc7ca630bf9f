package store

import (
	"context"
	"time"
)

// Call is a kind of call to a store.
type Call string

// The kinds of calls.
const (
	CallList   Call = "list"
	CallWatch  Call = "watch"
	CallCommit Call = "commit"
	CallGrant  Call = "grant"
	CallRenew  Call = "renew"
	CallRevoke Call = "revoke"
)

// Counted returns a store whose calls are counted: observe is told of each that has ended. It has to be safe for concurrent use.
func Counted(store Store, observe func(call Call, took time.Duration, err error)) Store {
	return counted{store, observe}
}

// counted tells an observer of each call to a store.
type counted struct {
	store   Store
	observe func(call Call, took time.Duration, err error)
}

// note tells of a call that began at a moment.
func (c counted) note(call Call, begun time.Time, err error) { c.observe(call, time.Since(begun), err) }

// List is part of Store.
func (c counted) List(ctx context.Context, prefix string) ([]Item, Revision, error) {
	begun := time.Now()
	items, at, err := c.store.List(ctx, prefix)
	c.note(CallList, begun, err)
	return items, at, err
}

// ListUntil is part of Store.
func (c counted) ListUntil(ctx context.Context, prefix string, enough func([]Item) bool) ([]Item, Revision, bool, error) {
	begun := time.Now()
	items, at, whole, err := c.store.ListUntil(ctx, prefix, enough)
	c.note(CallList, begun, err)
	return items, at, whole, err
}

// Watch is part of Store.
func (c counted) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error) {
	begun := time.Now()
	events, at, err := c.store.Watch(ctx, prefix, after, wait)
	c.note(CallWatch, begun, err)
	return events, at, err
}

// Commit is part of Store.
func (c counted) Commit(ctx context.Context, transaction Transaction) (Revision, error) {
	begun := time.Now()
	revision, err := c.store.Commit(ctx, transaction)
	c.note(CallCommit, begun, err)
	return revision, err
}

// Grant is part of Store.
func (c counted) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	begun := time.Now()
	lease, err := c.store.Grant(ctx, ttl)
	c.note(CallGrant, begun, err)
	return lease, err
}

// KeepAlive is part of Store.
func (c counted) KeepAlive(ctx context.Context, lease int64) error {
	begun := time.Now()
	err := c.store.KeepAlive(ctx, lease)
	c.note(CallRenew, begun, err)
	return err
}

// Revoke is part of Store.
func (c counted) Revoke(ctx context.Context, lease int64) error {
	begun := time.Now()
	err := c.store.Revoke(ctx, lease)
	c.note(CallRevoke, begun, err)
	return err
}
