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
	spec   Spec
	faults FieldErrors
	// groupSelectors and ruleSelectors are parsed, in the order of the spec; nil where parsing failed.
	groupSelectors []labels.Selector
	ruleSelectors  []labels.Selector
}

// Validate returns all faults of a document at once, in the order of its fields. It returns nil for a valid document.
func Validate(document Document) FieldErrors {
	check := &validator{spec: document.Spec}
	check.groups()
	check.rules()
	check.workerLabels()
	return check.faults
}

// fault notes one fault. A nil value is not shown.
func (v *validator) fault(field string, value any, problem, allowed string) {
	v.faults = append(v.faults, FieldError{Field: field, Value: strictyaml.Quote(value), Problem: problem, Allowed: allowed})
}

// names checks the names of the objects of one kind and returns the path of each object.
func (v *validator) names(list string, names []string) []string {
	seen := map[string]bool{}
	paths := make([]string, len(names))
	for i, name := range names {
		paths[i] = fmt.Sprintf("spec.%s[%s]", list, lo.CoalesceOrEmpty(name, strconv.Itoa(i)))
		switch {
		case name == "":
			v.fault(paths[i]+".name", nil, "is missing", allowedName)
		case len(content.IsDNS1123Label(name)) > 0:
			v.fault(paths[i]+".name", name, "is not a name", allowedName)
		case seen[name]:
			v.fault(paths[i]+".name", name, "is there twice", "each name once")
		}
		seen[name] = true
	}
	return paths
}

// atLeast checks the lower bound of a number.
func (v *validator) atLeast(field string, value, least float64) {
	if value < least || math.IsNaN(value) || math.IsInf(value, 0) {
		v.fault(field, value, "is too small", fmt.Sprintf("a number from %v", least))
	}
}

// texts checks that a list has no empty and no repeated entries.
func (v *validator) texts(field string, values []string) {
	seen := map[string]bool{}
	for i, value := range values {
		if value == "" || seen[value] {
			v.fault(fmt.Sprintf("%s[%d]", field, i), value, "is empty or repeated", "each entry once")
		}
		seen[value] = true
	}
}

func (v *validator) workerLabels() {
	for _, address := range strictyaml.SortedKeys(v.spec.WorkerLabels) {
		path := fmt.Sprintf("spec.workerLabels[%s]", address)
		if address == "" {
			v.fault(path, nil, "has no worker", "the address of a worker")
		}
		for _, key := range strictyaml.SortedKeys(v.spec.WorkerLabels[address]) {
			v.workerLabel(path, key, v.spec.WorkerLabels[address][key])
		}
	}
}

func (v *validator) workerLabel(path, key, value string) {
	field := fmt.Sprintf("%s[%s]", path, key)
	if problems := content.IsLabelKey(key); len(problems) > 0 {
		v.fault(field, key, "is not a key of a label", strings.Join(problems, "; "))
	}
	if key == LabelZone || key == LabelRole {
		v.fault(field, key, "is set by the worker", "any other key")
	}
	if problems := content.IsLabelValue(value); len(problems) > 0 {
		v.fault(field, value, "is not a value of a label", strings.Join(problems, "; "))
	}
}

// selector parses a selector and checks that something can match it.
func (v *validator) selector(field, text string) labels.Selector {
	selector, err := labels.Parse(text)
	if err != nil {
		v.fault(field, text, "is not a selector: "+err.Error(), allowedSelector)
		return nil
	}
	if !constrain(requirementsOf(selector)...).satisfiable() {
		v.fault(field, text, "contradicts itself and can never match", allowedSelector)
		return nil
	}
	return selector
}

// floors checks the least numbers of workers in each role.
func (v *validator) floors(field string, floors map[backend.Role]int) {
	for _, role := range []backend.Role{backend.RolePrefill, backend.RoleDecode} {
		v.atLeast(fmt.Sprintf("%s[%s]", field, role), float64(floors[role]), 0)
	}
	for role := range floors {
		if role != backend.RolePrefill && role != backend.RoleDecode {
			v.fault(fmt.Sprintf("%s[%s]", field, role), role, "is not a role", "prefill, decode")
		}
	}
}
