package simulation

import (
	"strings"

	"github.com/samber/lo"
)

// Result is what came of one run.
type Result struct {
	Seed       uint64
	Schedule   []Fault
	History    *History
	Violations []Violation
	// Trace is the digest of all events, Events their number.
	Trace  uint64
	Events uint64
	// Calls by their endings, and Requests in all.
	Requests int
	Endings  map[Ending]int
	// Changes is the number of orders that changed an engine after its first, Edits that of accepted edits.
	Changes int
	Edits   int
	// Fenced is the number of orders that engines refused, Takeovers that of shards which found a new owner.
	Fenced    int
	Takeovers int
	// Could is the number of calls that could be answered, and AnsweredOfCould that of those which were.
	Could           int
	AnsweredOfCould int
}

// Run runs one seed with faults of the given kinds and judges it.
func Run(seed uint64, deployment Deployment, kinds []FaultKind) Result {
	return runSchedule(seed, deployment, drawSchedule(seed, deployment, kinds))
}

// runSchedule runs one seed with given faults and judges it.
func runSchedule(seed uint64, deployment Deployment, schedule []Fault) Result {
	return judge(newWorld(seed, deployment, usualPhases(), schedule, newRouter))
}

// judge runs a world and judges it.
func judge(w *world) Result {
	w.run()
	result := Result{Seed: w.seed, Schedule: w.schedule, History: w.history, Violations: Check(w.history),
		Trace: w.trace.sum(), Events: w.trace.events, Endings: map[Ending]int{}}
	for _, made := range w.history.calls() {
		result.Requests++
		result.Endings[made.ending()]++
	}
	result.AnsweredOfCould, result.Could = countAnswered(w.history)
	result.Changes = lo.CountBy(observations[OrderReceived](w.history), func(order OrderReceived) bool {
		return order.Changes && order.Fence.Generation > 1
	})
	result.Fenced = lo.CountBy(observations[OrderReceived](w.history), func(order OrderReceived) bool { return !order.Accepted })
	result.Takeovers = countTakeovers(w.history)
	result.Edits = len(observations[ConfigurationAccepted](w.history))
	return result
}

// shrink drops faults one at a time for as long as the same promise is still broken, and returns the run with the fewest.
func shrink(broken Result, promise Promise, again func(schedule []Fault) Result) Result {
	for index := 0; index < len(broken.Schedule); {
		fewer := append(append([]Fault(nil), broken.Schedule[:index]...), broken.Schedule[index+1:]...)
		tried := again(fewer)
		if breaks(tried, promise) {
			broken = tried
			continue
		}
		index++
	}
	return broken
}

// breaks tells whether a run breaks a promise.
func breaks(result Result, promise Promise) bool {
	return lo.ContainsBy(result.Violations, func(violation Violation) bool { return violation.Promise == promise })
}

// first returns the first violation of a promise.
func (r Result) first(promise Promise) Violation {
	found, _ := lo.Find(r.Violations, func(violation Violation) bool { return violation.Promise == promise })
	return found
}

// shortestHistory returns what was seen of the subjects of a violation up to it. Routers that show the same revision as
// before are left out.
func (r Result) shortestHistory(violation Violation) []Observation {
	shown := map[string]uint64{}
	return lo.Filter(r.History.about(violation.Subjects), func(observation Observation, _ int) bool {
		read, reads := observation.(ConfigurationRead)
		repeated := reads && shown[read.Router] == read.Revision
		if reads {
			shown[read.Router] = read.Revision
		}
		return !repeated && observation.When() <= violation.At
	})
}

// countTakeovers counts the shards that found an owner after their first.
func countTakeovers(history *History) int {
	created := map[string]int{}
	takeovers := 0
	for _, commit := range observations[StoreCommitted](history) {
		for _, entry := range commit.Changed {
			if !strings.HasPrefix(entry.Key, shardPrefix) || entry.CreateRevision != commit.Revision {
				continue
			}
			if created[entry.Key]++; created[entry.Key] > 1 {
				takeovers++
			}
		}
	}
	return takeovers
}
