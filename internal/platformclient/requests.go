package platformclient

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/platform"
)

// The bodies of requests.
type (
	getBody struct {
		Key string `json:"key"`
	}
	listBody struct {
		Prefix string `json:"prefix"`
	}
	transactionBody struct {
		Compares []platform.Compare `json:"compares,omitempty"`
		Puts     []platform.Put     `json:"puts,omitempty"`
		Deletes  []string           `json:"deletes,omitempty"`
	}
	grantBody struct {
		TTLMilliseconds int64 `json:"ttlMilliseconds"`
	}
	leaseBody struct {
		Lease uint64 `json:"lease"`
	}
	fetchBody struct {
		Model   string `json:"model"`
		Version string `json:"version,omitempty"`
		Zone    string `json:"zone,omitempty"`
	}
)

// answerBody has the fields of all answers; each answer fills its own.
type answerBody struct {
	Revision             uint64            `json:"revision"`
	Entries              []platform.Entry  `json:"entries"`
	Succeeded            bool              `json:"succeeded"`
	Lease                uint64            `json:"lease"`
	TTLMilliseconds      int64             `json:"ttlMilliseconds"`
	Members              []platform.Member `json:"members"`
	DurationMilliseconds int64             `json:"durationMilliseconds"`
}

// perform carries out a request that gets one answer.
func (c *Client) perform(request platform.Request) platform.Response {
	outgoing, err := newExchange(request)
	if err != nil {
		return c.failed(newFailedError(platform.FailureUnavailable, err))
	}
	var answer answerBody
	if err := c.call(c.ctx, outgoing, &answer); err != nil {
		return c.failed(err)
	}
	return platform.Response{
		Revision:  answer.Revision,
		Entries:   answer.Entries,
		Succeeded: answer.Succeeded,
		Lease:     answer.Lease,
		TTL:       time.Duration(answer.TTLMilliseconds) * time.Millisecond,
		Members:   answer.Members,
		Duration:  time.Duration(answer.DurationMilliseconds) * time.Millisecond,
	}
}

// failed logs an error and returns the response that it stands for.
func (c *Client) failed(err error) platform.Response {
	level := logrus.WarnLevel
	if c.ctx.Err() != nil {
		level = logrus.DebugLevel
	}
	c.options.Logger.WithError(err).Log(level, logPrefix+"Request failed.")
	var failed *failedError
	if errors.As(err, &failed) {
		return failed.response
	}
	return platform.Response{Failure: platform.FailureUnknown}
}

// newExchange puts a request into HTTP.
func newExchange(request platform.Request) (exchange, error) {
	post := func(path string, body any) (exchange, error) {
		return exchange{method: http.MethodPost, path: path, body: body}, nil
	}
	switch request := request.(type) {
	case platform.Get:
		return post("/v1/kv/get", getBody(request))
	case platform.List:
		return post("/v1/kv/list", listBody(request))
	case platform.Transaction:
		return post("/v1/kv/transaction", transactionBody(request))
	case platform.GrantLease:
		return post("/v1/kv/lease/grant", grantBody{TTLMilliseconds: request.TTL.Milliseconds()})
	case platform.KeepAlive:
		return post("/v1/kv/lease/keepalive", leaseBody{Lease: request.Lease})
	case platform.RevokeLease:
		return post("/v1/kv/lease/revoke", leaseBody{Lease: request.Lease})
	case platform.ListMembers:
		return exchange{method: http.MethodGet, path: "/v1/members"}, nil
	case platform.FetchWeights:
		return post("/v1/weights/fetch", fetchBody(request))
	default:
		return exchange{}, errors.Newf("no such request to the platform: %T", request)
	}
}
