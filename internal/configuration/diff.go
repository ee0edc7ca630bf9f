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
	// Text describes the change for people.
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
	return fmt.Sprintf("%s: %s", field, strings.Join(describeLeafChanges(before, after), "; "))
}

// describeLeafChanges formats the changed values within an object.
func describeLeafChanges(before, after json.RawMessage) []string {
	beforeLeaves, afterLeaves := leafValues(before), leafValues(after)
	paths := strictyaml.SortedKeys(lo.Assign(beforeLeaves, afterLeaves))
	return lo.FilterMap(paths, func(path string, _ int) (string, bool) {
		oldValue, newValue := beforeLeaves[path], afterLeaves[path]
		text := fmt.Sprintf("%s %s -> %s", path, lo.CoalesceOrEmpty(oldValue, "nothing"), lo.CoalesceOrEmpty(newValue, "nothing"))
		return text, oldValue != newValue
	})
}

// leafValues returns the non-object values within an object, by path. A list counts as one value.
func leafValues(object json.RawMessage) map[string]string {
	leaves := map[string]string{}
	var tree any
	decoder := json.NewDecoder(bytes.NewReader(object))
	decoder.UseNumber()
	if decoder.Decode(&tree) == nil {
		collectLeaves("", tree, leaves)
	}
	return leaves
}

func collectLeaves(path string, value any, leaves map[string]string) {
	object, isObject := value.(map[string]any)
	if !isObject {
		if value != nil {
			leaves[path] = strictyaml.FormatValue(value)
		}
		return
	}
	for name, inner := range object {
		collectLeaves(strictyaml.JoinPath(path, name), inner, leaves)
	}
}
