package demo

import (
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"
)

// firstTokenWindow is the period over which the time to first token is aggregated.
const firstTokenWindow = 5 * time.Second

// maxFailures bounds the failure descriptions that wait to be printed.
const maxFailures = 5

// summary counts requests by outcome. Each ended request is counted in exactly one of Answered, NotRun, Unknown and Failed.
type summary struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	NotRun   int `json:"not_run"`
	Unknown  int `json:"unknown"`
	Failed   int `json:"failed"`
	// WrongAnswers counts incorrect and incomplete answers.
	WrongAnswers int `json:"wrong_answers"`
	// DuplicateRuns counts the repeated runs of non-idempotent requests.
	DuplicateRuns int `json:"duplicate_runs"`
	RoleChanges   int `json:"role_changes"`
	// Late counts complete answers that exceeded the latency target of their class.
	Late int `json:"late"`
	// Unreported counts the requests among Unknown whose outcome the gateway did not report.
	Unreported int `json:"untold"`
	// FalseNotRun counts the requests among NotRun that a worker did run.
	FalseNotRun int `json:"false_not_run"`
}

// guaranteesKept reports whether no guarantee was violated.
func (s summary) guaranteesKept() bool {
	return s.WrongAnswers == 0 && s.DuplicateRuns == 0 && s.Unreported == 0 && s.FalseNotRun == 0
}

// stats collects the results of requests. It is safe for concurrent use.
type stats struct {
	mutex   sync.Mutex
	summary summary
	// inFlight is the number of requests that have not ended.
	inFlight int
	// nonIdempotent holds the IDs of non-idempotent requests, and notRun those of requests reported as not run.
	nonIdempotent map[string]bool
	notRun        map[string]bool
	// firstTokens are the recent times to first token.
	firstTokens []firstToken
	// failures describe the failed requests since the last snapshot.
	failures []string
}

type firstToken struct {
	at   time.Time
	wait time.Duration
}

func newStats() *stats {
	return &stats{nonIdempotent: make(map[string]bool), notRun: make(map[string]bool)}
}

// recordSent records that a request is being sent.
func (s *stats) recordSent(req request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.summary.Sent++
	s.inFlight++
	if req.class.nonIdempotent {
		s.nonIdempotent[req.id] = true
	}
}

// recordFirstToken records a time to first token.
func (s *stats) recordFirstToken(now time.Time, wait time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.firstTokens = append(s.firstTokens, firstToken{at: now, wait: wait})
}

// recordResult records the result of a request.
func (s *stats) recordResult(res result) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.inFlight--
	switch res.outcome {
	case outcomeAnswered:
		s.summary.Answered++
	case outcomeNotRun:
		s.summary.NotRun++
		s.notRun[res.request.id] = true
	case outcomeFailed:
		s.summary.Failed++
	default:
		s.summary.Unknown++
	}
	s.summary.WrongAnswers += lo.Ternary(res.wrong, 1, 0)
	s.summary.Late += lo.Ternary(res.late(), 1, 0)
	s.summary.Unreported += lo.Ternary(res.outcomeReported, 0, 1)
	if res.detail != "" && len(s.failures) < maxFailures {
		s.failures = append(s.failures, res.describeFailure())
	}
}

// duplicateRuns counts the repeated runs of non-idempotent requests, given the number of runs of each request.
func (s *stats) duplicateRuns(runs map[string]int) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return lo.SumBy(lo.Keys(s.nonIdempotent), func(id string) int { return max(runs[id]-1, 0) })
}

// falseNotRun counts the requests that were reported as not run although a worker ran them.
func (s *stats) falseNotRun(runs map[string]int) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return lo.CountBy(lo.Keys(s.notRun), func(id string) bool { return runs[id] > 0 })
}

// snapshot is the content of one status line.
type snapshot struct {
	summary  summary
	inFlight int
	p95      time.Duration
	failures []string
}

// nextSnapshot returns the current state and resets what is reported once.
func (s *stats) nextSnapshot(now time.Time) snapshot {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.firstTokens = lo.DropWhile(s.firstTokens, func(each firstToken) bool { return now.Sub(each.at) > firstTokenWindow })
	current := snapshot{
		summary:  s.summary,
		inFlight: s.inFlight,
		p95:      percentile95(s.firstTokens),
		failures: s.failures,
	}
	s.failures = nil
	return current
}

// percentile95 returns the 95th percentile of the times to first token; zero if there are none.
func percentile95(tokens []firstToken) time.Duration {
	if len(tokens) == 0 {
		return 0
	}
	waits := lo.Map(tokens, func(each firstToken, _ int) time.Duration { return each.wait })
	slices.Sort(waits)
	return waits[(len(waits)-1)*95/100]
}
