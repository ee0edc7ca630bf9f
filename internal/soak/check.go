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

// Bounds of the rules, matching the gateways' default settings and the documentation.
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

// check verifies one rule against a history.
type check func(h *History) []Violation

// checks lists all rules in reporting order.
var checks = []check{
	checkNonIdempotent, checkRefusals, checkResponses, checkLostConnections, checkLastingStreams, checkUnanswered, checkExits, checkAbandoned, checkDrain, checkLeavingNotices, checkRetryAfter, checkLimits, checkOrders, checkRetryBudget, checkConfigDelays, checkRecovery, checkStartOfAll, checkBypass, checkCrashRetries, checkFalseBlocks, checkCrashingParts, checkSharedParts, checkVersions, checkResumptions, checkContinuations,
}

// Check returns all violations in a history.
func Check(h *History) []Violation {
	var found []Violation
	for _, verify := range checks {
		found = append(found, verify(h)...)
	}
	return found
}

// checkNonIdempotent: a non-idempotent request runs at most once.
func checkNonIdempotent(h *History) []Violation {
	var found []Violation
	for _, r := range h.Requests {
		if runs := h.Runs[r.Request.ID]; r.Kind == KindNonIdempotent && len(runs) > 1 {
			found = append(found, Violation{"TWICE", r.Request.ID, fmt.Sprintf("non-idempotent request ran %d times: %+v", len(runs), runs)})
		}
	}
	return found
}

// checkRefusals: a refused non-idempotent request has not run.
func checkRefusals(h *History) []Violation {
	var found []Violation
	for _, r := range h.Requests {
		refused := r.Response.Err == nil && (r.Response.Status == http.StatusServiceUnavailable || r.Response.Status == http.StatusTooManyRequests)
		if refused && r.Kind == KindNonIdempotent && len(h.Runs[r.Request.ID]) > 0 {
			found = append(found, Violation{"REFUSED", r.Request.ID, fmt.Sprintf("answered %d although it ran: %+v", r.Response.Status, h.Runs[r.Request.ID])})
		}
	}
	return found
}

// checkResponses: a successful response is complete, signed and belongs to its request; an incomplete stream is a prefix of the
// expected one.
func checkResponses(h *History) []Violation {
	var found []Violation
	for _, r := range h.Requests {
		if r.Response.Status != http.StatusOK || r.crashesWorkers() {
			continue
		}
		switch {
		case r.Response.Err == nil && r.Response.Signature == "":
			found = append(found, Violation{"MIXED", r.Request.ID, "the response has no signature"})
		case r.Response.Err == nil && r.Response.Body != r.WantBody:
			found = append(found, Violation{answerRule(r), r.Request.ID, fmt.Sprintf("got %q, want %q", r.Response.Body, r.WantBody)})
		case r.Response.Err != nil && !strings.HasPrefix(r.WantBody, r.Response.Body):
			found = append(found, Violation{answerRule(r), r.Request.ID, fmt.Sprintf("aborted after %q, want a prefix of %q", r.Response.Body, r.WantBody)})
		}
	}
	return found
}

// answerRule returns the rule that a wrong answer violates.
func answerRule(r RequestRecord) string {
	if r.Kind == KindStream {
		return "ORDER"
	}
	return "MIXED"
}

// checkLostConnections: planned operations do not cause connections to close without a complete response. It leaves out the requests near
// any unplanned fault, which in most rounds are all from the first fault on; checkUnanswered covers these.
func checkLostConnections(h *History) []Violation {
	var found []Violation
	for _, r := range h.Requests {
		// A connection that could not be opened was not lost.
		refused := r.Response.Err != nil && strings.Contains(r.Response.Err.Error(), "connection refused")
		if r.Response.Err == nil || refused || !r.AbandonedAt.IsZero() || r.isOverdue() || r.crossedClose() || r.wasCutHalfClosed() || h.endedByStop(&r) || h.hasUnplannedFault(r.Sent.Add(-recoveryMargin), r.Ended) {
			continue
		}
		found = append(found, Violation{"LOST", r.Request.ID, fmt.Sprintf("connection to %s lost after %s: %v", r.Gateway, r.Ended.Sub(r.Sent), r.Response.Err)})
	}
	return found
}

// isOverdue reports whether a stream had started and was aborted at its deadline, as required.
func (r *RequestRecord) isOverdue() bool {
	return r.Response.Status == http.StatusOK && r.Ended.Sub(r.Sent) >= min(r.Request.Deadline, minTimeout)
}

// wasCutHalfClosed reports whether a response ended after it had started to a client that seemed to have gone.
func (r *RequestRecord) wasCutHalfClosed() bool {
	return !r.HalfClosedAt.IsZero() && r.Response.Status != 0
}

// exitSlack is how long before the recorded exit of a killed process its connections may have closed.
const exitSlack = 100 * time.Millisecond

// checkUnanswered: a request that a gateway has read whole, or that has reached a worker, gets a response, whatever fault is near. The
// exceptions are a gateway that was killed, a client that disconnected or waited in vain until its own timeout, and a silenced connection,
// which its client closes. No fault cuts or resets the connections of clients, which lead straight to the gateways.
func checkUnanswered(h *History) []Violation {
	arrivals := map[string]time.Time{}
	for _, arrival := range h.Arrivals {
		arrivals[arrival.ID] = arrival.At
	}
	var found []Violation
	for _, r := range h.Requests {
		at, arrived := arrivals[r.Request.ID]
		isUnanswered := r.Response.Err != nil && r.Response.Status == 0 && (arrived || r.Response.ReadByGateway)
		if !isUnanswered || !r.AbandonedAt.IsZero() || closedByCaller(r.Response.Err) || h.wasKilled(r.Gateway, r.Sent, r.Ended) {
			continue
		}
		reached := "no worker"
		if arrived {
			reached = fmt.Sprintf("a worker %s before", r.Ended.Sub(at))
		}
		found = append(found, Violation{"LOST", r.Request.ID, fmt.Sprintf("%s closed the connection after %s without a response, read whole: %t, half closed: %t, reached %s: %v",
			r.Gateway, r.Ended.Sub(r.Sent), r.Response.ReadByGateway, !r.HalfClosedAt.IsZero(), reached, r.Response.Err)})
	}
	return found
}

// closedByCaller reports whether the client closed the connection: because of its timeout, or because it dropped a silenced
// connection when the faults ended.
func closedByCaller(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, errClosedByCaller)
}

// wasKilled reports whether a gateway was killed within a time span.
func (h *History) wasKilled(gateway string, from, until time.Time) bool {
	return slices.ContainsFunc(h.Exits, func(exit ProcessExit) bool {
		return exit.Gateway == gateway && exit.Killed && exit.At.After(from) && exit.At.Before(until.Add(exitSlack))
	})
}

// checkExits: no gateway process exits unless it was asked to.
func checkExits(h *History) []Violation {
	var found []Violation
	for _, exit := range h.Exits {
		if !exit.Expected {
			found = append(found, Violation{"Fault", exit.Gateway, fmt.Sprintf("unexpected exit at %s: %v", exit.At.Format(timeFormat), exit.Err)})
		}
	}
	return found
}

// Bounds on work after a client has disconnected.
const (
	// abandonGrace is how long after the disconnect a request may still reach workers, and workers may still process it.
	abandonGrace = 500 * time.Millisecond
	// maxLateArrivals is the number of requests that may reach workers later, and maxLateWork the number that may always be
	// processed later.
	maxLateArrivals, maxLateWork = 3, 3
	// maxLateWorkShare is the share of the long-running requests that may be processed later.
	maxLateWorkShare = 0.25
)

// checkAbandoned: after clients have disconnected, or seem to because they closed the sending half of their connection, few of their
// requests reach workers later than abandonGrace, and workers stop processing those that are idempotent or resumable.
func checkAbandoned(h *History) []Violation {
	abandoned := map[string]RequestRecord{}
	for _, r := range h.Requests {
		if left := r.leftAt(); !left.IsZero() && r.Kind != KindNonIdempotent && !h.hasUnplannedFault(left.Add(-recoveryMargin), left.Add(abandonGrace)) {
			abandoned[r.Request.ID] = r
		}
	}
	lateArrivals, longRunning, lateWork := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, arrival := range h.Arrivals {
		if r, gone := abandoned[arrival.ID]; gone && arrival.At.After(r.leftAt().Add(abandonGrace)) {
			lateArrivals[arrival.ID] = true
		}
	}
	for _, work := range h.Work {
		r, gone := abandoned[work.ID]
		if !gone {
			continue
		}
		limit := r.leftAt().Add(abandonGrace)
		if r.LongRunning && work.Begun.Add(fleet.LongWork).After(limit) {
			longRunning[work.ID] = true
		}
		if work.Ended.After(limit) || (work.Ended.IsZero() && !h.CollectedAt.Before(limit)) {
			longRunning[work.ID], lateWork[work.ID] = true, true
		}
	}
	var found []Violation
	if len(lateArrivals) > maxLateArrivals {
		found = append(found, Violation{"GONE", fmt.Sprint(len(lateArrivals)), fmt.Sprintf("requests reached workers later than %s after their clients had disconnected: %v", abandonGrace, slices.Sorted(maps.Keys(lateArrivals)))})
	}
	if len(lateWork) > maxLateWork && float64(len(lateWork)) > maxLateWorkShare*float64(len(longRunning)) {
		found = append(found, Violation{"GONE", fmt.Sprint(len(lateWork)), fmt.Sprintf("of %d long-running requests were still processed %s after their clients had disconnected: %v",
			len(longRunning), abandonGrace, slices.Sorted(maps.Keys(lateWork)))})
	}
	return found
}

// checkDrain: a draining worker gets no requests after the drain time.
func checkDrain(h *History) []Violation {
	var found []Violation
	for _, departure := range h.Departures {
		limit := departure.At.Add(drainTime)
		for id, runs := range h.Runs {
			for _, run := range runs {
				if run.Worker == departure.Worker && run.Begun.After(limit) && !h.hasUnplannedFault(departure.At, run.Begun) {
					found = append(found, Violation{"DRAIN", id, fmt.Sprintf("ran on %s %s after the worker had started to drain", departure.Worker, run.Begun.Sub(departure.At))})
				}
			}
		}
	}
	return found
}

// checkOrders: holders do not share a fence, fences increase, and orders of two holders are at least a lease apart. The time of
// an order is that of its arrival at the worker.
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

// checkHolderChange checks two consecutive orders of different holders.
func checkHolderChange(previous, order fleet.AcceptedOrder) []Violation {
	var found []Violation
	if order.Fence < previous.Fence {
		found = append(found, Violation{"ONE", order.Worker, fmt.Sprintf("fence %d after %d", order.Fence, previous.Fence)})
	}
	if elapsed := order.At.Sub(previous.At); elapsed < leaseTTL {
		found = append(found, Violation{"ONE", order.Worker, fmt.Sprintf("%s issued an order %s after %s", order.Holder, elapsed, previous.Holder)})
	}
	return found
}

// checkRetryBudget: retries stay within the budget of each window.
func checkRetryBudget(h *History) []Violation {
	var found []Violation
	for service, peak := range h.peakRetries() {
		if float64(peak.count) > peak.allowed {
			found = append(found, Violation{"BUDGET", service, peak.String()})
		}
	}
	return found
}

// retryCount is the number of retries in a window, and the number allowed.
type retryCount struct {
	from    time.Time
	count   int
	allowed float64
}

// String implements fmt.Stringer.
func (r retryCount) String() string {
	return fmt.Sprintf("%d retries within %s from %s, allowed: %.0f", r.count, retryWindow, r.from.Format(timeFormat), r.allowed)
}

// peakRetries returns, for each service, the window with the most retries relative to the allowed number. A window starts at each
// retry.
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

// retryTimes returns the arrival times of retries by service. The prefill call and the run of a request are counted separately.
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

// The services of the simulated workers. serviceSplit is a second one of plain requests, which not all systems have.
const (
	servicePlain  = "app"
	serviceSplit  = "app-b"
	serviceEngine = "llm"
)

// serviceOf returns the service for a kind of requests.
func serviceOf(kind Kind) string {
	if kind == KindStream {
		return serviceEngine
	}
	return servicePlain
}

// requestsAround counts the requests for a service in the window starting at a time, in the previous window, and in the one half
// a window earlier. It returns the highest count.
func (h *History) requestsAround(service string, from time.Time) int {
	highest := 0
	belongs := func(r RequestRecord) bool { return serviceOf(r.Kind) == service }
	if service == serviceSplit {
		reached := h.reached(service)
		belongs = func(r RequestRecord) bool { return reached[r.Request.ID] }
	}
	for _, begin := range []time.Time{from, from.Add(-retryWindow), from.Add(-retryWindow / 2)} {
		count := 0
		for _, r := range h.Requests {
			if since := r.Sent.Sub(begin); belongs(r) && since >= 0 && since < retryWindow {
				count++
			}
		}
		highest = max(highest, count)
	}
	return highest
}

// reached returns the IDs of the requests that reached workers of a service.
func (h *History) reached(service string) map[string]bool {
	ids := map[string]bool{}
	for _, arrival := range h.Arrivals {
		if arrival.Service == service {
			ids[arrival.ID] = true
		}
	}
	return ids
}

// checkConfigDelays: in the absence of faults, a new configuration takes effect on all gateways within maxConfigDelay.
func checkConfigDelays(h *History) []Violation {
	var found []Violation
	for i, delay := range h.ConfigDelays {
		if delay > maxConfigDelay {
			found = append(found, Violation{"CONFIG", fmt.Sprintf("change %d", i), fmt.Sprintf("in effect on all gateways after %s", delay)})
		}
	}
	return found
}

// maxShownRequests bounds the requests that a violation of checkRecovery lists.
const maxShownRequests = 5

// cutByNextRound reports whether a request of a quiet period was still in progress, for no longer than the longest requests take, when the next
// round began, whose faults may have cut it.
func cutByNextRound(r *RequestRecord, quiet Span) bool {
	return r.Response.Err != nil && r.Ended.After(quiet.Ended) && quiet.Ended.Sub(r.Sent) < 2*fleet.LongWork
}

// checkRecovery: after the faults have ended, requests are served again.
func checkRecovery(h *History) []Violation {
	var found []Violation
	for i, quiet := range h.QuietPeriods {
		sent, served := 0, 0
		var failed []string
		for _, r := range h.Requests {
			// Streams beside requests that still crash workers are the matter of checkSharedParts.
			besidePart := r.Kind == KindStream && h.isBesidePart(&r)
			if r.Sent.Before(quiet.Begun) || r.Sent.After(quiet.Ended) || !r.countsAsService() || besidePart || cutByNextRound(&r, quiet) {
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
			found = append(found, Violation{"RECOVER", fmt.Sprintf("round %d", i), fmt.Sprintf("%d of %d served after all faults had ended; %q", served, sent, failed[:min(len(failed), maxShownRequests)])})
		}
	}
	return found
}

// checkCrashRetries: once a request has crashed crashThreshold workers, few of its retries that are sent later than
// recoveryMargin reach workers, unless other faults interfere.
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
			found = append(found, Violation{"BUDGET", fmt.Sprintf("crashing request %d", id), fmt.Sprintf("%d retries reached workers later than %s after the third crash; %d crashes in total", count, recoveryMargin, len(crashes[id]))})
		}
	}
	return found
}

// checkFalseBlocks: requests that do not crash workers are not blocked.
func checkFalseBlocks(h *History) []Violation {
	var found []Violation
	for _, r := range h.Requests {
		if !r.crashesWorkers() && r.Response.Status == http.StatusUnprocessableEntity {
			found = append(found, Violation{"DENIED", r.Request.ID, "blocked although it does not crash workers: " + r.Response.Body})
		}
	}
	return found
}
