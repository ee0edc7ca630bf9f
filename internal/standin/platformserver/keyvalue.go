package platformserver

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/platform"
	"github.com/granitebay/granitebay/internal/standin/platformmodel"
)

// Caller names the client of a request, for rate limits and the history. It is exported because the
// HTTP library finds headers in exported parts of inputs only.
type Caller struct {
	Client string `header:"X-Client-Name" doc:"Name of the client; its address when empty."`
}

// Resolve falls back to the address of the client.
func (c *Caller) Resolve(ctx huma.Context) []error {
	if c.Client == "" {
		host, _, err := net.SplitHostPort(ctx.RemoteAddr())
		c.Client = lo.Ternary(err == nil, host, ctx.RemoteAddr())
	}
	return nil
}

type getInput struct {
	Caller
	Body struct {
		Key string `json:"key" minLength:"1"`
	}
}

type listInput struct {
	Caller
	Body struct {
		Prefix string `json:"prefix" doc:"Empty for all keys."`
	}
}

type transactionInput struct {
	Caller
	Body struct {
		Compares []platform.Compare `json:"compares,omitempty"`
		Puts     []putBody          `json:"puts,omitempty"`
		Deletes  []string           `json:"deletes,omitempty"`
	}
}

// putBody is platform.Put as a client sends it.
type putBody struct {
	Key   string      `json:"key"`
	Value base64Value `json:"value"`
	Lease uint64      `json:"lease,omitempty"`
}

// base64Value is a value that may be empty, which the check of the HTTP library for base64 does not allow.
type base64Value []byte

// Schema describes a value.
func (base64Value) Schema(huma.Registry) *huma.Schema {
	return &huma.Schema{
		Type:               huma.TypeString,
		Description:        "Base64 with padding; empty for an empty value.",
		Pattern:            `^([A-Za-z0-9+/]{4})*([A-Za-z0-9+/]{2}==|[A-Za-z0-9+/]{3}=)?$`,
		PatternDescription: "base64 with padding",
	}
}

// request returns the transaction as the model takes it.
func (t *transactionInput) request() platform.Transaction {
	puts := lo.Map(t.Body.Puts, func(put putBody, _ int) platform.Put {
		return platform.Put{Key: put.Key, Value: put.Value, Lease: put.Lease}
	})
	return platform.Transaction{Compares: t.Body.Compares, Puts: puts, Deletes: t.Body.Deletes}
}

// Resolve refuses a transaction that writes a key twice.
func (t *transactionInput) Resolve(ctx huma.Context) []error {
	errs := t.Caller.Resolve(ctx)
	seen := map[string]bool{}
	check := func(location, key string) {
		if key == "" || seen[key] {
			errs = append(errs, &huma.ErrorDetail{
				Message:  "expected a key that is not empty and is written once in the transaction",
				Location: location,
				Value:    key,
			})
		}
		seen[key] = true
	}
	for i, put := range t.Body.Puts {
		check(fmt.Sprintf("body.puts[%d].key", i), put.Key)
	}
	for i, key := range t.Body.Deletes {
		check(fmt.Sprintf("body.deletes[%d]", i), key)
	}
	return errs
}

type grantInput struct {
	Caller
	Body struct {
		TTLMilliseconds int64 `json:"ttlMilliseconds" minimum:"1" maximum:"86400000"`
	}
}

type leaseInput struct {
	Caller
	Body struct {
		Lease uint64 `json:"lease" minimum:"1"`
	}
}

type entriesOutput struct {
	Body struct {
		Revision uint64           `json:"revision"`
		Entries  []platform.Entry `json:"entries"`
	}
}

type transactionOutput struct {
	Body struct {
		Revision  uint64 `json:"revision"`
		Succeeded bool   `json:"succeeded" doc:"Whether the conditions held."`
	}
}

type historyOutput struct {
	Body struct {
		Commits []platformmodel.Commit `json:"commits"`
	}
}

type leaseOutput struct {
	Body struct {
		Revision        uint64 `json:"revision"`
		Lease           uint64 `json:"lease"`
		TTLMilliseconds int64  `json:"ttlMilliseconds"`
	}
}

func (s *Server) registerKeyValue(api huma.API) {
	huma.Register(api, operation(http.MethodPost, "/v1/kv/get", "Read one key"),
		func(ctx context.Context, input *getInput) (*entriesOutput, error) {
			return newEntries(s.ask(ctx, input.Client, platform.Get{Key: input.Body.Key}))
		})
	huma.Register(api, operation(http.MethodPost, "/v1/kv/list", "Read all keys with a prefix"),
		func(ctx context.Context, input *listInput) (*entriesOutput, error) {
			return newEntries(s.ask(ctx, input.Client, platform.List{Prefix: input.Body.Prefix}))
		})
	huma.Register(api, operation(http.MethodPost, "/v1/kv/transaction", "Write at one revision if all conditions hold"),
		func(ctx context.Context, input *transactionInput) (*transactionOutput, error) {
			response, err := s.ask(ctx, input.Client, input.request())
			if err != nil {
				return nil, err
			}
			output := &transactionOutput{}
			output.Body.Revision = response.Revision
			output.Body.Succeeded = response.Succeeded
			return output, nil
		})
	s.registerLeases(api)
	huma.Register(api, operation(http.MethodGet, "/v1/kv/history", "Read the kept commits, whatever faults are on"),
		func(context.Context, *struct{}) (*historyOutput, error) {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			output := &historyOutput{}
			output.Body.Commits = append([]platformmodel.Commit{}, s.model.History()...)
			return output, nil
		})
}

func (s *Server) registerLeases(api huma.API) {
	huma.Register(api, operation(http.MethodPost, "/v1/kv/lease/grant", "Make a lease"),
		func(ctx context.Context, input *grantInput) (*leaseOutput, error) {
			ttl := time.Duration(input.Body.TTLMilliseconds) * time.Millisecond
			return newLease(s.ask(ctx, input.Client, platform.GrantLease{TTL: ttl}))
		})
	huma.Register(api, operation(http.MethodPost, "/v1/kv/lease/keepalive", "Renew a lease"),
		func(ctx context.Context, input *leaseInput) (*leaseOutput, error) {
			return newLease(s.ask(ctx, input.Client, platform.KeepAlive{Lease: input.Body.Lease}))
		})
	huma.Register(api, operation(http.MethodPost, "/v1/kv/lease/revoke", "End a lease and delete its keys"),
		func(ctx context.Context, input *leaseInput) (*leaseOutput, error) {
			return newLease(s.ask(ctx, input.Client, platform.RevokeLease{Lease: input.Body.Lease}))
		})
}

func newEntries(response platform.Response, err error) (*entriesOutput, error) {
	if err != nil {
		return nil, err
	}
	output := &entriesOutput{}
	output.Body.Revision = response.Revision
	output.Body.Entries = append([]platform.Entry{}, response.Entries...)
	return output, nil
}

func newLease(response platform.Response, err error) (*leaseOutput, error) {
	if err != nil {
		return nil, err
	}
	output := &leaseOutput{}
	output.Body.Revision = response.Revision
	output.Body.Lease = response.Lease
	// Rounded down, so that nobody counts on more than was granted.
	output.Body.TTLMilliseconds = response.TTL.Milliseconds()
	return output, nil
}
