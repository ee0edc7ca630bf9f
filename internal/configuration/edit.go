package configuration

import (
	"fmt"

	"github.com/granitebay/granitebay/internal/strictyaml"
)

// EditKind tells what an Edit does.
type EditKind string

// The kinds of edits.
const (
	EditSetLabel    EditKind = "set-label"    // set one label of one worker
	EditRemoveLabel EditKind = "remove-label" // remove one label of one worker
	EditPut         EditKind = "put"          // add or replace one object
	EditDelete      EditKind = "delete"       // remove one object by kind and name
	EditApply       EditKind = "apply"        // replace the whole spec
)

// Edit is one change of a document. Kind tells which other fields count.
type Edit struct {
	Kind EditKind `json:"kind"`
	// Worker and Label name the label of EditSetLabel and EditRemoveLabel.
	Worker string `json:"worker,omitempty"`
	Label  string `json:"label,omitempty"`
	// Value of EditSetLabel.
	Value string `json:"value,omitempty"`
	// Object and Name name the object of EditDelete.
	Object Kind   `json:"object,omitempty"`
	Name   string `json:"name,omitempty"`
	// Exactly one of these is the object of EditPut.
	Group *Group `json:"group,omitempty"`
	Rule  *Rule  `json:"rule,omitempty"`
	// Spec of EditApply.
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

// Delete returns the edit that removes one object.
func Delete(kind Kind, name string) Edit { return Edit{Kind: EditDelete, Object: kind, Name: name} }

// PutRule returns the edit that adds or replaces a rule.
func PutRule(rule Rule) Edit { return Edit{Kind: EditPut, Rule: &rule} }

// ApplyEdits makes edits one after the other. The error is FieldErrors with all edits that make no sense. The result
// may still be an invalid document.
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

// applyEdit makes one edit and adds its faults.
func applyEdit(values fieldValues, edit Edit, path string, fieldErrors FieldErrors) (fieldValues, FieldErrors) {
	addError := func(field string, value any, problem, allowed string) {
		fieldErrors = append(fieldErrors, FieldError{Field: path + field, Value: strictyaml.Quote(value), Problem: problem, Allowed: allowed})
	}
	switch edit.Kind {
	case EditSetLabel, EditRemoveLabel:
		if edit.Worker == "" || edit.Label == "" {
			addError("", nil, "names no label", "worker and label")
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
		addError(".kind", edit.Kind, "is not a kind of edit", "set-label, remove-label, put, delete, apply")
	}
	return values, fieldErrors
}

// applyWhole replaces all fields.
func replaceSpec(values fieldValues, edit Edit, addError func(field string, value any, problem, allowed string)) fieldValues {
	if edit.Spec == nil {
		addError(".spec", nil, "is missing", "a whole spec")
		return values
	}
	replacement, err := newFieldValues(normalize(*edit.Spec))
	if err != nil {
		addError(".spec", nil, err.Error(), "a whole spec")
		return values
	}
	return replacement
}

// object returns the field and the value of EditPut.
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
		return Field{}, nil, fmt.Errorf("has %d objects", count)
	}
	return field, object, nil
}
