package engineserver

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/engineclient/enginewire"
)

// maxRequestIDBytes bounds the length of a request id.
const maxRequestIDBytes = 256

// problem is a field of a request that is wrong: its name, its value and what is allowed.
type problem struct {
	field   string
	message string
}

// decodeProblem tells what in a body could not be read.
func decodeProblem(err error) *problem {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		message := fmt.Sprintf("%s is a JSON %s, allowed is a %s", typeError.Field, typeError.Value, typeError.Type)
		return &problem{field: typeError.Field, message: message}
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &problem{message: fmt.Sprintf("the body is too long, allowed are %d bytes", tooLarge.Limit)}
	}
	return &problem{message: "the body is not a JSON object: " + err.Error()}
}

// checkCompletion tells what is wrong with a completion request; nil if nothing is.
func checkCompletion(body *enginewire.CompletionRequest) *problem {
	switch {
	case body.Model == "":
		return &problem{field: "model", message: "model is empty, allowed is the name of a model"}
	case body.Prompt == "" && body.PromptTokens == 0:
		return &problem{field: "prompt", message: "prompt is empty, allowed is a text, or none together with prompt_digest and prompt_tokens"}
	case body.ContinueFrom != uint32(len(body.PriorTokens)):
		return &problem{field: "continue_from", message: fmt.Sprintf(
			"continue_from is %d, allowed is the length of prior_tokens, which is %d", body.ContinueFrom, len(body.PriorTokens))}
	case body.RequestID == "" && (body.ExpectedIncarnation != nil || body.ExpectedGeneration != nil):
		return &problem{field: "request_id", message: "request_id is empty, allowed with expected_incarnation or expected_generation is an id"}
	}
	if body.RequestID == "" {
		return nil
	}
	return checkRunFields(body)
}

// checkRunFields checks what a request id needs.
func checkRunFields(body *enginewire.CompletionRequest) *problem {
	switch {
	case len(body.RequestID) > maxRequestIDBytes:
		return &problem{field: "request_id", message: fmt.Sprintf("request_id has %d bytes, allowed are %d", len(body.RequestID), maxRequestIDBytes)}
	case !body.Stream:
		return &problem{field: "stream", message: "stream is false, allowed with request_id is true"}
	case body.ExpectedIncarnation == nil:
		return &problem{field: "expected_incarnation", message: "expected_incarnation is missing, allowed with request_id is a whole number"}
	case body.ExpectedGeneration == nil:
		return &problem{field: "expected_generation", message: "expected_generation is missing, allowed with request_id is a whole number"}
	case body.MaxTokens == nil:
		return &problem{field: "max_tokens", message: "max_tokens is missing, allowed with request_id is a whole number"}
	}
	return nil
}

// refusalStatus gives the HTTP status of each refusal.
var refusalStatus = map[engine.Refusal]int{
	engine.RefusalIncarnation: http.StatusConflict,
	engine.RefusalGeneration:  http.StatusConflict,
	engine.RefusalCancelled:   http.StatusGone,
	engine.RefusalFull:        http.StatusTooManyRequests,
	engine.RefusalChanging:    http.StatusServiceUnavailable,
	engine.RefusalModel:       http.StatusNotFound,
	engine.RefusalTooLong:     http.StatusRequestEntityTooLarge,
	engine.RefusalUnknownRun:  http.StatusNotFound,
}

func writeRefused(response http.ResponseWriter, refused engine.Refused) {
	status, known := refusalStatus[refused.Refusal]
	if !known {
		status = http.StatusConflict
	}
	body := errorBody(enginewire.ErrorRefused, fmt.Sprintf("the engine refused the request: %s", refused.Refusal))
	body.Error.Code = string(refused.Refusal)
	wire := refusedBody(refused)
	body.Refused = &wire
	writeJSON(response, status, body)
}

func writeInvalid(response http.ResponseWriter, wrong *problem) {
	body := errorBody(enginewire.ErrorInvalidRequest, wrong.message)
	body.Error.Param = wrong.field
	writeJSON(response, http.StatusBadRequest, body)
}

func errorBody(kind enginewire.ErrorType, message string) enginewire.ErrorBody {
	return enginewire.ErrorBody{Error: enginewire.ErrorDetail{Message: message, Type: kind}}
}

func writeJSON(response http.ResponseWriter, status int, body any) {
	response.Header().Set("Content-Type", "application/json")
	response.WriteHeader(status)
	_ = json.NewEncoder(response).Encode(body)
}

func refusedBody(refused engine.Refused) enginewire.Refused {
	return enginewire.Refused{
		Incarnation: refused.Incarnation,
		Generation:  refused.Generation,
		RequestID:   refused.RequestID,
		Refusal:     string(refused.Refusal),
	}
}

func cancelledBody(cancelled engine.Cancelled) enginewire.Cancelled {
	return enginewire.Cancelled{
		Incarnation: cancelled.Incarnation,
		RequestID:   cancelled.RequestID,
		Started:     cancelled.Started,
	}
}
