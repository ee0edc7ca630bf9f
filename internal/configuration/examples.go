package configuration

import (
	"embed"

	"github.com/cockroachdb/errors"
)

//go:embed examples/*.yaml
var examples embed.FS

// The names of the shipped examples.
const (
	ExampleFes      = "fes"
	ExampleMagnolia = "magnolia"
)

// ExampleYAML returns the YAML source of a shipped example.
func ExampleYAML(name string) ([]byte, error) {
	data, err := examples.ReadFile("examples/" + name + ".yaml")
	return data, errors.Wrapf(err, "read example configuration %s", name)
}

// Example parses and validates a shipped example.
func Example(name string) (Document, error) {
	data, err := ExampleYAML(name)
	if err != nil {
		return Document{}, err
	}
	document, fieldErrors := ParseAndValidate(data)
	return document, errors.Wrapf(fieldErrors.OrNil(), "parse example configuration %s", name)
}
