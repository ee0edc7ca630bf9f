package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/samber/lo"
)

// Conflict is a field that a proposed edit and the current document changed to different values since the base revision.
type Conflict struct {
	Field Field `json:"field"`
	// Revision, ChangeID and Author of the latest edit that changed the field in the current document; empty if it is no longer
	// in the history.
	Revision uint64 `json:"revision"`
	ChangeID string `json:"changeID"`
	Author   string `json:"author,omitempty"`
	// Mine is the proposed value, Theirs the current one; empty if the field was removed.
	Mine   json.RawMessage `json:"mine,omitempty"`
	Theirs json.RawMessage `json:"theirs,omitempty"`
}

// String describes the conflict in one sentence.
func (c Conflict) String() string {
	edit := c.ChangeID
	if c.Author != "" {
		edit += " by " + c.Author
	}
	return fmt.Sprintf("%s was also changed by edit %s (revision %d): theirs %s, mine %s",
		c.Field, edit, c.Revision, valueOrRemoved(c.Theirs), valueOrRemoved(c.Mine))
}

func valueOrRemoved(value json.RawMessage) string {
	return lo.Ternary(len(value) == 0, "removed", string(value))
}

// Merge performs a three-way merge, field by field: mine is the base with the proposed edits, theirs the current document. A
// field that only one side changed takes that change. A field that both sides changed to different values takes the value of
// theirs and is returned as a conflict. The result has the status of theirs.
func Merge(base, mine, theirs Document) (Document, []Conflict, error) {
	baseValues, err := newFieldValues(base.Spec)
	if err != nil {
		return Document{}, nil, err
	}
	mineValues, err := newFieldValues(mine.Spec)
	if err != nil {
		return Document{}, nil, err
	}
	theirValues, err := newFieldValues(theirs.Spec)
	if err != nil {
		return Document{}, nil, err
	}
	var conflicts []Conflict
	merged := lo.Assign(theirValues)
	for _, field := range changedFields(baseValues, mineValues) {
		mineValue, theirValue := mineValues[field], theirValues[field]
		changedInTheirs := !bytes.Equal(baseValues[field], theirValue)
		if changedInTheirs && !bytes.Equal(mineValue, theirValue) {
			conflicts = append(conflicts, newConflict(theirs, base.Revision, field, mineValue, theirValue))
			continue
		}
		if mineValue == nil {
			delete(merged, field)
			continue
		}
		merged[field] = mineValue
	}
	spec, err := merged.toSpec()
	return Document{Spec: spec, Status: theirs.Status}, conflicts, err
}

// newConflict returns the conflict with the latest change of the field since the base revision.
func newConflict(theirs Document, baseRevision uint64, field Field, mineValue, theirValue json.RawMessage) Conflict {
	conflict := Conflict{Field: field, Mine: mineValue, Theirs: theirValue}
	for _, change := range theirs.History {
		if change.Revision > baseRevision && change.includes(field) {
			conflict.Revision, conflict.ChangeID, conflict.Author = change.Revision, change.ChangeID, change.Author
			return conflict
		}
	}
	return conflict
}

func (c Change) includes(field Field) bool {
	return lo.ContainsBy(c.Fields, func(changed FieldChange) bool { return changed.Field == field })
}
