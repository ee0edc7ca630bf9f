package configuration

import (
	"encoding/json"

	"github.com/granitebay/granitebay/internal/strictyaml"
)

// What readers of documents share with those of other files.
type (
	// FieldError is one fault, FieldErrors all of a document.
	FieldError  = strictyaml.FieldError
	FieldErrors = strictyaml.FieldErrors
	// Duration is a time.Duration that is written as in "1m30s".
	Duration = strictyaml.Duration
)

// Parse reads a document in YAML or JSON. What is not given has its default. The error is FieldErrors with all faults
// of form at once. The document holds what could be read, so that Validate can find the other faults too.
func Parse(data []byte) (Document, error) {
	var document Document
	err := strictyaml.Parse(data, &document)
	return document, err
}

// ParseEditRequest reads an edit in YAML or JSON. The error is FieldErrors as for Parse.
func ParseEditRequest(data []byte) (EditRequest, error) {
	var request EditRequest
	err := strictyaml.Parse(data, &request)
	return request, err
}

// ParseAndValidate reads a document and returns all its faults at once.
func ParseAndValidate(data []byte) (Document, FieldErrors) {
	document, err := Parse(data)
	fieldErrors, _ := err.(FieldErrors)
	return document, append(fieldErrors, Validate(document)...)
}

// Decode reads a document as Encode wrote it.
func Decode(data []byte) (Document, error) {
	var document Document
	err := json.Unmarshal(data, &document)
	return document, err
}

// Encode writes a document as JSON. Equal documents give equal bytes.
func Encode(document Document) ([]byte, error) { return json.Marshal(document) }
