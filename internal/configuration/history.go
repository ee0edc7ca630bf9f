package configuration

import (
	"github.com/samber/lo"
)

// Bounds of the history that a document keeps.
const (
	// MaximumHistory is the most changes that are kept.
	MaximumHistory = 64
	// MinimumHistory is how many changes are kept whatever their size.
	MinimumHistory = 8
	// MaximumHistoryBytes is the most bytes of replaced values beyond MinimumHistory changes.
	MaximumHistoryBytes = 64 << 10
)

// FindChange returns the change with an id, if the history still has it.
func (d Document) FindChange(changeID string) (Change, bool) {
	return lo.Find(d.History, func(change Change) bool { return change.ChangeID == changeID })
}

// OldestBase returns the oldest revision that At can give back.
func (d Document) OldestRevision() uint64 { return d.Revision - uint64(len(d.History)) }

// At returns the document at an earlier revision, by undoing the changes since. It returns false when the history does
// not reach back so far, or when the revision is still to come.
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

// undo puts back the values that a change replaced.
func (v fieldValues) undo(change Change) {
	for _, changed := range change.Fields {
		if changed.Before == nil {
			delete(v, changed.Field)
			continue
		}
		v[changed.Field] = changed.Before
	}
}

// changeInfo is what a new change carries besides its fields.
type changeMetadata struct {
	changeID   string
	author     string
	unixMillis int64
}

// successor returns the document that follows another one with a new spec. It returns false when nothing changed.
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

// trimHistory drops the oldest changes beyond the bounds.
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
