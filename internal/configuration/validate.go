package configuration

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/samber/lo"
	"k8s.io/apimachinery/pkg/api/validate/content"
	"k8s.io/apimachinery/pkg/labels"

	"github.com/granitebay/granitebay/internal/engine"
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
	check.models()
	check.groups()
	check.rules()
	check.tenants()
	check.engineLabels()
	return check.faults
}

// fault notes one fault. A nil value is not shown.
func (v *validator) fault(field string, value any, problem, allowed string) {
	v.faults = append(v.faults, FieldError{Field: field, Value: quote(value), Problem: problem, Allowed: allowed})
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

// positive checks that a number is above zero.
func (v *validator) positive(field string, value float64) {
	if !(value > 0) || math.IsInf(value, 0) {
		v.fault(field, value, "is not positive", "a number above 0")
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

func (v *validator) models() {
	paths := v.names("models", lo.Map(v.spec.Models, func(m Model, _ int) string { return m.Name }))
	for i, model := range v.spec.Models {
		if len(model.Versions) == 0 {
			v.fault(paths[i]+".versions", nil, "is missing", "at least one version")
		}
		v.texts(paths[i]+".versions", model.Versions)
		v.texts(paths[i]+".adapters", model.Adapters)
		v.atLeast(paths[i]+".maximumContextTokens", float64(model.MaximumContextTokens), 0)
	}
}

func (v *validator) tenants() {
	paths := v.names("tenants", lo.Map(v.spec.Tenants, func(t Tenant, _ int) string { return t.Name }))
	for i, tenant := range v.spec.Tenants {
		v.positive(paths[i]+".weight", tenant.Weight)
		if tenant.Limits != nil {
			v.limits(paths[i]+".limits", *tenant.Limits)
		}
	}
}

func (v *validator) limits(field string, limits TenantLimits) {
	v.atLeast(field+".maximumInFlight", float64(limits.MaximumInFlight), 0)
	v.atLeast(field+".tokensPerSecond", limits.TokensPerSecond, 0)
}

func (v *validator) engineLabels() {
	for _, name := range sortedKeys(v.spec.EngineLabels) {
		path := fmt.Sprintf("spec.engineLabels[%s]", name)
		if name == "" {
			v.fault(path, nil, "has no engine", "the name of an engine")
		}
		for _, key := range sortedKeys(v.spec.EngineLabels[name]) {
			v.engineLabel(path, key, v.spec.EngineLabels[name][key])
		}
	}
}

func (v *validator) engineLabel(path, key, value string) {
	field := fmt.Sprintf("%s[%s]", path, key)
	if problems := content.IsLabelKey(key); len(problems) > 0 {
		v.fault(field, key, "is not a key of a label", strings.Join(problems, "; "))
	}
	if key == LabelEngine || key == LabelZone {
		v.fault(field, key, "is set by the platform", "any other key")
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

func (v *validator) roles(field string, policy RolePolicy) {
	if len(policy.AllowedRoles) == 0 {
		v.fault(field+".allowedRoles", nil, "is empty", "prefill, decode")
	}
	for i, role := range policy.AllowedRoles {
		if !lo.Contains(engine.Roles(), role) {
			v.fault(fmt.Sprintf("%s.allowedRoles[%d]", field, i), role, "is not a role", "prefill, decode")
		}
	}
	for _, role := range sortedRoles(policy.Floors) {
		path := fmt.Sprintf("%s.floors[%s]", field, role)
		v.atLeast(path, float64(policy.Floors[role]), 0)
		if !policy.Allows(role) {
			v.fault(path, role, "is a floor for a role that is not allowed", "the roles in allowedRoles")
		}
	}
	v.atLeast(field+".changeCost", policy.ChangeCost, 0)
	v.atLeast(field+".maximumChanging", float64(policy.MaximumChanging), 0)
	if policy.MinimumDwell < 0 {
		v.fault(field+".minimumDwell", policy.MinimumDwell, "is negative", "a duration from 0s")
	}
}

func sortedRoles(floors map[engine.Role]int) []engine.Role {
	names := lo.MapKeys(floors, func(_ int, role engine.Role) string { return string(role) })
	return lo.Map(sortedKeys(names), func(name string, _ int) engine.Role { return engine.Role(name) })
}
