package platformclient

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/granitebay/granitebay/internal/platform"
)

// registerAnswer is the answer to a registration.
type registerAnswer struct {
	TTLMilliseconds int64 `json:"ttlMilliseconds"`
}

// RegisterMember puts a machine on the membership list, or renews its registration. It returns within which time the
// registration must be renewed; zero means never.
func (c *Client) RegisterMember(ctx context.Context, member platform.Member) (time.Duration, error) {
	var answer registerAnswer
	err := c.call(ctx, exchange{method: http.MethodPost, path: "/v1/members", body: member}, &answer)
	return time.Duration(answer.TTLMilliseconds) * time.Millisecond, err
}

// RemoveMember takes a machine off the membership list.
func (c *Client) RemoveMember(ctx context.Context, name string) error {
	return c.call(ctx, exchange{method: http.MethodDelete, path: "/v1/members/" + url.PathEscape(name)}, nil)
}

// KeepRegistered registers a machine and renews the registration at each interval, until the context ends or the client
// is closed. The member is asked for anew each time, so that a change such as Leaving is told.
func (c *Client) KeepRegistered(ctx context.Context, interval time.Duration, member func() platform.Member) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		if _, err := c.RegisterMember(ctx, member()); err != nil && ctx.Err() == nil && c.ctx.Err() == nil {
			c.options.Logger.WithError(err).Warn(logPrefix + "Registration failed, tried again later.")
		}
		select {
		case <-ctx.Done():
			return
		case <-c.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
