// Package netdial opens and accepts TCP connections that detect an unreachable peer. Without keep-alive probes and a
// user timeout, a connection across a network partition would hang for minutes.
package netdial

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Keep-alive probes of opened connections.
const (
	probeIdle     = time.Second
	probeInterval = time.Second
)

// New returns a dialer. Its connections fail if sent data, or keep-alive probes, stay unanswered for unacknowledgedTimeout, which is rounded
// up to whole seconds for the probes. Both are set alike because TCP_USER_TIMEOUT also decides when keep-alive gives up, whatever the number
// of probes: a timeout that ends with the first probe would close the connection of a peer that was silent for a moment.
func New(connectTimeout, unacknowledgedTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     probeIdle,
			Interval: probeInterval,
			Count:    probeCount(unacknowledgedTimeout),
		},
		Control: func(network, address string, raw syscall.RawConn) error {
			limitRetransmissionInterval(raw)
			return userTimeoutControl(unacknowledgedTimeout)(network, address, raw)
		},
	}
}

// maxRetransmissionInterval is the most that the kernel waits before it sends unacknowledged data again. Its intervals double up to two minutes
// otherwise, so that a peer which is silent twice within unacknowledgedTimeout may get none of the repetitions in between.
const maxRetransmissionInterval = time.Second

// limitRetransmissionInterval limits the interval of retransmissions. Linux before 6.15 does not have the option and keeps its intervals.
func limitRetransmissionInterval(raw syscall.RawConn) {
	_ = raw.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_RTO_MAX_MS, int(maxRetransmissionInterval/time.Millisecond))
	})
}

// probeCount returns the number of probes after which keep-alive gives up at the timeout.
func probeCount(timeout time.Duration) int {
	return max(int((timeout-probeIdle+probeInterval-1)/probeInterval), 1)
}

// userTimeoutControl returns a Control function that sets TCP_USER_TIMEOUT.
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

// limitReceiveBuffer fixes the size of the receive buffer. Where the option is not known, the kernel keeps its own.
func limitReceiveBuffer(raw syscall.RawConn, size int) {
	_ = raw.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, size)
	})
}

// Settings of accepted connections. They are more lenient than those of opened connections, so that a caller that is
// unreachable for a few seconds keeps its connection. Its requests still end at their deadline.
const (
	acceptedProbeIdle             = 5 * time.Second
	acceptedProbeInterval         = 2 * time.Second
	acceptedProbeCount            = 3
	acceptedUnacknowledgedTimeout = 10 * time.Second
)

// Listener is a listener for TCP connections. Accept returns an error at the deadline.
type Listener interface {
	net.Listener
	syscall.Conn
	SetDeadline(deadline time.Time) error
}

// Listen listens at an address, host:port. Accepted connections fail if sent data stays unacknowledged, or if keep-alive
// probes are not answered. With the defaults of package net that would take two and a half minutes.
func Listen(address string) (Listener, error) { return ListenBuffered(address, 0) }

// ListenBuffered listens as Listen does. The receive buffers of accepted connections, in bytes, are fixed instead of growing by megabytes while nobody
// reads; zero leaves them to the kernel, which doubles other sizes for its own bookkeeping.
func ListenBuffered(address string, receiveBuffer int) (Listener, error) {
	config := net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: acceptedProbeIdle, Interval: acceptedProbeInterval, Count: acceptedProbeCount,
		},
		// Accepted sockets inherit these options from the listening socket.
		Control: func(network, address string, raw syscall.RawConn) error {
			if receiveBuffer > 0 {
				limitReceiveBuffer(raw, receiveBuffer)
			}
			return userTimeoutControl(acceptedUnacknowledgedTimeout)(network, address, raw)
		},
	}
	// Options and filters of a plain socket don't all hold for multipath TCP.
	config.SetMultipathTCP(false)
	listener, err := config.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, err
	}
	return listener.(*net.TCPListener), nil
}
