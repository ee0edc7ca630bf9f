package experiment

import (
	"slices"
	"time"

	"github.com/samber/lo"
)

// Result sums up one run.
type Result struct {
	// Goodput is the share of requests that were answered within their time limit.
	Goodput float64 `json:"goodput"`
	// RoleChanges counts the changes of role that were begun.
	RoleChanges int `json:"role_changes"`
	// Shed is the share of requests that were given up before they ran.
	Shed float64 `json:"shed"`
	// P95FirstTokenMillis is the time to the first token and P95BetweenTokensMillis the mean time between tokens of one
	// answer, at the 95th percentile over the answers.
	P95FirstTokenMillis    float64 `json:"p95_first_token_ms"`
	P95BetweenTokensMillis float64 `json:"p95_between_tokens_ms"`
	// GoodputByClass and GoodputByTenant split the goodput.
	GoodputByClass  map[string]float64 `json:"goodput_by_class,omitempty"`
	GoodputByTenant map[string]float64 `json:"-"`
	// AnsweredInTime counts requests.
	AnsweredInTime int `json:"answered_in_time"`
}

const percentile = 0.95

func (r *run) result() Result {
	var firstToken, between []float64
	for _, each := range r.calls {
		if each.finished.IsZero() {
			continue
		}
		firstToken = append(firstToken, millis(each.firstToken.Sub(each.arrived)))
		if each.request.OutputTokens > 1 {
			between = append(between, millis(each.finished.Sub(each.firstToken))/float64(each.request.OutputTokens-1))
		}
	}
	return Result{
		Goodput:                share(r.calls, (*call).inTime),
		RoleChanges:            r.changes,
		Shed:                   share(r.calls, func(c *call) bool { return c.shed }),
		P95FirstTokenMillis:    percentileOf(firstToken),
		P95BetweenTokensMillis: percentileOf(between),
		GoodputByClass:         shareBy(r.calls, func(c *call) string { return c.request.Class }),
		GoodputByTenant:        shareBy(r.calls, func(c *call) string { return c.request.Tenant }),
		AnsweredInTime:         lo.CountBy(r.calls, (*call).inTime),
	}
}

// inTime tells whether the whole answer came within the time limit.
func (c *call) inTime() bool {
	return !c.finished.IsZero() && c.finished.Sub(c.arrived) <= c.request.TimeLimit
}

func share(calls []*call, holds func(*call) bool) float64 {
	if len(calls) == 0 {
		return 0
	}
	return float64(lo.CountBy(calls, holds)) / float64(len(calls))
}

func shareBy(calls []*call, key func(*call) string) map[string]float64 {
	return lo.MapValues(lo.GroupBy(calls, key), func(group []*call, _ string) float64 { return share(group, (*call).inTime) })
}

func percentileOf(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(percentile*float64(len(values))))]
}

func millis(duration time.Duration) float64 { return float64(duration) / float64(time.Millisecond) }
