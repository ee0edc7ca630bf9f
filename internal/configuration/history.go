package configuration

import (
	"github.com/samber/lo"
)

// Limits on the history that a document keeps.
const (
	// MaximumHistory is the maximum number of changes kept.
	MaximumHistory = 64
	// MinimumHistory is the number of changes kept regardless of their size.
	MinimumHistory = 8
	// MaximumHistoryBytes limits the total size of the replaced values. Older changes are dropped to stay within it, except for
	// the newest MinimumHistory ones.
	MaximumHistoryBytes = 64 << 10
)

// FindChange returns the change with the given id if it is still in the history.
func (d Document) FindChange(changeID string) (Change, bool) {
	return lo.Find(d.History, func(change Change) bool { return change.ChangeID == changeID })
}

// OldestRevision returns the oldest revision that At can reconstruct.
func (d Document) OldestRevision() uint64 { return d.Revision - uint64(len(d.History)) }

// At reconstructs the document at an earlier revision by undoing the changes since. It returns false if the history does
// not reach back that far, or if the revision does not exist yet.
func (d Document) At(revision uint64) (Document, bool, error) {
	if revision > d.Revision || revision < d.OldestRevision() {
		return Document{}, false, nil
	}
	values, err := newFieldValues(d.Spec)
	if err != nil {
		return Document{}, false, err
	}
	undoCount := int(d.Revision - revision)
	for _, change := range d.History[:undoCount] {
		values.undo(change)
	}
	spec, err := values.toSpec()
	if err != nil {
		return Document{}, false, err
	}
	status := Status{Revision: revision, History: d.History[undoCount:]}
	if len(status.History) > 0 {
		status.ChangeID = status.History[0].ChangeID
	}
	return Document{Spec: spec, Status: status}, true, nil
}

// undo restores the values that a change replaced.
func (v fieldValues) undo(change Change) {
	for _, changed := range change.Fields {
		if changed.Before == nil {
			delete(v, changed.Field)
			continue
		}
		v[changed.Field] = changed.Before
	}
}

// changeMetadata is the id, author and time of a new change.
type changeMetadata struct {
	changeID   string
	author     string
	unixMillis int64
}

// nextRevision returns the next revision of the document, with the given spec. It returns the document itself and false if
// the spec is unchanged.
func (d Document) nextRevision(spec Spec, metadata changeMetadata) (Document, bool, error) {
	before, err := newFieldValues(d.Spec)
	if err != nil {
		return Document{}, false, err
	}
	after, err := newFieldValues(spec)
	if err != nil {
		return Document{}, false, err
	}
	fields := changedFields(before, after)
	if len(fields) == 0 {
		return d, false, nil
	}
	change := Change{
		Revision: d.Revision + 1, ChangeID: metadata.changeID, Author: metadata.author, UnixMillis: metadata.unixMillis,
		Fields: lo.Map(fields, func(field Field, _ int) FieldChange {
			return FieldChange{Field: field, Before: before[field]}
		}),
	}
	history := trimHistory(append([]Change{change}, d.History...))
	status := Status{Revision: change.Revision, ChangeID: change.ChangeID, History: history}
	return Document{Spec: normalize(spec), Status: status}, true, nil
}

// trimHistory drops the oldest changes beyond the limits.
func trimHistory(history []Change) []Change {
	size := 0
	for i, change := range history {
		size += lo.SumBy(change.Fields, func(changed FieldChange) int { return len(changed.Before) })
		if i >= MaximumHistory || (i >= MinimumHistory && size > MaximumHistoryBytes) {
			return history[:i]
		}
	}
	return history
}
