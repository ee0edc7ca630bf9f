package configuration

import (
	"encoding/json"
	"fmt"
)

// Kind is a kind of object in a document.
type Kind string

// The kinds of objects.
const (
	KindGroup       Kind = "group"
	KindRule        Kind = "rule"
	KindWorkerLabel Kind = "worker-label"
)

// Field identifies one object or one label of one worker, the smallest unit that an edit changes and that can conflict.
type Field struct {
	Kind Kind `json:"kind"`
	// Name of the object, or address of the worker.
	Name string `json:"name"`
	// Label is the label key; set only for KindWorkerLabel.
	Label string `json:"label,omitempty"`
}

// String returns a description such as "rule quick" or "label pool of worker 10.0.0.1:80".
func (f Field) String() string {
	if f.Kind == KindWorkerLabel {
		return fmt.Sprintf("label %s of worker %s", f.Label, f.Name)
	}
	return fmt.Sprintf("%s %s", f.Kind, f.Name)
}

// FieldChange is a changed field with the value that it had before.
type FieldChange struct {
	Field Field `json:"field"`
	// Before is the value that the edit replaced; empty if the field did not exist.
	Before json.RawMessage `json:"before,omitempty"`
}
