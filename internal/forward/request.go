// Package forward carries requests of callers to workers and their answers back. It is the one request path of a gateway:
// its entry and its exit are ports, Protocol and Workers, which say how callers and workers speak.
package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/poison"
	"github.com/granitebay/granitebay/internal/tenant"
)

// Request is one request as a caller sent it. It is not changed once it was read.
type Request struct {
	// ID names the request at callers and workers.
	ID     string
	Method string
	// Target is the path with the query, byte for byte as the caller wrote it.
	Target string
	Host   string
	// Header holds what is passed on to workers.
	Header http.Header
	Body   []byte
	// Patience is how long the caller waits; zero when it does not say.
	Patience time.Duration
	Demand   backend.Demand
	// ResumeAfter is the id of the last event that the caller of a stream already has, or empty.
	ResumeAfter string
	// RunOnce is set when the caller forbids that the request runs again, whatever its rule says.
	RunOnce bool
	// Tenant whose limits hold, or empty.
	Tenant string
	// Whole is set when the caller wants the answer in one piece where its rule would stream it.
	Whole bool
}

// asked returns the digest of what a request asks for.
func (r *Request) digest() poison.Digest {
	return poison.Asked{Tenant: r.Tenant, Method: r.Method, Host: r.Host, Target: r.Target, Body: r.Body}.Digest()
}

// Protocol is how callers speak.
type Protocol interface {
	// Key returns the key with which a caller shows whose request it is, or nothing. It is not kept with the request.
	Key(request *http.Request) string
	// Read takes the head of a request over, without its body. An error says what is wrong with it.
	Read(request *http.Request) (*Request, error)
	// Complete takes what the body of a request tells. An error says what is wrong with it.
	Complete(request *Request) error
}

// LabelledProtocol is a protocol whose requests are matched by their labels.
type LabelledProtocol interface {
	Protocol
	// Labels returns the labels of a request, or false when it is not one of the protocol. The owner is the tenant whose key the
	// caller has, or nil where none is known.
	Labels(request *http.Request, owner *tenant.Tenant) (map[string]string, bool)
	// BrokenOff returns the event that ends a stream whose answer broke off, for a reason, so that its caller is told what became of the
	// request. It does not look like the end of a whole answer.
	BrokenOff(reason Reason) []byte
}

// Prompt is a prompt that an engine has read and keeps for the engine that goes on with it.
type Prompt struct {
	// Reader is the engine that keeps it.
	Reader *backend.Worker
	// Handle names it there.
	Handle string
}

// RunOptions say how a worker is to run a request.
type RunOptions struct {
	// Deadline after which the answer is of no use.
	Deadline time.Time
	// Prompt that was read elsewhere, or nil.
	Prompt *Prompt
	// FetchFrom keeps a part of the prompt that need not be read again, or is nil. It goes without Prompt.
	FetchFrom *backend.Worker
	// ResumeAfter is the id of the last event that the caller has, or empty.
	ResumeAfter string
	// Deferred runs give way to all others.
	Deferred bool
}

// ReadOptions say how an engine is to read a prompt.
type ReadOptions struct {
	// Deadline after which the prompt is of no use.
	Deadline time.Time
	// FetchFrom keeps a part of the prompt that need not be read again, or is nil.
	FetchFrom *backend.Worker
	// Urgency orders the prompts that wait at an engine, 0 the first and 9 the last.
	Urgency int
}

// Workers carries requests to workers. Errors are of type *httpclient.Error, *Refusal or *InvalidAnswer.
type Workers interface {
	// Run has a worker run a request. When the context ends, the worker is told so by the end of the connection.
	Run(ctx context.Context, worker *backend.Worker, request *Request, options RunOptions) (*Answer, error)
	// ReadPrompt has an engine read the prompt of a request.
	ReadPrompt(ctx context.Context, worker *backend.Worker, request *Request, options ReadOptions) (*Prompt, error)
	// ReleasePrompt frees a prompt that nobody will use.
	ReleasePrompt(ctx context.Context, prompt *Prompt)
}

// Answer is the answer of a worker that has run a request.
type Answer struct {
	Status int
	// Header holds what is passed on to the caller.
	Header http.Header
	// ContentLength is -1 when it is not known beforehand.
	ContentLength int64
	Body          io.ReadCloser
}

// Refusal is the word of a worker that it has not run a request and never will.
type Refusal struct {
	// Peer is the address of the worker.
	Peer   string
	Status int
	// Moved is set when the worker at the address is another one than expected.
	Moved bool
}

// Error is part of error.
func (r *Refusal) Error() string {
	return "step run, peer " + r.Peer + ": the worker refused the request: " + http.StatusText(r.Status)
}

// InvalidAnswer is an answer that can't be that of a worker to the request. The request may have run.
type InvalidAnswer struct {
	Peer   string
	Reason string
}

// Error is part of error.
func (i *InvalidAnswer) Error() string {
	return "step run, peer " + i.Peer + ": invalid answer: " + i.Reason
}

// WorkerError is the answer of a worker that has run a request and failed.
type WorkerError struct{ Status int }

// Error is part of error.
func (w *WorkerError) Error() string {
	return "step run: the worker answered " + http.StatusText(w.Status)
}

// CallerError is a failure to pass an answer on to its caller.
type CallerError struct{ Cause error }

// Error is part of error.
func (c *CallerError) Error() string { return "step pass the answer on: " + c.Cause.Error() }

// Unwrap returns the cause.
func (c *CallerError) Unwrap() error { return c.Cause }
