package adminapi

import (
	"context"

	"github.com/granitebay/granitebay/internal/configuration"
	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/poison"
)

// Backend provides the state of a gateway to the API.
type Backend interface {
	// Status, Workers, Groups, Rules and Gateways return the fleet as this gateway sees it.
	Status() GatewayStatus
	Workers() []WorkerStatus
	Groups() []GroupStatus
	Rules() []RuleStatus
	Gateways() []PeerStatus
	// Tenants returns the configured tenants, Capacity the workers that can be ordered, and Usage the state of usage
	// reports.
	Tenants() []TenantStatus
	Capacity() []CapacityStatus
	Usage() UsageStatus
	// Queues returns what waits for engines in groups that distinguish priorities.
	Queues() []QueueStatus
	// Barred returns the requests that are not sent to workers, because workers exited while serving them.
	Barred() []BarredStatus
	// Release clears the failures recorded for a request at all gateways. It reports whether the request was barred.
	Release(ctx context.Context, digest poison.Digest) (bool, error)
	// Document returns the label configuration in use, or the zero document if there is none yet.
	Document() configuration.Document
	// Propose writes an edit to the store and waits for the result.
	Propose(ctx context.Context, request configuration.EditRequest) configuration.ProposalResult
	// KnownWorkers returns the workers with the labels that they report, without those set by operators, and KnownRequests the
	// distinct label sets of recent requests. Previews of edits use them.
	KnownWorkers() []configuration.WorkerInfo
	KnownRequests() []map[string]string
	// Decisions returns the retained decisions with a sequence above since, oldest first.
	Decisions(since uint64) []decision.Record
	// FollowDecisions returns a channel of new decisions and a function that ends the subscription.
	FollowDecisions() (<-chan decision.Record, func())
}
