// Package settings holds the static settings of all programs: what a process must know before it can ask anybody. They
// come from a YAML file and from flags over it, and are checked as a whole, so that every error is named at once.
package settings

import (
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"k8s.io/apimachinery/pkg/util/validation/field"
	"sigs.k8s.io/yaml"
)

// Checked is implemented by the settings of every program.
type Checked interface {
	// check returns everything that is wrong.
	check() field.ErrorList
}

// InvalidError lists everything that is wrong with settings.
type InvalidError struct {
	// Source is the file, or "flags" when there was none.
	Source string
	Fields field.ErrorList
}

// Error names each field with its value and what is allowed, one a line.
func (e *InvalidError) Error() string {
	lines := lo.Map(e.Fields, func(each *field.Error, _ int) string { return "  " + each.Error() })
	return fmt.Sprintf("settings from %s have %d errors:\n%s", e.Source, len(e.Fields), strings.Join(lines, "\n"))
}

// Load reads settings into a target that already holds the defaults. The path may be empty. The overrides come from flags:
// each sets the field with that dotted path, for example "logging.level"; the value is read as YAML. The error is an
// *InvalidError when the content is wrong.
func Load(path string, overrides map[string]string, target Checked) error {
	source, document, err := readDocument(path)
	if err != nil {
		return err
	}
	var all decoder
	for _, name := range slices.Sorted(maps.Keys(overrides)) {
		if problem := override(document, name, overrides[name]); problem != nil {
			all.errs = append(all.errs, problem)
		}
	}
	all.decode(document, reflect.ValueOf(target).Elem(), nil)
	all.errs = append(all.errs, withoutRepeats(all.errs, target.check())...)
	if len(all.errs) > 0 {
		return &InvalidError{Source: source, Fields: all.errs}
	}
	return nil
}

// withoutRepeats drops the errors of fields that could not even be decoded.
func withoutRepeats(decoding, checking field.ErrorList) field.ErrorList {
	known := lo.SliceToMap(decoding, func(each *field.Error) (string, bool) { return each.Field, true })
	return lo.Filter(checking, func(each *field.Error, _ int) bool { return !known[each.Field] })
}

// validate makes the Validate methods.
func validate(target Checked) error {
	if errs := target.check(); len(errs) > 0 {
		return &InvalidError{Source: "flags", Fields: errs}
	}
	return nil
}

// readDocument reads a YAML file; without a path the document is empty.
func readDocument(path string) (string, any, error) {
	if path == "" {
		return "flags", map[string]any{}, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return path, nil, errors.Wrap(err, "step read settings")
	}
	var document any
	if err := yaml.UnmarshalStrict(data, &document); err != nil {
		problem := field.Invalid(field.NewPath("settings"), path, "must be YAML: "+err.Error())
		return path, nil, &InvalidError{Source: path, Fields: field.ErrorList{problem}}
	}
	if document == nil {
		document = map[string]any{}
	}
	return path, document, nil
}

// override sets one field of a document.
func override(document any, name, text string) *field.Error {
	var value any
	if err := yaml.Unmarshal([]byte(text), &value); err != nil {
		return field.Invalid(field.NewPath(name), text, "must be YAML")
	}
	object, ok := document.(map[string]any)
	parts := strings.Split(name, ".")
	for _, part := range parts[:len(parts)-1] {
		if !ok {
			break
		}
		if object[part] == nil {
			object[part] = map[string]any{}
		}
		object, ok = object[part].(map[string]any)
	}
	if !ok {
		return field.Invalid(field.NewPath(name), text, "the settings have no such field")
	}
	object[parts[len(parts)-1]] = value
	return nil
}
