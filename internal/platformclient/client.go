// Package platformclient carries requests of cores to the platform over HTTP and JSON, as docs/platform.md lays down. A
// request that surely had no effect fails as unavailable, one that may have had fails as unknown.
package platformclient

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/platform"
)

const (
	logPrefix = "platform client: "
	// defaultTimeout is the time-out of one request.
	defaultTimeout = 3 * time.Second
	// defaultWatchSilence is how long a watch may be silent; the service sends a sign of life each second.
	defaultWatchSilence = 5 * time.Second
	// connectShare is the share of the time-out in which a connection must be made, so that the next endpoint gets
	// its turn.
	connectShare = 3
	// idleConnections is how many idle connections to one endpoint are kept.
	idleConnections = 16
)

// Options are what a Client is made of.
type Options struct {
	// Endpoint is the URL of the platform, for example "http://10.0.0.1:7000". Several, with commas between, are
	// tried in order until a connection can be made.
	Endpoint string
	// Name of this client, for rate limits and the history of the platform; empty means its address.
	Name string
	// HTTPClient is optional. It must have no time-out of its own, which would cut watches.
	HTTPClient *http.Client
	// Timeout of one request; zero means three seconds.
	Timeout time.Duration
	// WatchSilence is how long a watch may send nothing before it counts as broken; zero means five seconds.
	WatchSilence time.Duration
	// Deliver takes responses and DeliverWatch changes of watches. They are called from many goroutines; those of one
	// watch come in order.
	Deliver      func(platform.Response)
	DeliverWatch func(platform.WatchEvent)
	// Logger is required.
	Logger *logrus.Logger
}

// Client carries requests to the platform.
type Client struct {
	options   Options
	endpoints []string
	http      *http.Client
	ctx       context.Context
	cancel    context.CancelFunc

	mutex   sync.Mutex
	closed  bool
	running sync.WaitGroup
}

// New returns a client. It makes no connection yet.
func New(options Options) (*Client, error) {
	options.Timeout = lo.CoalesceOrEmpty(options.Timeout, defaultTimeout)
	options.WatchSilence = lo.CoalesceOrEmpty(options.WatchSilence, defaultWatchSilence)
	endpoints, err := splitEndpoints(options.Endpoint)
	if err != nil {
		return nil, err
	}
	client := &Client{options: options, endpoints: endpoints, http: options.HTTPClient}
	if client.http == nil {
		client.http = newHTTPClient(options.Timeout / connectShare)
	}
	client.ctx, client.cancel = context.WithCancel(context.Background())
	return client, nil
}

func splitEndpoints(list string) ([]string, error) {
	var endpoints []string
	for part := range strings.SplitSeq(list, ",") {
		endpoint := strings.TrimSuffix(strings.TrimSpace(part), "/")
		if !strings.HasPrefix(endpoint, "http://") && !strings.HasPrefix(endpoint, "https://") {
			return nil, errors.Newf("platform endpoint is %q; allowed are URLs with http:// or https://, with commas between", list)
		}
		endpoints = append(endpoints, endpoint)
	}
	return endpoints, nil
}

func newHTTPClient(connectTimeout time.Duration) *http.Client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConnections,
	}}
}

// Do carries a request out and delivers its response later. It never blocks. Requests run side by side, so a later one
// may overtake an earlier one. After Close it does nothing.
func (c *Client) Do(request core.PlatformRequest) {
	c.start(func() {
		if watch, isWatch := request.Request.(platform.Watch); isWatch {
			c.watch(request.ID, watch)
			return
		}
		response := c.perform(request.Request)
		response.ID = request.ID
		c.deliver(response)
	})
}

// Close breaks all requests and waits for them to end. Nothing is delivered after it.
func (c *Client) Close() {
	c.mutex.Lock()
	c.closed = true
	c.mutex.Unlock()
	c.cancel()
	c.running.Wait()
	c.http.CloseIdleConnections()
}

// start runs a task unless the client is closed.
func (c *Client) start(task func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return
	}
	c.running.Go(task)
}

func (c *Client) deliver(response platform.Response) {
	if c.ctx.Err() == nil {
		c.options.Deliver(response)
	}
}
