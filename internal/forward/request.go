// Package forward proxies requests from callers to workers and responses back. It depends on no wire format: Protocol parses the requests
// of callers, and Workers sends them to workers.
package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/httpclient"
	"github.com/granitebay/granitebay/internal/poison"
	"github.com/granitebay/granitebay/internal/tenant"
)

// Request is a parsed request. It is immutable after parsing.
type Request struct {
	// ID identifies the request to callers and workers.
	ID     string
	Method string
	// Target is the path with the query, byte for byte as received.
	Target string
	Host   string
	// Header holds the headers that are passed to workers.
	Header http.Header
	Body   []byte
	// CallerTimeout is how long the caller waits; zero if unknown.
	CallerTimeout time.Duration
	Demand        backend.Demand
	// ResumeAfter is the id of the last event of a stream that the caller already has, or empty.
	ResumeAfter string
	// Resumes is the id of the request that brought the first event of the stream that ResumeAfter continues; empty if the caller names none.
	Resumes string
	// RunOnce is set if the caller forbids running the request again, whatever the rule allows.
	RunOnce bool
	// Tenant is the tenant whose limits apply, or empty.
	Tenant string
	// tenantPriority overrides the priority of the rule; nil if the request has no tenant.
	tenantPriority interface{ Priority() (int, bool) }
	// Unstreamed is set if the caller wants a single response although the rule would stream it.
	Unstreamed bool
}

// digest returns the digest by which the guard recognizes copies of a request.
func (r *Request) digest() poison.Digest {
	return poison.Request{Tenant: r.Tenant, Method: r.Method, Host: r.Host, Target: r.Target, Body: r.Body}.Digest()
}

// Protocol is the protocol of the callers.
type Protocol interface {
	// Key returns the API key of a request, or empty. It is not stored with the request.
	Key(request *http.Request) string
	// Read parses the request line and the headers. The error describes an invalid request.
	Read(request *http.Request) (*Request, error)
	// Complete parses the body of a request. The error describes an invalid request.
	Complete(request *Request) error
}

// LabelledProtocol is a protocol whose requests are matched by labels.
type LabelledProtocol interface {
	Protocol
	// Labels returns the labels of a request, or false if the request does not use this protocol. The owner is the tenant of the request's
	// key, or nil if unknown.
	Labels(request *http.Request, owner *tenant.Tenant) (map[string]string, bool)
	// TruncationEvent returns the event that ends a stream which was cut off, with the reason. It must differ from the regular end of a
	// stream.
	TruncationEvent(reason Reason) []byte
}

// PrefilledPrompt is a prefilled prompt whose KV cache an engine holds for the engine that decodes it.
type PrefilledPrompt struct {
	// Engine is the engine that holds the KV cache.
	Engine *backend.Worker
	// Handle identifies the prompt at that engine.
	Handle string
}

// RunOptions configure how a worker runs a request.
type RunOptions struct {
	// Deadline is when the response is no longer needed.
	Deadline time.Time
	// Prompt is the prefilled prompt, or nil.
	Prompt *PrefilledPrompt
	// FetchFrom is an engine whose cache holds a prefix of the prompt, or nil. It is nil if Prompt is set.
	FetchFrom *backend.Worker
	// ResumeAfter is the id of the last event that the caller has, or empty.
	ResumeAfter string
	// Backup is the engine that keeps a copy of the state of the run while it runs, or nil.
	Backup *backend.Worker
	// Continue is set if the worker holds a copy of the state of a run of this request, and continues that run after ResumeAfter. A worker
	// without the copy refuses the request.
	Continue bool
	// Urgency orders the queue of the engine, from 0 for the first to 9 for the last; admission.DefaultUrgency is what engines assume.
	Urgency int
	// Arrivals is told where the response arrives; may be nil.
	Arrivals *httpclient.Arrivals
	// MaySend is called once a connection to the worker is open, before anything is sent, and returns why the request must not be sent any more;
	// may be nil.
	MaySend func() error
	// Identify is set if it matters which incarnation of the worker sends the response.
	Identify bool
}

// PrefillOptions configure how an engine prefills a prompt.
type PrefillOptions struct {
	// Deadline is when the prompt is no longer needed.
	Deadline time.Time
	// FetchFrom is an engine whose cache holds a prefix of the prompt, or nil.
	FetchFrom *backend.Worker
	// Urgency orders the queue of the engine, from 0 for the first to 9 for the last.
	Urgency int
	// Arrivals is told where the response arrives; may be nil.
	Arrivals *httpclient.Arrivals
	// MaySend is called once a connection to the worker is open, before anything is sent, and returns why the request must not be sent any more;
	// may be nil.
	MaySend func() error
}

// Workers sends requests to workers. Errors are of type *httpclient.Error, *Refusal or *InvalidResponse; other errors are treated like a
// broken connection.
type Workers interface {
	// Run runs a request at a worker. Cancelling the context closes the connection to the worker.
	Run(ctx context.Context, worker *backend.Worker, request *Request, options RunOptions) (*Response, error)
	// Prefill has an engine prefill the prompt of a request.
	Prefill(ctx context.Context, worker *backend.Worker, request *Request, options PrefillOptions) (*PrefilledPrompt, error)
	// Connect makes sure that a connection to a worker is open, and keeps it for a later request.
	Connect(ctx context.Context, worker *backend.Worker) error
	// ReleasePrompt releases a prompt that will not be used.
	ReleasePrompt(ctx context.Context, prompt *PrefilledPrompt)
}

// Response is the response of a worker that has run a request.
type Response struct {
	Status int
	// Header holds the headers that are passed to the caller.
	Header http.Header
	// ContentLength is -1 if unknown.
	ContentLength int64
	// EndsWithConnection is set if only the end of the connection ends the body, which a crash of the worker ends, too.
	EndsWithConnection bool
	Body               io.ReadCloser
	// Identify returns the id of the incarnation that sends the response. It may wait for an answer of the worker until ctx ends. Nil stands for
	// the incarnation that was asked, because its id can't be used by another one, or because it does not matter.
	Identify func(ctx context.Context) (string, error)
}

// Refusal is the response of a worker that did not run the request and never will.
type Refusal struct {
	// Peer is the address of the worker.
	Peer   string
	Status int
	// Misdirected is set if another worker than expected runs at the address.
	Misdirected bool
	// Named is set if the response names the request, and Shared if its connection had carried other requests before.
	Named, Shared bool
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("run, peer %s: the worker refused the request: %s (status %d)", r.Peer, http.StatusText(r.Status), r.Status)
}

// InvalidResponse is a malformed or unexpected response. The request may have run.
type InvalidResponse struct {
	Peer   string
	Reason string
}

// Error implements error.
func (i *InvalidResponse) Error() string {
	return "run, peer " + i.Peer + ": invalid response: " + i.Reason
}

// WorkerError is an error response of a worker that has run a request.
type WorkerError struct{ Status int }

// Error implements error.
func (w *WorkerError) Error() string {
	return fmt.Sprintf("run: the worker responded with status %d", w.Status)
}

// CallerError is a failure to send a response to the caller.
type CallerError struct{ Cause error }

// Error implements error.
func (c *CallerError) Error() string { return "pass the answer on: " + c.Cause.Error() }

// Unwrap returns the cause.
func (c *CallerError) Unwrap() error { return c.Cause }
