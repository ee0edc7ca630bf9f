// Package httpclient sends HTTP/1.1 requests to workers over kept connections. Unlike the client of net/http it tells
// whether a request may have reached the worker, skips answers that belong to other requests, and never sends twice.
package httpclient

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Step names how far a request came before it failed.
type Step string

// The steps of a request.
const (
	// StepConnect failed: nothing was sent.
	StepConnect Step = "connect"
	// StepSend failed: a part of the request may have arrived.
	StepSend Step = "send"
	// StepAwait failed: the request was sent and no whole head of an answer came.
	StepAwait Step = "await the answer"
	// StepReceive failed: the answer broke off.
	StepReceive Step = "receive the answer"
)

// Error is a request that failed.
type Error struct {
	Step Step
	// Peer is the address of the worker.
	Peer  string
	Cause error
}

// Error is part of error.
func (e *Error) Error() string { return fmt.Sprintf("step %s, peer %s: %v", e.Step, e.Peer, e.Cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// NothingSent tells whether the worker can't have seen any of the request.
func (e *Error) NothingSent() bool { return e.Step == StepConnect }

// Refused tells whether nobody listens at the address of the worker: its process has ended.
func (e *Error) Refused() bool {
	return e.Step == StepConnect && errors.Is(e.Cause, syscall.ECONNREFUSED)
}

// Request is what is sent.
type Request struct {
	Method string
	// Target is the path with the query, byte for byte as the caller wrote it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Belongs tells whether an answer is that of this request. Answers that are not are read and dropped. Nil takes any.
	Belongs func(status int, header http.Header) bool
}

// Settings of a client.
type Settings struct {
	// ConnectTimeout bounds the opening of a connection.
	ConnectTimeout time.Duration
	// UnansweredTimeout closes connections on which sent bytes are not acknowledged by the peer's machine.
	UnansweredTimeout time.Duration
	// IdleTimeout is how long a connection rests when the worker does not tell how long it may.
	IdleTimeout time.Duration
	// IdleMargin is how much earlier than the worker the client gives up a resting connection.
	IdleMargin time.Duration
	// MaxIdlePerAddress bounds the resting connections to one worker.
	MaxIdlePerAddress int
}

// DefaultSettings suit workers in the same region.
func DefaultSettings() Settings {
	return Settings{
		ConnectTimeout:    300 * time.Millisecond,
		UnansweredTimeout: 2 * time.Second,
		IdleTimeout:       5 * time.Second,
		IdleMargin:        300 * time.Millisecond,
		MaxIdlePerAddress: 32,
	}
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	settings Settings
	pool     *pool
}

// New returns a client without connections.
func New(settings Settings) *Client {
	return &Client{settings: settings, pool: newPool(settings)}
}

// Forget closes the resting connections to an address.
func (c *Client) Forget(address string) { c.pool.forget(address) }

// Opened returns how many connections were opened so far.
func (c *Client) Opened() int64 { return c.pool.opened.Load() }

// Do sends a request and returns the head of its answer. The body must be closed; the connection is kept only if the body
// was read to its end. When the context ends, the connection is closed at once, also while the body is read. Errors are
// of type *Error.
func (c *Client) Do(ctx context.Context, address string, request *Request) (*Response, error) {
	connection, err := c.pool.take(ctx, address)
	if err != nil {
		return nil, &Error{Step: StepConnect, Peer: address, Cause: err}
	}
	exchange := newExchange(ctx, c.pool, connection, request)
	return exchange.run()
}

// settleTime is how long a connection that was opened to a process which is just ending stays open at the most: the listener of a process
// may outlive its connections by some milliseconds.
const closeDetectionDelay = 50 * time.Millisecond

// errClosed is returned for an address that takes connections and closes them at once.
var errClosedImmediately = errors.New("connections open and are closed at once")

// Refuses tells whether nothing listens at an address: it refuses connections. A connection that opens rests for a later request. One
// that is closed at once is tried again once, since the process may just end. The error is that of a connection that neither opens nor is
// refused, or is closed at once again: the process may have too many, or something else may listen in its place.
func (c *Client) Refuses(ctx context.Context, address string) (bool, error) {
	for attempt := 0; ; attempt++ {
		conn, err := c.pool.open(ctx, address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return true, nil
		}
		if err != nil {
			return false, &Error{Step: StepConnect, Peer: address, Cause: err}
		}
		select {
		case <-ctx.Done():
		case <-time.After(closeDetectionDelay):
		}
		if nothingReceived(conn.Conn) {
			c.pool.put(conn, c.settings.IdleTimeout)
			return false, nil
		}
		_ = conn.Close()
		if attempt > 0 {
			return false, &Error{Step: StepConnect, Peer: address, Cause: errClosedImmediately}
		}
	}
}
