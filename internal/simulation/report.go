package simulation

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

// historyLines bounds the events of a history that are printed from its start and from its end.
const historyLines = 60

// Summary is the last line of a simulation, as JSON.
type Summary struct {
	Deployment string `json:"deployment"`
	Seeds      int    `json:"seeds"`
	// Requests is the number of calls, and the four after it how they ended. Left counts callers that went away, and
	// Broken those whose agent was killed.
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	NotRun   int `json:"not_run"`
	Unknown  int `json:"unknown"`
	Failed   int `json:"failed"`
	Left     int `json:"left"`
	Broken   int `json:"broken"`
	// AnsweredShare is the lowest share of a run of the calls that could be answered, in percent.
	AnsweredShare float64 `json:"lowest_answered_percent"`
	// Changes counts changes of role or model that engines took, Edits the edits that operators were told are accepted.
	Changes int `json:"changes"`
	Edits   int `json:"edits"`
	// Fenced counts orders that engines refused, Takeovers shards that found a new owner.
	Fenced     int `json:"orders_refused"`
	Takeovers  int `json:"takeovers"`
	Violations int `json:"violations"`
	// Faults is the number of faults injected by kind.
	Faults map[FaultKind]int `json:"faults"`
	// Trace is the digest of all events of all seeds in order.
	Trace string `json:"trace"`
}

// summarize adds up results, which are in order of seed.
func summarize(deployment Deployment, results []Result) Summary {
	summary := Summary{Deployment: deployment.Name, Seeds: len(results), AnsweredShare: 100, Faults: map[FaultKind]int{}}
	digest := xxhash.New()
	for _, result := range results {
		summary.Requests += result.Requests
		summary.Answered += result.Endings[EndAnswered]
		summary.NotRun += result.Endings[EndNotRun]
		summary.Unknown += result.Endings[EndUnknown]
		summary.Failed += result.Endings[EndFailed]
		summary.Left += result.Endings[EndLeft]
		summary.Broken += result.Endings[EndBroken]
		summary.Changes += result.Changes
		summary.Edits += result.Edits
		summary.Fenced += result.Fenced
		summary.Takeovers += result.Takeovers
		summary.Violations += len(result.Violations)
		if result.Could > 0 {
			summary.AnsweredShare = min(summary.AnsweredShare, 100*float64(result.AnsweredOfCould)/float64(result.Could))
		}
		for _, fault := range result.Schedule {
			summary.Faults[fault.Kind]++
		}
		_, _ = digest.WriteString(formatDigest(result.Trace))
	}
	summary.Trace = formatDigest(digest.Sum64())
	return summary
}

// writeSummary prints the summary as one line.
func writeSummary(out io.Writer, summary Summary) error {
	line, err := json.Marshal(summary)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, string(line))
	return err
}

// writeViolation prints a broken promise with the shortest history that shows it and the command that replays it.
func writeViolation(out io.Writer, deployment Deployment, kinds []FaultKind, shrunk Result, promise Promise) {
	violation := shrunk.first(promise)
	_, _ = fmt.Fprintf(out, "Broken promise: %s\nSeed: %d\n%s\n", promise, shrunk.Seed, violation)
	_, _ = fmt.Fprintf(out, "Faults that it takes (%d):\n", len(shrunk.Schedule))
	for _, fault := range shrunk.Schedule {
		_, _ = fmt.Fprintf(out, "  %s\n", fault)
	}
	_, _ = fmt.Fprintf(out, "Events about %s:\n", strings.Join(violation.Subjects, ", "))
	writeHistory(out, shrunk.shortestHistory(violation))
	_, _ = fmt.Fprintf(out, "Replay: %s\n\n", replayCommand(deployment, shrunk.Seed, kinds))
}

// writeHistory prints observations, without the middle of a long history.
func writeHistory(out io.Writer, history []Observation) {
	for index, observation := range history {
		if len(history) > 2*historyLines && index == historyLines {
			_, _ = fmt.Fprintf(out, "  ... %d events left out\n", len(history)-2*historyLines)
		}
		if index < historyLines || index >= len(history)-historyLines {
			_, _ = fmt.Fprintf(out, "  %12v %s\n", observation.When(), observation)
		}
	}
}

// replayCommand returns the command that runs just one seed again.
func replayCommand(deployment Deployment, seed uint64, kinds []FaultKind) string {
	faults := lo.Ternary(len(kinds) == len(FaultKinds()), allFaults, joinKinds(kinds))
	return fmt.Sprintf("go run ./cmd/granitebay-lab simulate --deployment %s --seed %d --seeds 1 --faults %s --verbose",
		deployment.Name, seed, faults)
}
