package soak

import (
	"time"

	"github.com/granitebay/granitebay/internal/standin/fleet"
)

// Kind is a kind of requests.
type Kind string

// The kinds of requests that the callers send.
const (
	KindNonIdempotent Kind = "once"
	KindIdempotent    Kind = "again"
	KindStream        Kind = "stream"
)

// Request is one request with what became of it.
type RequestRecord struct {
	Request fleet.Request
	Kind    Kind
	// Crashing is which of the requests that end workers it repeats, from 1; 0 for one that does no harm.
	CrashID int
	// Gateway is the address to which it was sent, and Sent and Ended bound it.
	Gateway  string
	Sent     time.Time
	Ended    time.Time
	Response fleet.Response
	// Left is when the caller left before it had the answer; zero when it did not. Long is set when a worker works on it for long.
	AbandonedAt time.Time
	LongRunning bool
	// Want is the whole answer that belongs to it.
	WantBody string
}

// Span is a time in which something went wrong, or planned work was done.
type Span struct {
	Fault Fault
	Begun time.Time
	Ended time.Time
}

// End is the end of the process of a gateway.
type ProcessExit struct {
	// Gateway is the address of its callers.
	Gateway string
	At      time.Time
	// Asked is set when it was asked to end, and Killed when it was ended at once.
	Expected, Killed bool
	Err              error
}

// Departure is a worker that was recorded as leaving.
type Departure struct {
	Worker string
	At     time.Time
}

// History is everything that was seen from outside.
type History struct {
	// Seen is when it was taken.
	CollectedAt time.Time
	Requests    []RequestRecord
	Runs        map[string][]fleet.Run
	Arrivals    []fleet.Arrival
	Orders      []fleet.AcceptedOrder
	// Notices are what workers said of themselves, and Gateways the addresses of gateways by their numbers.
	Notices []fleet.Notice
	// Limits are when workers began to name limits, and others or none, in their order.
	Limits   []fleet.LimitChange
	Gateways []string
	// Crashes are the ends of workers under requests, and Heads all calls at workers.
	Crashes    []fleet.Crash
	Heads      []fleet.Head
	Spans      []Span
	Departures []Departure
	// Ends are those of gateways, and Worked what workers worked on.
	Exits []ProcessExit
	Work  []fleet.Work
	// Quiet are the times in which the system has to serve, and Spread how long each new configuration took to be in force
	// everywhere while nothing went wrong.
	QuietPeriods []Span
	ConfigDelays []time.Duration
}

// Violation is a broken rule.
type Violation struct {
	// Rule is named as on the users' pages.
	Rule string
	// Subject is a request, a worker or a time.
	Subject string
	Detail  string
}

// String is one line.
func (v Violation) String() string { return v.Rule + " " + v.Subject + ": " + v.Detail }

// touch is how long around a fault a system counts as disturbed.
const recoveryMargin = 3 * time.Second

// disturbed tells whether anything unplanned went wrong within a time, or shortly before.
func (h *History) hasUnplannedFault(from, until time.Time) bool {
	return h.hasFault(func(f Fault) bool { return !isPlanned(f) }, from, until)
}

// disturbedBy tells whether one of some faults was there within a time, or shortly before.
func (h *History) hasFault(matches func(Fault) bool, from, until time.Time) bool {
	for _, span := range h.Spans {
		if matches(span.Fault) && span.Begun.Before(until) && (span.Ended.IsZero() || span.Ended.Add(recoveryMargin).After(from)) {
			return true
		}
	}
	return false
}
