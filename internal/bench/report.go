package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/samber/lo"
)

// The targets, by docs/measurements/added-latency.md.
const (
	targetFirstMillis       = 1.5
	targetThroughputPercent = 5.0
)

// Figure is a figure with its spread: the median of the figures of the rounds, the lowest and the highest.
type Figure struct {
	Median float64 `json:"median"`
	Low    float64 `json:"low"`
	High   float64 `json:"high"`
}

// String writes a figure for people.
func (f Figure) String() string { return fmt.Sprintf("%.3f (%.3f to %.3f)", f.Median, f.Low, f.High) }

// Comparison is one figure by both ways.
type Comparison struct {
	Direct  Figure `json:"direct"`
	Through Figure `json:"through"`
	// Added is the difference of the two in each round.
	Added Figure `json:"added"`
}

// Report is the result of a measurement.
type Report struct {
	Rounds  int    `json:"rounds"`
	Pairs   int    `json:"pairs"`
	Streams int    `json:"streams"`
	Tokens  uint32 `json:"tokens"`
	// FirstMedian and FirstP95 are of the time to the first token of single requests, in milliseconds.
	FirstMedian Comparison `json:"firstTokenMedianMillis"`
	FirstP95    Comparison `json:"firstTokenP95Millis"`
	// Token is the median time for a token of the streams, in milliseconds; Throughput is in tokens a second.
	Token      Comparison `json:"tokenMillis"`
	Throughput Comparison `json:"tokensPerSecond"`
	// ThroughputLoss is the share of the throughput that is lost, in percent.
	ThroughputLoss Figure `json:"throughputLossPercent"`
	// AgentTime and RouterTime are processor times for one stream, in milliseconds.
	AgentTime  Figure `json:"agentProcessorMillisPerRequest"`
	RouterTime Figure `json:"routerProcessorMillisPerRequest"`
	// TargetsMet tells whether the medians of FirstMedian.Added and ThroughputLoss are below the targets.
	TargetsMet bool `json:"targetsMet"`
}

func newReport(command BenchCommand, rounds []round) Report {
	firstToken := func(q float64) func(round, way) float64 {
		return func(each round, by way) float64 { return millis(quantile(each.first[by], q)) }
	}
	throughput := func(each round, by way) float64 { return each.throughput[by] }
	report := Report{
		Rounds: command.Rounds, Pairs: command.Pairs, Streams: command.Streams, Tokens: command.Tokens,
		FirstMedian: compare(rounds, firstToken(0.5)),
		FirstP95:    compare(rounds, firstToken(0.95)),
		Token:       compare(rounds, func(each round, by way) float64 { return millis(each.token[by]) }),
		Throughput:  compare(rounds, throughput),
		ThroughputLoss: figure(rounds, func(each round) float64 {
			return 100 * (1 - throughput(each, wayThrough)/throughput(each, wayDirect))
		}),
		AgentTime:  figure(rounds, func(each round) float64 { return millis(each.agent) }),
		RouterTime: figure(rounds, func(each round) float64 { return millis(each.router) }),
	}
	report.TargetsMet = report.FirstMedian.Added.Median < targetFirstMillis && report.ThroughputLoss.Median < targetThroughputPercent
	return report
}

// compare makes a comparison from the figure that a function takes from each round.
func compare(rounds []round, of func(round, way) float64) Comparison {
	return Comparison{
		Direct:  figure(rounds, func(each round) float64 { return of(each, wayDirect) }),
		Through: figure(rounds, func(each round) float64 { return of(each, wayThrough) }),
		Added:   figure(rounds, func(each round) float64 { return of(each, wayThrough) - of(each, wayDirect) }),
	}
}

func figure(rounds []round, of func(round) float64) Figure {
	values := lo.Map(rounds, func(each round, _ int) float64 { return of(each) })
	return Figure{Median: quantile(values, 0.5), Low: slices.Min(values), High: slices.Max(values)}
}

// quantile returns the lowest value that at least a share of all values do not exceed. There must be a value.
func quantile[T float64 | time.Duration](values []T, share float64) T {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)]
}

func millis(duration time.Duration) float64 { return duration.Seconds() * 1000 }

// write prints the table, then one line of JSON.
func (r Report) write(output io.Writer) error {
	writer := table.NewWriter()
	writer.SetTitle(fmt.Sprintf("%d rounds of %d single requests and %d streams of %d tokens, each way; medians with lowest and highest of the rounds",
		r.Rounds, r.Pairs, r.Streams, r.Tokens))
	writer.AppendHeader(table.Row{"", "engine directly", "through agent and routers", "added"})
	row := func(name string, each Comparison) {
		writer.AppendRow(table.Row{name, each.Direct, each.Through, each.Added})
	}
	row("time to first token, median, ms", r.FirstMedian)
	row("time to first token, p95, ms", r.FirstP95)
	row("time for a token, median, ms", r.Token)
	row("throughput, tokens/s", r.Throughput)
	writer.AppendRow(table.Row{"throughput lost, %", "", "", r.ThroughputLoss})
	writer.AppendRow(table.Row{"processor time of the agent, ms a stream", "", r.AgentTime, ""})
	writer.AppendRow(table.Row{"processor time of all routers, ms a stream", "", r.RouterTime, ""})
	line, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "step encode the report")
	}
	_, err = fmt.Fprintf(output, "%s\n%s\n", writer.Render(), line)
	return errors.Wrap(err, "step print the report")
}
