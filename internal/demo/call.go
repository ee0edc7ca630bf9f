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

// order is one request as a caller makes it.
type request struct {
	class        requestClass
	tenant       string
	id           string
	model        string
	prompt       string
	answerTokens int
	// gateway is the host:port at which the caller connects.
	gateway string
}

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
	request request
	outcome outcome
	// told is set when the gateway itself said how the request ended. If not, the outcome is unknown to the caller.
	outcomeReported bool
	// wrong is set when a token was not the one that belongs at its place, or the end came too early or too late.
	wrong bool
	// whole is the time from the call to the end of the answer; zero when it never came.
	latency time.Duration
	// detail says why the request was not answered, or what was wrong.
	detail string
}

// late tells whether a whole answer came after it was wanted.
func (r result) late() bool {
	return r.outcome == outcomeAnswered && r.latency > r.request.class.latencyTarget
}

// answerGrace is how long after the deadline a caller still waits for the outcome.
const deadlineGrace = 5 * time.Second

// maxErrorBytes bounds what is read of the body of an error.
const maxErrorBytes = 1 << 16

// caller sends requests to gateways.
type caller struct {
	client *http.Client
	// onFirstToken takes the time from each call to its first token; nil for none.
	onFirstToken func(wait time.Duration)
}

// call makes one request and checks the answer word for word.
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

// send sends the request and returns the response.
func (c caller) send(ctx context.Context, req request) (*http.Response, error) {
	body, err := json.Marshal(completions.Body{
		Model: req.model, Prompt: req.prompt, MaxTokens: &req.answerTokens, Stream: true, SharedPrefixTokens: req.class.sharedTokens,
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode the request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+req.gateway+completions.Path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make the request")
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(completions.HeaderTenant, req.tenant)
	request.Header.Set(completions.HeaderLabels, "class="+req.class.name)
	request.Header.Set(completions.HeaderDeadline, req.class.deadline.String())
	request.Header.Set(completions.HeaderRepeatable, strconv.FormatBool(!req.class.nonIdempotent))
	request.Header.Set(completions.HeaderRequestID, req.id)
	response, err := c.client.Do(request)
	return response, errors.Wrapf(err, "step ask, peer %s", req.gateway)
}

// readError reads a response that is no answer. A refusal promises that the request did not run.
func (r *result) readError(status int, body io.Reader) {
	data, err := io.ReadAll(io.LimitReader(body, maxErrorBytes))
	if err != nil {
		r.detail = err.Error()
		return
	}
	r.outcomeReported = true
	r.detail = fmt.Sprintf("The gateway answered %d: %s", status, data)
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadRequest, http.StatusNotFound:
		r.outcome = outcomeNotRun
	case http.StatusBadGateway:
		r.outcome = outcomeFailed
	}
}

// expectedAnswer is the text that belongs to an order.
func expectedAnswer(req request) []string {
	return answers.Tokens(answers.PromptDigest(req.model, req.prompt), 0, req.answerTokens)
}
