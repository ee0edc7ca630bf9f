package configuration

import (
	"fmt"
	"slices"
	"strings"

	"github.com/samber/lo"
	"k8s.io/apimachinery/pkg/labels"
	"k8s.io/apimachinery/pkg/selection"
)

func (v *validator) groups() {
	paths := v.names("groups", lo.Map(v.spec.Groups, func(g Group, _ int) string { return g.Name }))
	for i, group := range v.spec.Groups {
		v.groupSelectors = append(v.groupSelectors, v.selector(paths[i]+".engineSelector", group.EngineSelector))
		v.groupModels(paths[i]+".models", group.Models)
		v.roles(paths[i]+".rolePolicy", group.RolePolicy)
		v.groupOverlaps(paths[i]+".engineSelector", i)
	}
}

// groupModels checks what a group says of models.
func (v *validator) groupModels(field string, models []GroupModel) {
	if len(models) == 0 {
		v.fault(field, nil, "is missing", "at least one model")
	}
	seen := map[string]bool{}
	for i, served := range models {
		path := fmt.Sprintf("%s[%s]", field, lo.CoalesceOrEmpty(served.Model, fmt.Sprint(i)))
		v.atLeast(path+".minimumEngines", float64(served.MinimumEngines), 0)
		if seen[served.Model] {
			v.fault(path+".model", served.Model, "is there twice", "each model once")
		}
		seen[served.Model] = true
		v.groupModel(path, served)
	}
}

// groupModel checks the references from a group to a model.
func (v *validator) groupModel(path string, served GroupModel) {
	model, known := lo.Find(v.spec.Models, func(m Model) bool { return m.Name == served.Model })
	if !known {
		v.fault(path+".model", served.Model, "is an unknown model", v.modelNames())
		return
	}
	if !slices.Contains(model.Versions, served.Version) {
		v.fault(path+".version", served.Version, "is an unknown version", strings.Join(model.Versions, ", "))
	}
	for i, adapter := range served.Adapters {
		if !slices.Contains(model.Adapters, adapter) {
			v.fault(fmt.Sprintf("%s.adapters[%d]", path, i), adapter, "is an unknown adapter", strings.Join(model.Adapters, ", "))
		}
	}
}

// groupOverlaps checks that no engine can be selected by this group and an earlier one.
func (v *validator) groupOverlaps(field string, place int) {
	selector := v.groupSelectors[place]
	if selector == nil {
		return
	}
	for earlier, other := range v.groupSelectors[:place] {
		if other == nil {
			continue
		}
		both := constrain(append(slices.Clone(requirementsOf(selector)), requirementsOf(other)...)...)
		example, overlap := both.witness()
		if overlap {
			v.fault(field, v.spec.Groups[place].EngineSelector, fmt.Sprintf(
				"can select an engine that group %s selects too (%s: %q), for example one with the labels {%s}",
				v.spec.Groups[earlier].Name, "engineSelector", v.spec.Groups[earlier].EngineSelector, example),
				"selectors that demand different values of one label")
		}
	}
}

func (v *validator) rules() {
	paths := v.names("rules", lo.Map(v.spec.Rules, func(r Rule, _ int) string { return r.Name }))
	for i, rule := range v.spec.Rules {
		v.ruleSelectors = append(v.ruleSelectors, v.ruleSelector(paths[i]+".requestSelector", rule.RequestSelector))
		v.ruleGroups(paths[i]+".groups", rule)
		v.ruleValues(paths[i], rule)
	}
	for i := range v.spec.Rules {
		v.shadowed(paths[i]+".requestSelector", i)
	}
}

// ruleSelector parses the selector of a rule and checks the labels that the system sets.
func (v *validator) ruleSelector(field, text string) labels.Selector {
	selector := v.selector(field, text)
	if selector == nil {
		return nil
	}
	withRepeatable := constrain(requirementsOf(selector)...)
	withRepeatable.add(repeatableIsBoolean())
	if !withRepeatable.satisfiable() {
		v.fault(field, text, "can never match: the label repeatable is always true or false", "repeatable=true, repeatable=false")
	}
	for _, model := range pinnedModels(selector) {
		if !lo.ContainsBy(v.spec.Models, func(m Model) bool { return m.Name == model }) {
			v.fault(field, text, fmt.Sprintf("selects the unknown model %q", model), v.modelNames())
		}
	}
	return selector
}

// repeatableIsBoolean is what the system guarantees of the label repeatable.
func repeatableIsBoolean() labels.Requirement {
	requirement, err := labels.NewRequirement(LabelRepeatable, selection.In, []string{"false", "true"})
	if err != nil {
		panic(err) // cannot be: the values are constant
	}
	return *requirement
}

// pinnedModels returns the models that a selector names.
func pinnedModels(selector labels.Selector) []string {
	return lo.FlatMap(requirementsOf(selector), func(requirement labels.Requirement, _ int) []string {
		switch requirement.Operator() {
		case selection.In, selection.Equals, selection.DoubleEquals:
			if requirement.Key() == LabelModel {
				return requirement.ValuesUnsorted()
			}
		}
		return nil
	})
}

// ruleGroups checks that the groups of a rule exist and serve the models that the rule selects.
func (v *validator) ruleGroups(field string, rule Rule) {
	if len(rule.Groups) == 0 {
		v.fault(field, nil, "is missing", "at least one group")
		return
	}
	v.texts(field, rule.Groups)
	var allowed []Group
	for i, name := range rule.Groups {
		group, known := lo.Find(v.spec.Groups, func(g Group) bool { return g.Name == name })
		if !known {
			v.fault(fmt.Sprintf("%s[%d]", field, i), name, "is an unknown group", v.groupNames())
			continue
		}
		allowed = append(allowed, group)
	}
	v.ruleModelsServed(field, rule, allowed)
}

func (v *validator) ruleModelsServed(field string, rule Rule, allowed []Group) {
	selector, err := labels.Parse(rule.RequestSelector)
	if err != nil || len(allowed) < len(rule.Groups) {
		return
	}
	for _, model := range pinnedModels(selector) {
		known := lo.ContainsBy(v.spec.Models, func(m Model) bool { return m.Name == model })
		served := lo.SomeBy(allowed, func(g Group) bool { _, serves := g.Serves(model); return serves })
		if known && !served {
			v.fault(field, rule.Groups, fmt.Sprintf("do not serve the model %q that the rule selects", model), "a group that serves it")
		}
	}
}

func (v *validator) ruleValues(path string, rule Rule) {
	if rule.Priority < 0 || rule.Priority > MaximumPriority {
		v.fault(path+".priority", rule.Priority, "is out of bounds", fmt.Sprintf("a whole number from 0 to %d", MaximumPriority))
	}
	if rule.DefaultDeadline <= 0 {
		v.fault(path+".defaultDeadline", rule.DefaultDeadline, "is not positive", "a duration above 0s")
	}
	if rule.MaximumDeadline < rule.DefaultDeadline {
		v.fault(path+".maximumDeadline", rule.MaximumDeadline, "is below the default deadline",
			fmt.Sprintf("a duration from %s", rule.DefaultDeadline))
	}
	v.positive(path+".weight", rule.Weight)
	v.limits(path+".perTenant", rule.PerTenant)
	v.atLeast(path+".maximumQueue", float64(rule.MaximumQueue), 0)
}

// shadowed checks that no rule of higher precedence takes all requests of this one.
func (v *validator) shadowed(field string, place int) {
	selector := v.ruleSelectors[place]
	if selector == nil {
		return
	}
	for i, other := range v.ruleSelectors {
		if i == place || other == nil || !ruleBefore(v.spec.Rules[i], v.spec.Rules[place]) {
			continue
		}
		narrow := append(slices.Clone(requirementsOf(selector)), repeatableIsBoolean())
		if implies(narrow, requirementsOf(other)) {
			v.fault(field, v.spec.Rules[place].RequestSelector, fmt.Sprintf(
				"can never match: rule %s comes first (precedence %d) and takes all these requests (%q)",
				v.spec.Rules[i].Name, v.spec.Rules[i].Precedence, v.spec.Rules[i].RequestSelector),
				"a higher precedence, or another selector")
			return
		}
	}
}

// ruleBefore tells whether rule a is tried before rule b.
func ruleBefore(a, b Rule) bool {
	if a.Precedence != b.Precedence {
		return a.Precedence > b.Precedence
	}
	return a.Name < b.Name
}

func (v *validator) modelNames() string {
	return strings.Join(lo.Map(v.spec.Models, func(m Model, _ int) string { return m.Name }), ", ")
}

func (v *validator) groupNames() string {
	return strings.Join(lo.Map(v.spec.Groups, func(g Group, _ int) string { return g.Name }), ", ")
}
