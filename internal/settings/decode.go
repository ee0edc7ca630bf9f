package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"k8s.io/apimachinery/pkg/util/validation/field"
)

// decoder puts decoded YAML into a struct and collects every unknown field and every value of a wrong type, where a
// plain decoder stops at the first.
type decoder struct {
	errs field.ErrorList
}

var unmarshalerType = reflect.TypeFor[json.Unmarshaler]()

// decode puts a value into a target and keeps what the value doesn't mention.
func (d *decoder) decode(value any, target reflect.Value, path *field.Path) {
	if value == nil {
		return
	}
	switch {
	case target.Addr().Type().Implements(unmarshalerType):
		d.leaf(value, target, path)
	case target.Kind() == reflect.Struct:
		d.structure(value, target, path)
	case target.Kind() == reflect.Slice:
		d.list(value, target, path)
	default:
		d.leaf(value, target, path)
	}
}

func (d *decoder) structure(value any, target reflect.Value, path *field.Path) {
	object, ok := value.(map[string]any)
	if !ok {
		d.errs = append(d.errs, field.Invalid(pathOrRoot(path), value, "must be an object with the fields "+strings.Join(fieldNames(target.Type()), ", ")))
		return
	}
	known := fieldsByName(target)
	for _, name := range slices.Sorted(maps.Keys(object)) {
		member, found := known[name]
		if !found {
			d.errs = append(d.errs, unknownField(child(path, name), object[name], target.Type()))
			continue
		}
		d.decode(object[name], member, child(path, name))
	}
}

func unknownField(path *field.Path, value any, parent reflect.Type) *field.Error {
	return field.Invalid(path, value, "unknown field; known fields are "+strings.Join(fieldNames(parent), ", "))
}

func (d *decoder) list(value any, target reflect.Value, path *field.Path) {
	items, ok := value.([]any)
	if !ok {
		d.errs = append(d.errs, field.Invalid(pathOrRoot(path), value, "must be a list"))
		return
	}
	list := reflect.MakeSlice(target.Type(), len(items), len(items))
	for i, item := range items {
		d.decode(item, list.Index(i), path.Index(i))
	}
	target.Set(list)
}

// leaf decodes a value as a whole.
func (d *decoder) leaf(value any, target reflect.Value, path *field.Path) {
	data, err := json.Marshal(value)
	if err == nil {
		err = json.Unmarshal(data, target.Addr().Interface())
	}
	if err == nil {
		return
	}
	detail := err.Error()
	if _, wrongType := err.(*json.UnmarshalTypeError); wrongType {
		detail = fmt.Sprintf("must be of type %s", target.Type())
	}
	d.errs = append(d.errs, field.Invalid(pathOrRoot(path), value, detail))
}

// fieldsByName returns the members of a struct by their name in the file. Embedded structs count as part of the outer one.
func fieldsByName(target reflect.Value) map[string]reflect.Value {
	members := make(map[string]reflect.Value)
	for i := range target.NumField() {
		member := target.Type().Field(i)
		if member.Anonymous {
			maps.Copy(members, fieldsByName(target.Field(i)))
			continue
		}
		members[nameOf(member)] = target.Field(i)
	}
	return members
}

func fieldNames(structure reflect.Type) []string {
	return slices.Sorted(maps.Keys(fieldsByName(reflect.New(structure).Elem())))
}

func nameOf(member reflect.StructField) string {
	name, _, _ := strings.Cut(member.Tag.Get("json"), ",")
	return name
}

func child(path *field.Path, name string) *field.Path {
	if path == nil {
		return field.NewPath(name)
	}
	return path.Child(name)
}

// pathOrRoot names the whole document when there is no path.
func pathOrRoot(path *field.Path) *field.Path {
	if path == nil {
		return field.NewPath("settings")
	}
	return path
}
