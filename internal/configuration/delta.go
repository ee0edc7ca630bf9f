package configuration

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
)

// delta is what makes a later document of an earlier one. It is sent in place of the whole document.
type delta struct {
	// Changes of the history after the earlier document, newest first.
	Changes []Change `json:"changes"`
	// Fields that they changed, as they are in the later document.
	Fields []fieldValue `json:"fields"`
}

// fieldValue is a field of the later document. Value is empty when the field is gone.
type fieldValue struct {
	Field Field           `json:"field"`
	Value json.RawMessage `json:"value,omitempty"`
}

// deltaSince returns what makes the document of a snapshot of an earlier revision. It returns false when the history does
// not reach back so far, or when the whole document is not much larger.
func (s *Snapshot) deltaSince(base uint64) ([]byte, bool) {
	document := s.document
	if base == 0 || base >= document.Revision || base < document.OldestBase() {
		return nil, false
	}
	values, err := s.fieldValues()
	if err != nil {
		return nil, false
	}
	made := delta{Changes: document.History[:document.Revision-base]}
	fields := lo.Uniq(lo.FlatMap(made.Changes, func(change Change, _ int) []Field {
		return lo.Map(change.Fields, func(changed FieldChange, _ int) Field { return changed.Field })
	}))
	slices.SortFunc(fields, compareFields)
	made.Fields = lo.Map(fields, func(field Field, _ int) fieldValue { return fieldValue{Field: field, Value: values[field]} })
	encoded, err := json.Marshal(made)
	if err != nil || 2*len(encoded) > len(s.encoded) {
		return nil, false
	}
	return encoded, true
}

// applyDelta makes the later document. Whether it is the right one shows in its digest.
func (s *Snapshot) applyDelta(encoded []byte) (*Snapshot, error) {
	var received delta
	if err := json.Unmarshal(encoded, &received); err != nil {
		return nil, errors.Wrap(err, "decode the changes of the configuration")
	}
	before, err := s.fieldValues()
	if err != nil {
		return nil, err
	}
	values := maps.Clone(before)
	for _, changed := range received.Fields {
		if changed.Value == nil {
			delete(values, changed.Field)
			continue
		}
		values[changed.Field] = changed.Value
	}
	spec, err := values.spec()
	if err != nil {
		return nil, err
	}
	status := Status{
		Revision: s.document.Revision + uint64(len(received.Changes)),
		History:  trimHistory(append(slices.Clone(received.Changes), s.document.History...)),
	}
	if len(received.Changes) > 0 {
		status.ChangeID = received.Changes[0].ChangeID
	}
	snapshot, err := Compile(Document{Spec: spec, Status: status})
	if err != nil {
		return nil, errors.Wrap(err, "compile the changed configuration")
	}
	snapshot.values = values
	return snapshot, nil
}

// fieldValues returns the fields of the document. The caller must not change them.
func (s *Snapshot) fieldValues() (fieldValues, error) {
	if s.values != nil {
		return s.values, nil
	}
	return fieldsOf(s.document.Spec)
}
