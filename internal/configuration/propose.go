package configuration

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/store"
)

// StoreKey is the key of the store that holds the document.
const StoreKey = "granitebay/configuration"

// MaximumDocumentBytes is the most that a document may take as JSON, its history included.
const MaximumDocumentBytes = 1 << 20

// The reasons for which an edit is not accepted, besides FieldErrors and conflicts.
var (
	// ErrStoreUnavailable means that the store did not answer in time. The edit was not accepted.
	ErrStoreUnavailable = errors.New("the store did not answer in time; the edit was not accepted")
	// ErrOutcomeUnknown means that the answer to the write was lost and could not be read back. Proposing the same edit
	// again with the same change id and base revision settles it.
	ErrOutcomeUnknown = errors.New("the store did not tell whether the edit was written; propose it again with the same change id")
	// ErrUnknownBase means that the base revision is too old to be merged, or does not exist.
	ErrUnknownBase = errors.New("the base revision is unknown or too old; read the configuration and make the edit anew")
	// ErrNoChangeID means that the edit has no change id.
	ErrNoChangeID = errors.New("the edit has no change id")
	// ErrTooLarge means that the document would become too large.
	ErrTooLarge = errors.Newf("the configuration would take more than %d bytes", MaximumDocumentBytes)
	// ErrUnreadable means that the store holds something that is not a document.
	ErrUnreadable = errors.New("the store holds a configuration that cannot be read")
)

// EditRequest is an edit of an operator.
type EditRequest struct {
	// ChangeID tells this edit apart from all others. It is applied once, however often it is proposed.
	ChangeID string `json:"changeID"`
	// Author of the edit, for the record only.
	Author string `json:"author,omitempty"`
	// BaseRevision is the revision that the operator saw; zero means that there was no document.
	BaseRevision uint64 `json:"baseRevision"`
	// Edits are made one after the other, all or none.
	Edits []Edit `json:"edits"`
}

// ProposeResult is what became of an EditRequest.
type ProposeResult struct {
	ChangeID string
	Accepted bool
	// Unchanged is set with Accepted when there was nothing to change.
	Unchanged bool
	// Revision that the edit made when it was accepted, or that it was merged with otherwise.
	Revision uint64
	// Conflicts with other edits; the edit was not accepted.
	Conflicts []Conflict
	// Err tells why the edit was not accepted: FieldErrors or one of the errors of this package, wrapped.
	Err error
}

// Preview returns the document that an edit would make of the given one, or the conflicts that it has with the edits
// since its base. The error is FieldErrors when the edit or the document after it is not valid.
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

// proposePause is the wait after a failed call to the store.
const retryInterval = 100 * time.Millisecond

// proposal is an edit on its way into the store.
//
// Invariant: a write is conditional on the revision that was read before it, and the change id of the edit is looked for in
// each document that is read, so that an edit is applied once even when the answer to a write is lost.
type proposal struct {
	store   store.Store
	request EditRequest
	// inDoubt is set while a write may have taken effect, or still may.
	outcomeUnknown bool
	// compared is the revision with which the write in doubt compared.
	expectedRevision store.Revision
}

// Propose brings an edit into the store: it reads the document, makes the edit, and writes the result if nobody wrote
// meanwhile. It tries until the context ends.
func Propose(ctx context.Context, target store.Store, request EditRequest) ProposeResult {
	return propose(ctx, target, request, retryInterval)
}

// propose is Propose with the wait after a failed call.
func propose(ctx context.Context, target store.Store, request EditRequest, interval time.Duration) ProposeResult {
	if request.ChangeID == "" {
		return ProposeResult{Err: ErrNoChangeID}
	}
	p := &proposal{store: target, request: request}
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
	return ProposeResult{ChangeID: request.ChangeID, Err: lo.Ternary(p.outcomeUnknown, ErrOutcomeUnknown, ErrStoreUnavailable)}
}

// try makes one round, and tells whether the result is final.
func (p *proposal) attempt(ctx context.Context) (ProposeResult, bool) {
	current, revision, err := Read(ctx, p.store)
	if errors.Is(err, ErrUnreadable) {
		return ProposeResult{Err: err}, true
	}
	if err != nil {
		return ProposeResult{}, false
	}
	if change, found := current.FindChange(p.request.ChangeID); found {
		return ProposeResult{Accepted: true, Revision: change.Revision}, true
	}
	if revision != p.expectedRevision {
		// The key was written since, so that a write which compared with the older revision can't take effect any more.
		p.outcomeUnknown = false
	}
	next, conflicts, err := Preview(current, p.request, time.Now())
	switch {
	case err != nil || len(conflicts) > 0:
		return ProposeResult{Revision: current.Revision, Conflicts: conflicts, Err: err}, true
	case next.Revision == current.Revision:
		return ProposeResult{Accepted: true, Unchanged: true, Revision: current.Revision}, true
	}
	return p.write(ctx, next, revision)
}

// write writes a document in place of the one at a revision.
func (p *proposal) write(ctx context.Context, next Document, revision store.Revision) (ProposeResult, bool) {
	snapshot, err := Compile(next)
	if err == nil && len(snapshot.encoded) > MaximumDocumentBytes {
		err = ErrTooLarge
	}
	if err != nil {
		return ProposeResult{Revision: next.Revision, Err: err}, true
	}
	_, err = p.store.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{{Key: StoreKey, Revision: revision}},
		Puts:       []store.Put{{Key: StoreKey, Value: snapshot.encoded}},
	})
	switch {
	case err == nil:
		return ProposeResult{Accepted: true, Revision: next.Revision}, true
	case errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrBusy):
		return ProposeResult{}, false
	default:
		p.outcomeUnknown, p.expectedRevision = true, revision
		return ProposeResult{}, false
	}
}

// Read returns the document in the store with the revision of its key; the zero document and zero when there is none.
func Read(ctx context.Context, source store.Store) (Document, store.Revision, error) {
	items, _, err := source.List(ctx, StoreKey)
	if err != nil {
		return Document{}, 0, errors.Wrap(err, "step read the configuration")
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
