package capacity

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/jedib0t/go-pretty/v6/text"
	"github.com/samber/lo"
)

// Budget of control for one node.
const (
	budgetProcessorPercent = 3.2
	budgetMemory           = 128.0
	budgetBytes            = 10_000.0
	budgetInForce          = 10 * time.Second
	// budgetStoreRequests is the rate that this project sets itself: 320 nodes take a fifth of a service that answers
	// 500 requests a second.
	budgetStoreRequests = 0.31
)

// listedKinds is the number of kinds of traffic in the table of the worst router.
const listedKinds = 12

// Command measures control at growing sizes, for kong. Run wants a writer bound.
type Command struct {
	Nodes         int    `default:"320" help:"Routers at the largest size."`
	Workers       int    `default:"5200" help:"Engines at the largest size."`
	ShardsPerZone int    `help:"Shards into which the engines of a zone are divided; the default of the routers if not given."`
	Seed          uint64 `default:"1" help:"Seed of the run."`
	LoseZone      bool   `help:"Lose all hollow routers of one zone at the start of the measured time."`
}

// summary is the last line of the output: the worst of the real routers at the largest size.
type summary struct {
	Nodes                int     `json:"nodes"`
	Workers              int     `json:"workers"`
	ProcessorPercent     float64 `json:"cpu_percent_of_core"`
	Memory               float64 `json:"memory_mb"`
	Bytes                float64 `json:"control_bytes_per_second"`
	InForceSeconds       float64 `json:"config_in_force_seconds"`
	StoreRequestsASecond float64 `json:"store_requests_per_second"`
}

// sizes are the fractions of the largest size that are measured.
var sizes = []int{32, 8, 2, 1}

// Run measures and writes tables and, as the last line, JSON.
func (c *Command) Run(out io.Writer) error {
	var results, last []Result
	for _, part := range sizes {
		measured, err := Measure(Options{
			Nodes: max(c.Nodes/part, 1), Workers: max(c.Workers/part, 1), ShardsPerZone: c.ShardsPerZone, Seed: c.Seed,
			LoseZone: c.LoseZone,
		})
		if err != nil {
			return errors.Wrapf(err, "step measure 1/%d of the size", part)
		}
		last = measured
		results = append(results, measured...)
	}
	writeSizes(out, results)
	worst := slices.MaxFunc(last, func(a, b Result) int { return cmp.Compare(a.Bytes(), b.Bytes()) })
	writeKinds(out, worst)
	line, err := json.Marshal(summarize(last))
	if err != nil {
		return errors.Wrap(err, "step write the summary")
	}
	_, err = fmt.Fprintln(out, string(line))
	return errors.Wrap(err, "step write the summary")
}

// summarize takes the worst of the results.
func summarize(results []Result) summary {
	worst := func(value func(Result) float64) float64 {
		return lo.Max(lo.Map(results, func(r Result, _ int) float64 { return value(r) }))
	}
	return summary{
		Nodes:                results[0].Nodes,
		Workers:              results[0].Workers,
		ProcessorPercent:     worst(func(r Result) float64 { return r.ProcessorPercent }),
		Memory:               worst(func(r Result) float64 { return r.Memory }),
		Bytes:                worst(Result.Bytes),
		InForceSeconds:       results[0].InForce.Seconds(),
		StoreRequestsASecond: worst(Result.StoreRequests),
	}
}

// mark shows a value, and marks it when it is over the budget.
func mark(format string, value, budget float64) string {
	shown := fmt.Sprintf(format, value)
	if value > budget || value < 0 {
		return shown + " OVER"
	}
	return shown
}

// writeSizes writes a row for each real router and size, and the budget.
func writeSizes(out io.Writer, results []Result) {
	writer := table.NewWriter()
	writer.AppendHeader(table.Row{"nodes", "workers", "router", "engines", "% of a core", "MB", "sent B/s", "received B/s", "control B/s", "store req/s", "edit in force s"})
	for _, r := range results {
		writer.AppendRow(table.Row{
			r.Nodes, r.Workers, r.Role, r.Engines,
			mark("%.2f", r.ProcessorPercent, budgetProcessorPercent),
			mark("%.1f", r.Memory, budgetMemory),
			fmt.Sprintf("%.0f", r.Sent), fmt.Sprintf("%.0f", r.Received),
			mark("%.0f", r.Bytes(), budgetBytes),
			mark("%.2f", r.StoreRequests(), budgetStoreRequests),
			mark("%.2f", r.InForce.Seconds(), budgetInForce.Seconds()),
		})
	}
	writer.AppendFooter(table.Row{
		"budget", "", "", "", budgetProcessorPercent, budgetMemory, "", "", budgetBytes, budgetStoreRequests, budgetInForce.Seconds(),
	})
	style := table.StyleLight
	style.Format.Footer = text.FormatDefault
	style.Format.Header = text.FormatDefault
	writer.SetStyle(style)
	_, _ = fmt.Fprintln(out, writer.Render())
}

// writeKinds writes the largest kinds of traffic of one router.
func writeKinds(out io.Writer, result Result) {
	type row struct {
		direction, kind string
		rate            rate
	}
	rows := lo.MapToSlice(result.SentByKind, func(kind string, each rate) row { return row{"sent", kind, each} })
	rows = append(rows, lo.MapToSlice(result.ReceivedByKind, func(kind string, each rate) row { return row{"received", kind, each} })...)
	slices.SortFunc(rows, func(a, b row) int {
		return cmp.Or(cmp.Compare(b.rate.Bytes, a.rate.Bytes), cmp.Compare(a.direction+a.kind, b.direction+b.kind))
	})
	writer := table.NewWriter()
	writer.SetTitle(fmt.Sprintf("Traffic of the %s at %d nodes", result.Role, result.Nodes))
	writer.AppendHeader(table.Row{"direction", "kind", "messages/s", "bytes/s"})
	for _, each := range rows[:min(len(rows), listedKinds)] {
		writer.AppendRow(table.Row{each.direction, each.kind, fmt.Sprintf("%.2f", each.rate.Messages), fmt.Sprintf("%.0f", each.rate.Bytes)})
	}
	for _, kind := range slices.Sorted(slices.Values(lo.Keys(result.RequestsByKind))) {
		writer.AppendRow(table.Row{"asked", "platform " + kind, fmt.Sprintf("%.2f", result.RequestsByKind[kind]), ""})
	}
	_, _ = fmt.Fprintln(out, writer.Render())
}
