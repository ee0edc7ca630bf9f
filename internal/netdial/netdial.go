// Package netdial opens and accepts TCP connections that notice when the machine at the other end is gone. Without it a connection
// behind a network cut hangs for minutes.
package netdial

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Keep-alive probes of resting connections.
const (
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// New returns a dialer. A connection closes when bytes that were sent on it stay unacknowledged for so long, or when probes
// of a resting connection are not answered.
func New(connectTimeout, unacknowledgedTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     probeIdle,
			Interval: probeInterval,
			Count:    probeCount,
		},
		Control: userTimeoutControl(unacknowledgedTimeout),
	}
}

// unacknowledged returns what sets how long sent bytes may stay unacknowledged on a socket.
func userTimeoutControl(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(descriptor uintptr) {
			milliseconds := int(timeout / time.Millisecond)
			optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, milliseconds)
		})
		if err != nil {
			return err
		}
		return optionErr
	}
}

// Times after which a connection that was accepted is given up. They are longer than those of connections that were opened: a caller that
// is cut off for some seconds finds its connection again, and what is on it ends with its deadline.
const (
	acceptedProbeIdle             = 5 * time.Second
	acceptedProbeInterval         = 2 * time.Second
	acceptedProbeCount            = 3
	acceptedUnacknowledgedTimeout = 10 * time.Second
)

// Listen listens at an address, host:port. Connections that it accepts close when bytes that were sent on them stay unacknowledged, or when
// probes of a resting one are not answered; the defaults of the language hold them for two and a half minutes.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: acceptedProbeIdle, Interval: acceptedProbeInterval, Count: acceptedProbeCount,
		},
		// Sockets that are accepted have this option of the one that listens.
		Control: userTimeoutControl(acceptedUnacknowledgedTimeout),
	}
	return config.Listen(context.Background(), "tcp4", address)
}
