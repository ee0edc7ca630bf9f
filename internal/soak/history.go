package soak

import (
	"time"

	"github.com/granitebay/granitebay/internal/standin/fleet"
)

// Kind is a kind of requests.
type Kind string

// The kinds of requests.
const (
	KindNonIdempotent Kind = "once"
	KindIdempotent    Kind = "again"
	KindStream        Kind = "stream"
)

// RequestRecord is a request with its result.
type RequestRecord struct {
	Request fleet.Request
	Kind    Kind
	// CrashID numbers the worker-crashing requests from 1; repeats of a request share its number. It is 0 for other requests.
	CrashID int
	// PartID numbers the crashing parts of prompts from 1; the requests with a part share its number. It is 0 for other requests.
	PartID int
	// Gateway is the address to which the request was sent. Sent and Ended are the times of the call and of its end.
	Gateway  string
	Sent     time.Time
	Ended    time.Time
	Response fleet.Response
	// AbandonedAt is when the client disconnected before the response was complete; zero if it did not. LongRunning is set if a
	// worker takes fleet.LongWork for the request.
	AbandonedAt time.Time
	LongRunning bool
	// LastsLong is set if a worker takes fleet.LongerWork for the request, which is longer than a stopping gateway may have left.
	LastsLong bool
	// HalfClosedAt is when the client closed the sending half of its connection after the whole request; zero if it did not.
	HalfClosedAt time.Time
	// AtBound is set if the request was sent when the gateway was about to close the connection because of a timeout.
	AtBound bool
	// WantBody is the complete expected answer.
	WantBody string
	// Stream is the ID of the first try of a resumed stream; empty for first tries. Resumption numbers the resumptions of a stream from one; it
	// is zero for first tries. ServingEngines is the number of engines of the version of the stream that served when a resumption was sent.
	Stream         string
	Resumption     int
	ServingEngines int
}

// crossedClose reports whether a request may have crossed the close of its connection by a timeout: the gateway has not read it whole.
func (r *RequestRecord) crossedClose() bool {
	return r.AtBound && r.Response.Err != nil && r.Response.Status == 0 && !r.Response.ReadByGateway && !closedByCaller(r.Response.Err)
}

// countsAsService reports whether a request has to be served if the system is well. A resumption is not served if no gateway that is left knows
// its version; checkResumptions bounds how many are not.
func (r *RequestRecord) countsAsService() bool {
	return !r.crashesWorkers() && r.Resumption == 0 && r.leftAt().IsZero() && !r.crossedClose()
}

// crashesWorkers reports whether a request crashes each worker that runs it.
func (r *RequestRecord) crashesWorkers() bool { return r.CrashID > 0 || r.PartID > 0 }

// leftAt returns when the client disconnected, or seemed to, before the response was complete; zero if it did not.
func (r *RequestRecord) leftAt() time.Time {
	if !r.HalfClosedAt.IsZero() {
		return r.HalfClosedAt
	}
	return r.AbandonedAt
}

// Span is a time span, such as that of a fault or of a quiet period.
type Span struct {
	Fault Fault
	Begun time.Time
	Ended time.Time
}

// ProcessExit is the exit of a gateway process.
type ProcessExit struct {
	// Gateway is the address for client requests.
	Gateway string
	At      time.Time
	// Expected is set if the process was asked to exit, and Killed if it was killed.
	Expected, Killed bool
	Err              error
}

// ProcessStart is the start of a gateway process.
type ProcessStart struct {
	// Gateway is the address for client requests.
	Gateway string
	At      time.Time
}

// ProcessStop is a signal to a gateway process to stop as planned.
type ProcessStop struct {
	// Gateway is the address for client requests.
	Gateway string
	At      time.Time
	// Grace is how long after the signal the process is killed.
	Grace time.Duration
}

// Departure is a worker that started to drain.
type Departure struct {
	Worker string
	At     time.Time
}

// History is everything observed from outside the gateways.
type History struct {
	// CollectedAt is when the history was collected.
	CollectedAt time.Time
	Requests    []RequestRecord
	Runs        map[string][]fleet.Run
	Arrivals    []fleet.Arrival
	// Refusals counts the refusals of each request by workers.
	Refusals map[string]int
	// Cuts counts the responses of each request that the end of a worker cut so that they look whole.
	Cuts   map[string]int
	Orders []fleet.AcceptedOrder
	// Notices are the announcements of workers. Gateways are the client addresses of the gateways by index.
	Notices []fleet.Notice
	// Limits are the changes of announced request limits, in order.
	Limits   []fleet.LimitChange
	Gateways []string
	// Crashes are the worker crashes caused by requests, and Heads the caller headers of all calls to workers.
	Crashes    []fleet.Crash
	Heads      []fleet.Head
	Spans      []Span
	Departures []Departure
	// Exits and Starts are those of gateway processes, and Work the processing times of workers.
	Exits  []ProcessExit
	Starts []ProcessStart
	// Stops are the planned stops of gateways with a bounded grace period.
	Stops []ProcessStop
	Work  []fleet.Work
	// QuietPeriods are the times in which the system has to serve. ConfigDelays are the times that new configurations took to
	// reach all gateways in the absence of faults.
	QuietPeriods []Span
	ConfigDelays []time.Duration
}

// Violation is a violated rule.
type Violation struct {
	// Rule is the name of the rule in the users' documentation.
	Rule string
	// Subject is a request, a worker, a service, a gateway or a round.
	Subject string
	Detail  string
}

// String formats the violation as one line.
func (v Violation) String() string { return v.Rule + " " + v.Subject + ": " + v.Detail }

// recoveryMargin is how long after a fault the system still counts as disturbed.
const recoveryMargin = 3 * time.Second

// hasUnplannedFault reports whether an unplanned fault was active within a time span or recoveryMargin before it.
func (h *History) hasUnplannedFault(from, until time.Time) bool {
	return h.hasFault(func(f Fault) bool { return !isPlanned(f) }, from, until)
}

// hasFault reports whether a matching fault was active within a time span or recoveryMargin before it.
func (h *History) hasFault(matches func(Fault) bool, from, until time.Time) bool {
	for _, span := range h.Spans {
		if matches(span.Fault) && span.Begun.Before(until) && (span.Ended.IsZero() || span.Ended.Add(recoveryMargin).After(from)) {
			return true
		}
	}
	return false
}
