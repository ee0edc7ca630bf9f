package soak

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/standin/fleet"
)

// Bounds of the rules, as the settings of the gateways and the pages have them.
const (
	drainTime        = 2 * time.Second
	leaseTTL         = 3 * time.Second
	retryRatio       = 0.2
	retrySlack       = 50
	retryWindow      = 10 * time.Second
	crashThreshold   = 3
	maxCrashRetries  = 3
	maxConfigDelay   = 2 * time.Second
	minServedShare   = 0.95
	minQuietRequests = 20
)

// check is a rule that looks at a whole history.
type check func(h *History) []Violation

// checks are all rules, in the order in which they are reported.
var checks = []check{
	checkNonIdempotent, checkRefusals, checkResponses, checkLostConnections, checkClosedConnections, checkExits, checkAbandoned, checkDrain, checkLeavingNotices, checkRetryAfter, checkLimits, checkOrders, checkRetryBudget, checkConfigDelays, checkRecovery, checkCrashRetries, checkFalseBlocks,
}

// Check returns all broken rules of a history.
func Check(h *History) []Violation {
	var found []Violation
	for _, each := range checks {
		found = append(found, each(h)...)
	}
	return found
}

// checkOnce: work that may run once runs once at the most, and other work at two workers at the most.
func checkNonIdempotent(h *History) []Violation {
	var found []Violation
	for _, r := range h.Requests {
		if runs := h.Runs[r.Request.ID]; r.Kind == KindNonIdempotent && len(runs) > 1 {
			found = append(found, Violation{"TWICE", r.Request.ID, fmt.Sprintf("it ran %d times: %+v", len(runs), runs)})
		}
	}
	return found
}

// checkRefused: what was refused has not run.
func checkRefusals(h *History) []Violation {
	var found []Violation
	for _, r := range h.Requests {
		refused := r.Response.Err == nil && (r.Response.Status == http.StatusServiceUnavailable || r.Response.Status == http.StatusTooManyRequests)
		if refused && r.Kind == KindNonIdempotent && len(h.Runs[r.Request.ID]) > 0 {
			found = append(found, Violation{"REFUSED", r.Request.ID, fmt.Sprintf("answered %d, and ran: %+v", r.Response.Status, h.Runs[r.Request.ID])})
		}
	}
	return found
}

// checkAnswers: a success is the whole answer to its own request, signed; a stream that is not whole has a true beginning.
func checkResponses(h *History) []Violation {
	var found []Violation
	for _, r := range h.Requests {
		if r.Response.Status != http.StatusOK || r.CrashID > 0 {
			continue
		}
		switch {
		case r.Response.Err == nil && r.Response.Signature == "":
			found = append(found, Violation{"MIXED", r.Request.ID, "the answer is not signed"})
		case r.Response.Err == nil && r.Response.Body != r.WantBody:
			found = append(found, Violation{answerRule(r), r.Request.ID, fmt.Sprintf("got %q, want %q", r.Response.Body, r.WantBody)})
		case r.Response.Err != nil && !strings.HasPrefix(r.WantBody, r.Response.Body):
			found = append(found, Violation{answerRule(r), r.Request.ID, fmt.Sprintf("broke off after %q of %q", r.Response.Body, r.WantBody)})
		}
	}
	return found
}

// rule names the rule that a wrong answer breaks.
func answerRule(r RequestRecord) string {
	if r.Kind == KindStream {
		return "ORDER"
	}
	return "MIXED"
}

// checkLost: around planned work no connection closes without an answer.
func checkLostConnections(h *History) []Violation {
	var found []Violation
	for _, r := range h.Requests {
		// A connection that could not be opened was not lost.
		refused := r.Response.Err != nil && strings.Contains(r.Response.Err.Error(), "connection refused")
		if r.Response.Err == nil || refused || !r.AbandonedAt.IsZero() || r.isOverdue() || h.hasUnplannedFault(r.Sent.Add(-recoveryMargin), r.Ended) {
			continue
		}
		found = append(found, Violation{"LOST", r.Request.ID, fmt.Sprintf("sent to %s, after %s: %v", r.Gateway, r.Ended.Sub(r.Sent), r.Response.Err)})
	}
	return found
}

// overdue tells whether a stream had begun and broke off when its time was over, as it has to.
func (r *RequestRecord) isOverdue() bool {
	return r.Response.Status == http.StatusOK && r.Ended.Sub(r.Sent) >= min(r.Request.Deadline, minTimeout)
}

// endSlack is how long before the end of a killed process was noticed its connections may have closed.
const exitSlack = 100 * time.Millisecond

// checkClosed: no gateway closes the connection of a request without an answer once a worker has got it, whatever goes wrong, but for one
// that is killed. The caller of a connection that has gone silent waits until its time is over, and sees no end.
func checkClosedConnections(h *History) []Violation {
	arrivals := map[string]time.Time{}
	for _, arrival := range h.Arrivals {
		arrivals[arrival.ID] = arrival.At
	}
	var found []Violation
	for _, r := range h.Requests {
		at, arrived := arrivals[r.Request.ID]
		if r.Response.Err == nil || r.Response.Status != 0 || !arrived || !r.AbandonedAt.IsZero() || closedByCaller(r.Response.Err) {
			continue
		}
		if h.wasKilled(r.Gateway, r.Sent, r.Ended) {
			continue
		}
		found = append(found, Violation{"LOST", r.Request.ID, fmt.Sprintf("%s closed its connection after %s with no answer, and a worker got it %s before: %v",
			r.Gateway, r.Ended.Sub(r.Sent), r.Ended.Sub(at), r.Response.Err)})
	}
	return found
}

// byCaller tells whether it was the caller that closed a connection: its time was over, or it dropped a silent one once that had healed.
func closedByCaller(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, errClosedByCaller)
}

// killed tells whether a gateway was killed within a time.
func (h *History) wasKilled(gateway string, from, until time.Time) bool {
	return slices.ContainsFunc(h.Exits, func(end ProcessExit) bool {
		return end.Gateway == gateway && end.Killed && end.At.After(from) && end.At.Before(until.Add(exitSlack))
	})
}

// checkEnds: no gateway ends that was not asked to.
func checkExits(h *History) []Violation {
	var found []Violation
	for _, end := range h.Exits {
		if !end.Expected {
			found = append(found, Violation{"Fault", end.Gateway, fmt.Sprintf("it ended by itself at %s: %v", end.At.Format(timeFormat), end.Err)})
		}
	}
	return found
}

// Bounds of what may go on after a caller has left.
const (
	// goneTime is how long after a caller has left its request may reach workers, and workers may work on it.
	abandonGrace = 500 * time.Millisecond
	// goneArrivals is how many requests may reach workers later, and goneWork how many may be worked on later in any case.
	maxLateArrivals, maxLateWork = 3, 3
	// goneShare is the part of the requests on which workers would have worked for so long that may be worked on later.
	maxLateWorkShare = 0.25
)

// checkGone: once callers have left, few of their requests reach workers later than goneTime, and workers do not go on working on those that
// may be repeated or resumed.
func checkAbandoned(h *History) []Violation {
	abandoned := map[string]RequestRecord{}
	for _, r := range h.Requests {
		if !r.AbandonedAt.IsZero() && r.Kind != KindNonIdempotent && !h.hasUnplannedFault(r.AbandonedAt.Add(-recoveryMargin), r.AbandonedAt.Add(abandonGrace)) {
			abandoned[r.Request.ID] = r
		}
	}
	lateArrivals, longRunning, lateWork := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, arrival := range h.Arrivals {
		if r, gone := abandoned[arrival.ID]; gone && arrival.At.After(r.AbandonedAt.Add(abandonGrace)) {
			lateArrivals[arrival.ID] = true
		}
	}
	for _, work := range h.Work {
		r, gone := abandoned[work.ID]
		if !gone {
			continue
		}
		limit := r.AbandonedAt.Add(abandonGrace)
		if r.LongRunning && work.Begun.Add(fleet.LongWork).After(limit) {
			longRunning[work.ID] = true
		}
		if work.Ended.After(limit) || (work.Ended.IsZero() && !h.CollectedAt.Before(limit)) {
			longRunning[work.ID], lateWork[work.ID] = true, true
		}
	}
	var found []Violation
	if len(lateArrivals) > maxLateArrivals {
		found = append(found, Violation{"GONE", fmt.Sprint(len(lateArrivals)), fmt.Sprintf("requests reached workers later than %s after their callers had left: %v", abandonGrace, slices.Sorted(maps.Keys(lateArrivals)))})
	}
	if len(lateWork) > maxLateWork && float64(len(lateWork)) > maxLateWorkShare*float64(len(longRunning)) {
		found = append(found, Violation{"GONE", fmt.Sprint(len(lateWork)), fmt.Sprintf("of %d requests that would have lasted were worked on later than %s after their callers had left: %v",
			len(longRunning), abandonGrace, slices.Sorted(maps.Keys(lateWork)))})
	}
	return found
}

// checkDrain: a worker that is recorded as leaving gets nothing after its time to drain.
func checkDrain(h *History) []Violation {
	var found []Violation
	for _, departure := range h.Departures {
		limit := departure.At.Add(drainTime)
		for id, runs := range h.Runs {
			for _, run := range runs {
				if run.Worker == departure.Worker && run.Begun.After(limit) && !h.hasUnplannedFault(departure.At, run.Begun) {
					found = append(found, Violation{"DRAIN", id, fmt.Sprintf("ran at %s, %s after it was leaving", departure.Worker, run.Begun.Sub(departure.At))})
				}
			}
		}
	}
	return found
}

// checkOrders: holders do not share a fence, fences rise, and holders do not take turns within a lease. An order counts from
// when it came to its worker, whenever it was carried out.
func checkOrders(h *History) []Violation {
	var found []Violation
	holders := map[int64]string{}
	orders := slices.Clone(h.Orders)
	slices.SortStableFunc(orders, func(a, b fleet.AcceptedOrder) int { return a.At.Compare(b.At) })
	for i, order := range orders {
		if holder, known := holders[order.Fence]; known && holder != order.Holder {
			found = append(found, Violation{"ONE", order.Worker, fmt.Sprintf("%s and %s share fence %d", holder, order.Holder, order.Fence)})
		}
		holders[order.Fence] = order.Holder
		if i == 0 {
			continue
		}
		if previous := orders[i-1]; previous.Holder != order.Holder {
			found = append(found, checkHolderChange(previous, order)...)
		}
	}
	return found
}

// checkTurn looks at two orders in a row by two holders.
func checkHolderChange(previous, order fleet.AcceptedOrder) []Violation {
	var found []Violation
	if order.Fence < previous.Fence {
		found = append(found, Violation{"ONE", order.Worker, fmt.Sprintf("fence %d after %d", order.Fence, previous.Fence)})
	}
	if elapsed := order.At.Sub(previous.At); elapsed < leaseTTL {
		found = append(found, Violation{"ONE", order.Worker, fmt.Sprintf("%s gives an order %s after %s", order.Holder, elapsed, previous.Holder)})
	}
	return found
}

// checkBudget: arrivals beyond the first of each request stay within the budget of each window.
func checkRetryBudget(h *History) []Violation {
	var found []Violation
	for service, peak := range h.peakRetries() {
		if float64(peak.count) > peak.allowed {
			found = append(found, Violation{"BUDGET", service, peak.String()})
		}
	}
	return found
}

// repeats are the arrivals beyond the first of each request in a window.
type retryCount struct {
	from    time.Time
	count   int
	allowed float64
}

// String is part of fmt.Stringer.
func (r retryCount) String() string {
	return fmt.Sprintf("%d repeats within %s from %s, allowed are %.0f", r.count, retryWindow, r.from.Format(timeFormat), r.allowed)
}

// repeats returns the window of each service with the most repeats for those that are allowed. Windows begin at each repeat.
func (h *History) peakRetries() map[string]retryCount {
	found := map[string]retryCount{}
	for service, at := range h.retryTimes() {
		slices.SortFunc(at, time.Time.Compare)
		last := 0
		for first, from := range at {
			for last < len(at) && at[last].Sub(from) < retryWindow {
				last++
			}
			current := retryCount{from: from, count: last - first, allowed: retryRatio*float64(h.requestsAround(service, from)) + retrySlack}
			if peak, known := found[service]; !known || float64(current.count)/current.allowed > float64(peak.count)/peak.allowed {
				found[service] = current
			}
		}
	}
	return found
}

// repeatTimes returns when repeats arrived, by service. A first call that only has the prompt read is none.
func (h *History) retryTimes() map[string][]time.Time {
	type callKey struct {
		id      string
		reading bool
	}
	seen := map[callKey]bool{}
	times := map[string][]time.Time{}
	for _, arrival := range h.Arrivals {
		if key := (callKey{arrival.ID, arrival.Reading}); !seen[key] {
			seen[key] = true
			continue
		}
		times[arrival.Service] = append(times[arrival.Service], arrival.At)
	}
	return times
}

// Services of the kinds of requests.
const (
	servicePlain  = "app"
	serviceEngine = "llm"
)

// serviceOf returns the service to which requests of a kind go.
func serviceOf(kind Kind) string {
	if kind == KindStream {
		return serviceEngine
	}
	return servicePlain
}

// requestsFor counts the requests for a service in the window from a moment, the one before or the one half before, whichever
// holds most.
func (h *History) requestsAround(service string, from time.Time) int {
	highest := 0
	for _, begin := range []time.Time{from, from.Add(-retryWindow), from.Add(-retryWindow / 2)} {
		count := 0
		for _, r := range h.Requests {
			if since := r.Sent.Sub(begin); serviceOf(r.Kind) == service && since >= 0 && since < retryWindow {
				count++
			}
		}
		highest = max(highest, count)
	}
	return highest
}

// checkConfiguration: a new configuration is in force everywhere within its bound while nothing goes wrong.
func checkConfigDelays(h *History) []Violation {
	var found []Violation
	for i, delay := range h.ConfigDelays {
		if delay > maxConfigDelay {
			found = append(found, Violation{"CONFIG", fmt.Sprintf("change %d", i), fmt.Sprintf("in force everywhere after %s", delay)})
		}
	}
	return found
}

// checkService: once everything has healed, requests are served.
func checkRecovery(h *History) []Violation {
	var found []Violation
	for i, quiet := range h.QuietPeriods {
		sent, served := 0, 0
		var failed []string
		for _, r := range h.Requests {
			if r.Sent.Before(quiet.Begun) || r.Sent.After(quiet.Ended) || r.CrashID > 0 || !r.AbandonedAt.IsZero() {
				continue
			}
			sent++
			if r.Response.Status == http.StatusOK && r.Response.Err == nil {
				served++
			} else {
				failed = append(failed, fmt.Sprintf("%s at %s: %d %v %q", r.Request.ID, r.Gateway, r.Response.Status, r.Response.Err, r.Response.Body))
			}
		}
		if sent < minQuietRequests || float64(served) < minServedShare*float64(sent) {
			found = append(found, Violation{"RECOVER", fmt.Sprintf("round %d", i), fmt.Sprintf("%d of %d served after everything had healed; %.5q", served, sent, failed)})
		}
	}
	return found
}

// checkCrashing: once three workers ended under a request, few of its retries reach workers that were sent a while later by gateways
// that nothing else disturbs.
func checkCrashRetries(h *History) []Violation {
	reached := map[string]bool{}
	for _, head := range h.Heads {
		reached[head.ID] = true
	}
	crashIDs := map[string]int{}
	for _, r := range h.Requests {
		crashIDs[r.Request.ID] = r.CrashID
	}
	crashes := map[int][]time.Time{}
	for _, crash := range h.Crashes {
		id := crashIDs[crash.ID]
		crashes[id] = append(crashes[id], crash.At)
	}
	unrelated := func(f Fault) bool { _, isCrash := f.(CrashingRequest); return !isCrash && !isPlanned(f) }
	late := map[int]int{}
	for _, r := range h.Requests {
		at := crashes[r.CrashID]
		if r.CrashID == 0 || len(at) < crashThreshold || !reached[r.Request.ID] || h.hasFault(unrelated, r.Sent.Add(-recoveryMargin), r.Sent) {
			continue
		}
		if r.Sent.After(at[crashThreshold-1].Add(recoveryMargin)) {
			late[r.CrashID]++
		}
	}
	var found []Violation
	for id, count := range late {
		if count > maxCrashRetries {
			found = append(found, Violation{"BUDGET", fmt.Sprintf("crashing request %d", id), fmt.Sprintf("%d retries reached workers later than %s after three had ended; %d ended in all", count, recoveryMargin, len(crashes[id]))})
		}
	}
	return found
}

// checkBarred: a request that does no harm is not barred.
func checkFalseBlocks(h *History) []Violation {
	var found []Violation
	for _, r := range h.Requests {
		if r.CrashID == 0 && r.Response.Status == http.StatusUnprocessableEntity {
			found = append(found, Violation{"DENIED", r.Request.ID, "it does no harm and was barred: " + r.Response.Body})
		}
	}
	return found
}
