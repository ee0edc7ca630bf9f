package configuration

import (
	"fmt"

	"github.com/granitebay/granitebay/internal/strictyaml"
)

// EditKind selects the operation of an Edit.
type EditKind string

// The kinds of edits.
const (
	EditSetLabel    EditKind = "set-label"    // set one label of one worker
	EditRemoveLabel EditKind = "remove-label" // remove one label of one worker
	EditPut         EditKind = "put"          // create or replace one object
	EditDelete      EditKind = "delete"       // delete one object by kind and name
	EditApply       EditKind = "apply"        // replace the whole spec
)

// Edit is one operation on a document. Kind determines which of the other fields are used.
type Edit struct {
	Kind EditKind `json:"kind"`
	// Worker and Label identify the label for EditSetLabel and EditRemoveLabel. The edit changes the Field of KindWorkerLabel
	// with this name and label.
	Worker string `json:"worker,omitempty"`
	Label  string `json:"label,omitempty"`
	// Value of the label for EditSetLabel.
	Value string `json:"value,omitempty"`
	// Object and Name are the Kind and Name of the Field that EditDelete removes.
	Object Kind   `json:"object,omitempty"`
	Name   string `json:"name,omitempty"`
	// Group or Rule is the object for EditPut; exactly one is set.
	Group *Group `json:"group,omitempty"`
	Rule  *Rule  `json:"rule,omitempty"`
	// Spec is the new spec for EditApply.
	Spec *Spec `json:"spec,omitempty"`
}

// SetLabel returns the edit that sets one label of a worker.
func SetLabel(address, label, value string) Edit {
	return Edit{Kind: EditSetLabel, Worker: address, Label: label, Value: value}
}

// RemoveLabel returns the edit that removes one label of a worker.
func RemoveLabel(address, label string) Edit {
	return Edit{Kind: EditRemoveLabel, Worker: address, Label: label}
}

// Apply returns the edit that replaces the whole spec.
func Apply(spec Spec) Edit { return Edit{Kind: EditApply, Spec: &spec} }

// Delete returns the edit that deletes one object.
func Delete(kind Kind, name string) Edit { return Edit{Kind: EditDelete, Object: kind, Name: name} }

// PutRule returns the edit that creates or replaces a rule.
func PutRule(rule Rule) Edit { return Edit{Kind: EditPut, Rule: &rule} }

// ApplyEdits applies edits in order. The error is FieldErrors and lists every edit that cannot be applied. The resulting
// spec is not validated.
func ApplyEdits(base Spec, edits []Edit) (Spec, error) {
	values, err := newFieldValues(base)
	if err != nil {
		return Spec{}, err
	}
	var fieldErrors FieldErrors
	for i, edit := range edits {
		values, fieldErrors = applyEdit(values, edit, fmt.Sprintf("edits[%d]", i), fieldErrors)
	}
	if err := fieldErrors.OrNil(); err != nil {
		return Spec{}, err
	}
	return values.toSpec()
}

// applyEdit applies one edit and appends its errors to fieldErrors.
func applyEdit(values fieldValues, edit Edit, path string, fieldErrors FieldErrors) (fieldValues, FieldErrors) {
	addError := func(field string, value any, problem, allowed string) {
		fieldErrors = append(fieldErrors, FieldError{Field: path + field, Value: strictyaml.FormatValue(value), Problem: problem, Allowed: allowed})
	}
	switch edit.Kind {
	case EditSetLabel, EditRemoveLabel:
		if edit.Worker == "" || edit.Label == "" {
			addError("", nil, "does not identify a label", "worker and label")
			break
		}
		field := Field{Kind: KindWorkerLabel, Name: edit.Worker, Label: edit.Label}
		if edit.Kind == EditRemoveLabel {
			delete(values, field)
			break
		}
		if err := values.set(field, edit.Value); err != nil {
			addError(".value", edit.Value, err.Error(), "")
		}
	case EditPut:
		field, object, err := edit.putTarget()
		if err == nil {
			err = values.set(field, object)
		}
		if err != nil {
			addError("", nil, err.Error(), "one of group and rule")
		}
	case EditDelete:
		field := Field{Kind: edit.Object, Name: edit.Name}
		if _, exists := values[field]; !exists {
			addError(".name", edit.Name, fmt.Sprintf("there is no %s", field), "an object that exists")
		}
		delete(values, field)
	case EditApply:
		return replaceSpec(values, edit, addError), fieldErrors
	default:
		addError(".kind", edit.Kind, "is an unknown kind of edit", "set-label, remove-label, put, delete, apply")
	}
	return values, fieldErrors
}

// replaceSpec returns the fields of the edit's spec, or the given ones after recording an error if that spec is missing
// or cannot be encoded.
func replaceSpec(values fieldValues, edit Edit, addError func(field string, value any, problem, allowed string)) fieldValues {
	if edit.Spec == nil {
		addError(".spec", nil, "is missing", "a complete spec")
		return values
	}
	replacement, err := newFieldValues(normalize(*edit.Spec))
	if err != nil {
		addError(".spec", nil, err.Error(), "a complete spec")
		return values
	}
	return replacement
}

// putTarget returns the field and the object of EditPut.
func (e Edit) putTarget() (Field, any, error) {
	var field Field
	var object any
	count := 0
	setTarget := func(kind Kind, name string, value any) {
		field, object = Field{Kind: kind, Name: name}, value
		count++
	}
	if e.Group != nil {
		setTarget(KindGroup, e.Group.Name, e.Group)
	}
	if e.Rule != nil {
		setTarget(KindRule, e.Rule.Name, e.Rule)
	}
	if count != 1 {
		return Field{}, nil, fmt.Errorf("has %d objects instead of one", count)
	}
	return field, object, nil
}
