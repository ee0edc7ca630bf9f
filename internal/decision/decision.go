// Package decision defines the typed record of each choice that the system makes, so that operators can watch
// what was chosen and why.
package decision

import "time"

// Kind names what was decided.
type Kind string

// The kinds of decisions.
const (
	KindRoute         Kind = "route"         // an ingress router chose the owner that serves a request
	KindQueue         Kind = "queue"         // an owner put a request into its queue
	KindDispatch      Kind = "dispatch"      // an owner chose the engine that runs a request
	KindShed          Kind = "shed"          // a request was given up before it ran
	KindRetry         Kind = "retry"         // a request was sent again
	KindOutcome       Kind = "outcome"       // a request reached its final outcome
	KindClaim         Kind = "claim"         // the engine of a request that may not be repeated was decided
	KindDrain         Kind = "drain"         // an engine was taken out of dispatch before a change
	KindOrder         Kind = "order"         // an order was sent to an engine
	KindWithdraw      Kind = "withdraw"      // a planned change was given up
	KindPlan          Kind = "plan"          // the role plan was made anew
	KindOwnership     Kind = "ownership"     // authority over engines was gained, lost or handed on
	KindConfiguration Kind = "configuration" // a configuration revision was put in force
	KindMembership    Kind = "membership"    // a member was found alive, suspect, leaving or dead
	KindEngine        Kind = "engine"        // an engine was found ready, changing, crashed or set aside
)

// Kinds are all kinds, those about requests first.
var Kinds = []Kind{
	KindRoute, KindQueue, KindDispatch, KindShed, KindRetry, KindOutcome, KindClaim, KindDrain, KindOrder, KindWithdraw,
	KindPlan, KindOwnership, KindConfiguration, KindMembership, KindEngine,
}

// Candidate is one alternative that was weighed.
type Candidate struct {
	// Name of the engine, router or role.
	Name string `json:"name"`
	// Score of the candidate, higher is better. Zero when it was filtered out.
	Score float64 `json:"score"`
	// FilteredBy is the filter that removed the candidate; empty when it was scored.
	FilteredBy string `json:"filteredBy,omitempty"`
}

// Record is one decision.
type Record struct {
	// Sequence numbers the records of one process from 1.
	Sequence uint64 `json:"sequence"`
	// Time at the deciding process.
	Time time.Time `json:"time"`
	// Process that decided, for example "router-a-1".
	Process string `json:"process"`
	Kind    Kind   `json:"kind"`
	// Subject is what the decision is about: a request id, an engine, a member or a group.
	Subject string `json:"subject"`
	// Outcome is what was chosen, for example an engine or a role.
	Outcome string `json:"outcome,omitempty"`
	// Reason is one plain sentence.
	Reason string `json:"reason"`
	// Candidates that were weighed, best first, then those that were filtered out.
	Candidates []Candidate `json:"candidates,omitempty"`
	// Inputs that mattered, by name.
	Inputs map[string]string `json:"inputs,omitempty"`
	// ConfigRevision in force when the decision was made.
	ConfigRevision uint64 `json:"configRevision"`
	// Epoch of the authority under which the decision was made; zero when it needed none.
	Epoch uint64 `json:"epoch,omitempty"`
}
