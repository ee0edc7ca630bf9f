// Package strictyaml decodes YAML and JSON into structs. It rejects unknown fields, values of the wrong type and duplicate keys,
// and reports all unknown fields and wrong types at once. Syntax errors and duplicate keys are reported alone.
package strictyaml

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/samber/lo"
	"sigs.k8s.io/yaml"
)

// documentPath stands for the whole document in a FieldError.
const documentPath = "(document)"

// Parse decodes YAML or JSON into value. Fields that are omitted or have an error keep their values. The error is FieldErrors; the
// other fields are decoded nevertheless, so that the caller can validate them.
func Parse[T any](data []byte, value *T) error {
	data, err := yaml.YAMLToJSONStrict(data)
	if err != nil {
		return FieldErrors{{Field: documentPath, Problem: err.Error(), Allowed: "YAML or JSON without duplicate keys"}}
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var tree any
	if err := decoder.Decode(&tree); err != nil {
		return FieldErrors{{Field: documentPath, Problem: err.Error(), Allowed: "YAML or JSON"}}
	}
	var checker typeChecker
	tree = checker.removeInvalid("", tree, reflect.TypeFor[T]())
	// A type with its own UnmarshalJSON may reject a value of the right JSON type; such an error has no path.
	if err := decodeTree(tree, value); err != nil {
		checker.errs = append(checker.errs, FieldError{Field: documentPath, Problem: err.Error()})
	}
	return checker.errs.OrNil()
}

// decodeTree decodes a tree that matches the type of value.
func decodeTree(tree, value any) error {
	if tree == (invalid{}) {
		return nil
	}
	data, err := json.Marshal(tree)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, value)
}

// typeChecker removes the values from a JSON tree that do not match a Go type, and records an error for each.
type typeChecker struct{ errs FieldErrors }

// invalid replaces a value that does not match its type.
type invalid struct{}

// removeInvalid returns a value without the parts that do not match the type, or invalid if the value itself does not match.
func (c *typeChecker) removeInvalid(path string, value any, typ reflect.Type) any {
	if value == nil {
		return nil
	}
	switch typ {
	case reflect.TypeFor[Duration]():
		return c.checkDuration(path, value)
	case reflect.TypeFor[json.RawMessage]():
		return value
	}
	switch typ.Kind() {
	case reflect.Pointer:
		return c.removeInvalid(path, value, typ.Elem())
	case reflect.Struct:
		return c.checkStruct(path, value, typ)
	case reflect.Slice:
		return c.checkSlice(path, value, typ)
	case reflect.Map:
		return c.checkMap(path, value, typ)
	default:
		return c.checkScalar(path, value, typ)
	}
}

// addError records a mismatch and returns invalid.
func (c *typeChecker) addError(path string, value any, problem, allowed string) any {
	field := lo.CoalesceOrEmpty(path, documentPath)
	c.errs = append(c.errs, FieldError{Field: field, Value: FormatValue(value), Problem: problem, Allowed: allowed})
	return invalid{}
}

func (c *typeChecker) checkDuration(path string, value any) any {
	var duration Duration
	data, _ := json.Marshal(value)
	if err := duration.UnmarshalJSON(data); err != nil {
		return c.addError(path, value, "is not a duration", `a string such as "250ms" or "1m30s"`)
	}
	return value
}

func (c *typeChecker) checkStruct(path string, value any, typ reflect.Type) any {
	object, isObject := value.(map[string]any)
	if !isObject {
		return c.addError(path, value, "is not an object", "fields "+strings.Join(fieldNames(typ), ", "))
	}
	known := fieldTypes(typ)
	result := map[string]any{}
	for _, name := range SortedKeys(object) {
		fieldType, isKnown := known[name]
		if !isKnown {
			c.addError(JoinPath(path, name), nil, "is an unknown field", strings.Join(fieldNames(typ), ", "))
			continue
		}
		if checked := c.removeInvalid(JoinPath(path, name), object[name], fieldType); checked != (invalid{}) {
			result[name] = checked
		}
	}
	return result
}

func (c *typeChecker) checkSlice(path string, value any, typ reflect.Type) any {
	list, isList := value.([]any)
	if !isList {
		return c.addError(path, value, "is not a list", "a list")
	}
	result := []any{}
	for i, element := range list {
		checked := c.removeInvalid(fmt.Sprintf("%s[%s]", path, elementKey(element, i)), element, typ.Elem())
		if checked != (invalid{}) {
			result = append(result, checked)
		}
	}
	return result
}

func (c *typeChecker) checkMap(path string, value any, typ reflect.Type) any {
	object, isObject := value.(map[string]any)
	if !isObject {
		return c.addError(path, value, "is not a map", "a map of keys to values")
	}
	result := map[string]any{}
	for _, key := range SortedKeys(object) {
		if checked := c.removeInvalid(fmt.Sprintf("%s[%s]", path, key), object[key], typ.Elem()); checked != (invalid{}) {
			result[key] = checked
		}
	}
	return result
}

func (c *typeChecker) checkScalar(path string, value any, typ reflect.Type) any {
	switch typ.Kind() {
	case reflect.String:
		if _, isString := value.(string); !isString {
			return c.addError(path, value, "is not a string", "a string; quote numbers and booleans")
		}
	case reflect.Bool:
		if _, isBool := value.(bool); !isBool {
			return c.addError(path, value, "is not a boolean", "true, false")
		}
	case reflect.Float64:
		if _, isNumber := value.(json.Number); !isNumber {
			return c.addError(path, value, "is not a number", "a number")
		}
	default:
		return c.checkInteger(path, value, typ)
	}
	return value
}

// checkInteger checks an integer of any size. Kinds other than those of checkScalar are integers.
func (c *typeChecker) checkInteger(path string, value any, typ reflect.Type) any {
	number, isNumber := value.(json.Number)
	var err error
	if typ.Kind() == reflect.Uint64 {
		_, err = strconv.ParseUint(number.String(), 10, 64)
	} else {
		_, err = strconv.ParseInt(number.String(), 10, typ.Bits())
	}
	if !isNumber || err != nil {
		return c.addError(path, value, "is not an integer", "an integer")
	}
	return value
}

// elementKey returns the text in brackets in the path of a list element: its name, or its index if it has none.
func elementKey(element any, index int) string {
	if object, isObject := element.(map[string]any); isObject {
		if name, isString := object["name"].(string); isString && name != "" {
			return name
		}
	}
	return strconv.Itoa(index)
}

// fieldTypes returns the types of the fields of a struct by JSON name.
func fieldTypes(typ reflect.Type) map[string]reflect.Type {
	result := map[string]reflect.Type{}
	for i := range typ.NumField() {
		name, _, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
		result[name] = typ.Field(i).Type
	}
	return result
}

func fieldNames(typ reflect.Type) []string { return SortedKeys(fieldTypes(typ)) }

// SortedKeys returns the sorted keys of a map.
func SortedKeys[V any](values map[string]V) []string {
	keys := lo.Keys(values)
	slices.Sort(keys)
	return keys
}

// JoinPath returns the path of a field within the object at path.
func JoinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// FormatValue formats a value as JSON, and nil as an empty string.
func FormatValue(value any) string {
	if value == nil {
		return ""
	}
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(data)
}
