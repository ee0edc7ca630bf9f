// Package engineclient turns commands to engines into HTTP requests, and what engines answer into events.
package engineclient

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/logging"
)

// logPart begins the lines of the log.
const logPart = "engine client"

// DefaultTimeout is the time-out when Options give none.
const DefaultTimeout = 5 * time.Second

// The connections that NewHTTPClient keeps. An engine has one connection for each stream at once.
const (
	idleConnections          = 4096
	idleConnectionsPerEngine = 512
	idleConnectionTimeout    = 90 * time.Second
	connectTimeout           = 2 * time.Second
	keepAliveInterval        = 15 * time.Second
)

// Options of a Client.
type Options struct {
	// HTTPClient sends the requests; nil means one from NewHTTPClient. It must not have a time-out of its own, because
	// streams last.
	HTTPClient *http.Client
	// Deliver gets each event. It is called from several goroutines at once, but for one stream in order. It must not
	// call Close.
	Deliver func(engine.Event)
	// Timeout bounds the wait for an answer, and the silence on a stream. Engines break the silence each second.
	Timeout time.Duration
	Logger  *logrus.Logger
}

// Client sends commands to engines.
type Client struct {
	http    *http.Client
	deliver func(engine.Event)
	timeout time.Duration
	logger  *logrus.Entry

	context context.Context
	cancel  context.CancelFunc
	work    sync.WaitGroup

	mutex     sync.RWMutex
	addresses map[string]string
	closed    bool
}

// NewHTTPClient returns an HTTP client that keeps enough connections for hundreds of streams to each engine.
func NewHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: connectTimeout, KeepAlive: keepAliveInterval}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        idleConnections,
		MaxIdleConnsPerHost: idleConnectionsPerEngine,
		IdleConnTimeout:     idleConnectionTimeout,
		DisableCompression:  true,
	}}
}

// New returns a client that knows no engine yet.
func New(options Options) *Client {
	if options.HTTPClient == nil {
		options.HTTPClient = NewHTTPClient()
	}
	if options.Timeout <= 0 {
		options.Timeout = DefaultTimeout
	}
	if options.Logger == nil {
		options.Logger = logrus.StandardLogger()
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		http:      options.HTTPClient,
		deliver:   options.Deliver,
		timeout:   options.Timeout,
		logger:    logging.Part(options.Logger, logPart),
		context:   ctx,
		cancel:    cancel,
		addresses: make(map[string]string),
	}
}

// SetAddress tells where an engine serves, as host:port. An empty address forgets the engine.
func (c *Client) SetAddress(name, hostPort string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if hostPort == "" {
		delete(c.addresses, name)
		return
	}
	c.addresses[name] = hostPort
}

// Do sends a command and returns at once. What comes of it is delivered as events. Commands may overtake each other.
func (c *Client) Do(command engine.Command) {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	if c.closed {
		return
	}
	address := c.addresses[command.EngineName()]
	c.work.Go(func() { c.run(command, address) })
}

// Close ends all requests and streams. It returns when no event is delivered any more.
func (c *Client) Close() {
	c.mutex.Lock()
	c.closed = true
	c.mutex.Unlock()
	c.cancel()
	c.work.Wait()
	c.http.CloseIdleConnections()
}

func (c *Client) run(command engine.Command, address string) {
	call := &call{client: c, command: command, address: address, begin: time.Now()}
	if address == "" {
		call.fail(errNoAddress)
		return
	}
	if err := call.do(); err != nil {
		call.fail(err)
	}
}

// emit delivers an event unless the client is closed.
func (c *Client) emit(event engine.Event) {
	if c.context.Err() == nil {
		c.deliver(event)
	}
}

// errNoAddress means that nobody told where the engine serves.
var errNoAddress = errors.New("no address known")
