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
	drainTime    = 2 * time.Second
	leaseTime    = 3 * time.Second
	retryRatio   = 0.2
	retrySlack   = 50
	retryWindow  = 10 * time.Second
	crashEnds    = 3
	crashRetries = 3
	configTime   = 2 * time.Second
	servedShare  = 0.95
	leastInQuiet = 20
)

// check is a rule that looks at a whole history.
type check func(h *History) []Violation

// checks are all rules, in the order in which they are reported.
var checks = []check{
	checkOnce, checkRefused, checkAnswers, checkLost, checkClosed, checkEnds, checkGone, checkDrain, checkLeaving, checkRest, checkLimits, checkOrders, checkBudget, checkConfiguration, checkService, checkCrashing, checkBarred,
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
func checkOnce(h *History) []Violation {
	var found []Violation
	for _, r := range h.Requests {
		if runs := h.Runs[r.Asked.ID]; r.Kind == KindOnce && len(runs) > 1 {
			found = append(found, Violation{"TWICE", r.Asked.ID, fmt.Sprintf("it ran %d times: %+v", len(runs), runs)})
		}
	}
	return found
}

// checkRefused: what was refused has not run.
func checkRefused(h *History) []Violation {
	var found []Violation
	for _, r := range h.Requests {
		refused := r.Answer.Err == nil && (r.Answer.Status == http.StatusServiceUnavailable || r.Answer.Status == http.StatusTooManyRequests)
		if refused && r.Kind == KindOnce && len(h.Runs[r.Asked.ID]) > 0 {
			found = append(found, Violation{"REFUSED", r.Asked.ID, fmt.Sprintf("answered %d, and ran: %+v", r.Answer.Status, h.Runs[r.Asked.ID])})
		}
	}
	return found
}

// checkAnswers: a success is the whole answer to its own request, signed; a stream that is not whole has a true beginning.
func checkAnswers(h *History) []Violation {
	var found []Violation
	for _, r := range h.Requests {
		if r.Answer.Status != http.StatusOK || r.Crashing > 0 {
			continue
		}
		switch {
		case r.Answer.Err == nil && r.Answer.Signature == "":
			found = append(found, Violation{"MIXED", r.Asked.ID, "the answer is not signed"})
		case r.Answer.Err == nil && r.Answer.Body != r.Want:
			found = append(found, Violation{rule(r), r.Asked.ID, fmt.Sprintf("got %q, want %q", r.Answer.Body, r.Want)})
		case r.Answer.Err != nil && !strings.HasPrefix(r.Want, r.Answer.Body):
			found = append(found, Violation{rule(r), r.Asked.ID, fmt.Sprintf("broke off after %q of %q", r.Answer.Body, r.Want)})
		}
	}
	return found
}

// rule names the rule that a wrong answer breaks.
func rule(r Request) string {
	if r.Kind == KindStream {
		return "ORDER"
	}
	return "MIXED"
}

// checkLost: around planned work no connection closes without an answer.
func checkLost(h *History) []Violation {
	var found []Violation
	for _, r := range h.Requests {
		// A connection that could not be opened was not lost.
		refused := r.Answer.Err != nil && strings.Contains(r.Answer.Err.Error(), "connection refused")
		if r.Answer.Err == nil || refused || !r.Left.IsZero() || r.overdue() || h.disturbed(r.Sent.Add(-touch), r.Ended) {
			continue
		}
		found = append(found, Violation{"LOST", r.Asked.ID, fmt.Sprintf("sent to %s, after %s: %v", r.Gateway, r.Ended.Sub(r.Sent), r.Answer.Err)})
	}
	return found
}

// overdue tells whether a stream had begun and broke off when its time was over, as it has to.
func (r *Request) overdue() bool {
	return r.Answer.Status == http.StatusOK && r.Ended.Sub(r.Sent) >= min(r.Asked.Deadline, leastTimeout)
}

// endSlack is how long before the end of a killed process was noticed its connections may have closed.
const endSlack = 100 * time.Millisecond

// checkClosed: no gateway closes the connection of a request without an answer once a worker has got it, whatever goes wrong, but for one
// that is killed. The caller of a connection that has gone silent waits until its time is over, and sees no end.
func checkClosed(h *History) []Violation {
	arrived := map[string]time.Time{}
	for _, arrival := range h.Arrivals {
		arrived[arrival.ID] = arrival.At
	}
	var found []Violation
	for _, r := range h.Requests {
		at, reached := arrived[r.Asked.ID]
		if r.Answer.Err == nil || r.Answer.Status != 0 || !reached || !r.Left.IsZero() || byCaller(r.Answer.Err) {
			continue
		}
		if h.killed(r.Gateway, r.Sent, r.Ended) {
			continue
		}
		found = append(found, Violation{"LOST", r.Asked.ID, fmt.Sprintf("%s closed its connection after %s with no answer, and a worker got it %s before: %v",
			r.Gateway, r.Ended.Sub(r.Sent), r.Ended.Sub(at), r.Answer.Err)})
	}
	return found
}

// byCaller tells whether it was the caller that closed a connection: its time was over, or it dropped a silent one once that had healed.
func byCaller(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, errClosed)
}

// killed tells whether a gateway was killed within a time.
func (h *History) killed(gateway string, from, until time.Time) bool {
	return slices.ContainsFunc(h.Ends, func(end End) bool {
		return end.Gateway == gateway && end.Killed && end.At.After(from) && end.At.Before(until.Add(endSlack))
	})
}

// checkEnds: no gateway ends that was not asked to.
func checkEnds(h *History) []Violation {
	var found []Violation
	for _, end := range h.Ends {
		if !end.Asked {
			found = append(found, Violation{"Fault", end.Gateway, fmt.Sprintf("it ended by itself at %s: %v", end.At.Format(clock), end.Err)})
		}
	}
	return found
}

// Bounds of what may go on after a caller has left.
const (
	// goneTime is how long after a caller has left its request may reach workers, and workers may work on it.
	goneTime = 500 * time.Millisecond
	// goneArrivals is how many requests may reach workers later, and goneWork how many may be worked on later in any case.
	goneArrivals, goneWork = 3, 3
	// goneShare is the part of the requests on which workers would have worked for so long that may be worked on later.
	goneShare = 0.25
)

// checkGone: once callers have left, few of their requests reach workers later than goneTime, and workers do not go on working on those that
// may be repeated or resumed.
func checkGone(h *History) []Violation {
	left := map[string]Request{}
	for _, r := range h.Requests {
		if !r.Left.IsZero() && r.Kind != KindOnce && !h.disturbed(r.Left.Add(-touch), r.Left.Add(goneTime)) {
			left[r.Asked.ID] = r
		}
	}
	late, lasting, worked := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, arrival := range h.Arrivals {
		if r, gone := left[arrival.ID]; gone && arrival.At.After(r.Left.Add(goneTime)) {
			late[arrival.ID] = true
		}
	}
	for _, work := range h.Worked {
		r, gone := left[work.ID]
		if !gone {
			continue
		}
		limit := r.Left.Add(goneTime)
		if r.Long && work.Begun.Add(fleet.LongWork).After(limit) {
			lasting[work.ID] = true
		}
		if work.Ended.After(limit) || (work.Ended.IsZero() && !h.Seen.Before(limit)) {
			lasting[work.ID], worked[work.ID] = true, true
		}
	}
	var found []Violation
	if len(late) > goneArrivals {
		found = append(found, Violation{"GONE", fmt.Sprint(len(late)), fmt.Sprintf("requests reached workers later than %s after their callers had left: %v", goneTime, slices.Sorted(maps.Keys(late)))})
	}
	if len(worked) > goneWork && float64(len(worked)) > goneShare*float64(len(lasting)) {
		found = append(found, Violation{"GONE", fmt.Sprint(len(worked)), fmt.Sprintf("of %d requests that would have lasted were worked on later than %s after their callers had left: %v",
			len(lasting), goneTime, slices.Sorted(maps.Keys(worked)))})
	}
	return found
}

// checkDrain: a worker that is recorded as leaving gets nothing after its time to drain.
func checkDrain(h *History) []Violation {
	var found []Violation
	for _, gone := range h.Departures {
		limit := gone.At.Add(drainTime)
		for id, runs := range h.Runs {
			for _, run := range runs {
				if run.Worker == gone.Worker && run.Begun.After(limit) && !h.disturbed(gone.At, run.Begun) {
					found = append(found, Violation{"DRAIN", id, fmt.Sprintf("ran at %s, %s after it was leaving", gone.Worker, run.Begun.Sub(gone.At))})
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
		if other, known := holders[order.Fence]; known && other != order.Holder {
			found = append(found, Violation{"ONE", order.Worker, fmt.Sprintf("%s and %s share fence %d", other, order.Holder, order.Fence)})
		}
		holders[order.Fence] = order.Holder
		if i == 0 {
			continue
		}
		if before := orders[i-1]; before.Holder != order.Holder {
			found = append(found, checkTurn(before, order)...)
		}
	}
	return found
}

// checkTurn looks at two orders in a row by two holders.
func checkTurn(before, order fleet.AcceptedOrder) []Violation {
	var found []Violation
	if order.Fence < before.Fence {
		found = append(found, Violation{"ONE", order.Worker, fmt.Sprintf("fence %d after %d", order.Fence, before.Fence)})
	}
	if between := order.At.Sub(before.At); between < leaseTime {
		found = append(found, Violation{"ONE", order.Worker, fmt.Sprintf("%s gives an order %s after %s", order.Holder, between, before.Holder)})
	}
	return found
}

// checkBudget: arrivals beyond the first of each request stay within the budget of each window.
func checkBudget(h *History) []Violation {
	var found []Violation
	for service, most := range h.repeats() {
		if float64(most.count) > most.allowed {
			found = append(found, Violation{"BUDGET", service, most.String()})
		}
	}
	return found
}

// repeats are the arrivals beyond the first of each request in a window.
type repeats struct {
	from    time.Time
	count   int
	allowed float64
}

// String is part of fmt.Stringer.
func (r repeats) String() string {
	return fmt.Sprintf("%d repeats within %s from %s, allowed are %.0f", r.count, retryWindow, r.from.Format(clock), r.allowed)
}

// repeats returns the window of each service with the most repeats for those that are allowed. Windows begin at each repeat.
func (h *History) repeats() map[string]repeats {
	found := map[string]repeats{}
	for service, at := range h.repeatTimes() {
		slices.SortFunc(at, time.Time.Compare)
		last := 0
		for first, from := range at {
			for last < len(at) && at[last].Sub(from) < retryWindow {
				last++
			}
			each := repeats{from: from, count: last - first, allowed: retryRatio*float64(h.requestsFor(service, from)) + retrySlack}
			if most, known := found[service]; !known || float64(each.count)/each.allowed > float64(most.count)/most.allowed {
				found[service] = each
			}
		}
	}
	return found
}

// repeatTimes returns when repeats arrived, by service. A first call that only has the prompt read is none.
func (h *History) repeatTimes() map[string][]time.Time {
	type first struct {
		id      string
		reading bool
	}
	seen := map[first]bool{}
	times := map[string][]time.Time{}
	for _, arrival := range h.Arrivals {
		if which := (first{arrival.ID, arrival.Reading}); !seen[which] {
			seen[which] = true
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
func (h *History) requestsFor(service string, from time.Time) int {
	most := 0
	for _, begin := range []time.Time{from, from.Add(-retryWindow), from.Add(-retryWindow / 2)} {
		count := 0
		for _, r := range h.Requests {
			if since := r.Sent.Sub(begin); serviceOf(r.Kind) == service && since >= 0 && since < retryWindow {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// checkConfiguration: a new configuration is in force everywhere within its bound while nothing goes wrong.
func checkConfiguration(h *History) []Violation {
	var found []Violation
	for i, took := range h.Spread {
		if took > configTime {
			found = append(found, Violation{"CONFIG", fmt.Sprintf("change %d", i), fmt.Sprintf("in force everywhere after %s", took)})
		}
	}
	return found
}

// checkService: once everything has healed, requests are served.
func checkService(h *History) []Violation {
	var found []Violation
	for i, quiet := range h.Quiet {
		sent, served := 0, 0
		var failed []string
		for _, r := range h.Requests {
			if r.Sent.Before(quiet.Begun) || r.Sent.After(quiet.Ended) || r.Crashing > 0 || !r.Left.IsZero() {
				continue
			}
			sent++
			if r.Answer.Status == http.StatusOK && r.Answer.Err == nil {
				served++
			} else {
				failed = append(failed, fmt.Sprintf("%s at %s: %d %v %q", r.Asked.ID, r.Gateway, r.Answer.Status, r.Answer.Err, r.Answer.Body))
			}
		}
		if sent < leastInQuiet || float64(served) < servedShare*float64(sent) {
			found = append(found, Violation{"RECOVER", fmt.Sprintf("round %d", i), fmt.Sprintf("%d of %d served after everything had healed; %.5q", served, sent, failed)})
		}
	}
	return found
}

// checkCrashing: once three workers ended under a request, few of its retries reach workers that were sent a while later by gateways
// that nothing else disturbs.
func checkCrashing(h *History) []Violation {
	reached := map[string]bool{}
	for _, head := range h.Heads {
		reached[head.ID] = true
	}
	crashing := map[string]int{}
	for _, r := range h.Requests {
		crashing[r.Asked.ID] = r.Crashing
	}
	ends := map[int][]time.Time{}
	for _, crash := range h.Crashes {
		which := crashing[crash.ID]
		ends[which] = append(ends[which], crash.At)
	}
	besides := func(f Fault) bool { _, itself := f.(CrashingRequest); return !itself && !planned(f) }
	late := map[int]int{}
	for _, r := range h.Requests {
		at := ends[r.Crashing]
		if r.Crashing == 0 || len(at) < crashEnds || !reached[r.Asked.ID] || h.disturbedBy(besides, r.Sent.Add(-touch), r.Sent) {
			continue
		}
		if r.Sent.After(at[crashEnds-1].Add(touch)) {
			late[r.Crashing]++
		}
	}
	var found []Violation
	for which, count := range late {
		if count > crashRetries {
			found = append(found, Violation{"BUDGET", fmt.Sprintf("crashing request %d", which), fmt.Sprintf("%d retries reached workers later than %s after three had ended; %d ended in all", count, touch, len(ends[which]))})
		}
	}
	return found
}

// checkBarred: a request that does no harm is not barred.
func checkBarred(h *History) []Violation {
	var found []Violation
	for _, r := range h.Requests {
		if r.Crashing == 0 && r.Answer.Status == http.StatusUnprocessableEntity {
			found = append(found, Violation{"DENIED", r.Asked.ID, "it does no harm and was barred: " + r.Answer.Body})
		}
	}
	return found
}
