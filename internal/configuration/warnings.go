package configuration

import (
	"fmt"
	"strings"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/strictyaml"
)

// WorkerInfo is what a worker tells of itself.
type WorkerInfo struct {
	Address string `json:"address"`
	Service string `json:"service"`
	// Labels of the worker, its zone and its role included.
	Labels map[string]string `json:"labels"`
}

// Warnings returns what is allowed but likely to be a mistake: groups that select no or too few workers, labels on unknown
// workers, and rules whose groups are all empty. The document must be valid.
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
			warnings = append(warnings, fmt.Sprintf("group %s: the floors need %d workers and it has %d", group.Name, floors, size))
		}
	}
	return warnings
}

func ruleWarnings(snapshot *Snapshot, sizes map[string]int) []string {
	var warnings []string
	for _, rule := range snapshot.Rules() {
		if lo.EveryBy(rule.Groups, func(share GroupShare) bool { return sizes[share.Group] == 0 }) {
			warnings = append(warnings, fmt.Sprintf("rule %s: none of its groups has a worker", rule.Name))
		}
	}
	return warnings
}

// shownNames is the most workers that one warning names.
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
	return []string{"workerLabels: there are labels on workers that do not exist now: " + text}
}

// RequestWarnings returns the classes of requests that no rule selects. The document must be valid.
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
