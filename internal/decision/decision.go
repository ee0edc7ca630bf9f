// Package decision defines the records that tell operators what the processes decided and why.
package decision

import "time"

// Kind is the kind of a decision.
type Kind string

// Decision kinds.
const (
	KindRequest       Kind = "request"       // a request was finished by a gateway
	KindRefusal       Kind = "refusal"       // a request was rejected before it ran
	KindRole          Kind = "role"          // an engine was ordered to change its role, or a group lost or regained its decode engines
	KindAuthority     Kind = "authority"     // a gateway gained or lost the authority to give orders
	KindConfiguration Kind = "configuration" // a configuration was put in force
	KindHealth        Kind = "health"        // a worker was ejected, announced that it is leaving, asked for a back-off or stated a rate limit
	KindEntry         Kind = "entry"         // a gateway became an entry or a standby, or the required entry capacity changed
	KindUsage         Kind = "usage"         // the usage of a window was reported
	KindCapacity      Kind = "capacity"      // workers of a zone were ordered
	KindBar           Kind = "bar"           // a request was suspected of crashing workers, barred, cleared or released
	KindStore         Kind = "store"         // the store was restored from a backup
)

// Kinds lists all kinds, those about requests first.
var Kinds = []Kind{KindRequest, KindRefusal, KindRole, KindAuthority, KindConfiguration, KindHealth, KindEntry, KindUsage, KindCapacity, KindBar, KindStore}

// Record describes one decision.
type Record struct {
	// Sequence numbers the records of one process, starting from 1.
	Sequence uint64 `json:"sequence"`
	// Time is the time of the decision by the clock of the deciding process.
	Time time.Time `json:"time"`
	// Process is the name of the deciding process, for example "gateway-a-1".
	Process string `json:"process"`
	Kind    Kind   `json:"kind"`
	// Subject is what the decision is about, for example a request ID, a worker, a group or a gateway.
	Subject string `json:"subject"`
	// Outcome is what was decided, for example a status, a state or a role.
	Outcome string `json:"outcome,omitempty"`
	// Reason explains the decision in one sentence.
	Reason string `json:"reason"`
	// Inputs are the facts that led to the decision, by name.
	Inputs map[string]string `json:"inputs,omitempty"`
	// Version is the version of the routes in force at the time. It is set for requests only.
	Version int64 `json:"version,omitempty"`
	// Fence is the fencing token of the authority under which the decision was made; zero if it needed none.
	Fence int64 `json:"fence,omitempty"`
}

// Record implements decisionlog.Entry.
func (r Record) Record() Record { return r }
