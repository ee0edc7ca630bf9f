package settings

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/granitebay/granitebay/internal/strictyaml"
)

// Field is one field of a settings file.
type Field struct {
	// Path of the field, for example "listen.callers".
	Path string
	// Default value as written in the file.
	Default string
	// Required is set for fields whose default is invalid, so that the file must set them.
	Required bool
}

// Fields returns all fields of a settings file, in declaration order. A field is required if validation rejects its default.
func Fields() []Field {
	initial := defaultFile()
	required := map[string]bool{}
	for _, fieldError := range initial.validate() {
		required[fieldError.Field] = true
	}
	var fields []Field
	visitFields("", reflect.ValueOf(initial), func(path string, value reflect.Value) {
		fields = append(fields, Field{Path: path, Default: formatDefault(value), Required: required[path]})
	})
	return fields
}

// visitFields calls visit for each leaf field of a struct, including those of nested structs.
func visitFields(prefix string, value reflect.Value, visit func(path string, value reflect.Value)) {
	for i := range value.NumField() {
		name, _, _ := strings.Cut(value.Type().Field(i).Tag.Get("json"), ",")
		if field := value.Field(i); field.Kind() == reflect.Struct {
			visitFields(prefix+name+".", field, visit)
		} else {
			visit(prefix+name, field)
		}
	}
}

// formatDefault formats a value as it is written in the file.
func formatDefault(value reflect.Value) string {
	switch v := value.Interface().(type) {
	case []string:
		return strings.Join(v, ", ")
	case strictyaml.Duration:
		return v.String()
	default:
		return fmt.Sprint(v)
	}
}
