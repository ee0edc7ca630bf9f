package configuration

import (
	"fmt"
	"strings"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/strictyaml"
)

// WorkerInfo is the part of a worker's registration that selectors use.
type WorkerInfo struct {
	Address string `json:"address"`
	Service string `json:"service"`
	// Labels of the worker, including its zone and role.
	Labels map[string]string `json:"labels"`
}

// Warnings returns likely mistakes in a valid document: groups that select no or too few workers, rules whose groups are all
// empty, and labels on unknown workers. It returns nil for an invalid document.
func Warnings(document Document, workers []WorkerInfo) []string {
	snapshot, err := Compile(document)
	if err != nil {
		return nil
	}
	sizes := map[string]int{}
	for _, worker := range workers {
		if group, selected := snapshot.GroupOf(worker); selected {
			sizes[group.Name]++
		}
	}
	warnings := groupWarnings(snapshot, sizes)
	warnings = append(warnings, ruleWarnings(snapshot, sizes)...)
	return append(warnings, labelWarnings(snapshot, workers)...)
}

func groupWarnings(snapshot *Snapshot, sizes map[string]int) []string {
	var warnings []string
	for _, group := range snapshot.Groups() {
		size := sizes[group.Name]
		if size == 0 {
			warnings = append(warnings, fmt.Sprintf("group %s: its selector %q matches no worker of service %s",
				group.Name, group.WorkerSelector, group.Service))
			continue
		}
		floors := lo.Sum(lo.Values(group.RoleFloors))
		if floors > size {
			warnings = append(warnings, fmt.Sprintf("group %s: its roleFloors require %d workers but it has %d", group.Name, floors, size))
		}
	}
	return warnings
}

func ruleWarnings(snapshot *Snapshot, sizes map[string]int) []string {
	var warnings []string
	for _, rule := range snapshot.Rules() {
		if lo.EveryBy(rule.Groups, func(share GroupShare) bool { return sizes[share.Group] == 0 }) {
			warnings = append(warnings, fmt.Sprintf("rule %s: none of its groups has workers", rule.Name))
		}
	}
	return warnings
}

// maxListedWorkers limits the number of workers that a warning lists.
const maxListedWorkers = 3

func labelWarnings(snapshot *Snapshot, workers []WorkerInfo) []string {
	known := lo.Map(workers, func(w WorkerInfo, _ int) string { return w.Address })
	unknown, _ := lo.Difference(strictyaml.SortedKeys(snapshot.document.WorkerLabels), known)
	if len(unknown) == 0 {
		return nil
	}
	text := strings.Join(unknown[:min(maxListedWorkers, len(unknown))], ", ")
	if more := len(unknown) - maxListedWorkers; more > 0 {
		text += fmt.Sprintf(" and %d more", more)
	}
	return []string{"workerLabels: labels are set on workers that do not exist: " + text}
}

// RequestWarnings returns a warning for each set of request labels that no rule selects, and nil for an invalid document.
func RequestWarnings(document Document, requests []map[string]string) []string {
	snapshot, err := Compile(document)
	if err != nil {
		return nil
	}
	return lo.FilterMap(requests, func(request map[string]string, _ int) (string, bool) {
		_, selected := snapshot.RuleFor(request)
		return fmt.Sprintf("requests {%s}: no rule selects them", formatLabels(request)), !selected
	})
}
