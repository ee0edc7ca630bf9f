package demo

import (
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"
)

// firstTokenWindow is how far back the times to the first token go that a line sums up.
const firstTokenWindow = 5 * time.Second

// maxTroubles bounds the troubles that wait to be printed.
const maxFailures = 5

// summary counts requests by how they ended. Each sent request is in exactly one of Answered, NotRun, Unknown and Failed.
type summary struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	NotRun   int `json:"not_run"`
	Unknown  int `json:"unknown"`
	Failed   int `json:"failed"`
	// WrongAnswers counts answers with a word that does not belong there, and answers that were not whole.
	WrongAnswers int `json:"wrong_answers"`
	// DuplicateRuns counts the runs beyond the first of work that may not be repeated.
	DuplicateRuns int `json:"duplicate_runs"`
	RoleChanges   int `json:"role_changes"`
	// Late answers were whole and right, but came after they were wanted.
	Late int `json:"late"`
	// Untold counts those Unknown of which not even the gateway said how they ended.
	Unreported int `json:"untold"`
	// FalseNotRun counts those NotRun that a worker had begun to run.
	FalseNotRun int `json:"false_not_run"`
}

// well tells whether every promise was kept.
func (s summary) allKept() bool {
	return s.WrongAnswers == 0 && s.DuplicateRuns == 0 && s.Unreported == 0 && s.FalseNotRun == 0
}

// tally collects what happens. It is safe for use by many goroutines.
type stats struct {
	mutex   sync.Mutex
	summary summary
	// live counts the requests that are under way.
	inFlight int
	// once holds the ids of work that may not be repeated, and notRun those of requests that were told not to have run.
	nonIdempotent map[string]bool
	notRun        map[string]bool
	// firstTokens are the latest times to the first token.
	firstTokens []firstToken
	// troubles are sentences about requests that did not go well, since the last line.
	failures []string
}

type firstToken struct {
	at   time.Time
	wait time.Duration
}

func newStats() *stats {
	return &stats{nonIdempotent: make(map[string]bool), notRun: make(map[string]bool)}
}

// sent notes a request that goes out.
func (t *stats) recordSent(req request) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.summary.Sent++
	t.inFlight++
	if req.class.nonIdempotent {
		t.nonIdempotent[req.id] = true
	}
}

// began takes the time that a first token took.
func (t *stats) recordFirstToken(now time.Time, wait time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.firstTokens = append(t.firstTokens, firstToken{at: now, wait: wait})
}

// ended takes how a request ended for its caller.
func (t *stats) recordResult(res result) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.inFlight--
	switch res.outcome {
	case outcomeAnswered:
		t.summary.Answered++
	case outcomeNotRun:
		t.summary.NotRun++
		t.notRun[res.request.id] = true
	case outcomeFailed:
		t.summary.Failed++
	default:
		t.summary.Unknown++
	}
	t.summary.WrongAnswers += lo.Ternary(res.wrong, 1, 0)
	t.summary.Late += lo.Ternary(res.late(), 1, 0)
	t.summary.Unreported += lo.Ternary(res.outcomeReported, 0, 1)
	if res.detail != "" && len(t.failures) < maxFailures {
		t.failures = append(t.failures, res.describeFailure())
	}
}

// duplicates counts the runs beyond the first of work that may not be repeated, by the runs of each request.
func (t *stats) duplicateRuns(runs map[string]int) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return lo.SumBy(lo.Keys(t.nonIdempotent), func(id string) int { return max(runs[id]-1, 0) })
}

// falseNotRun counts the requests that were told not to have run, and have.
func (t *stats) falseNotRun(runs map[string]int) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return lo.CountBy(lo.Keys(t.notRun), func(id string) bool { return runs[id] > 0 })
}

// snapshot is what one line shows.
type snapshot struct {
	summary  summary
	inFlight int
	p95      time.Duration
	failures []string
}

// take returns the state and begins the next line.
func (t *stats) nextSnapshot(now time.Time) snapshot {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.firstTokens = lo.DropWhile(t.firstTokens, func(each firstToken) bool { return now.Sub(each.at) > firstTokenWindow })
	current := snapshot{
		summary:  t.summary,
		inFlight: t.inFlight,
		p95:      percentile95(t.firstTokens),
		failures: t.failures,
	}
	t.failures = nil
	return current
}

// percentile95 returns the time that 95 of 100 first tokens kept; zero without any.
func percentile95(tokens []firstToken) time.Duration {
	if len(tokens) == 0 {
		return 0
	}
	waits := lo.Map(tokens, func(each firstToken, _ int) time.Duration { return each.wait })
	slices.Sort(waits)
	return waits[(len(waits)-1)*95/100]
}
