package strictyaml

import (
	"fmt"
	"strings"
)

// FieldError is one fault of a document.
type FieldError struct {
	// Field is the path of the field, for example "spec.rules[quick].priority".
	Field string `json:"field"`
	// Value that was found, as it would be written in JSON; empty when there is none.
	Value string `json:"value,omitempty"`
	// Problem in a few words.
	Problem string `json:"problem"`
	// Allowed says what may stand there.
	Allowed string `json:"allowed,omitempty"`
}

// Error returns the fault in one line.
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

// FieldErrors are all the faults of a document.
type FieldErrors []FieldError

// Error returns the faults, one in a line.
func (e FieldErrors) Error() string {
	lines := make([]string, len(e))
	for i, fieldError := range e {
		lines[i] = fieldError.Error()
	}
	return strings.Join(lines, "\n")
}

// OrNil returns the faults as an error, or nil when there are none.
func (e FieldErrors) OrNil() error {
	if len(e) == 0 {
		return nil
	}
	return e
}
