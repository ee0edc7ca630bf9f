package experiment

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/samber/lo"
)

// OverloadCommand measures goodput as the load grows beyond what the fleet can do.
type OverloadCommand struct {
	Options `embed:""`
}

// overloadFactors are the loads, where 1 is the load of the mix-shift experiment averaged over its time.
var overloadFactors = []float64{0.5, 0.75, 1, 1.25, 1.5, 1.75, 2}

// steadyDuration is the length of runs with a steady mix.
const steadyDuration = 4 * time.Minute

// overloadRow is one policy over all loads.
type overloadRow struct {
	name string
	// perSecond are answers in time a second by load.
	perSecond []float64
	results   []Result
}

// ofPeak is the least goodput at or beyond the highest, as a share of the highest.
func (r overloadRow) ofPeak() float64 {
	peak := lo.Max(r.perSecond)
	at := lo.IndexOf(r.perSecond, peak)
	return lo.Min(r.perSecond[at:]) / peak
}

// Run runs the experiment and writes a table and, as the last line, JSON with the results at the highest load.
func (c *OverloadCommand) Run(ctx context.Context, out io.Writer) error {
	place, err := findDeployment(c.Deployment)
	if err != nil {
		return err
	}
	rows := map[string]*overloadRow{}
	for _, factor := range overloadFactors {
		workload := place.steady().workload(c.Seed, factor*c.Load)
		compared, err := compare(ctx, workload, overloadVariants(workload), c.parallel())
		if err != nil {
			return err
		}
		for _, each := range compared.outcomes {
			row, known := rows[each.variant.family]
			if !known {
				row = &overloadRow{name: each.variant.family}
				rows[each.variant.family] = row
			}
			row.results = append(row.results, each.result)
			row.perSecond = append(row.perSecond, float64(each.result.AnsweredInTime)/workload.Duration.Seconds())
		}
	}
	return writeOverload(out, place.name, c.Seed, rows)
}

// overloadVariants are granitebay, and granitebay without what is there for overload.
func overloadVariants(workload *Workload) []variant {
	without := func(name string, change func(s *frontSettings)) variant {
		changed := granitebayPolicy(workload)
		changed.name = name
		change(&changed.front)
		return variant{family: name, policy: changed}
	}
	return []variant{
		{family: PolicyGranitebay, policy: granitebayPolicy(workload)},
		without("without_admission", func(s *frontSettings) { s.admission = false }),
		without("without_fairness", func(s *frontSettings) { s.fair = false }),
	}
}

// steady is the deployment with its mix averaged over time, without swings.
func (d deployment) steady() deployment {
	result := d
	result.classes = make([]class, len(d.classes))
	for index, each := range d.classes {
		each.rate = curve{points: []point{{at: 0, rate: each.rate.mean(d.duration)}}}
		result.classes[index] = each
	}
	result.duration = steadyDuration
	return result
}

// mean is the average of a rate over a time.
func (c curve) mean(duration time.Duration) float64 {
	sum, count := 0.0, 0
	for moment := time.Duration(0); moment < duration; moment += time.Second {
		sum += c.at(moment)
		count++
	}
	return sum / float64(max(1, count))
}

// overloadSummary is the last line of the overload experiment.
type overloadSummary struct {
	Deployment string                    `json:"deployment"`
	Seed       uint64                    `json:"seed"`
	Load       float64                   `json:"load"`
	Policies   map[string]overloadResult `json:"policies"`
}

// overloadResult is a Result at the highest load, with the shape of the goodput over the loads.
type overloadResult struct {
	Result
	// AnsweredPerSecond by load, in the order of the loads.
	AnsweredPerSecond []float64 `json:"answered_per_second"`
	// OfPeak is the least goodput beyond the peak, as a share of the peak.
	OfPeak float64 `json:"of_peak"`
}

func writeOverload(out io.Writer, deployment string, seed uint64, rows map[string]*overloadRow) error {
	writer := table.NewWriter()
	header := table.Row{"answers in time a second at load"}
	for _, factor := range overloadFactors {
		header = append(header, fmt.Sprintf("%.2f", factor))
	}
	writer.AppendHeader(append(header, "of peak"))
	line := overloadSummary{
		Deployment: deployment, Seed: seed, Load: overloadFactors[len(overloadFactors)-1], Policies: map[string]overloadResult{},
	}
	for _, name := range sortedKeys(rows) {
		row := rows[name]
		cells := table.Row{name}
		for _, each := range row.perSecond {
			cells = append(cells, fmt.Sprintf("%.1f", each))
		}
		writer.AppendRow(append(cells, percent(row.ofPeak())))
		line.Policies[name] = overloadResult{
			Result: row.results[len(row.results)-1], AnsweredPerSecond: row.perSecond, OfPeak: row.ofPeak(),
		}
	}
	if _, err := io.WriteString(out, writer.Render()+"\n"); err != nil {
		return errors.Wrap(err, "experiment: write the table")
	}
	return writeJSON(out, line)
}
