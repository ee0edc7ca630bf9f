package adminapi

import (
	"context"

	"github.com/granitebay/granitebay/internal/configuration"
	"github.com/granitebay/granitebay/internal/decision"
)

// Backend is what a router gives to the API. Errors become responses with status 503.
type Backend interface {
	// FleetStatus, Engines, Groups, Rules and Routers show the fleet as this router sees it.
	FleetStatus(ctx context.Context) (FleetStatus, error)
	Engines(ctx context.Context) ([]EngineStatus, error)
	Groups(ctx context.Context) ([]GroupStatus, error)
	Rules(ctx context.Context) ([]RuleStatus, error)
	Routers(ctx context.Context) ([]RouterStatus, error)
	// RouterView shows what only this router knows.
	RouterView(ctx context.Context) (RouterView, error)

	// Configuration returns the document in force; the zero document before the first.
	Configuration(ctx context.Context) (configuration.Document, error)
	// ConfigStatus tells how far the configuration got around.
	ConfigStatus(ctx context.Context) (ConfigStatus, error)
	// Propose brings an edit into the store and waits for its result. The error is that of the wait.
	Propose(ctx context.Context, request configuration.EditRequest) (configuration.ProposeResult, error)
	// KnownEngines lists the engines with the labels of the platform, and KnownRequests the label sets of recent
	// requests, each once. Previews of edits use them.
	KnownEngines(ctx context.Context) ([]configuration.EngineInfo, error)
	KnownRequests(ctx context.Context) ([]map[string]string, error)

	// Decisions returns the kept decisions with a sequence above since, oldest first.
	Decisions(since uint64) []decision.Record
	// FollowDecisions returns a channel of new decisions and a function that ends it.
	FollowDecisions() (<-chan decision.Record, func())
	// FollowOthers hands the kept and the new decisions of the other live routers to take, until the context ends. It is
	// called from many goroutines. The function that it returns names the live routers that are not followed now.
	FollowOthers(ctx context.Context, filter StreamFilter, take func(decision.Record)) (notFollowed func() []string)
}
