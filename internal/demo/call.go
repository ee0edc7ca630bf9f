package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/engine"
)

// order is one request as a caller makes it.
type order struct {
	kind   class
	tenant string
	// key is the idempotency key, a ULID.
	key          string
	model        string
	prompt       string
	answerTokens int
	// agent is the host:port of the agent beside the caller.
	agent string
}

// requestID is the id that the system gives to an order.
func (o order) requestID() string { return o.tenant + "/" + o.key }

// outcome is how a request ended for its caller.
type outcome string

// The outcomes. Each request has exactly one.
const (
	outcomeAnswered outcome = "answered"
	outcomeNotRun   outcome = "not_run"
	outcomeUnknown  outcome = "unknown"
	outcomeFailed   outcome = "failed"
)

// result is what a caller got.
type result struct {
	order   order
	outcome outcome
	// told is set when the agent itself said how the request ended. If not, the outcome is unknown to the caller.
	told bool
	// wrong is set when a token was not the one that belongs at its place, or the end came too early or too late.
	wrong bool
	// whole is the time from the call to the end of the answer; zero when it never came.
	whole time.Duration
	// detail says why the request was not answered, or what was wrong.
	detail string
}

// late tells whether a whole answer came after it was wanted.
func (r result) late() bool { return r.outcome == outcomeAnswered && r.whole > r.order.kind.wanted }

// Headers of a request to an agent.
const (
	headerTenant         = "X-Granitebay-Tenant"
	headerLabels         = "X-Granitebay-Labels"
	headerDeadline       = "X-Granitebay-Deadline"
	headerRepeatable     = "X-Granitebay-Repeatable"
	headerIdempotencyKey = "Idempotency-Key"
)

// answerGrace is how long after the deadline a caller still waits for the outcome.
const answerGrace = 5 * time.Second

// maxErrorBytes bounds what is read of the body of an error.
const maxErrorBytes = 1 << 16

// completionBody is the body of a request.
type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// caller sends requests to agents.
type caller struct {
	client *http.Client
	// onFirstToken takes the time from each call to its first token; nil for none.
	onFirstToken func(wait time.Duration)
}

// call makes one request and checks the answer word for word.
func (c caller) call(ctx context.Context, asked order) result {
	ctx, cancel := context.WithTimeout(ctx, asked.kind.deadline+answerGrace)
	defer cancel()
	started := time.Now()
	got := result{order: asked, outcome: outcomeUnknown}
	response, err := c.send(ctx, asked)
	if err != nil {
		got.detail = err.Error()
		return got
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		got.readError(response.Body)
		return got
	}
	got.readStream(response.Body, started, c.onFirstToken)
	return got
}

// send sends the request and returns the response.
func (c caller) send(ctx context.Context, asked order) (*http.Response, error) {
	body, err := json.Marshal(completionBody{Model: asked.model, Prompt: asked.prompt, MaxTokens: asked.answerTokens, Stream: true})
	if err != nil {
		return nil, errors.Wrap(err, "encode the request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+asked.agent+completionsPath, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make the request")
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(headerTenant, asked.tenant)
	request.Header.Set(headerLabels, "class="+asked.kind.name)
	request.Header.Set(headerDeadline, asked.kind.deadline.String())
	request.Header.Set(headerRepeatable, strconv.FormatBool(!asked.kind.once))
	request.Header.Set(headerIdempotencyKey, asked.key)
	response, err := c.client.Do(request)
	return response, errors.Wrapf(err, "send to agent %s", asked.agent)
}

// Types of errors by which an agent refuses a request, besides the outcomes.
const (
	typeInvalid  = "invalid_request"
	typeConflict = "conflict"
)

// errorBody is the body of a response that is no answer.
type errorBody struct {
	Error struct {
		Type    string `json:"type"`
		Message string `json:"message"`
	} `json:"error"`
}

// readError reads a response that is no answer.
func (r *result) readError(body io.Reader) {
	data, err := io.ReadAll(io.LimitReader(body, maxErrorBytes))
	if err != nil {
		r.detail = err.Error()
		return
	}
	r.ended(data)
}

// ended takes an error body.
func (r *result) ended(data []byte) {
	var body errorBody
	if err := json.Unmarshal(data, &body); err != nil {
		r.detail = "The error of the agent cannot be read: " + err.Error()
		return
	}
	r.detail = body.Error.Message
	r.told = true
	switch body.Error.Type {
	case string(outcomeNotRun), string(outcomeFailed):
		r.outcome = outcome(body.Error.Type)
	case typeInvalid, typeConflict:
		r.outcome = outcomeNotRun
		r.detail = "The agent refused the request: " + body.Error.Message
	}
}

// expectedAnswer is the text that belongs to an order.
func expectedAnswer(asked order) []string {
	return engine.AnswerTokens(engine.PromptDigest(asked.model, "", asked.prompt), 0, uint32(asked.answerTokens))
}
