package netdial

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/standstill"
)

// Dial connects to an address within a timeout. An attempt that ends much later than that is repeated once: this process stood still, and the
// connection may have been open for long.
func Dial(ctx context.Context, dialer *net.Dialer, address string, timeout time.Duration) (net.Conn, error) {
	due := time.Now().Add(timeout)
	conn, err := dialOnce(ctx, dialer, address, timeout)
	if err != nil && ctx.Err() == nil && isTimeout(err) && standstill.IsLate(time.Now(), due) {
		return dialOnce(ctx, dialer, address, timeout)
	}
	return conn, err
}

// dialOnce is one attempt of Dial.
func dialOnce(ctx context.Context, dialer *net.Dialer, address string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return dialer.DialContext(ctx, "tcp4", address)
}

// isTimeout reports whether an attempt ended at its timeout.
func isTimeout(err error) bool {
	var network net.Error
	return errors.As(err, &network) && network.Timeout()
}
