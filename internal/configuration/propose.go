package configuration

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/store"
)

// StoreKey is the key under which the store holds the document.
const StoreKey = "granitebay/configuration"

// MaximumDocumentBytes limits the size of a JSON-encoded document, including its history.
const MaximumDocumentBytes = 1 << 20

// Errors of Propose and Preview, besides FieldErrors.
var (
	// ErrStoreUnavailable means that the edit could not be written in time: the store did not respond or was busy, or other
	// edits were written first.
	ErrStoreUnavailable = errors.New("the store did not respond in time; the edit was not accepted")
	// ErrOutcomeUnknown means that a write may have taken effect, because the response to it was lost and the outcome could
	// not be read back. The same request may be proposed again: it is applied at most once.
	ErrOutcomeUnknown = errors.New("the store did not confirm whether the edit was written; propose it again with the same change id")
	// ErrUnknownBase means that the base revision does not exist or is no longer in the history.
	ErrUnknownBase = errors.New("the base revision is unknown or too old; read the current configuration and redo the edit")
	// ErrNoChangeID means that the edit request has no change id.
	ErrNoChangeID = errors.New("the edit has no change id")
	// ErrTooLarge means that the edited document would exceed MaximumDocumentBytes.
	ErrTooLarge = errors.Newf("the configuration would exceed %d bytes", MaximumDocumentBytes)
	// ErrUnreadable means that the stored document cannot be decoded.
	ErrUnreadable = errors.New("the configuration in the store cannot be decoded")
)

// EditRequest is a list of edits that an operator proposes together.
type EditRequest struct {
	// ChangeID identifies the request. A request is applied once, however often it is proposed.
	ChangeID string `json:"changeID"`
	// Author of the edit; only recorded.
	Author string `json:"author,omitempty"`
	// BaseRevision is the revision that the edit is based on; zero means that there was no document.
	BaseRevision uint64 `json:"baseRevision"`
	// Edits are applied in order, all or none.
	Edits []Edit `json:"edits"`
}

// ProposalResult is the outcome of an EditRequest.
type ProposalResult struct {
	ChangeID string
	Accepted bool
	// Unchanged is set together with Accepted if the edit changes nothing.
	Unchanged bool
	// Revision that the request created. If it was not accepted, this is the current revision, or the next one if the
	// document is too large, or zero if the document was not read.
	Revision uint64
	// Conflicts with edits made since the base revision; if there are any, the request was not accepted.
	Conflicts []Conflict
	// Err is the reason why the edit was not accepted: FieldErrors or one of the errors of this package, possibly wrapped.
	Err error
}

// Preview applies a request to the current document and returns the result, or the conflicts with edits made since the base
// revision. If the request changes nothing, the result is the current document. The error is FieldErrors if the edit or the
// resulting document is invalid.
func Preview(current Document, request EditRequest, now time.Time) (Document, []Conflict, error) {
	base, found, err := current.At(request.BaseRevision)
	if err != nil {
		return Document{}, nil, err
	}
	if !found {
		return Document{}, nil, ErrUnknownBase
	}
	mine, err := ApplyEdits(base.Spec, request.Edits)
	if err != nil {
		return Document{}, nil, err
	}
	merged, conflicts, err := Merge(base, Document{Spec: mine}, current)
	if err != nil || len(conflicts) > 0 {
		return Document{}, conflicts, err
	}
	next, _, err := current.nextRevision(merged.Spec, changeMetadata{
		changeID: request.ChangeID, author: request.Author, unixMillis: now.UnixMilli(),
	})
	if err != nil {
		return Document{}, nil, err
	}
	return next, nil, Validate(next).OrNil()
}

// retryInterval is the delay after an attempt that failed or found that another edit was written first.
const retryInterval = 100 * time.Millisecond

// proposal writes one edit to the store, with retries.
//
// Invariant: each write is conditional on the revision read before it, and each document read is searched for the change id,
// so an edit is applied once even if the response to a write is lost.
type proposal struct {
	store   store.Store
	request EditRequest
	// outcomeUnknown is set while a write without a response may still take effect.
	outcomeUnknown bool
	// expectedRevision is the store revision on which the last write without a response was conditional.
	expectedRevision store.Revision
}

// Propose applies an edit to the document in the store with optimistic concurrency control: it reads the document, merges
// the edit and writes the result if the document is unchanged since. It retries until the context ends.
func Propose(ctx context.Context, s store.Store, request EditRequest) ProposalResult {
	return propose(ctx, s, request, retryInterval)
}

// propose is Propose with a configurable retry interval.
func propose(ctx context.Context, s store.Store, request EditRequest, interval time.Duration) ProposalResult {
	if request.ChangeID == "" {
		return ProposalResult{Err: ErrNoChangeID}
	}
	p := &proposal{store: s, request: request}
	for ctx.Err() == nil {
		if result, done := p.attempt(ctx); done {
			result.ChangeID = request.ChangeID
			return result
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
	return ProposalResult{ChangeID: request.ChangeID, Err: lo.Ternary(p.outcomeUnknown, ErrOutcomeUnknown, ErrStoreUnavailable)}
}

// attempt reads, merges and writes once, and reports whether the result is final.
func (p *proposal) attempt(ctx context.Context) (ProposalResult, bool) {
	current, revision, err := Read(ctx, p.store)
	if errors.Is(err, ErrUnreadable) {
		return ProposalResult{Err: err}, true
	}
	if err != nil {
		return ProposalResult{}, false
	}
	if change, found := current.FindChange(p.request.ChangeID); found {
		return ProposalResult{Accepted: true, Revision: change.Revision}, true
	}
	if revision != p.expectedRevision {
		// The key has been written since, so a write conditional on the older revision can no longer take effect.
		p.outcomeUnknown = false
	}
	next, conflicts, err := Preview(current, p.request, time.Now())
	switch {
	case err != nil || len(conflicts) > 0:
		return ProposalResult{Revision: current.Revision, Conflicts: conflicts, Err: err}, true
	case next.Revision == current.Revision:
		return ProposalResult{Accepted: true, Unchanged: true, Revision: current.Revision}, true
	}
	return p.write(ctx, next, revision)
}

// write replaces the document if it is still at the given revision.
func (p *proposal) write(ctx context.Context, next Document, revision store.Revision) (ProposalResult, bool) {
	snapshot, err := Compile(next)
	if err == nil && len(snapshot.encoded) > MaximumDocumentBytes {
		err = ErrTooLarge
	}
	if err != nil {
		return ProposalResult{Revision: next.Revision, Err: err}, true
	}
	_, err = p.store.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{{Key: StoreKey, Revision: revision}},
		Puts:       []store.Put{{Key: StoreKey, Value: snapshot.encoded}},
	})
	switch {
	case err == nil:
		return ProposalResult{Accepted: true, Revision: next.Revision}, true
	case errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrBusy):
		return ProposalResult{}, false
	default:
		p.outcomeUnknown, p.expectedRevision = true, revision
		return ProposalResult{}, false
	}
}

// Read returns the document in the store and the revision of its key, or zero values if there is none.
func Read(ctx context.Context, s store.Store) (Document, store.Revision, error) {
	items, _, err := s.List(ctx, StoreKey)
	if err != nil {
		return Document{}, 0, errors.Wrap(err, "read configuration from the store")
	}
	for _, item := range items {
		if item.Key != StoreKey {
			continue
		}
		document, err := Decode(item.Value)
		if err != nil {
			return Document{}, 0, errors.Mark(errors.Wrap(err, ErrUnreadable.Error()), ErrUnreadable)
		}
		return document, item.Revision, nil
	}
	return Document{}, 0, nil
}
