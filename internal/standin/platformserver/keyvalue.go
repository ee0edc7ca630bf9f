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
)

// caller names the client of a request, for rate limits and the history. It is part of the inputs.
type caller struct {
	Client string `header:"X-Client-Name" doc:"Name of the client; its address when empty."`
}

// Resolve falls back to the address of the client.
func (c *caller) Resolve(ctx huma.Context) []error {
	if c.Client == "" {
		host, _, err := net.SplitHostPort(ctx.RemoteAddr())
		c.Client = lo.Ternary(err == nil, host, ctx.RemoteAddr())
	}
	return nil
}

type getInput struct {
	caller
	Body struct {
		Key string `json:"key" minLength:"1"`
	}
}

type listInput struct {
	caller
	Body struct {
		Prefix string `json:"prefix" doc:"Empty for all keys."`
	}
}

type transactionInput struct {
	caller
	Body struct {
		Compares []platform.Compare `json:"compares,omitempty"`
		Puts     []platform.Put     `json:"puts,omitempty"`
		Deletes  []string           `json:"deletes,omitempty"`
	}
}

// Resolve refuses a transaction that writes a key twice.
func (t *transactionInput) Resolve(ctx huma.Context) []error {
	errs := t.caller.Resolve(ctx)
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
	caller
	Body struct {
		TTLMilliseconds int64 `json:"ttlMilliseconds" minimum:"1" maximum:"86400000"`
	}
}

type leaseInput struct {
	caller
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
			response, err := s.ask(ctx, input.Client, platform.Transaction(input.Body))
			if err != nil {
				return nil, err
			}
			output := &transactionOutput{}
			output.Body.Revision = response.Revision
			output.Body.Succeeded = response.Succeeded
			return output, nil
		})
	s.registerLeases(api)
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
