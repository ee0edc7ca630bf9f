package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/completions"
	"github.com/granitebay/granitebay/internal/standin/answers"
)

// request is a request of a simulated client.
type request struct {
	class        requestClass
	tenant       string
	id           string
	model        string
	prompt       string
	answerTokens int
	// gateway is the host:port of the gateway to which the client connects.
	gateway string
}

// outcome is the result of a request as seen by its client.
type outcome string

// The outcomes. Each request has exactly one.
const (
	outcomeAnswered outcome = "answered"
	outcomeNotRun   outcome = "not_run"
	outcomeUnknown  outcome = "unknown"
	outcomeFailed   outcome = "failed"
)

// result is what the client observed of a request.
type result struct {
	request request
	outcome outcome
	// outcomeReported is set if the gateway reported how the request ended. Otherwise the outcome is unknown.
	outcomeReported bool
	// wrong is set if the answer differs from the expected one, or ended too early or too late.
	wrong bool
	// latency is the time from the call to the end of the answer; zero if the answer is incomplete.
	latency time.Duration
	// detail describes why the request was not answered, or what was wrong with the answer.
	detail string
}

// late reports whether a complete answer exceeded the latency target of its class.
func (r result) late() bool {
	return r.outcome == outcomeAnswered && r.latency > r.request.class.latencyTarget
}

// deadlineGrace is how long after its deadline a client still waits for the outcome.
const deadlineGrace = 5 * time.Second

// maxErrorBytes bounds the part of an error body that is read.
const maxErrorBytes = 1 << 16

// caller sends requests to gateways.
type caller struct {
	client *http.Client
	// onFirstToken is called with the time to first token of each request; it may be nil.
	onFirstToken func(wait time.Duration)
}

// call sends a request and verifies every token of the answer.
func (c caller) call(ctx context.Context, req request) result {
	ctx, cancel := context.WithTimeout(ctx, req.class.deadline+deadlineGrace)
	defer cancel()
	started := time.Now()
	res := result{request: req, outcome: outcomeUnknown}
	response, err := c.send(ctx, req)
	if err != nil {
		res.detail = err.Error()
		return res
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		res.readError(response.StatusCode, response.Body)
		return res
	}
	res.readStream(response.Body, started, c.onFirstToken)
	return res
}

// send sends the HTTP request and returns the response.
func (c caller) send(ctx context.Context, req request) (*http.Response, error) {
	body, err := json.Marshal(completions.RequestBody{
		Model: req.model, Prompt: req.prompt, MaxTokens: &req.answerTokens, Stream: true, SharedPrefixTokens: req.class.sharedTokens,
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode the request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+req.gateway+completions.Path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "create the request")
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(completions.HeaderTenant, req.tenant)
	request.Header.Set(completions.HeaderLabels, "class="+req.class.name)
	request.Header.Set(completions.HeaderDeadline, req.class.deadline.String())
	request.Header.Set(completions.HeaderRepeatable, strconv.FormatBool(!req.class.nonIdempotent))
	request.Header.Set(completions.HeaderRequestID, req.id)
	response, err := c.client.Do(request)
	return response, errors.Wrapf(err, "send the request to %s", req.gateway)
}

// readError evaluates an error response. A refusal guarantees that the request was not executed.
func (r *result) readError(status int, body io.Reader) {
	data, err := io.ReadAll(io.LimitReader(body, maxErrorBytes))
	if err != nil {
		r.detail = err.Error()
		return
	}
	r.outcomeReported = true
	r.detail = fmt.Sprintf("the gateway answered %d: %s", status, data)
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadRequest, http.StatusNotFound:
		r.outcome = outcomeNotRun
	case http.StatusBadGateway:
		r.outcome = outcomeFailed
	}
}

// expectedAnswer returns the tokens of the correct answer.
func expectedAnswer(req request) []string {
	return answers.Tokens(answers.PromptDigest(req.model, req.prompt), 0, req.answerTokens)
}
