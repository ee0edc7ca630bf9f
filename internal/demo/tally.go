package demo

import (
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/engine"
)

// firstTokenWindow is how far back the times to the first token go that a line sums up.
const firstTokenWindow = 5 * time.Second

// maxTroubles bounds the troubles that wait to be printed.
const maxTroubles = 5

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
	// Untold counts those Unknown of which not even the agent said how they ended.
	Untold int `json:"untold"`
	// FalseNotRun counts those NotRun that an engine had begun to run.
	FalseNotRun int `json:"false_not_run"`
}

// well tells whether every promise was kept.
func (s summary) well() bool {
	return s.WrongAnswers == 0 && s.DuplicateRuns == 0 && s.Untold == 0 && s.FalseNotRun == 0
}

// servedKey names answers of one class that were finished by engines of one role.
type servedKey struct {
	class string
	role  engine.Role
}

// tally collects what happens. It is safe for use by many goroutines.
type tally struct {
	mutex   sync.Mutex
	summary summary
	// live holds the class of each request that is under way, by request id.
	live map[string]string
	// served counts the answers that engines finished since the last line.
	served map[servedKey]int
	// firstTokens are the latest times to the first token.
	firstTokens []firstToken
	// troubles are sentences about requests that did not go well, since the last line.
	troubles []string
}

type firstToken struct {
	at   time.Time
	wait time.Duration
}

func newTally() *tally {
	return &tally{live: make(map[string]string), served: make(map[servedKey]int)}
}

// sent notes a request that goes out.
func (t *tally) sent(asked order) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.summary.Sent++
	t.live[asked.requestID()] = asked.kind.name
}

// finished takes an answer that an engine finished.
func (t *tally) finished(requestID string, role engine.Role) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if kind, live := t.live[requestID]; live {
		t.served[servedKey{class: kind, role: role}]++
	}
}

// began takes the time that a first token took.
func (t *tally) began(now time.Time, wait time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.firstTokens = append(t.firstTokens, firstToken{at: now, wait: wait})
}

// ended takes how a request ended for its caller. runs tells how often engines began to run it.
func (t *tally) ended(got result, runs int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.live, got.order.requestID())
	switch got.outcome {
	case outcomeAnswered:
		t.summary.Answered++
	case outcomeNotRun:
		t.summary.NotRun++
		t.summary.FalseNotRun += lo.Ternary(runs > 0, 1, 0)
	case outcomeFailed:
		t.summary.Failed++
	default:
		t.summary.Unknown++
	}
	t.summary.WrongAnswers += lo.Ternary(got.wrong, 1, 0)
	t.summary.Late += lo.Ternary(got.late(), 1, 0)
	t.summary.Untold += lo.Ternary(got.told, 0, 1)
	if got.detail != "" && len(t.troubles) < maxTroubles {
		t.troubles = append(t.troubles, got.trouble())
	}
}

// snapshot is what one line shows.
type snapshot struct {
	summary  summary
	waiting  int
	served   map[servedKey]int
	p95      time.Duration
	troubles []string
}

// take returns the state and begins the next line.
func (t *tally) take(now time.Time) snapshot {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.firstTokens = lo.DropWhile(t.firstTokens, func(each firstToken) bool { return now.Sub(each.at) > firstTokenWindow })
	state := snapshot{
		summary:  t.summary,
		waiting:  len(t.live),
		served:   t.served,
		p95:      percentile95(t.firstTokens),
		troubles: t.troubles,
	}
	t.served = make(map[servedKey]int)
	t.troubles = nil
	return state
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
