package configuration

import (
	"time"

	"github.com/cockroachdb/errors"
)

// The reasons for which an edit is not accepted, besides FieldErrors and conflicts.
var (
	// ErrStoreUnavailable means that the store did not answer in time. The edit was not accepted.
	ErrStoreUnavailable = errors.New("the key-value service did not answer in time; the edit was not accepted")
	// ErrOutcomeUnknown means that the answer to the write was lost and could not be read back. Proposing the same edit
	// again with the same change id and base revision settles it.
	ErrOutcomeUnknown = errors.New("the key-value service did not tell whether the edit was written; propose it again with the same change id")
	// ErrUnknownBase means that the base revision is too old to be merged, or does not exist.
	ErrUnknownBase = errors.New("the base revision is unknown or too old; read the configuration and make the edit anew")
	// ErrReadOnly means that this process does not accept edits.
	ErrReadOnly = errors.New("this process does not accept edits; ask a router")
	// ErrBusy means that too many edits are waiting.
	ErrBusy = errors.New("too many edits are waiting; try again")
	// ErrNoChangeID means that the edit has no change id.
	ErrNoChangeID = errors.New("the edit has no change id")
	// ErrTooLarge means that the document would become too large.
	ErrTooLarge = errors.Newf("the configuration would take more than %d bytes", MaximumDocumentBytes)
	// ErrUnreadable means that the store holds something that is not a document.
	ErrUnreadable = errors.New("the key-value service holds a configuration that cannot be read")
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
	base, known, err := current.At(request.BaseRevision)
	if err != nil {
		return Document{}, nil, err
	}
	if !known {
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
	next, _, err := current.successor(merged.Spec, changeInfo{
		changeID: request.ChangeID, author: request.Author, unixMillis: now.UnixMilli(),
	})
	if err != nil {
		return Document{}, nil, err
	}
	return next, nil, Validate(next).orNil()
}

// proposalStep is what a proposal waits for.
type proposalStep int

const (
	// stepIdle waits for retryAt to read the store.
	stepIdle proposalStep = iota
	// stepRead waits for the document in the store.
	stepRead
	// stepWrite waits for the answer to the compare-and-swap.
	stepWrite
)

// String names the step for errors.
func (s proposalStep) String() string {
	return [...]string{"wait for the store", "read the store", "write the store"}[s]
}

// proposal is an edit on its way into the store.
type proposal struct {
	request EditRequest
	// deadline is when the edit is given up.
	deadline time.Time
	step     proposalStep
	// requestID is the outstanding request of the step, and requestDeadline when its answer counts as lost.
	requestID       uint64
	requestDeadline time.Time
	// retryAt is when the store is read, in stepIdle.
	retryAt  time.Time
	failures int
	// compared is the revision of the key that the latest write compared with, and written the snapshot that it wrote.
	compared uint64
	written  *Snapshot
	// inDoubt is set while a write may still take effect, or has and was not found yet.
	inDoubt bool
}

// wake tells when the proposal has something to do.
func (p *proposal) wake() time.Time {
	wake := p.retryAt
	if p.step != stepIdle {
		wake = p.requestDeadline
	}
	if p.deadline.Before(wake) {
		return p.deadline
	}
	return wake
}
