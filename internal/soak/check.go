package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

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
	checkOnce, checkRefused, checkAnswers, checkLost, checkDrain, checkOrders, checkBudget, checkConfiguration, checkService, checkCrashing, checkBarred,
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
		if r.Answer.Err == nil || refused || h.disturbed(r.Sent.Add(-touch), r.Ended) {
			continue
		}
		found = append(found, Violation{"LOST", r.Asked.ID, fmt.Sprintf("sent to %s, after %s: %v", r.Gateway, r.Ended.Sub(r.Sent), r.Answer.Err)})
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
	slices.SortStableFunc(orders, func(a, b fleet.Taken) int { return a.At.Compare(b.At) })
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
func checkTurn(before, order fleet.Taken) []Violation {
	var found []Violation
	if order.Fence < before.Fence {
		found = append(found, Violation{"ONE", order.Worker, fmt.Sprintf("fence %d after %d", order.Fence, before.Fence)})
	}
	if between := order.At.Sub(before.At); between < leaseTime {
		found = append(found, Violation{"ONE", order.Worker, fmt.Sprintf("%s gives an order %s after %s", order.Holder, between, before.Holder)})
	}
	return found
}

// checkBudget: arrivals beyond the first of each request stay within the budget of each window. Windows begin at each arrival
// beyond the first.
func checkBudget(h *History) []Violation {
	type repeats struct{ at []time.Time }
	byService := map[string]*repeats{}
	seen := map[string]bool{}
	for _, arrival := range h.Arrivals {
		if !seen[arrival.ID] {
			seen[arrival.ID] = true
			continue
		}
		if byService[arrival.Service] == nil {
			byService[arrival.Service] = &repeats{}
		}
		byService[arrival.Service].at = append(byService[arrival.Service].at, arrival.At)
	}
	var found []Violation
	for service, each := range byService {
		for first, from := range each.at {
			count := 0
			for _, at := range each.at[first:] {
				if at.Sub(from) < retryWindow {
					count++
				}
			}
			if allowed := retryRatio*float64(h.requestsFor(service, from)) + retrySlack; float64(count) > allowed {
				return append(found, Violation{"BUDGET", service, fmt.Sprintf("%d repeats within %s from %s, allowed are %.0f", count, retryWindow, from, allowed)})
			}
		}
	}
	return found
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
			if r.Sent.Before(quiet.Begun) || r.Sent.After(quiet.Ended) || r.Crashing > 0 {
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
