package adminapi

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/sse"

	"github.com/granitebay/granitebay/internal/configuration"
	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/poison"
)

// jsonBody is a body that is already encoded. Configuration types have custom JSON encodings, so that a schema made by
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
	registerGet(api, PathStatus, "status", "Status of this gateway", backend.Status)
	registerGet(api, PathWorkers, "workers", "All workers", backend.Workers)
	registerGet(api, PathGroups, "groups", "All groups of workers", backend.Groups)
	registerGet(api, PathRules, "rules", "All rules in force", backend.Rules)
	registerGet(api, PathGateways, "gateways", "All gateways", backend.Gateways)
	registerGet(api, PathTenants, "tenants", "All tenants, without their keys", backend.Tenants)
	registerGet(api, PathBarred, "barred", "Requests that are not sent to workers, because workers exited while serving them", backend.Barred)
	registerRelease(api, backend)
	registerGet(api, PathCapacity, "capacity", "Workers that can be ordered, by zone", backend.Capacity)
	registerGet(api, PathQueues, "queues", "What waits for engines, by group and urgency", backend.Queues)
	registerGet(api, PathUsage, "usage", "State of usage reports at this gateway", backend.Usage)
}

func registerConfiguration(api huma.API, backend Backend) {
	registerJSON(api, PathConfig, "config", "The current label configuration", func() any { return backend.Document() })
	registerJSON(api, PathConfigHistory, "config-history", "The latest edits, newest first", func() any {
		return ConfigHistory{Changes: backend.Document().History}
	})
	operation := huma.Operation{
		OperationID: "config-edits", Method: http.MethodPost, Path: PathConfigEdits,
		Summary: "Propose or preview an edit of the configuration", MaxBodyBytes: 2 * configuration.MaximumDocumentBytes,
	}
	huma.Register(api, operation, func(ctx context.Context, input *editInput) (*jsonBody, error) {
		status, result := handleEdit(ctx, backend, input)
		return encodeBody(status, result)
	})
}

// editInput is a proposed edit. The body is a configuration.EditRequest, decoded by the strict parser of that package.
type editInput struct {
	DryRun  bool `query:"dryRun" doc:"Only tell what the edit would do."`
	RawBody []byte
}

func registerDecisions(api huma.API, backend Backend) {
	list := huma.Operation{OperationID: "decisions", Method: http.MethodGet, Path: PathDecisions, Summary: "Retained decisions, oldest first"}
	huma.Register(api, list, func(_ context.Context, filter *DecisionFilter) (*typedBody[DecisionList], error) {
		return &typedBody[DecisionList]{Body: DecisionList{Decisions: filter.Select(backend.Decisions(filter.Since))}}, nil
	})
	explain := huma.Operation{OperationID: "explain", Method: http.MethodGet, Path: PathExplain, Summary: "Decisions of this gateway about one request"}
	huma.Register(api, explain, func(_ context.Context, input *explainInput) (*typedBody[Explanation], error) {
		return &typedBody[Explanation]{Body: newExplanation(backend, input.Request)}, nil
	})
	stream := huma.Operation{OperationID: "decisions-stream", Method: http.MethodGet, Path: PathDecisionsStream, Summary: "Stream of decisions"}
	events := map[string]any{eventDecision: decision.Record{}, eventHeartbeat: Heartbeat{}}
	sse.Register(api, stream, events, func(ctx context.Context, filter *StreamFilter, send sse.Sender) {
		streamDecisions(ctx, backend, *filter, send)
	})
}

// releaseInput identifies a request by its digest.
type releaseInput struct {
	Digest string `path:"asked" doc:"Digest of the request, as the list of barred ones has it."`
}

// registerRelease adds the handler that releases a barred request.
func registerRelease(api huma.API, backend Backend) {
	operation := huma.Operation{
		OperationID: "release", Method: http.MethodDelete, Path: PathBarred + "/{asked}", Summary: "Release a barred request",
	}
	huma.Register(api, operation, func(ctx context.Context, input *releaseInput) (*typedBody[ReleaseResult], error) {
		digest, err := poison.ParseDigest(input.Digest)
		if err != nil {
			return nil, huma.Error422UnprocessableEntity(err.Error())
		}
		wasBarred, err := backend.Release(ctx, digest)
		if err != nil {
			return nil, huma.Error503ServiceUnavailable("the store did not take the release", err)
		}
		return &typedBody[ReleaseResult]{Body: ReleaseResult{Digest: input.Digest, WasBarred: wasBarred}}, nil
	})
}

// newExplanation returns the decisions that this gateway retains about one request.
func newExplanation(backend Backend, request string) Explanation {
	status := backend.Status()
	retained := backend.Decisions(0)
	since := status.StartedAt
	if len(retained) > 0 && retained[0].Sequence > 1 {
		since = retained[0].Time
	}
	return Explanation{
		Request: request, Gateway: status.Gateway, RetainedSince: since, Decisions: DecisionFilter{Request: request}.Select(retained),
	}
}

// explainInput identifies a request.
type explainInput struct {
	Request string `query:"request" required:"true" doc:"Id of the request."`
}

// registerGet adds a handler for a value whose schema is made by reflection.
func registerGet[T any](api huma.API, path, name, summary string, read func() T) {
	operation := huma.Operation{OperationID: name, Method: http.MethodGet, Path: path, Summary: summary}
	huma.Register(api, operation, func(context.Context, *struct{}) (*typedBody[T], error) {
		return &typedBody[T]{Body: read()}, nil
	})
}

// registerJSON adds a handler for a value with a custom JSON encoding.
func registerJSON(api huma.API, path, name, summary string, read func() any) {
	operation := huma.Operation{OperationID: name, Method: http.MethodGet, Path: path, Summary: summary}
	huma.Register(api, operation, func(context.Context, *struct{}) (*jsonBody, error) {
		return encodeBody(http.StatusOK, read())
	})
}

func encodeBody(status int, value any) (*jsonBody, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return nil, huma.Error500InternalServerError("encode the response", err)
	}
	return &jsonBody{ContentType: "application/json", Status: status, Body: data}, nil
}
