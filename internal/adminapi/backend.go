package adminapi

import (
	"context"

	"github.com/granitebay/granitebay/internal/configuration"
	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/poison"
)

// Backend is what a gateway gives to the API.
type Backend interface {
	// Status, Workers, Groups, Rules and Gateways show the system as this gateway sees it.
	Status() GatewayStatus
	Workers() []WorkerStatus
	Groups() []GroupStatus
	Rules() []RuleStatus
	Gateways() []PeerStatus
	// Tenants, Capacity and Usage show whose requests are served, the workers that can be ordered, and what was reported.
	Tenants() []TenantStatus
	Capacity() []CapacityStatus
	Usage() UsageStatus
	// Barred shows the requests that go to no worker, because workers ended under them.
	Barred() []BarredStatus
	// Release forgets what speaks against a request, everywhere. It tells whether the request was barred.
	Release(ctx context.Context, asked poison.Digest) (bool, error)
	// Document returns the configuration by labels in force; the zero document before the first.
	Document() configuration.Document
	// Propose brings an edit into the store and waits for its result.
	Propose(ctx context.Context, request configuration.EditRequest) configuration.ProposeResult
	// KnownWorkers lists the workers with their own labels, and KnownRequests the label sets of recent requests, each once.
	// Previews of edits use them.
	KnownWorkers() []configuration.WorkerInfo
	KnownRequests() []map[string]string
	// Decisions returns the kept decisions with a sequence above since, oldest first.
	Decisions(since uint64) []decision.Record
	// FollowDecisions returns a channel of new decisions and a function that ends it.
	FollowDecisions() (<-chan decision.Record, func())
}
