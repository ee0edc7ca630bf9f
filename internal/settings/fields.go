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
	given := defaults()
	missing := map[string]bool{}
	for _, fault := range given.faults() {
		missing[fault.Field] = true
	}
	var fields []Field
	collect("", reflect.ValueOf(given), func(path string, value reflect.Value) {
		fields = append(fields, Field{Path: path, Default: show(value), Required: missing[path]})
	})
	return fields
}

// collect visits the fields of a struct and of those in it.
func collect(prefix string, value reflect.Value, visit func(path string, value reflect.Value)) {
	for i := range value.NumField() {
		name, _, _ := strings.Cut(value.Type().Field(i).Tag.Get("json"), ",")
		if member := value.Field(i); member.Kind() == reflect.Struct {
			collect(prefix+name+".", member, visit)
		} else {
			visit(prefix+name, member)
		}
	}
}

// show writes a default.
func show(value reflect.Value) string {
	switch v := value.Interface().(type) {
	case []string:
		return strings.Join(v, ", ")
	case strictyaml.Duration:
		return v.String()
	default:
		return fmt.Sprint(v)
	}
}
