// Package httpclient sends HTTP/1.1 requests to workers over keep-alive connections. Unlike the client of net/http it
// reports whether a request may have reached the worker, skips responses that belong to other requests, and never
// retries.
package httpclient

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/netdial"
)

// Step is the step of a request that failed.
type Step string

// The steps of a request.
const (
	// StepConnect failed: nothing was sent.
	StepConnect Step = "connect"
	// StepSend failed: part of the request may have arrived.
	StepSend Step = "send"
	// StepAwait failed: the request was sent, and no complete response header was received.
	StepAwait Step = "await the answer"
	// StepReceive failed: the response body was cut off.
	StepReceive Step = "receive the answer"
)

// Error is the error of a failed request.
type Error struct {
	Step Step
	// Peer is the address of the worker.
	Peer  string
	Cause error
	// timedOut is set if the request was given up because no answer came in time, and unsent if it ended before it was sent.
	timedOut, unsent bool
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s, peer %s: %v", e.Step, e.Peer, e.Cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// NothingSent reports whether no part of the request can have reached the worker.
func (e *Error) NothingSent() bool { return e.Step == StepConnect }

// Refused reports whether the connection was refused: no process listens at the address of the worker.
func (e *Error) Refused() bool {
	return e.Step == StepConnect && errors.Is(e.Cause, syscall.ECONNREFUSED)
}

// FailureCause classifies why a connection to a worker failed.
type FailureCause string

// The causes.
const (
	CauseRefused FailureCause = "refused"
	CauseReset   FailureCause = "reset"
	CauseTimeout FailureCause = "timeout"
	// CauseCancelled is a request that was given up, which says nothing about the connection.
	CauseCancelled FailureCause = "cancelled"
	CauseOther     FailureCause = "other"
)

// FailureCause returns why the connection failed.
func (e *Error) FailureCause() FailureCause {
	var network net.Error
	switch {
	case errors.Is(e.Cause, syscall.ECONNREFUSED):
		return CauseRefused
	case errors.Is(e.Cause, syscall.ECONNRESET), errors.Is(e.Cause, syscall.EPIPE), errors.Is(e.Cause, io.ErrUnexpectedEOF), errors.Is(e.Cause, io.EOF):
		return CauseReset
	case e.unsent, errors.Is(e.Cause, context.Canceled):
		return CauseCancelled
	case e.timedOut, errors.Is(e.Cause, context.DeadlineExceeded), errors.As(e.Cause, &network) && network.Timeout():
		return CauseTimeout
	default:
		return CauseOther
	}
}

// Request is a request to a worker.
type Request struct {
	Method string
	// Target is the path with the query, exactly as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Key identifies the request if it may be sent more than once; may be empty.
	Key string
	// Arrivals is told where the response arrives; may be nil.
	Arrivals *Arrivals
	// MaySend is called once a connection is open, before anything is sent, and returns why the request must not be sent any more; may be nil.
	MaySend func() error
	// OnConnection is called before the request is sent, with the time at which its connection had been opened; may be nil.
	OnConnection func(openedAt time.Time)
	// DirectOnly keeps the request off connections that another process relays.
	DirectOnly bool
	// UnusedConnection keeps the request off connections that have carried another one, so that no response to that can be taken for its own.
	UnusedConnection bool
	// Classify returns what a response says of this request. Those that belong to others are read and discarded. Nil accepts any response.
	Classify func(status int, header http.Header) ResponseKind
}

// Settings configures a Client.
type Settings struct {
	// ConnectTimeout limits the time to open a connection.
	ConnectTimeout time.Duration
	// UnacknowledgedTimeout limits how long sent data may stay unacknowledged before the connection is closed.
	UnacknowledgedTimeout time.Duration
	// IdleTimeout limits the idle time of a connection if the worker sends no Keep-Alive header.
	IdleTimeout time.Duration
	// IdleMargin is subtracted from the idle timeout that the worker announces.
	IdleMargin time.Duration
	// MaxIdlePerAddress limits the idle connections to one worker.
	MaxIdlePerAddress int
}

// WorkerSettings returns settings for workers in the same region. A worker may fall silent for a second or so and go on, so at least one of
// three keep-alive probes a second apart reaches it outside of such a time.
func WorkerSettings() Settings {
	settings := DefaultSettings()
	settings.UnacknowledgedTimeout = 4 * time.Second
	return settings
}

// DefaultSettings returns settings for servers in the same region.
func DefaultSettings() Settings {
	return Settings{
		ConnectTimeout:        300 * time.Millisecond,
		UnacknowledgedTimeout: 2 * time.Second,
		IdleTimeout:           5 * time.Second,
		IdleMargin:            300 * time.Millisecond,
		MaxIdlePerAddress:     32,
	}
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	settings Settings
	pool     *pool
	// onFailure is called with each error of Do; may be nil.
	onFailure func(address string, err error)
	// onDiscard is called with each response that belongs to no request that waits; may be nil.
	onDiscard func(address string)
}

// Dialer opens the connections of a client, and decides which idle ones may be used again. It must be safe for concurrent use.
type Dialer interface {
	// Dial opens a connection. If directOnly is set, no other process relays it.
	Dial(ctx context.Context, address string, directOnly bool) (net.Conn, error)
	// IsDirect reports whether no other process relays a connection.
	IsDirect(conn net.Conn) bool
	// Usable reports whether an idle connection to an address that was last used at a time may be used again.
	Usable(conn net.Conn, address string, lastUsed time.Time) bool
	// Suspect is called when a request got no answer from an address in time. It must not block.
	Suspect(address string)
	// Forget is called for an address that is not used any more.
	Forget(address string)
}

// plainDialer only connects directly.
type plainDialer struct{ dialer *net.Dialer }

// Dial implements Dialer.
func (d plainDialer) Dial(ctx context.Context, address string, _ bool) (net.Conn, error) {
	return netdial.Dial(ctx, d.dialer, address, d.dialer.Timeout)
}

// IsDirect implements Dialer.
func (plainDialer) IsDirect(net.Conn) bool { return true }

// Usable implements Dialer.
func (plainDialer) Usable(net.Conn, string, time.Time) bool { return true }

// Suspect implements Dialer.
func (plainDialer) Suspect(string) {}

// Forget implements Dialer.
func (plainDialer) Forget(string) {}

// New returns a client without open connections.
func New(settings Settings) *Client {
	return NewWithDialer(settings, plainDialer{netdial.New(settings.ConnectTimeout, settings.UnacknowledgedTimeout)})
}

// NewWithDialer returns a client that opens its connections with a dialer, which has its own timeouts.
func NewWithDialer(settings Settings, dialer Dialer) *Client {
	return &Client{settings: settings, pool: newPool(settings, dialer)}
}

// Keep keeps an open connection to an address for a later request. It closes the connection if another one is idle: workers accept a limited
// number of connections from all gateways, and this one was not opened for a request.
func (c *Client) Keep(conn net.Conn, address string) {
	c.pool.opened.Add(1)
	if c.pool.hasIdle(address) {
		_ = conn.Close()
		return
	}
	c.pool.put(c.pool.newConnection(conn, address), c.settings.IdleTimeout)
}

// OnFailure sets a callback for each error of Do. It must be called before the first request, and the callback must not block.
func (c *Client) OnFailure(onFailure func(address string, err error)) { c.onFailure = onFailure }

// OnDiscard sets a callback for each response that is discarded, because it belongs to another request than the one that waits. It must be called
// before the first request, and the callback must not block.
func (c *Client) OnDiscard(onDiscard func(address string)) { c.onDiscard = onDiscard }

// CloseIdle closes the idle connections to an address.
func (c *Client) CloseIdle(address string) { c.pool.forget(address) }

// CloseUnusable closes the idle connections that are relayed by a process which no longer relays, so that it need not wait for them to stop.
func (c *Client) CloseUnusable() { c.pool.closeUnusable() }

// ConnectionsOpened returns the number of connections opened so far.
func (c *Client) ConnectionsOpened() int64 { return c.pool.opened.Load() }

// Do sends a request and returns the response header. The body must be closed; the connection is kept only if the body
// was read to its end. If ctx has ended, nothing is sent. If it ends later, the connection is closed, also while the body
// is read; at a deadline, what has arrived is read first. Errors are of type *Error.
func (c *Client) Do(ctx context.Context, address string, request *Request) (*Response, error) {
	if ctx.Err() != nil {
		// This says nothing about the address, so onFailure is not called.
		return nil, &Error{Step: StepConnect, Peer: address, Cause: context.Cause(ctx), unsent: true}
	}
	response, err := c.do(ctx, address, request)
	if err != nil && c.onFailure != nil {
		c.onFailure(address, err)
	}
	return response, err
}

// do is Do without the callback and the first look at ctx.
func (c *Client) do(ctx context.Context, address string, request *Request) (*Response, error) {
	connection, err := c.pool.take(ctx, address, need{key: request.Key, directOnly: request.DirectOnly, unused: request.UnusedConnection})
	if err != nil {
		return nil, &Error{Step: StepConnect, Peer: address, Cause: err}
	}
	if ctx.Err() != nil {
		c.pool.putBack(connection)
		return nil, &Error{Step: StepConnect, Peer: address, Cause: context.Cause(ctx), unsent: true}
	}
	if request.MaySend != nil {
		if err := request.MaySend(); err != nil {
			c.pool.putBack(connection)
			return nil, &Error{Step: StepConnect, Peer: address, Cause: err, unsent: true}
		}
	}
	if request.OnConnection != nil {
		request.OnConnection(connection.openedAt)
	}
	exchange := newExchange(ctx, c.pool, connection, request)
	exchange.onDiscard = c.onDiscard
	return exchange.run()
}

// Connect makes sure that a connection to an address is open, and keeps it for a later request. If ctx has ended, nothing is opened. Errors are
// of type *Error.
func (c *Client) Connect(ctx context.Context, address string) error {
	if ctx.Err() != nil {
		// This says nothing about the address, so onFailure is not called.
		return &Error{Step: StepConnect, Peer: address, Cause: context.Cause(ctx), unsent: true}
	}
	connection, err := c.pool.take(ctx, address, need{})
	if err == nil {
		c.pool.putBack(connection)
		return nil
	}
	err = &Error{Step: StepConnect, Peer: address, Cause: err}
	if c.onFailure != nil {
		c.onFailure(address, err)
	}
	return err
}

// closeDetectionDelay is how long RefusesConnections waits for the peer to close a new connection. The listener of a process that
// is exiting may accept connections for some milliseconds.
const closeDetectionDelay = 50 * time.Millisecond

// errClosedImmediately is returned for an address that accepts connections and closes them immediately.
var errClosedImmediately = errors.New("connections are accepted and closed immediately")

// RefusesConnections reports whether an address refuses connections, that is, nothing listens there. A connection that is accepted
// is kept for a later request. If it is closed immediately, a second attempt is made, because the process may be
// exiting. An error means neither: the connection could not be opened for another reason, or was closed immediately
// twice, for example because the process has too many connections or something else listens at the address.
func (c *Client) RefusesConnections(ctx context.Context, address string) (bool, error) {
	for attempt := 0; ; attempt++ {
		conn, err := c.pool.open(ctx, address, false)
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
		if idleStateOf(conn.Conn) == idleOpen {
			c.pool.put(conn, c.settings.IdleTimeout)
			return false, nil
		}
		_ = conn.Close()
		if attempt > 0 {
			return false, &Error{Step: StepConnect, Peer: address, Cause: errClosedImmediately}
		}
	}
}
