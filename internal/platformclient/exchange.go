package platformclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/platform"
)

// maximumErrorBody is how much of the body of a failed request is read.
const maximumErrorBody = 64 << 10

// clientNameHeader carries the name of the client.
const clientNameHeader = "X-Client-Name"

// exchange is one HTTP request in the making.
type exchange struct {
	method string
	path   string
	// body is sent as JSON unless it is nil.
	body any
}

// failureBody is the body of an answer to a request that was not carried out.
type failureBody struct {
	Detail                 string           `json:"detail"`
	Failure                platform.Failure `json:"failure"`
	RetryAfterMilliseconds int64            `json:"retryAfterMilliseconds"`
	Revision               uint64           `json:"revision"`
	Errors                 []struct {
		Message  string `json:"message"`
		Location string `json:"location"`
		Value    any    `json:"value"`
	} `json:"errors"`
}

// failedError tells why a request failed, in the terms of the port.
type failedError struct {
	response platform.Response
	cause    error
}

// Error tells the failure and its cause.
func (e *failedError) Error() string { return string(e.response.Failure) + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *failedError) Unwrap() error { return e.cause }

func newFailedError(failure platform.Failure, cause error) *failedError {
	return &failedError{response: platform.Response{Failure: failure}, cause: cause}
}

// call makes an exchange and decodes the answer.
func (c *Client) call(ctx context.Context, request exchange, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	response, endpoint, err := c.open(ctx, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNoContent {
		return nil
	}
	if err := json.NewDecoder(response.Body).Decode(answer); err != nil {
		return newFailedError(platform.FailureUnknown, errors.Wrapf(err, "read answer of %s from %s", request.path, endpoint))
	}
	return nil
}

// open sends an exchange to the first endpoint that takes a connection and returns the answer if it is a success.
// Errors are of type failedError.
func (c *Client) open(ctx context.Context, request exchange) (*http.Response, string, error) {
	var last error
	for _, endpoint := range c.endpoints {
		response, connected, err := c.send(ctx, endpoint, request)
		if err == nil {
			return response, endpoint, checkStatus(response, endpoint, request)
		}
		last = errors.Wrapf(err, "send %s to %s", request.path, endpoint)
		if connected {
			return nil, endpoint, newFailedError(platform.FailureUnknown, last)
		}
	}
	return nil, "", newFailedError(platform.FailureUnavailable, last)
}

// send sends an exchange to one endpoint. It tells whether there was a connection, over which the request may have gone.
func (c *Client) send(ctx context.Context, endpoint string, request exchange) (*http.Response, bool, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	outgoing, err := c.newRequest(httptrace.WithClientTrace(ctx, trace), endpoint, request)
	if err != nil {
		return nil, false, err
	}
	response, err := c.http.Do(outgoing)
	return response, connected.Load(), err
}

func (c *Client) newRequest(ctx context.Context, endpoint string, request exchange) (*http.Request, error) {
	var body io.Reader
	if request.body != nil {
		encoded, err := json.Marshal(request.body)
		if err != nil {
			return nil, errors.Wrap(err, "encode request")
		}
		body = bytes.NewReader(encoded)
	}
	outgoing, err := http.NewRequestWithContext(ctx, request.method, endpoint+request.path, body)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	if request.body != nil {
		outgoing.Header.Set("Content-Type", "application/json")
	}
	if c.options.Name != "" {
		outgoing.Header.Set(clientNameHeader, c.options.Name)
	}
	return outgoing, nil
}

// checkStatus turns an answer that is no success into an error, and closes it.
func checkStatus(response *http.Response, endpoint string, request exchange) error {
	if response.StatusCode < http.StatusMultipleChoices {
		return nil
	}
	defer response.Body.Close()
	var body failureBody
	// A body that is no JSON leaves the fields empty, and the status decides.
	_ = json.NewDecoder(io.LimitReader(response.Body, maximumErrorBody)).Decode(&body)
	cause := errors.Newf("%s from %s answered %s: %s %v", request.path, endpoint, response.Status, body.Detail, body.Errors)
	failed := newFailedError(body.Failure, cause)
	if body.Failure == platform.FailureNone {
		failed.response.Failure = failureOfStatus(response.StatusCode)
	}
	failed.response.RetryAfter = time.Duration(body.RetryAfterMilliseconds) * time.Millisecond
	failed.response.Revision = body.Revision
	return failed
}

// failureOfStatus is for answers that name no failure: a request that was refused had no effect.
func failureOfStatus(status int) platform.Failure {
	if status < http.StatusInternalServerError {
		return platform.FailureUnavailable
	}
	return platform.FailureUnknown
}
