package agentserver

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/samber/lo"
	"k8s.io/apimachinery/pkg/util/validation/field"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/agent"
)

// Types of errors on the wire.
const (
	typeInvalid  = "invalid_request"
	typeConflict = "conflict"
	typeNotRun   = "not_run"
	typeUnknown  = "unknown"
	typeFailed   = "failed"
	typeInternal = "internal"
)

// maxEchoedValue bounds the length of a value that an error repeats.
const maxEchoedValue = 200

// errorBody is the body of every response that is no answer.
type errorBody struct {
	Detail errorReport `json:"error"`

	status int
}

// errorReport says what went wrong.
type errorReport struct {
	Type    string       `json:"type" enum:"invalid_request,conflict,not_run,unknown,failed,internal" doc:"Kind of the error."`
	Message string       `json:"message" doc:"What happened, in a plain sentence."`
	Fields  []fieldError `json:"fields,omitempty" doc:"Everything that is wrong with the request."`
	// The rest is set with not_run, unknown and failed.
	RequestID        string `json:"request_id,omitempty" doc:"Id of the request."`
	Step             string `json:"step,omitempty" doc:"Step at which the request ended."`
	Peer             string `json:"peer,omitempty" doc:"Process or engine at which it ended."`
	RetryAfterMillis int64  `json:"retry_after_ms,omitempty" doc:"When it is worth asking again."`
}

// fieldError is one thing that is wrong with a request.
type fieldError struct {
	Field   string `json:"field" doc:"For example body.max_tokens or header.X-Granitebay-Deadline."`
	Value   any    `json:"value,omitempty" doc:"What was given."`
	Allowed string `json:"allowed" doc:"What is allowed."`
}

// Error returns the message.
func (e *errorBody) Error() string { return e.Detail.Message }

// GetStatus is part of huma.StatusError.
func (e *errorBody) GetStatus() int { return e.status }

// GetHeaders is part of huma.HeadersError.
func (e *errorBody) GetHeaders() http.Header {
	header := make(http.Header)
	if e.Detail.RetryAfterMillis > 0 {
		header.Set(headerRetryAfter, e.retryAfterSeconds())
	}
	return header
}

// invalid makes the error of a request with wrong fields.
func invalid(status int, fields ...fieldError) *errorBody {
	first := fields[0]
	message := fmt.Sprintf("%s: %s", first.Field, first.Allowed)
	if len(fields) > 1 {
		message += fmt.Sprintf(" (and %d more)", len(fields)-1)
	}
	return &errorBody{status: status, Detail: errorReport{Type: typeInvalid, Message: message, Fields: fields}}
}

// transformError gives the errors that the HTTP library finds the shape of all errors.
func (s *Server) transformError(ctx huma.Context, _ string, value any) (any, error) {
	model, ok := value.(*huma.ErrorModel)
	if !ok {
		return value, nil
	}
	ctx.SetHeader("Content-Type", "application/json")
	s.metrics.ended(ctx.Operation().Path, outcomeInvalid)
	return s.fromLibrary(ctx.Operation(), model), nil
}

func (s *Server) fromLibrary(operation *huma.Operation, model *huma.ErrorModel) *errorBody {
	switch model.Status {
	case http.StatusRequestEntityTooLarge:
		return invalid(model.Status, fieldError{Field: "body", Allowed: fmt.Sprintf("must have at most %d bytes", s.settings.MaxBodyBytes)})
	case http.StatusUnsupportedMediaType:
		return invalid(model.Status, fieldError{Field: "header.Content-Type", Allowed: "must be application/json"})
	}
	if len(model.Errors) == 0 {
		return invalid(model.Status, fieldError{Field: "body", Allowed: model.Detail})
	}
	fields := lo.Map(model.Errors, func(each *huma.ErrorDetail, _ int) fieldError {
		return fieldError{Field: each.Location, Value: echoed(each.Value), Allowed: allowed(operation, each.Message)}
	})
	return invalid(model.Status, fields...)
}

// allowed says what is allowed where a message of the library only says what is wrong.
func allowed(operation *huma.Operation, message string) string {
	if message == "unexpected property" {
		return message + "; known fields: " + operation.Metadata[metadataFields].(string)
	}
	return message
}

// echoed cuts a value that is too long to repeat, and leaves out whole objects.
func echoed(value any) any {
	switch value := value.(type) {
	case string:
		if len(value) > maxEchoedValue {
			return value[:maxEchoedValue] + "…"
		}
		return value
	case map[string]any, []any:
		return nil
	}
	return value
}

// fromCore turns the error of Submit into a response.
func fromCore(err error, chat bool) *errorBody {
	switch err := err.(type) {
	case *agent.ConflictError:
		body := invalid(http.StatusConflict, fieldError{
			Field: "header." + headerIdempotencyKey, Value: err.IdempotencyKey, Allowed: "must be a new key: this one names a request with another content",
		})
		body.Detail.Type = typeConflict
		return body
	case *agent.InvalidRequestError:
		return invalid(http.StatusUnprocessableEntity, lo.Map(err.Fields, func(each *field.Error, _ int) fieldError {
			return fieldError{Field: wireField(each.Field, chat), Value: echoed(each.BadValue), Allowed: allowedByField(each)}
		})...)
	}
	return &errorBody{status: http.StatusInternalServerError, Detail: errorReport{Type: typeInternal, Message: err.Error()}}
}

// wireField names a field of the core as callers know it.
func wireField(name string, chat bool) string {
	headers := map[string]string{
		"tenant":          headerTenant,
		"labels":          headerLabels,
		"deadline":        headerDeadline,
		"idempotency_key": headerIdempotencyKey,
	}
	for known, header := range headers {
		if name == known || (known == "labels" && len(name) > len(known) && name[:len(known)] == known) {
			return "header." + header + name[len(known):]
		}
	}
	if name == "prompt" && chat {
		return "body.messages"
	}
	return "body." + name
}

// allowedByField says what is allowed; some kinds of errors of the validation library hold it in their own words.
func allowedByField(each *field.Error) string {
	switch each.Type {
	case field.ErrorTypeTooLong, field.ErrorTypeTooMany:
		return each.ErrorBody()
	}
	return each.Detail
}

// fromOutcome turns the outcome of a request that was not answered into a response.
func fromOutcome(outcome *granitebayv1.Outcome) *errorBody {
	body := &errorBody{Detail: errorReport{
		Message:          outcome.GetReason(),
		RequestID:        outcome.GetRequestId(),
		Step:             outcome.GetStep(),
		Peer:             outcome.GetPeer(),
		RetryAfterMillis: outcome.GetRetryAfterMillis(),
	}}
	switch outcome.GetKind() {
	case granitebayv1.OutcomeKind_OUTCOME_KIND_NOT_RUN:
		body.status, body.Detail.Type = http.StatusServiceUnavailable, typeNotRun
	case granitebayv1.OutcomeKind_OUTCOME_KIND_FAILED:
		body.status, body.Detail.Type = http.StatusBadGateway, typeFailed
	default:
		body.status, body.Detail.Type = http.StatusGatewayTimeout, typeUnknown
	}
	return body
}

// stoppingError is what callers get while the agent stops. Their requests were never sent.
func (s *Server) stoppingError() *errorBody {
	return &errorBody{status: http.StatusServiceUnavailable, Detail: errorReport{
		Type:             typeNotRun,
		Message:          "This agent is stopping and takes no new requests.",
		Step:             "accept the request",
		Peer:             "agent",
		RetryAfterMillis: s.settings.StopRetryAfter.Milliseconds(),
	}}
}

// retryAfterSeconds is the value of the Retry-After header, rounded up.
func (e *errorBody) retryAfterSeconds() string {
	wait := time.Duration(e.Detail.RetryAfterMillis) * time.Millisecond
	return strconv.FormatInt(int64((wait+time.Second-1)/time.Second), 10)
}
