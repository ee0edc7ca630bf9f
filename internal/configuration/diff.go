package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/strictyaml"
)

// Difference is one field that differs between two specs.
type Difference struct {
	Field Field `json:"field"`
	// Text is a description for display, for example "rule other: removed".
	Text string `json:"text"`
}

// String returns the text of the difference.
func (d Difference) String() string { return d.Text }

// Diff returns the differences between two specs, sorted by field.
func Diff(before, after Spec) ([]Difference, error) {
	beforeValues, err := newFieldValues(normalize(before))
	if err != nil {
		return nil, err
	}
	afterValues, err := newFieldValues(normalize(after))
	if err != nil {
		return nil, err
	}
	changed := changedFields(beforeValues, afterValues)
	return lo.Map(changed, func(field Field, _ int) Difference {
		return Difference{Field: field, Text: describeChange(field, beforeValues[field], afterValues[field])}
	}), nil
}

// describeChange formats the change of one field.
func describeChange(field Field, before, after json.RawMessage) string {
	switch {
	case before == nil && field.Kind == KindWorkerLabel:
		return fmt.Sprintf("%s: set to %s", field, after)
	case before == nil:
		return fmt.Sprintf("%s: added", field)
	case after == nil:
		return fmt.Sprintf("%s: removed", field)
	case field.Kind == KindWorkerLabel:
		return fmt.Sprintf("%s: %s -> %s", field, before, after)
	}
	return fmt.Sprintf("%s: %s", field, strings.Join(describeValueChanges(before, after), "; "))
}

// describeValueChanges formats the values that differ between two versions of an object.
func describeValueChanges(before, after json.RawMessage) []string {
	beforeValues, afterValues := flattenObject(before), flattenObject(after)
	paths := strictyaml.SortedKeys(lo.Assign(beforeValues, afterValues))
	return lo.FilterMap(paths, func(path string, _ int) (string, bool) {
		oldValue, newValue := beforeValues[path], afterValues[path]
		text := fmt.Sprintf("%s %s -> %s", path, lo.CoalesceOrEmpty(oldValue, "nothing"), lo.CoalesceOrEmpty(newValue, "nothing"))
		return text, oldValue != newValue
	})
}

// flattenObject returns the values of an object by path. It flattens nested objects, but not lists.
func flattenObject(object json.RawMessage) map[string]string {
	values := map[string]string{}
	var tree any
	decoder := json.NewDecoder(bytes.NewReader(object))
	decoder.UseNumber()
	if decoder.Decode(&tree) == nil {
		flattenInto("", tree, values)
	}
	return values
}

// flattenInto adds the values within a value to values. Null counts as absent.
func flattenInto(path string, value any, values map[string]string) {
	object, isObject := value.(map[string]any)
	if !isObject {
		if value != nil {
			values[path] = strictyaml.FormatValue(value)
		}
		return
	}
	for name, inner := range object {
		flattenInto(strictyaml.JoinPath(path, name), inner, values)
	}
}
