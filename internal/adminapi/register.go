package adminapi

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/sse"

	"github.com/granitebay/granitebay/internal/configuration"
	"github.com/granitebay/granitebay/internal/decision"
)

// jsonBody is a body that is already JSON. The types of the configuration write themselves, so a schema made by
// reflection would be wrong.
type jsonBody struct {
	ContentType string `header:"Content-Type"`
	Status      int
	Body        []byte
}

// typedBody is a body whose schema is made by reflection.
type typedBody[T any] struct{ Body T }

// Register adds the handlers of the API.
func Register(api huma.API, backend Backend) {
	registerFleet(api, backend)
	registerConfiguration(api, backend)
	registerDecisions(api, backend)
}

func registerFleet(api huma.API, backend Backend) {
	registerGet(api, PathStatus, "status", "Status of the fleet", backend.FleetStatus)
	registerGet(api, PathEngines, "engines", "All engines", backend.Engines)
	registerGet(api, PathGroups, "groups", "All groups of engines", backend.Groups)
	registerGet(api, PathRules, "rules", "All rules, in the order in which they are tried", backend.Rules)
	registerGet(api, PathRouters, "routers", "All routers", backend.Routers)
	registerGet(api, PathRouterView, "router", "What only this router knows", backend.RouterView)
}

func registerConfiguration(api huma.API, backend Backend) {
	registerGet(api, PathConfigStatus, "config-status", "How far the configuration got around", backend.ConfigStatus)
	registerJSON(api, PathConfig, "config", "The configuration in force", func(ctx context.Context) (any, error) {
		return backend.Configuration(ctx)
	})
	registerJSON(api, PathConfigHistory, "config-history", "The latest edits, newest first", func(ctx context.Context) (any, error) {
		document, err := backend.Configuration(ctx)
		return ConfigHistory{Changes: document.History}, err
	})
	operation := huma.Operation{
		OperationID: "config-edits", Method: http.MethodPost, Path: PathConfigEdits,
		Summary: "Propose an edit of the configuration, or see what it would do", MaxBodyBytes: 2 * configuration.MaximumDocumentBytes,
	}
	huma.Register(api, operation, func(ctx context.Context, input *editInput) (*jsonBody, error) {
		status, result := edit(ctx, backend, input)
		return encodeBody(status, result)
	})
}

// editInput is a proposed edit. The body is an EditRequest of package configuration, read by its own strict parser.
type editInput struct {
	DryRun  bool `query:"dryRun" doc:"Only tell what the edit would do."`
	RawBody []byte
}

func registerDecisions(api huma.API, backend Backend) {
	RegisterDecisionLog(api, func(ctx context.Context) (DecidingProcess, error) {
		view, err := backend.RouterView(ctx)
		return DecidingProcess{Name: view.Router, StartedAt: view.StartedAt}, err
	}, backend.Decisions)
	stream := huma.Operation{OperationID: "decisions-stream", Method: http.MethodGet, Path: PathDecisionsStream, Summary: "Decisions as they fall"}
	events := map[string]any{eventDecision: decision.Record{}, eventHeartbeat: Heartbeat{}}
	sse.Register(api, stream, events, func(ctx context.Context, filter *StreamFilter, send sse.Sender) {
		streamDecisions(ctx, backend, *filter, send)
	})
}

// DecidingProcess is a process that keeps decisions.
type DecidingProcess struct {
	Name string
	// StartedAt is when it started; it kept none before.
	StartedAt time.Time
}

// keptSince is the time from which a process has all its decisions.
func (p DecidingProcess) keptSince(kept []decision.Record) time.Time {
	if len(kept) == 0 || kept[0].Sequence <= 1 {
		return p.StartedAt
	}
	return kept[0].Time
}

// RegisterDecisionLog adds the handlers that read the kept decisions of one process, which may be an agent: the list, and
// those about one request. Latest returns its decisions with a sequence above since.
func RegisterDecisionLog(api huma.API, process func(context.Context) (DecidingProcess, error), latest func(since uint64) []decision.Record) {
	list := huma.Operation{OperationID: "decisions", Method: http.MethodGet, Path: PathDecisions, Summary: "The kept decisions, oldest first"}
	huma.Register(api, list, func(_ context.Context, filter *DecisionFilter) (*typedBody[DecisionList], error) {
		return &typedBody[DecisionList]{Body: DecisionList{Decisions: filter.Select(latest(filter.Since))}}, nil
	})
	explain := huma.Operation{OperationID: "explain", Method: http.MethodGet, Path: PathExplain, Summary: "What this process decided about one request"}
	huma.Register(api, explain, func(ctx context.Context, input *explainInput) (*typedBody[Explanation], error) {
		self, err := process(ctx)
		if err != nil {
			return nil, unavailable(err)
		}
		kept := latest(0)
		return &typedBody[Explanation]{Body: Explanation{
			Request: input.Request, Router: self.Name, KeptSince: self.keptSince(kept), Decisions: DecisionFilter{Request: input.Request}.Select(kept),
		}}, nil
	})
}

// explainInput names a request.
type explainInput struct {
	Request string `query:"request" required:"true" doc:"Id of the request."`
}

// registerGet adds a handler for a value whose schema is made by reflection.
func registerGet[T any](api huma.API, path, name, summary string, read func(context.Context) (T, error)) {
	operation := huma.Operation{OperationID: name, Method: http.MethodGet, Path: path, Summary: summary}
	huma.Register(api, operation, func(ctx context.Context, _ *struct{}) (*typedBody[T], error) {
		value, err := read(ctx)
		if err != nil {
			return nil, unavailable(err)
		}
		return &typedBody[T]{Body: value}, nil
	})
}

// registerJSON adds a handler for a value that writes itself as JSON.
func registerJSON(api huma.API, path, name, summary string, read func(context.Context) (any, error)) {
	operation := huma.Operation{OperationID: name, Method: http.MethodGet, Path: path, Summary: summary}
	huma.Register(api, operation, func(ctx context.Context, _ *struct{}) (*jsonBody, error) {
		value, err := read(ctx)
		if err != nil {
			return nil, unavailable(err)
		}
		return encodeBody(http.StatusOK, value)
	})
}

func encodeBody(status int, value any) (*jsonBody, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return nil, huma.Error500InternalServerError("encode the response", err)
	}
	return &jsonBody{ContentType: "application/json", Status: status, Body: data}, nil
}

func unavailable(err error) error { return huma.Error503ServiceUnavailable(err.Error()) }
