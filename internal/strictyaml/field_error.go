package strictyaml

import (
	"fmt"
	"strings"
)

// FieldError is an error in one field of a document, or in the document as a whole.
type FieldError struct {
	// Field is the path of the field, for example "spec.rules[quick].priority".
	Field string `json:"field"`
	// Value of the field as JSON; empty if there is none.
	Value string `json:"value,omitempty"`
	// Problem is a short description of the error.
	Problem string `json:"problem"`
	// Allowed describes the allowed values.
	Allowed string `json:"allowed,omitempty"`
}

// Error formats the error on one line.
func (e FieldError) Error() string {
	var text strings.Builder
	text.WriteString(e.Field)
	if e.Value != "" {
		fmt.Fprintf(&text, ": %s", e.Value)
	}
	fmt.Fprintf(&text, ": %s", e.Problem)
	if e.Allowed != "" {
		fmt.Fprintf(&text, "; allowed: %s", e.Allowed)
	}
	return text.String()
}

// FieldErrors lists the errors in a document.
type FieldErrors []FieldError

// Error formats the errors, one per line.
func (e FieldErrors) Error() string {
	lines := make([]string, len(e))
	for i, fieldError := range e {
		lines[i] = fieldError.Error()
	}
	return strings.Join(lines, "\n")
}

// OrNil returns the list as an error, or nil if it is empty.
func (e FieldErrors) OrNil() error {
	if len(e) == 0 {
		return nil
	}
	return e
}
