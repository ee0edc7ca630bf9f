package adminapi

import (
	"time"

	"github.com/granitebay/granitebay/internal/configuration"
	"github.com/granitebay/granitebay/internal/decision"
)

// GatewayStatus is one gateway, by its own word.
type GatewayStatus struct {
	Gateway string `json:"gateway"`
	Zone    string `json:"zone"`
	// Version of the program.
	Version   string    `json:"version"`
	StartedAt time.Time `json:"startedAt"`
	Time      time.Time `json:"time"`
	// Ready is set when the gateway takes requests; Stopping when it is on its way out.
	Ready    bool `json:"ready"`
	Stopping bool `json:"stopping"`
	// RouteVersion and Revision of the routes and of the rules by labels in force at this gateway.
	RouteVersion int64  `json:"routeVersion"`
	Revision     uint64 `json:"revision"`
	// StoreAgeMillis is how long ago the store was known to be followed.
	StoreAgeMillis int64 `json:"storeAgeMillis"`
	// Gateways that serve, Entries to which callers are sent, and whether this one is among them.
	Gateways int  `json:"gateways"`
	Entries  int  `json:"entries"`
	Entry    bool `json:"entry"`
	// Workers by state.
	Workers map[string]int `json:"workers"`
	// GivesOrders is set at the gateway that may order workers to change their roles.
	GivesOrders bool `json:"givesOrders"`
	// InHand counts the requests at this gateway.
	InHand int64 `json:"inHand"`
	// Warnings about the configuration in plain sentences.
	Warnings []string `json:"warnings"`
}

// The states of workers.
const (
	StateReady    = "ready"
	StateDraining = "draining"
	// StateSetAside workers failed lately; StateChanging ones change their role.
	StateSetAside = "set-aside"
	// StateBackOff workers asked this gateway for no requests for a time.
	StateBackOff  = "back-off"
	StateChanging = "changing"
)

// WorkerStatus is one worker as a gateway sees it.
type WorkerStatus struct {
	Address string `json:"address"`
	// ID of the incarnation.
	ID      string `json:"id"`
	Service string `json:"service"`
	// Groups that select the worker by its labels.
	Groups []string `json:"groups"`
	Zone   string   `json:"zone"`
	// Labels of the worker and of the operators together.
	Labels map[string]string `json:"labels"`
	Role   string            `json:"role"`
	State  string            `json:"state"`
	// Running requests of all gateways, and the prompt tokens that are still to be read for them.
	Running       int `json:"running"`
	ReadingTokens int `json:"readingTokens"`
	Slots         int `json:"slots"`
	// Limit is how many requests the worker says that it takes; nil if it does not say.
	Limit *LimitStatus `json:"limit,omitempty"`
}

// LimitStatus is how many requests a worker takes, as it named it in answers.
type LimitStatus struct {
	// PerSecond is what it takes of all gateways together, and Part which part of that this gateway may send, from 0 to 1.
	PerSecond float64 `json:"perSecond"`
	Part      float64 `json:"part"`
	// HeardAgoMs is how long ago the worker said so last, to this gateway or another, in milliseconds.
	HeardAgoMs int64 `json:"heardAgoMs"`
}

// GroupStatus is one group of workers as a gateway sees it.
type GroupStatus struct {
	Name string `json:"name"`
	// Of is the service whose workers the group selects, empty for a service itself.
	Of string `json:"of"`
	// Workers of the group, and how many have each role.
	Workers       int            `json:"workers"`
	Roles         map[string]int `json:"roles"`
	Running       int            `json:"running"`
	ReadingTokens int            `json:"readingTokens"`
}

// RuleStatus is one rule in force.
type RuleStatus struct {
	Name string `json:"name"`
	// Match says which requests the rule is for.
	Match       string   `json:"match"`
	Groups      []string `json:"groups"`
	Priority    int      `json:"priority"`
	TimeoutMs   int64    `json:"timeoutMs"`
	ObjectiveMs int64    `json:"objectiveMs"`
}

// PeerStatus is one gateway as another sees it.
type PeerStatus struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Address for callers, and AdminAddress of this API.
	Address      string  `json:"address"`
	AdminAddress string  `json:"adminAddress"`
	Cores        float64 `json:"cores"`
	// Entry is set for gateways to which callers are sent, and Reachable for those that were not silent of late.
	Entry     bool `json:"entry"`
	Reachable bool `json:"reachable"`
}

// TenantStatus is one tenant of the configuration in force. Keys are counted and never shown.
type TenantStatus struct {
	Name string `json:"name"`
	Keys int    `json:"keys"`
	// Priority of its requests, 0 the most urgent; nil where that of their rule holds.
	Priority *int `json:"priority,omitempty"`
	// RouteVersion of the configuration in which the tenant stands so.
	RouteVersion int64 `json:"routeVersion"`
}

// CapacityStatus is what one gateway knows of the workers of a zone that can be ordered.
type CapacityStatus struct {
	Group string `json:"group"`
	Zone  string `json:"zone"`
	// Kept and Spot workers that are there, and that are wanted.
	Kept       int `json:"kept"`
	Spot       int `json:"spot"`
	WantedKept int `json:"wantedKept"`
	WantedSpot int `json:"wantedSpot"`
	// Price of a kept worker of the zone for a second.
	Price float64 `json:"price"`
	// Busy workers of the whole group, by the demand of the moment, and how many it needs.
	Busy   float64 `json:"busy"`
	Needed int     `json:"needed"`
}

// UsageStatus is what one gateway has done about windows of usage, and the requests that it knows of those which are not agreed on.
type UsageStatus struct {
	Gateway string `json:"gateway"`
	// Agreed and Sent windows, those of them that were Late, calls that Failed, and times when another gateway had taken over.
	Agreed     int `json:"agreed"`
	Sent       int `json:"sent"`
	Late       int `json:"late"`
	Failed     int `json:"failed"`
	Superseded int `json:"superseded"`
	// Open windows with their requests of all tenants, the oldest first.
	Open []OpenWindow `json:"open"`
}

// OpenWindow is a window that is not agreed on.
type OpenWindow struct {
	Window   int64 `json:"window"`
	Requests int64 `json:"requests"`
	Tenants  int   `json:"tenants"`
}

// ConfigHistory lists the latest edits, newest first.
type ConfigHistory struct {
	Changes []configuration.Change `json:"changes"`
}

// EditOutcome is how an edit ended.
type EditOutcome string

// The outcomes of an edit.
const (
	EditAccepted    EditOutcome = "accepted"    // in the store
	EditUnchanged   EditOutcome = "unchanged"   // there was nothing to change
	EditPreview     EditOutcome = "preview"     // a dry run
	EditConflict    EditOutcome = "conflict"    // another edit changed the same field
	EditInvalid     EditOutcome = "invalid"     // the edit or the document after it is not valid
	EditUnavailable EditOutcome = "unavailable" // not accepted now; try again
	EditUnknown     EditOutcome = "unknown"     // perhaps accepted; propose it again with the same change id
)

// EditResult answers a proposed edit. A dry run carries the consequences as well.
type EditResult struct {
	Outcome  EditOutcome `json:"outcome"`
	ChangeID string      `json:"changeID"`
	// Revision that the edit made, or would make.
	Revision  uint64                    `json:"revision"`
	Conflicts []configuration.Conflict  `json:"conflicts,omitempty"`
	Faults    configuration.FieldErrors `json:"faults,omitempty"`
	// Error in one sentence when the edit was not accepted.
	Error string `json:"error,omitempty"`
	// Consequences of a dry run.
	Consequences *configuration.Consequences `json:"consequences,omitempty"`
}

// DecisionList is a list of decisions, oldest first.
type DecisionList struct {
	Decisions []decision.Record `json:"decisions"`
}

// Explanation is what one gateway knows of one request.
type Explanation struct {
	Request string `json:"request"`
	Gateway string `json:"gateway"`
	// KeptSince is the time from which the gateway has all its decisions.
	KeptSince time.Time `json:"keptSince,omitzero"`
	// Decisions about the request, oldest first.
	Decisions []decision.Record `json:"decisions"`
}

// Heartbeat shows on a quiet stream that the gateway is there.
type Heartbeat struct {
	Time time.Time `json:"time"`
}

// BarredStatus is a request that goes to no worker.
type BarredStatus struct {
	// Asked is the digest of the request, by which it is released.
	Asked string `json:"asked"`
	Rule  string `json:"rule"`
	// Tenant of the caller; empty where the configuration has none.
	Tenant string `json:"tenant"`
	// Workers that ended under it, by their ids.
	Workers []string `json:"workers"`
	// Times it was barred, this one included.
	Times int       `json:"times"`
	Until time.Time `json:"until"`
}

// ReleaseResult is what became of a release.
type ReleaseResult struct {
	Asked string `json:"asked"`
	// WasBarred is false when the gateway knew of no bar in the store.
	WasBarred bool `json:"wasBarred"`
}
