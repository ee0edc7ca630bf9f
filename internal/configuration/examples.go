package configuration

import (
	"embed"

	"github.com/cockroachdb/errors"
)

//go:embed examples/*.yaml
var examples embed.FS

// Names of the embedded example configurations.
const (
	ExampleFes      = "fes"
	ExampleMagnolia = "magnolia"
)

// ExampleYAML returns the YAML source of an embedded example.
func ExampleYAML(name string) ([]byte, error) {
	data, err := examples.ReadFile("examples/" + name + ".yaml")
	return data, errors.Wrapf(err, "read example configuration %s", name)
}

// Example parses and validates an embedded example.
func Example(name string) (Document, error) {
	data, err := ExampleYAML(name)
	if err != nil {
		return Document{}, err
	}
	document, fieldErrors := ParseAndValidate(data)
	return document, errors.Wrapf(fieldErrors.OrNil(), "parse example configuration %s", name)
}
