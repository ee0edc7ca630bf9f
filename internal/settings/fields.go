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
	// Default as it would be written; empty when there is none.
	Default string
	// Required fields have no default and must be given.
	Required bool
}

// Fields lists the fields of a settings file, in their order.
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

// collect visits the fields of a struct and of those in it.
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

// show writes a default.
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
