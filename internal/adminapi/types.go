package adminapi

import (
	"time"

	"github.com/granitebay/granitebay/internal/configuration"
	"github.com/granitebay/granitebay/internal/decision"
)

// GatewayStatus is the status that a gateway reports about itself.
type GatewayStatus struct {
	Gateway string `json:"gateway"`
	Zone    string `json:"zone"`
	// Version of the program.
	Version   string    `json:"version"`
	StartedAt time.Time `json:"startedAt"`
	Time      time.Time `json:"time"`
	// Ready is set if the gateway accepts requests, Stopping if it is shutting down.
	Ready    bool `json:"ready"`
	Stopping bool `json:"stopping"`
	// RouteVersion is the version of the routes in use, Revision that of the label configuration in use.
	RouteVersion int64  `json:"routeVersion"`
	Revision     uint64 `json:"revision"`
	// StoreAgeMillis is the time since the gateway last confirmed that it is up to date with the store.
	StoreAgeMillis int64 `json:"storeAgeMillis"`
	// Gateways is the number of running gateways, Entries the number of entry gateways (those that callers are directed to),
	// and Entry whether this gateway is one of them.
	Gateways int  `json:"gateways"`
	Entries  int  `json:"entries"`
	Entry    bool `json:"entry"`
	// Workers is the number of workers by state.
	Workers map[string]int `json:"workers"`
	// GivesOrders is set at the leader, which may order workers to change roles.
	GivesOrders bool `json:"givesOrders"`
	// InProgress is the number of requests in progress at this gateway.
	InProgress int64 `json:"inHand"`
	// Warnings about the configuration.
	Warnings []string `json:"warnings"`
}

// States of workers.
const (
	StateReady    = "ready"
	StateDraining = "draining"
	// StateEjected is the state of a worker that gets no requests after recent failures.
	StateEjected = "set-aside"
	// StateBackOff is the state of a worker that asked this gateway to send no requests for some time.
	StateBackOff = "back-off"
	// StateChanging is the state of a worker that changes its role.
	StateChanging = "changing"
)

// WorkerStatus is a worker as a gateway sees it.
type WorkerStatus struct {
	Address string `json:"address"`
	// ID of the worker process; it changes with each restart.
	ID      string `json:"id"`
	Service string `json:"service"`
	// Groups whose selectors match the worker.
	Groups []string `json:"groups"`
	Zone   string   `json:"zone"`
	// Labels set by the worker and by operators, merged.
	Labels map[string]string `json:"labels"`
	Role   string            `json:"role"`
	State  string            `json:"state"`
	// Running is the number of running requests of all gateways, PrefillTokens the number of their prompt tokens that are
	// still to be processed.
	Running       int `json:"running"`
	PrefillTokens int `json:"readingTokens"`
	Slots         int `json:"slots"`
	// Limit is the request limit that the worker announced; nil if none.
	Limit *LimitStatus `json:"limit,omitempty"`
}

// LimitStatus is the request limit that a worker announced in responses.
type LimitStatus struct {
	// PerSecond is the limit for all gateways together, and Share the share of it that this gateway may use, from 0 to 1.
	PerSecond float64 `json:"perSecond"`
	Share     float64 `json:"part"`
	// AgeMs is the time since the worker last announced it, to this gateway or another, in milliseconds.
	AgeMs int64 `json:"heardAgoMs"`
}

// GroupStatus is a group of workers as a gateway sees it.
type GroupStatus struct {
	Name string `json:"name"`
	// Of is the service whose workers the group selects; empty for a service itself.
	Of string `json:"of"`
	// Workers is the number of workers in the group, Roles the number by role.
	Workers       int            `json:"workers"`
	Roles         map[string]int `json:"roles"`
	Running       int            `json:"running"`
	PrefillTokens int            `json:"readingTokens"`
}

// RuleStatus is a rule of the configuration in use.
type RuleStatus struct {
	Name string `json:"name"`
	// Match describes the requests that the rule applies to.
	Match       string   `json:"match"`
	Groups      []string `json:"groups"`
	Priority    int      `json:"priority"`
	TimeoutMs   int64    `json:"timeoutMs"`
	ObjectiveMs int64    `json:"objectiveMs"`
}

// PeerStatus is a gateway as another one sees it.
type PeerStatus struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Address is the host:port for callers, AdminAddress that of this API.
	Address      string  `json:"address"`
	AdminAddress string  `json:"adminAddress"`
	Cores        float64 `json:"cores"`
	// Entry is set if callers are directed to the gateway, Reachable if it was heard from recently.
	Entry     bool `json:"entry"`
	Reachable bool `json:"reachable"`
}

// TenantStatus is a tenant of the configuration in use. Keys are counted, but never shown.
type TenantStatus struct {
	Name string `json:"name"`
	Keys int    `json:"keys"`
	// Priority of the tenant's requests, 0 being the most urgent; nil if the priority of the matching rule applies.
	Priority *int `json:"priority,omitempty"`
	// RouteVersion of the configuration that contains the tenant.
	RouteVersion int64 `json:"routeVersion"`
}

// CapacityStatus is what a gateway knows about the workers of a zone that can be ordered.
type CapacityStatus struct {
	Group string `json:"group"`
	Zone  string `json:"zone"`
	// OnDemand and Spot count the existing on-demand and spot workers, WantedOnDemand and WantedSpot the wanted ones.
	OnDemand       int `json:"kept"`
	Spot           int `json:"spot"`
	WantedOnDemand int `json:"wantedKept"`
	WantedSpot     int `json:"wantedSpot"`
	// Price of an on-demand worker in this zone for one second.
	Price float64 `json:"price"`
	// Busy is the number of workers of the whole group that current demand uses, Needed the number it requires.
	Busy   float64 `json:"busy"`
	Needed int     `json:"needed"`
}

// UsageStatus is the state of usage reports at one gateway. Usage is reported in time windows.
type UsageStatus struct {
	Gateway string `json:"gateway"`
	// Finalized counts windows whose counts are written to the store, Sent those that were reported, Late those reported late,
	// Failed failed steps such as calls or writes, and Superseded calls rejected because another gateway had become the reporter.
	Finalized  int `json:"agreed"`
	Sent       int `json:"sent"`
	Late       int `json:"late"`
	Failed     int `json:"failed"`
	Superseded int `json:"superseded"`
	// Open windows with the requests of all tenants, oldest first.
	Open []OpenWindow `json:"open"`
}

// OpenWindow is a window that is not finalized yet.
type OpenWindow struct {
	Window   int64 `json:"window"`
	Requests int64 `json:"requests"`
	Tenants  int   `json:"tenants"`
}

// ConfigHistory lists the latest edits, newest first.
type ConfigHistory struct {
	Changes []configuration.Change `json:"changes"`
}

// EditOutcome is the outcome of an edit.
type EditOutcome string

// Outcomes of an edit.
const (
	EditAccepted    EditOutcome = "accepted"    // written to the store
	EditUnchanged   EditOutcome = "unchanged"   // nothing to change
	EditPreview     EditOutcome = "preview"     // dry run
	EditConflict    EditOutcome = "conflict"    // another edit changed the same field
	EditInvalid     EditOutcome = "invalid"     // the edit or the resulting document is invalid
	EditUnavailable EditOutcome = "unavailable" // not accepted; can be retried
	EditUnknown     EditOutcome = "unknown"     // possibly accepted; retry with the same change id
)

// EditResult is the response to a proposed edit.
type EditResult struct {
	Outcome  EditOutcome `json:"outcome"`
	ChangeID string      `json:"changeID"`
	// Revision that the edit created, or would create.
	Revision  uint64                    `json:"revision"`
	Conflicts []configuration.Conflict  `json:"conflicts,omitempty"`
	Faults    configuration.FieldErrors `json:"faults,omitempty"`
	// Error is set if the edit was not accepted.
	Error string `json:"error,omitempty"`
	// Consequences of a dry run.
	Consequences *configuration.Consequences `json:"consequences,omitempty"`
}

// DecisionList is a list of decisions, oldest first.
type DecisionList struct {
	Decisions []decision.Record `json:"decisions"`
}

// Explanation lists the decisions that one gateway retains about one request.
type Explanation struct {
	Request string `json:"request"`
	Gateway string `json:"gateway"`
	// RetainedSince is the time since which the gateway has retained all its decisions.
	RetainedSince time.Time `json:"keptSince,omitzero"`
	// Decisions about the request, oldest first.
	Decisions []decision.Record `json:"decisions"`
}

// Heartbeat is sent regularly, so that clients can detect a broken stream.
type Heartbeat struct {
	Time time.Time `json:"time"`
}

// BarredStatus is a request that is not sent to workers, or a part of prompts whose requests are not.
type BarredStatus struct {
	// Digest is the digest of the request or the part. Release takes it.
	Digest string `json:"asked"`
	// Part is the id of a barred part, and Group the group whose workers it crashed; both are empty for a request.
	Part string `json:"part,omitempty"`
	// SoftwareVersion is that of the workers for which a part is barred; empty for all workers.
	SoftwareVersion string `json:"softwareVersion,omitempty"`
	Group           string `json:"group,omitempty"`
	Rule            string `json:"rule"`
	// Tenant of the caller; empty if no tenants are configured.
	Tenant string `json:"tenant"`
	// Workers that exited while serving it, by ID.
	Workers []string `json:"workers"`
	// Times is how often it was barred, including the current bar.
	Times int       `json:"times"`
	Until time.Time `json:"until"`
}

// ReleaseResult is the result of a release.
type ReleaseResult struct {
	Digest string `json:"asked"`
	// WasBarred reports whether the store had a bar for the request.
	WasBarred bool `json:"wasBarred"`
}

// QueueStatus is what waits for the engines of a group with one urgency.
type QueueStatus struct {
	Group string `json:"group"`
	// Queue is "slots" for requests that wait for a decode engine, "prefills" for tokens that wait for a prefill engine, or "refused" for
	// requests that were refused, where none waits.
	Queue string `json:"queue" enum:"slots,prefills,refused"`
	// Urgency orders the queue, from 0 for the first to 9 for the last.
	Urgency int `json:"urgency"`
	Waiting int `json:"waiting"`
	// SentPerSecond and StartedPerSecond are averages of about a second.
	SentPerSecond    float64 `json:"sentPerSecond"`
	StartedPerSecond float64 `json:"startedPerSecond"`
}
