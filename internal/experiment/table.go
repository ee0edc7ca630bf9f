package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"math"

	"github.com/cockroachdb/errors"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/samber/lo"
)

// summary is the last line of output.
type summary struct {
	Deployment string             `json:"deployment"`
	Seed       uint64             `json:"seed"`
	Seeds      int                `json:"seeds,omitempty"`
	Policies   map[string]Result  `json:"policies"`
	Ratios     map[string]measure `json:"ratios,omitempty"`
}

// measure is a mean with its spread over seeds.
type measure struct {
	Mean  float64 `json:"mean"`
	Least float64 `json:"least"`
	Most  float64 `json:"most"`
}

func measureOf(values []float64) measure {
	return measure{Mean: lo.Sum(values) / float64(max(1, len(values))), Least: lo.Min(values), Most: lo.Max(values)}
}

// writeTable writes the rows of one comparison.
func writeTable(out io.Writer, c *comparison) error {
	writer := table.NewWriter()
	writer.AppendHeader(table.Row{"policy", "variant", "goodput", "by class", "p95 first token", "p95 between tokens", "role changes", "shed"})
	for _, row := range c.rows() {
		writer.AppendRow(table.Row{
			row.variant.family,
			row.variant.policy.name,
			percent(row.result.Goodput),
			classText(row.result),
			fmt.Sprintf("%.0f ms", row.result.P95FirstTokenMillis),
			fmt.Sprintf("%.0f ms", row.result.P95BetweenTokensMillis),
			row.result.RoleChanges,
			percent(row.result.Shed),
		})
	}
	heading := fmt.Sprintf("%s, seed %d: %d engines, %d requests in %s\n", c.workload.Deployment, c.workload.Seed,
		c.workload.Engines, len(c.workload.Requests), c.workload.Duration)
	_, err := io.WriteString(out, heading+writer.Render()+"\n")
	return errors.Wrap(err, "experiment: write the table")
}

func classText(result Result) string {
	text := ""
	for _, name := range sortedKeys(result.GoodputByClass) {
		text += fmt.Sprintf("%s %s ", name, percent(result.GoodputByClass[name]))
	}
	return text
}

func percent(share float64) string { return fmt.Sprintf("%.1f%%", share*100) }

// writeJSON writes the last line.
func writeJSON(out io.Writer, line any) error {
	encoded, err := json.Marshal(line)
	if err != nil {
		return errors.Wrap(err, "experiment: encode the summary")
	}
	_, err = fmt.Fprintf(out, "%s\n", encoded)
	return errors.Wrap(err, "experiment: write the summary")
}

// summarize gathers one or more seeds: policies hold means, ratios compare granitebay with the other policies.
func summarize(comparisons []*comparison) summary {
	first := comparisons[0]
	line := summary{Deployment: first.workload.Deployment, Seed: first.workload.Seed, Policies: map[string]Result{}}
	byPolicy := map[string][]Result{}
	for _, each := range comparisons {
		for _, row := range each.rows() {
			byPolicy[row.variant.family] = append(byPolicy[row.variant.family], row.result)
		}
	}
	for name, results := range byPolicy {
		line.Policies[name] = meanResult(results)
	}
	if len(comparisons) > 1 {
		line.Seeds = len(comparisons)
		line.Ratios = ratios(byPolicy)
	}
	return line
}

func meanResult(results []Result) Result {
	mean := func(value func(Result) float64) float64 {
		return lo.SumBy(results, value) / float64(len(results))
	}
	return Result{
		Goodput:                mean(func(r Result) float64 { return r.Goodput }),
		RoleChanges:            int(math.Round(mean(func(r Result) float64 { return float64(r.RoleChanges) }))),
		Shed:                   mean(func(r Result) float64 { return r.Shed }),
		P95FirstTokenMillis:    mean(func(r Result) float64 { return r.P95FirstTokenMillis }),
		P95BetweenTokensMillis: mean(func(r Result) float64 { return r.P95BetweenTokensMillis }),
		AnsweredInTime:         int(math.Round(mean(func(r Result) float64 { return float64(r.AnsweredInTime) }))),
		GoodputByClass: lo.MapValues(results[0].GoodputByClass, func(_ float64, class string) float64 {
			return mean(func(r Result) float64 { return r.GoodputByClass[class] })
		}),
	}
}

// ratios compares granitebay with each policy, seed by seed: goodput, and role changes where there were any.
func ratios(byPolicy map[string][]Result) map[string]measure {
	result := map[string]measure{}
	own := byPolicy[PolicyGranitebay]
	for name, others := range byPolicy {
		if name == PolicyGranitebay || len(others) != len(own) {
			continue
		}
		result["goodput/"+name] = measureOf(lo.Map(own, func(each Result, index int) float64 {
			return each.Goodput / others[index].Goodput
		}))
		if lo.EveryBy(others, func(each Result) bool { return each.RoleChanges > 0 }) {
			result["role_changes/"+name] = measureOf(lo.Map(own, func(each Result, index int) float64 {
				return float64(each.RoleChanges) / float64(others[index].RoleChanges)
			}))
		}
	}
	return result
}

// writeRatios writes the comparison over several seeds.
func writeRatios(out io.Writer, line summary) error {
	if line.Seeds == 0 {
		return nil
	}
	writer := table.NewWriter()
	writer.AppendHeader(table.Row{fmt.Sprintf("granitebay over, %d seeds", line.Seeds), "mean", "least", "most"})
	for _, name := range sortedKeys(line.Ratios) {
		each := line.Ratios[name]
		writer.AppendRow(table.Row{name, fmt.Sprintf("%.3f", each.Mean), fmt.Sprintf("%.3f", each.Least), fmt.Sprintf("%.3f", each.Most)})
	}
	_, err := io.WriteString(out, writer.Render()+"\n")
	return errors.Wrap(err, "experiment: write the ratios")
}
