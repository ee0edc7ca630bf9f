package configuration

import (
	"fmt"
	"slices"
	"strings"

	"github.com/samber/lo"
	"k8s.io/apimachinery/pkg/labels"
	"k8s.io/apimachinery/pkg/selection"
)

func (v *validator) validateGroups() {
	paths := v.validateNames("groups", lo.Map(v.spec.Groups, func(g Group, _ int) string { return g.Name }))
	for i, group := range v.spec.Groups {
		if group.Service == "" {
			v.addError(paths[i]+".service", nil, "is missing", "the name of a service")
		}
		v.groupSelectors = append(v.groupSelectors, v.parseSelector(paths[i]+".workerSelector", group.WorkerSelector))
		v.validateRoleFloors(paths[i]+".roleFloors", group.RoleFloors)
		v.validateGroupOverlaps(paths[i]+".workerSelector", i)
	}
}

// validateGroupOverlaps checks that no worker can be selected by both this group and an earlier one.
func (v *validator) validateGroupOverlaps(field string, index int) {
	selector := v.groupSelectors[index]
	if selector == nil {
		return
	}
	for earlier, other := range v.groupSelectors[:index] {
		if other == nil || v.spec.Groups[earlier].Service != v.spec.Groups[index].Service {
			continue
		}
		both := newConstraints(append(slices.Clone(requirementsOf(selector)), requirementsOf(other)...)...)
		example, overlap := both.satisfyingLabels()
		if overlap {
			v.addError(field, v.spec.Groups[index].WorkerSelector, fmt.Sprintf(
				"can select a worker that group %s also selects (workerSelector: %q), for example one with the labels {%s}",
				v.spec.Groups[earlier].Name, v.spec.Groups[earlier].WorkerSelector, example),
				"selectors that require different values of a label")
		}
	}
}

func (v *validator) validateRules() {
	paths := v.validateNames("rules", lo.Map(v.spec.Rules, func(r Rule, _ int) string { return r.Name }))
	for i, rule := range v.spec.Rules {
		v.ruleSelectors = append(v.ruleSelectors, v.parseRuleSelector(paths[i]+".requestSelector", rule.RequestSelector))
		v.validateRuleGroups(paths[i]+".groups", rule)
		v.validateRuleValues(paths[i], rule)
	}
	for i := range v.spec.Rules {
		v.validateReachable(paths[i]+".requestSelector", i)
	}
}

// parseRuleSelector parses the selector of a rule like parseSelector, and checks that it allows a value that the label
// repeatable can have.
func (v *validator) parseRuleSelector(field, text string) labels.Selector {
	selector := v.parseSelector(field, text)
	if selector == nil {
		return nil
	}
	combined := newConstraints(requirementsOf(selector)...)
	combined.add(repeatableRequirement())
	if !combined.satisfiable() {
		v.addError(field, text, "can never match: the label repeatable is always true or false", "repeatable=true, repeatable=false")
	}
	return selector
}

// repeatableRequirement returns the requirement that every request satisfies: the label repeatable is true or false.
func repeatableRequirement() labels.Requirement {
	requirement, err := labels.NewRequirement(LabelRepeatable, selection.In, []string{"false", "true"})
	if err != nil {
		panic(err) // unreachable: the arguments are constant
	}
	return *requirement
}

// validateRuleGroups checks that the groups of a rule exist and that their weights are usable.
func (v *validator) validateRuleGroups(field string, rule Rule) {
	if len(rule.Groups) == 0 {
		v.addError(field, nil, "is missing", "at least one group")
		return
	}
	v.validateUnique(field, lo.Map(rule.Groups, func(share GroupShare, _ int) string { return share.Group }))
	totalWeight := 0
	for i, share := range rule.Groups {
		path := fmt.Sprintf("%s[%d]", field, i)
		if !lo.ContainsBy(v.spec.Groups, func(g Group) bool { return g.Name == share.Group }) {
			v.addError(path+".group", share.Group, "is an unknown group", v.groupNames())
		}
		v.validateMinimum(path+".weight", float64(share.Weight), 0)
		totalWeight += share.Weight
	}
	if totalWeight <= 0 {
		v.addError(field, nil, "have no positive total weight", "at least one weight above 0")
	}
}

func (v *validator) validateRuleValues(path string, rule Rule) {
	if rule.Priority < 0 || rule.Priority > MaximumPriority {
		v.addError(path+".priority", rule.Priority, "is out of range", fmt.Sprintf("an integer from 0 to %d", MaximumPriority))
	}
	if rule.Timeout <= 0 {
		v.addError(path+".timeout", rule.Timeout, "is not positive", "a duration above 0s")
	}
	if rule.Objective <= 0 {
		v.addError(path+".objective", rule.Objective, "is not positive", "a duration above 0s")
	}
	v.validateMinimum(path+".maximumAttempts", float64(rule.MaximumAttempts), 1)
	v.validateMinimum(path+".tenantInFlight", float64(rule.TenantInFlight), 0)
}

// validateReachable checks that no rule tried earlier selects every request that this one selects.
func (v *validator) validateReachable(field string, index int) {
	selector := v.ruleSelectors[index]
	if selector == nil {
		return
	}
	for i, other := range v.ruleSelectors {
		if i == index || other == nil || !rulePrecedes(v.spec.Rules[i], v.spec.Rules[index]) {
			continue
		}
		requirements := append(slices.Clone(requirementsOf(selector)), repeatableRequirement())
		if implies(requirements, requirementsOf(other)) {
			v.addError(field, v.spec.Rules[index].RequestSelector, fmt.Sprintf(
				"can never match: rule %s is tried first (precedence %d) and selects all these requests (%q)",
				v.spec.Rules[i].Name, v.spec.Rules[i].Precedence, v.spec.Rules[i].RequestSelector),
				"a higher precedence or another selector")
			return
		}
	}
}

// rulePrecedes reports whether rule a is tried before rule b.
func rulePrecedes(a, b Rule) bool {
	if a.Precedence != b.Precedence {
		return a.Precedence > b.Precedence
	}
	return a.Name < b.Name
}

func (v *validator) groupNames() string {
	return strings.Join(lo.Map(v.spec.Groups, func(g Group, _ int) string { return g.Name }), ", ")
}
