package adminapi

import (
	"time"

	"github.com/granitebay/granitebay/internal/configuration"
	"github.com/granitebay/granitebay/internal/decision"
)

// FleetStatus is the fleet as one router sees it.
type FleetStatus struct {
	// Router that answers, its zone and its incarnation.
	Router      string `json:"router"`
	Zone        string `json:"zone"`
	Incarnation uint64 `json:"incarnation"`
	// Version of the program.
	Version string    `json:"version"`
	Time    time.Time `json:"time"`
	// Ready is set when the router takes requests; Stopping when it is on its way out.
	Ready    bool `json:"ready"`
	Stopping bool `json:"stopping"`
	// ConfigRevision in force at this router, and the lowest in force at any live router.
	ConfigRevision        uint64 `json:"configRevision"`
	ConfigRevisionInForce uint64 `json:"configRevisionInForce"`
	// LiveRouters and the numbers of engines by state.
	LiveRouters  int            `json:"liveRouters"`
	Engines      int            `json:"engines"`
	EngineStates map[string]int `json:"engineStates"`
	// Requests that run or wait, at all routers that answered.
	RunningRequests int `json:"runningRequests"`
	WaitingRequests int `json:"waitingRequests"`
	// RoleChanges that the routers that answered ordered since they started.
	RoleChanges int `json:"roleChanges"`
	// Warnings in plain sentences.
	Warnings []string `json:"warnings"`
}

// EngineStatus is one engine as a router sees it.
type EngineStatus struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Group that selects the engine; empty when none does.
	Group string `json:"group"`
	// Owner is the router through which all requests for the engine go.
	Owner string `json:"owner"`
	// Labels of the platform and of the operators together.
	Labels map[string]string `json:"labels"`
	// State is "ready", "draining", "changing", "starting", "unreachable", "leaving" or "set-aside", as the owner has it.
	// It is "unknown" when the owner did not answer.
	State string `json:"state"`
	// Role, model, version and adapters that the engine has.
	Role         string   `json:"role"`
	Model        string   `json:"model"`
	ModelVersion string   `json:"modelVersion"`
	Adapters     []string `json:"adapters"`
	// Fence of the engine.
	Epoch      uint64 `json:"epoch"`
	Generation uint64 `json:"generation"`
	// RunningRequests and WaitingRequests at the engine.
	RunningRequests int `json:"runningRequests"`
	WaitingRequests int `json:"waitingRequests"`
	// MemoryUsed and MemoryTotal are in tokens of KV cache.
	MemoryUsed  int `json:"memoryUsed"`
	MemoryTotal int `json:"memoryTotal"`
	// ReportAgeMillis is the age of the load report in milliseconds.
	ReportAgeMillis int64 `json:"reportAgeMillis"`
}

// GroupStatus is one group of engines as a router sees it.
type GroupStatus struct {
	Name           string `json:"name"`
	EngineSelector string `json:"engineSelector"`
	// Models that the group serves, as "name:version".
	Models []string `json:"models"`
	// Engines selected, and how many have each role.
	Engines int            `json:"engines"`
	Roles   map[string]int `json:"roles"`
	// Changing counts engines that are out for a change.
	Changing        int `json:"changing"`
	RunningRequests int `json:"runningRequests"`
	WaitingRequests int `json:"waitingRequests"`
	// ChangeCost in answers per role change.
	ChangeCost float64 `json:"changeCost"`
	// Plan is the latest role plan in one plain sentence, and PlanMadeAt its time. Both are empty before the first.
	Plan       string    `json:"plan"`
	PlanMadeAt time.Time `json:"planMadeAt,omitzero"`
}

// RuleStatus is one rule as a router sees it, in the order in which rules are tried.
type RuleStatus struct {
	Name            string   `json:"name"`
	Precedence      int      `json:"precedence"`
	RequestSelector string   `json:"requestSelector"`
	Groups          []string `json:"groups"`
	Priority        int32    `json:"priority"`
	// RunningRequests and WaitingRequests at all routers that answered.
	RunningRequests int `json:"runningRequests"`
	WaitingRequests int `json:"waitingRequests"`
}

// RouterView is what only the router that answers knows. The routers ask each other for it to show the whole fleet.
type RouterView struct {
	Router      string    `json:"router"`
	Incarnation uint64    `json:"incarnation"`
	StartedAt   time.Time `json:"startedAt"`
	// Engines that the router owns.
	Engines []EngineStatus `json:"engines"`
	// Requests at the router, by rule.
	Requests map[string]RequestCount `json:"requests"`
	// Plans that the router made, the latest of each group.
	Plans map[string]PlanNote `json:"plans"`
	// RoleChanges that the router ordered since it started.
	RoleChanges int `json:"roleChanges"`
}

// RequestCount counts requests at a router.
type RequestCount struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// PlanNote is a role plan in one plain sentence.
type PlanNote struct {
	Sentence string    `json:"sentence"`
	MadeAt   time.Time `json:"madeAt"`
}

// RouterStatus is one router as another sees it.
type RouterStatus struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Incarnation uint64 `json:"incarnation"`
	// Address for other processes, and AdminAddress of this API when it is known.
	Address      string `json:"address"`
	AdminAddress string `json:"adminAddress,omitempty"`
	// State is "alive", "suspect", "leaving" or "dead".
	State string `json:"state"`
	// ConfigRevision that the router is known to have in force.
	ConfigRevision uint64 `json:"configRevision"`
	// OwnedEngines counts the engines that the router owns.
	OwnedEngines int `json:"ownedEngines"`
}

// ConfigStatus tells how far the configuration got around.
type ConfigStatus struct {
	// Accepted is the highest revision that the router knows, and the edit that made it.
	Accepted uint64 `json:"accepted"`
	ChangeID string `json:"changeID"`
	// InForceHere is the revision in force at the router that answers.
	InForceHere uint64 `json:"inForceHere"`
	// InForceEverywhere is the lowest revision in force at any live router.
	InForceEverywhere uint64 `json:"inForceEverywhere"`
	// LiveRouters counts the routers that this takes in.
	LiveRouters int `json:"liveRouters"`
	// Laggards are the live routers that are behind.
	Laggards []configuration.Applied `json:"laggards"`
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

// Explanation is what one process knows of one request.
type Explanation struct {
	Request string `json:"request"`
	// Router that answers, or agent.
	Router string `json:"router"`
	// KeptSince is the time from which the process has all its decisions.
	KeptSince time.Time `json:"keptSince,omitzero"`
	// Decisions about the request, oldest first.
	Decisions []decision.Record `json:"decisions"`
}

// Heartbeat shows on a quiet stream that the router is there.
type Heartbeat struct {
	Time time.Time `json:"time"`
	// NotFollowed are the live routers whose decisions are missing from a stream of the whole fleet.
	NotFollowed []string `json:"notFollowed,omitempty"`
}
