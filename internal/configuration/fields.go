package configuration

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
)

// fieldValues represents a spec as one JSON value per field. A field that does not exist has no entry.
type fieldValues map[Field]json.RawMessage

// newFieldValues splits a spec into its fields.
func newFieldValues(spec Spec) (fieldValues, error) {
	values := fieldValues{}
	spec = normalize(spec)
	err := errors.Join(
		setObjects(values, KindGroup, spec.Groups, func(g Group) string { return g.Name }),
		setObjects(values, KindRule, spec.Rules, func(r Rule) string { return r.Name }),
	)
	for address, labels := range spec.WorkerLabels {
		for label, value := range labels {
			err = errors.Join(err, values.set(Field{Kind: KindWorkerLabel, Name: address, Label: label}, value))
		}
	}
	return values, errors.Wrap(err, "encode the objects and worker labels of the configuration")
}

// toSpec rebuilds the spec from its fields.
func (v fieldValues) toSpec() (Spec, error) {
	spec := Spec{WorkerLabels: map[string]map[string]string{}}
	var err error
	for _, field := range v.sortedFields() {
		err = errors.Join(err, errors.Wrapf(spec.addField(field, v[field]), "decode %s", field))
	}
	return normalize(spec), errors.Wrap(err, "rebuild the configuration from its fields")
}

// addField decodes one field and adds it to the spec.
func (s *Spec) addField(field Field, value json.RawMessage) error {
	switch field.Kind {
	case KindGroup:
		return appendDecoded(&s.Groups, value)
	case KindRule:
		return appendDecoded(&s.Rules, value)
	case KindWorkerLabel:
		return s.addWorkerLabel(field, value)
	default:
		return errors.Newf("unknown kind of object %q", field.Kind)
	}
}

func (s *Spec) addWorkerLabel(field Field, value json.RawMessage) error {
	if s.WorkerLabels[field.Name] == nil {
		s.WorkerLabels[field.Name] = map[string]string{}
	}
	var text string
	err := json.Unmarshal(value, &text)
	s.WorkerLabels[field.Name][field.Label] = text
	return err
}

// set stores the JSON encoding of a value.
func (v fieldValues) set(field Field, value any) error {
	data, err := json.Marshal(value)
	v[field] = data
	return err
}

// sortedFields returns the fields sorted by kind, name and label.
func (v fieldValues) sortedFields() []Field {
	fields := lo.Keys(v)
	slices.SortFunc(fields, compareFields)
	return fields
}

// changedFields returns the sorted fields whose values differ.
func changedFields(before, after fieldValues) []Field {
	all := lo.Assign(before, after)
	return lo.Filter(all.sortedFields(), func(field Field, _ int) bool {
		return !bytes.Equal(before[field], after[field])
	})
}

func compareFields(a, b Field) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Label, b.Label))
}

// setObjects stores the JSON encodings of the named objects of one kind.
func setObjects[T any](values fieldValues, kind Kind, objects []T, name func(T) string) error {
	var err error
	for _, object := range objects {
		err = errors.Join(err, values.set(Field{Kind: kind, Name: name(object)}, object))
	}
	return err
}

func appendDecoded[T any](list *[]T, value json.RawMessage) error {
	var object T
	err := json.Unmarshal(value, &object)
	*list = append(*list, object)
	return err
}
