package agentserver

import (
	"context"
	"net/http"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/danielgtaylor/huma/v2"

	"github.com/granitebay/granitebay/internal/agent"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/engine"
)

// Paths of the operations.
const (
	pathCompletions     = "/v1/completions"
	pathChatCompletions = "/v1/chat/completions"
)

// metadataFields is the place of the names of all body fields in the metadata of an operation.
const metadataFields = "fields"

// registerOperations adds the operations to the interface.
func (s *Server) registerOperations(api huma.API) {
	huma.Register(api, s.operation(api, "complete", pathCompletions, "Complete a prompt", reflect.TypeFor[completionBody](), reflect.TypeFor[completionResponse]()),
		func(_ context.Context, input *completionInput) (*huma.StreamResponse, error) {
			body := input.Body
			return s.handle(input.RequestHeaders, body.MaxTokens, answerStyle{path: pathCompletions, stream: body.Stream},
				agent.CallerRequest{Model: body.Model, Adapter: body.Adapter, Prompt: body.Prompt})
		})
	huma.Register(api, s.operation(api, "chat", pathChatCompletions, "Continue a conversation", reflect.TypeFor[chatBody](), reflect.TypeFor[chatResponse]()),
		func(_ context.Context, input *chatInput) (*huma.StreamResponse, error) {
			body := input.Body
			return s.handle(input.RequestHeaders, body.MaxTokens, answerStyle{path: pathChatCompletions, chat: true, stream: body.Stream},
				agent.CallerRequest{Model: body.Model, Adapter: body.Adapter, Prompt: body.prompt()})
		})
}

// operation describes one operation with its responses.
func (s *Server) operation(api huma.API, id, path, summary string, body, response reflect.Type) huma.Operation {
	registry := api.OpenAPI().Components.Schemas
	failure := func(description string) *huma.Response {
		return &huma.Response{Description: description, Content: map[string]*huma.MediaType{
			"application/json": {Schema: registry.Schema(reflect.TypeFor[errorBody](), true, "Error")},
		}}
	}
	return huma.Operation{
		OperationID:     id,
		Method:          http.MethodPost,
		Path:            path,
		Summary:         summary,
		MaxBodyBytes:    s.settings.MaxBodyBytes + 1, // the library refuses a body of exactly this size
		BodyReadTimeout: s.settings.BodyReadTimeout,
		Metadata:        map[string]any{metadataFields: strings.Join(jsonNames(body), ", ")},
		Responses: map[string]*huma.Response{
			"200": {Description: "Answered.", Content: map[string]*huma.MediaType{
				"application/json":  {Schema: registry.Schema(response, true, "")},
				"text/event-stream": {},
			}},
			"400": failure("The body is no JSON."),
			"409": failure("The idempotency key names another request."),
			"413": failure("The body is too large."),
			"422": failure("Fields are unknown, missing or out of bounds."),
			"502": failure("Failed: an engine ran the request and stopped before the end."),
			"503": failure("Not run: no engine ran the request or will run it."),
			"504": failure("Unknown: an engine may have run the request."),
		},
	}
}

func jsonNames(structure reflect.Type) []string {
	var names []string
	for i := range structure.NumField() {
		name, _, _ := strings.Cut(structure.Field(i).Tag.Get("json"), ",")
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// handle submits a request and returns the writer of its answer. An error is written by the library.
func (s *Server) handle(headers RequestHeaders, maxTokens *int64, style answerStyle, request agent.CallerRequest) (*huma.StreamResponse, error) {
	started := time.Now()
	timeout, wrong := s.complete(headers, maxTokens, &request)
	if wrong != nil {
		s.metrics.ended(style.path, outcomeInvalid)
		return nil, wrong
	}
	answering := &answering{server: s, style: style, request: request, started: started}
	if err := answering.submit(timeout); err != nil {
		s.metrics.ended(style.path, lastOutcome(err))
		return nil, err
	}
	return &huma.StreamResponse{Body: answering.write}, nil
}

func lastOutcome(err *errorBody) string {
	if err.Detail.Type == typeInvalid || err.Detail.Type == typeConflict {
		return outcomeInvalid
	}
	return err.Detail.Type
}

// complete fills a request from the headers. It returns the time that the caller gives; zero asks for the default.
func (s *Server) complete(headers RequestHeaders, maxTokens *int64, request *agent.CallerRequest) (time.Duration, *errorBody) {
	var wrong []fieldError
	timeout, problem := parseDeadline(headers.Deadline)
	wrong = append(wrong, problem...)
	request.Labels, problem = parseLabels(headers.Labels)
	wrong = append(wrong, problem...)
	request.MaxTokens, problem = s.tokens(maxTokens)
	wrong = append(wrong, problem...)
	if len(wrong) > 0 {
		return 0, invalid(http.StatusUnprocessableEntity, wrong...)
	}
	request.Tenant = headers.Tenant
	if request.Tenant == "" {
		request.Tenant = s.settings.DefaultTenant
	}
	request.IdempotencyKey = headers.IdempotencyKey
	request.Repeatable = headers.Repeatable != "false"
	request.PromptDigest = engine.PromptDigest(request.Model, request.Adapter, request.Prompt)
	request.PromptTokens = engine.CountTokens(request.Prompt)
	request.PrefixBlocks = engine.PrefixBlocks(request.Model, request.Prompt)
	return timeout, nil
}

// submit hands the request to the core.
func (a *answering) submit(timeout time.Duration) *errorBody {
	server := a.server
	call, box, open := server.open()
	if !open {
		return server.stoppingError()
	}
	a.call, a.box = call, box
	taken := false
	var refused error
	server.driver.Do(func(now time.Time, effects *core.Effects) {
		taken = true
		if timeout > 0 {
			a.request.Deadline = now.Add(timeout)
		}
		a.id, refused = server.core.SubmitForID(now, call, a.request, effects)
	})
	if taken && refused == nil {
		return nil
	}
	server.close(call)
	if !taken {
		return server.stoppingError()
	}
	return fromCore(refused, a.style.chat)
}
