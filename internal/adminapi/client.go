package adminapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/configuration"
)

// Client calls gateways. It tries the addresses in order and moves on when a gateway cannot be reached or is not ready. Follow
// does not move on from a gateway that is not ready.
type Client struct {
	addresses []string
	http      *http.Client
}

// NewClient returns a client of gateways at addresses host:port or http://host:port.
func NewClient(addresses []string, httpClient *http.Client) *Client {
	return &Client{addresses: lo.Map(addresses, func(address string, _ int) string { return hostPort(address) }), http: httpClient}
}

// hostPort strips the scheme and the trailing slash of a URL.
func hostPort(address string) string {
	return strings.TrimSuffix(strings.TrimPrefix(address, "http://"), "/")
}

// Addresses returns the addresses of the gateways.
func (c *Client) Addresses() []string { return c.addresses }

// StatusError is an error response of a gateway.
type StatusError struct {
	// Gateway is the address of the gateway.
	Gateway string
	// Status is the HTTP status code.
	Status int
	Detail string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("gateway %s returned %d %s: %s", e.Gateway, e.Status, http.StatusText(e.Status), e.Detail)
}

// Status returns the status of the gateway that responds.
func (c *Client) Status(ctx context.Context) (GatewayStatus, error) {
	return get[GatewayStatus](ctx, c, PathStatus, nil)
}

// Workers returns all workers.
func (c *Client) Workers(ctx context.Context) ([]WorkerStatus, error) {
	return get[[]WorkerStatus](ctx, c, PathWorkers, nil)
}

// Groups returns all groups.
func (c *Client) Groups(ctx context.Context) ([]GroupStatus, error) {
	return get[[]GroupStatus](ctx, c, PathGroups, nil)
}

// Rules returns all rules in use.
func (c *Client) Rules(ctx context.Context) ([]RuleStatus, error) {
	return get[[]RuleStatus](ctx, c, PathRules, nil)
}

// Gateways returns all gateways.
func (c *Client) Gateways(ctx context.Context) ([]PeerStatus, error) {
	return get[[]PeerStatus](ctx, c, PathGateways, nil)
}

// Tenants returns all tenants.
func (c *Client) Tenants(ctx context.Context) ([]TenantStatus, error) {
	return get[[]TenantStatus](ctx, c, PathTenants, nil)
}

// Barred returns the requests that are not sent to workers.
func (c *Client) Barred(ctx context.Context) ([]BarredStatus, error) {
	return get[[]BarredStatus](ctx, c, PathBarred, nil)
}

// Release lets a barred request be sent to workers again. It is idempotent.
func (c *Client) Release(ctx context.Context, digest string) (ReleaseResult, error) {
	var result ReleaseResult
	path := PathBarred + "/" + digest
	data, err := c.tryAll(ctx, apiCall{method: http.MethodDelete, path: path})
	if err != nil {
		return result, err
	}
	return result, errors.Wrapf(json.Unmarshal(data, &result), "decode the response to %s", path)
}

// Capacity returns the workers that can be ordered, as the gateway that responds knows them.
func (c *Client) Capacity(ctx context.Context) ([]CapacityStatus, error) {
	return get[[]CapacityStatus](ctx, c, PathCapacity, nil)
}

// Usage returns the state of usage reports at the gateway that responds.
func (c *Client) Usage(ctx context.Context) (UsageStatus, error) {
	return get[UsageStatus](ctx, c, PathUsage, nil)
}

// Queues returns what waits for engines, as the gateway that responds knows it.
func (c *Client) Queues(ctx context.Context) ([]QueueStatus, error) {
	return get[[]QueueStatus](ctx, c, PathQueues, nil)
}

// Configuration returns the current configuration document.
func (c *Client) Configuration(ctx context.Context) (configuration.Document, error) {
	return get[configuration.Document](ctx, c, PathConfig, nil)
}

// ConfigHistory returns the latest edits, newest first.
func (c *Client) ConfigHistory(ctx context.Context) (ConfigHistory, error) {
	return get[ConfigHistory](ctx, c, PathConfigHistory, nil)
}

// Decisions returns the retained decisions that a filter selects.
func (c *Client) Decisions(ctx context.Context, filter DecisionFilter) (DecisionList, error) {
	return get[DecisionList](ctx, c, PathDecisions, filter.Query())
}

// Explain returns the decisions about a request that the gateway that responds retains.
func (c *Client) Explain(ctx context.Context, request string) (Explanation, error) {
	return get[Explanation](ctx, c, PathExplain, url.Values{"request": {request}})
}

// apiCall is a request that any gateway can answer.
type apiCall struct {
	method, path string
	query        url.Values
	body         []byte
}

// get sends a GET request and decodes the response.
func get[T any](ctx context.Context, c *Client, path string, query url.Values) (T, error) {
	var value T
	data, err := c.tryAll(ctx, apiCall{method: http.MethodGet, path: path, query: query})
	if err != nil {
		return value, err
	}
	return value, errors.Wrapf(json.Unmarshal(data, &value), "decode the response to %s", path)
}

// errNoAddress is returned by a client without addresses.
var errNoAddress = errors.New("no gateway address given")

// tryAll calls one gateway after another until one is ready. If none is, it returns all errors.
func (c *Client) tryAll(ctx context.Context, request apiCall) ([]byte, error) {
	errs := errNoAddress
	for i, address := range c.addresses {
		status, data, err := c.tryOne(ctx, address, request)
		if err == nil || (status != 0 && status != http.StatusServiceUnavailable) {
			return data, err
		}
		errs = lo.Ternary(i == 0, err, errors.Join(errs, err))
	}
	return nil, errs
}

// tryOne calls one gateway and returns the status and the body of its response.
func (c *Client) tryOne(ctx context.Context, address string, request apiCall) (int, []byte, error) {
	response, err := c.send(ctx, address, request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, errors.Wrapf(err, "read the response of gateway %s", address)
	}
	if response.StatusCode >= http.StatusBadRequest {
		err = statusError(address, response.StatusCode, data)
	}
	return response.StatusCode, data, err
}

func (c *Client) send(ctx context.Context, address string, request apiCall) (*http.Response, error) {
	target := url.URL{Scheme: "http", Host: address, Path: request.path, RawQuery: request.query.Encode()}
	outgoing, err := http.NewRequestWithContext(ctx, request.method, target.String(), bytes.NewReader(request.body))
	if err != nil {
		return nil, errors.Wrapf(err, "ask gateway %s", address)
	}
	if request.body != nil {
		outgoing.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(outgoing)
	return response, errors.Wrapf(err, "ask gateway %s", address)
}

// statusError returns the StatusError for an error response.
func statusError(address string, status int, data []byte) error {
	var problem struct {
		Detail string `json:"detail"`
		Error  string `json:"error"`
	}
	if json.Unmarshal(data, &problem) != nil {
		problem.Detail = string(data)
	}
	if problem.Detail == "" {
		problem.Detail = problem.Error
	}
	return &StatusError{Gateway: address, Status: status, Detail: problem.Detail}
}
