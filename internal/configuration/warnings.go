package configuration

import (
	"fmt"
	"strings"

	"github.com/samber/lo"
)

// EngineInfo is what the platform says of one engine.
type EngineInfo struct {
	Name string `json:"name"`
	// Labels that the platform gave the engine, its zone included.
	Labels map[string]string `json:"labels"`
}

// Warnings returns what is allowed but likely to be a mistake: engines that no group selects, groups that select no or
// too few engines, labels on unknown engines, and rules whose groups are all empty. The document must be valid.
func Warnings(document Document, engines []EngineInfo) []string {
	snapshot, err := Compile(document)
	if err != nil {
		return nil
	}
	sizes := map[string]int{}
	var warnings []string
	for _, info := range sortedBy(engines, func(e EngineInfo) string { return e.Name }) {
		group, selected := snapshot.GroupOf(info.Name, info.Labels)
		if !selected {
			warnings = append(warnings, fmt.Sprintf("engine %s: no group selects it", info.Name))
			continue
		}
		sizes[group.Name]++
	}
	warnings = append(warnings, groupWarnings(snapshot, sizes)...)
	warnings = append(warnings, ruleWarnings(snapshot, sizes)...)
	return append(warnings, labelWarnings(snapshot, engines)...)
}

func groupWarnings(snapshot *Snapshot, sizes map[string]int) []string {
	var warnings []string
	for _, group := range snapshot.Groups() {
		size := sizes[group.Name]
		if size == 0 {
			warnings = append(warnings, fmt.Sprintf("group %s: its selector %q matches no engine", group.Name, group.EngineSelector))
			continue
		}
		models := lo.SumBy(group.Models, func(m GroupModel) int { return m.MinimumEngines })
		if models > size {
			warnings = append(warnings, fmt.Sprintf("group %s: the models need %d engines and it has %d", group.Name, models, size))
		}
		floors := lo.Sum(lo.Values(group.RolePolicy.Floors))
		if floors > size {
			warnings = append(warnings, fmt.Sprintf("group %s: the floors need %d engines and it has %d", group.Name, floors, size))
		}
	}
	return warnings
}

func ruleWarnings(snapshot *Snapshot, sizes map[string]int) []string {
	var warnings []string
	for _, rule := range snapshot.Rules() {
		if lo.EveryBy(rule.Groups, func(name string) bool { return sizes[name] == 0 }) {
			warnings = append(warnings, fmt.Sprintf("rule %s: none of its groups has an engine", rule.Name))
		}
	}
	return warnings
}

// shownNames is the most engines that one warning names.
const shownNames = 3

func labelWarnings(snapshot *Snapshot, engines []EngineInfo) []string {
	known := lo.Map(engines, func(e EngineInfo, _ int) string { return e.Name })
	unknown, _ := lo.Difference(sortedKeys(snapshot.document.EngineLabels), known)
	if len(unknown) == 0 {
		return nil
	}
	text := strings.Join(unknown[:min(shownNames, len(unknown))], ", ")
	if more := len(unknown) - shownNames; more > 0 {
		text += fmt.Sprintf(" and %d more", more)
	}
	return []string{"engineLabels: there are labels on engines that do not exist now: " + text}
}

// RequestWarnings returns the request classes that no rule selects, and those whose rule has no group that serves their
// model. The document must be valid.
func RequestWarnings(document Document, requests []map[string]string) []string {
	snapshot, err := Compile(document)
	if err != nil {
		return nil
	}
	var warnings []string
	for _, request := range requests {
		rule, selected := snapshot.RuleFor(request)
		if !selected {
			warnings = append(warnings, fmt.Sprintf("requests {%s}: no rule selects them", formatLabels(request)))
			continue
		}
		model, named := request[LabelModel]
		if named && !lo.SomeBy(rule.Groups, func(name string) bool { return servesModel(snapshot, name, model) }) {
			warnings = append(warnings, fmt.Sprintf("requests {%s}: no group of rule %s serves model %s", formatLabels(request), rule.Name, model))
		}
	}
	return warnings
}

func servesModel(snapshot *Snapshot, groupName, model string) bool {
	group, _ := snapshot.Group(groupName)
	_, serves := group.Serves(model)
	return serves
}
