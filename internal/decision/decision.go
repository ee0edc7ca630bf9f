// Package decision defines the typed record of each choice that the system makes, so that operators can watch
// what was chosen and why.
package decision

import "time"

// Kind names what was decided.
type Kind string

// The kinds of decisions.
const (
	KindRequest       Kind = "request"       // a request reached its end at a gateway
	KindRefusal       Kind = "refusal"       // a request was given up before it ran
	KindRole          Kind = "role"          // a worker was ordered to change its role, or was not
	KindAuthority     Kind = "authority"     // a gateway gained or lost the right to give orders
	KindConfiguration Kind = "configuration" // a configuration was put in force
	KindHealth        Kind = "health"        // a worker was set aside, or said that it leaves or wants no requests
	KindEntry         Kind = "entry"         // a gateway began or ceased to take requests of callers
	KindUsage         Kind = "usage"         // the usage of a window was reported
	KindCapacity      Kind = "capacity"      // workers of a zone were ordered
	KindBar           Kind = "bar"           // a request was suspected of ending workers, barred, cleared or released
	KindStore         Kind = "store"         // the store came back from an older copy
)

// Kinds are all kinds, those about requests first.
var Kinds = []Kind{KindRequest, KindRefusal, KindRole, KindAuthority, KindConfiguration, KindHealth, KindEntry, KindUsage, KindCapacity, KindBar, KindStore}

// Record is one decision.
type Record struct {
	// Sequence numbers the records of one process from 1.
	Sequence uint64 `json:"sequence"`
	// Time at the deciding process.
	Time time.Time `json:"time"`
	// Process that decided, for example "gateway-a-1".
	Process string `json:"process"`
	Kind    Kind   `json:"kind"`
	// Subject is what the decision is about: a request id, a worker or a group.
	Subject string `json:"subject"`
	// Outcome is what was chosen, for example a worker or a role.
	Outcome string `json:"outcome,omitempty"`
	// Reason is one plain sentence.
	Reason string `json:"reason"`
	// Inputs that mattered, by name.
	Inputs map[string]string `json:"inputs,omitempty"`
	// Version of the routes in force when the decision was made.
	Version int64 `json:"version,omitempty"`
	// Fence of the authority under which the decision was made; zero when it needed none.
	Fence int64 `json:"fence,omitempty"`
}

// Record returns the decision itself: a record is an entry of a log as it is.
func (r Record) Record() Record { return r }
