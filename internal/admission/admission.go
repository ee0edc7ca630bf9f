// Package admission decides what happens to a request of a group of engines before it is placed: it starts with an urgency, waits, or is
// refused. The decisions are pure functions of what is passed in; a Controller has no clock, no goroutine and no randomness, and is not
// safe for concurrent use.
package admission

import (
	"cmp"
	"fmt"
	"time"
)

// Priority is the configured urgency of requests; lower numbers are more urgent. That of the tenant takes precedence over that of the rule.
type Priority struct {
	// Tenant is the priority of the tenant, or of the rule if the tenant has none.
	Tenant int
	Rule   int
}

// Compare returns a negative number if p is more urgent than other, a positive one if it is less urgent, and zero otherwise.
func (p Priority) Compare(other Priority) int {
	return cmp.Or(cmp.Compare(p.Tenant, other.Tenant), cmp.Compare(p.Rule, other.Rule))
}

// String returns the priority as it appears in reasons.
func (p Priority) String() string {
	if p.Tenant == p.Rule {
		return fmt.Sprintf("priority %d", p.Rule)
	}
	return fmt.Sprintf("priority %d of the tenant, %d of the rule", p.Tenant, p.Rule)
}

// Request describes a request that wants to start.
type Request struct {
	// ID identifies the request. It spreads the times at which refused callers return.
	ID       string
	Group    string
	Priority Priority
	// Tenant is empty if the configuration has no tenants.
	Tenant string
	// Tokens is the work of the request: the tokens to prefill and to generate.
	Tokens int
	// Arrived is when the request arrived, Objective the time from then within which its response should start, and Deadline when its
	// caller leaves.
	Arrived   time.Time
	Objective time.Duration
	Deadline  time.Time
	// Expires is when a response is worth nothing to a caller that is told to return.
	Expires time.Time
	// Key returns a number by which the request is recognized when its caller returns after a refusal. It is called only if needed; nil if
	// the request can't be recognized.
	Key func() uint64
	// Waited is set if the request has waited at the gateway, and Committed if a worker may have worked for it already. Such requests are
	// not refused.
	Waited, Committed bool
}

// Outlook is what is expected of a request if it starts now.
type Outlook struct {
	// Start is the expected time until the first event, and QueueWait the part of it that is spent behind other requests.
	Start, QueueWait time.Duration
	// YieldingStart is the expected time until the first event if the request yields to all requests in time.
	YieldingStart time.Duration
	// FreeAt is when a slot is expected to be free for the request; zero if one is free now.
	FreeAt time.Time
	// SlotFree reports whether an engine other than that of the plan has a free slot. It is called only if needed; nil if none has.
	SlotFree func() bool
	// Prefills is set if the prompt is prefilled apart from the slot that the request waits for.
	Prefills bool
	// SlotInterval is the mean time between two slots that become free for requests of this gateway.
	SlotInterval time.Duration
}

// Decision is what happens to a request. It is a Start, a Wait or a Refuse.
type Decision interface{ isDecision() }

// Start lets the request be placed.
type Start struct {
	// Urgency orders the queues of engines, from 0 for the first to 9 for the last; DefaultUrgency where nothing is contended.
	Urgency int
	// Reason says in one sentence why the urgency is not the default; empty if it is.
	Reason string
}

// Wait holds the request at the gateway.
type Wait struct {
	// Until is when the request is decided on again, at the latest.
	Until  time.Time
	Reason string
}

// Refuse tells the caller that the request did not run.
type Refuse struct {
	// RetryAfter is the time after which room is expected.
	RetryAfter time.Duration
	Reason     string
}

func (Start) isDecision()  {}
func (Wait) isDecision()   {}
func (Refuse) isDecision() {}

// DefaultUrgency is the urgency that engines assume for requests without one.
const DefaultUrgency = 5
