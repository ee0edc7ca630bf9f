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

// MaximumPriority is the priority of the least urgent requests.
const MaximumPriority = 9

// Allowed values as shown in errors.
const (
	allowedName     = "lower case letters, digits and '-', at most 63"
	allowedSelector = "a selector such as \"pool=counter,zone in (zone-a, zone-b)\""
)

// validator collects the errors of one document.
type validator struct {
	spec Spec
	errs FieldErrors
	// groupSelectors and ruleSelectors are the parsed selectors, in the order of the spec; nil where invalid.
	groupSelectors []labels.Selector
	ruleSelectors  []labels.Selector
}

// Validate returns all errors of a document, in the order of its fields. It returns nil for a valid document.
func Validate(document Document) FieldErrors {
	v := &validator{spec: document.Spec}
	v.validateGroups()
	v.validateRules()
	v.validateWorkerLabels()
	return v.errs
}

// addError records one error. A nil value is omitted from the message.
func (v *validator) addError(field string, value any, problem, allowed string) {
	v.errs = append(v.errs, FieldError{Field: field, Value: strictyaml.FormatValue(value), Problem: problem, Allowed: allowed})
}

// validateNames checks the names of the objects in a list and returns the path of each object.
func (v *validator) validateNames(listName string, names []string) []string {
	seen := map[string]bool{}
	paths := make([]string, len(names))
	for i, name := range names {
		paths[i] = fmt.Sprintf("spec.%s[%s]", listName, lo.CoalesceOrEmpty(name, strconv.Itoa(i)))
		switch {
		case name == "":
			v.addError(paths[i]+".name", nil, "is missing", allowedName)
		case len(content.IsDNS1123Label(name)) > 0:
			v.addError(paths[i]+".name", name, "is not a valid name", allowedName)
		case seen[name]:
			v.addError(paths[i]+".name", name, "is a duplicate", "unique names")
		}
		seen[name] = true
	}
	return paths
}

// validateMinimum checks that a number is finite and at least the minimum.
func (v *validator) validateMinimum(field string, value, minimum float64) {
	if value < minimum || math.IsNaN(value) || math.IsInf(value, 0) {
		v.addError(field, value, "is too small", fmt.Sprintf("a number of at least %v", minimum))
	}
}

// validateUnique checks that a list has no empty or duplicate entries.
func (v *validator) validateUnique(field string, values []string) {
	seen := map[string]bool{}
	for i, value := range values {
		if value == "" || seen[value] {
			v.addError(fmt.Sprintf("%s[%d]", field, i), value, "is empty or a duplicate", "unique entries")
		}
		seen[value] = true
	}
}

func (v *validator) validateWorkerLabels() {
	for _, address := range strictyaml.SortedKeys(v.spec.WorkerLabels) {
		path := fmt.Sprintf("spec.workerLabels[%s]", address)
		if address == "" {
			v.addError(path, nil, "has no worker address", "the address of a worker")
		}
		for _, key := range strictyaml.SortedKeys(v.spec.WorkerLabels[address]) {
			v.validateWorkerLabel(path, key, v.spec.WorkerLabels[address][key])
		}
	}
}

func (v *validator) validateWorkerLabel(path, key, value string) {
	field := fmt.Sprintf("%s[%s]", path, key)
	if problems := content.IsLabelKey(key); len(problems) > 0 {
		v.addError(field, key, "is not a valid label key", strings.Join(problems, "; "))
	}
	if key == LabelZone || key == LabelRole {
		v.addError(field, key, "is set by the worker", "any other key")
	}
	if problems := content.IsLabelValue(value); len(problems) > 0 {
		v.addError(field, value, "is not a valid label value", strings.Join(problems, "; "))
	}
}

// parseSelector parses a selector and checks that it is satisfiable. It returns nil if not.
func (v *validator) parseSelector(field, text string) labels.Selector {
	selector, err := labels.Parse(text)
	if err != nil {
		v.addError(field, text, "is not a valid selector: "+err.Error(), allowedSelector)
		return nil
	}
	if !newConstraints(requirementsOf(selector)...).satisfiable() {
		v.addError(field, text, "contradicts itself and can never match", allowedSelector)
		return nil
	}
	return selector
}

// validateRoleFloors checks the minimum number of workers for each role.
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
