package configuration

import (
	"encoding/json"

	"github.com/granitebay/granitebay/internal/strictyaml"
)

// Aliases of the strictyaml types that appear in this package's API.
type (
	// FieldError is an error in one field of a document or in the document as a whole; FieldErrors lists all of them.
	FieldError  = strictyaml.FieldError
	FieldErrors = strictyaml.FieldErrors
	// Duration is a time.Duration that is encoded as a string such as "1m30s".
	Duration = strictyaml.Duration
)

// Parse decodes a document in YAML or JSON. Omitted fields get their defaults. The error is FieldErrors and lists all unknown
// fields and values of the wrong type. On error the document holds the fields that could be decoded, so that Validate
// can check them.
func Parse(data []byte) (Document, error) {
	var document Document
	err := strictyaml.Parse(data, &document)
	return document, err
}

// ParseEditRequest decodes an edit request in YAML or JSON. The error is FieldErrors as for Parse.
func ParseEditRequest(data []byte) (EditRequest, error) {
	var request EditRequest
	err := strictyaml.Parse(data, &request)
	return request, err
}

// ParseAndValidate decodes a document and returns all parse and validation errors.
func ParseAndValidate(data []byte) (Document, FieldErrors) {
	document, err := Parse(data)
	// Parse returns no other type of error.
	fieldErrors, _ := err.(FieldErrors)
	return document, append(fieldErrors, Validate(document)...)
}

// Decode decodes a document written by Encode.
func Decode(data []byte) (Document, error) {
	var document Document
	err := json.Unmarshal(data, &document)
	return document, err
}

// Encode encodes a document as JSON. Equal documents have equal encodings.
func Encode(document Document) ([]byte, error) { return json.Marshal(document) }
