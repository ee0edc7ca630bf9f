package configuration

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/samber/lo"
	"k8s.io/apimachinery/pkg/api/validate/content"
	"k8s.io/apimachinery/pkg/labels"

	"github.com/granitebay/granitebay/internal/backend"

	"github.com/granitebay/granitebay/internal/strictyaml"
)

// Bounds of values.
const (
	MaximumPriority = 9
	allowedName     = "lower case letters, digits and '-', at most 63"
	allowedSelector = "a selector such as \"pool=counter,zone in (zone-a, zone-b)\""
)

// validator collects the faults of one document.
type validator struct {
	spec Spec
	errs FieldErrors
	// groupSelectors and ruleSelectors are parsed, in the order of the spec; nil where parsing failed.
	groupSelectors []labels.Selector
	ruleSelectors  []labels.Selector
}

// Validate returns all faults of a document at once, in the order of its fields. It returns nil for a valid document.
func Validate(document Document) FieldErrors {
	v := &validator{spec: document.Spec}
	v.validateGroups()
	v.validateRules()
	v.validateWorkerLabels()
	return v.errs
}

// fault notes one fault. A nil value is not shown.
func (v *validator) addError(field string, value any, problem, allowed string) {
	v.errs = append(v.errs, FieldError{Field: field, Value: strictyaml.Quote(value), Problem: problem, Allowed: allowed})
}

// names checks the names of the objects of one kind and returns the path of each object.
func (v *validator) validateNames(listName string, names []string) []string {
	seen := map[string]bool{}
	paths := make([]string, len(names))
	for i, name := range names {
		paths[i] = fmt.Sprintf("spec.%s[%s]", listName, lo.CoalesceOrEmpty(name, strconv.Itoa(i)))
		switch {
		case name == "":
			v.addError(paths[i]+".name", nil, "is missing", allowedName)
		case len(content.IsDNS1123Label(name)) > 0:
			v.addError(paths[i]+".name", name, "is not a name", allowedName)
		case seen[name]:
			v.addError(paths[i]+".name", name, "is there twice", "each name once")
		}
		seen[name] = true
	}
	return paths
}

// atLeast checks the lower bound of a number.
func (v *validator) validateMinimum(field string, value, minimum float64) {
	if value < minimum || math.IsNaN(value) || math.IsInf(value, 0) {
		v.addError(field, value, "is too small", fmt.Sprintf("a number from %v", minimum))
	}
}

// texts checks that a list has no empty and no repeated entries.
func (v *validator) validateUnique(field string, values []string) {
	seen := map[string]bool{}
	for i, value := range values {
		if value == "" || seen[value] {
			v.addError(fmt.Sprintf("%s[%d]", field, i), value, "is empty or repeated", "each entry once")
		}
		seen[value] = true
	}
}

func (v *validator) validateWorkerLabels() {
	for _, address := range strictyaml.SortedKeys(v.spec.WorkerLabels) {
		path := fmt.Sprintf("spec.workerLabels[%s]", address)
		if address == "" {
			v.addError(path, nil, "has no worker", "the address of a worker")
		}
		for _, key := range strictyaml.SortedKeys(v.spec.WorkerLabels[address]) {
			v.validateWorkerLabel(path, key, v.spec.WorkerLabels[address][key])
		}
	}
}

func (v *validator) validateWorkerLabel(path, key, value string) {
	field := fmt.Sprintf("%s[%s]", path, key)
	if problems := content.IsLabelKey(key); len(problems) > 0 {
		v.addError(field, key, "is not a key of a label", strings.Join(problems, "; "))
	}
	if key == LabelZone || key == LabelRole {
		v.addError(field, key, "is set by the worker", "any other key")
	}
	if problems := content.IsLabelValue(value); len(problems) > 0 {
		v.addError(field, value, "is not a value of a label", strings.Join(problems, "; "))
	}
}

// selector parses a selector and checks that something can match it.
func (v *validator) parseSelector(field, text string) labels.Selector {
	selector, err := labels.Parse(text)
	if err != nil {
		v.addError(field, text, "is not a selector: "+err.Error(), allowedSelector)
		return nil
	}
	if !newConstraints(requirementsOf(selector)...).satisfiable() {
		v.addError(field, text, "contradicts itself and can never match", allowedSelector)
		return nil
	}
	return selector
}

// floors checks the least numbers of workers in each role.
func (v *validator) validateRoleFloors(field string, floors map[backend.Role]int) {
	for _, role := range []backend.Role{backend.RolePrefill, backend.RoleDecode} {
		v.validateMinimum(fmt.Sprintf("%s[%s]", field, role), float64(floors[role]), 0)
	}
	for role := range floors {
		if role != backend.RolePrefill && role != backend.RoleDecode {
			v.addError(fmt.Sprintf("%s[%s]", field, role), role, "is not a role", "prefill, decode")
		}
	}
}
