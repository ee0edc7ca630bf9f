package netproxy

import (
	"context"
	"net"
	"net/netip"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// reservedPort is a loopback port that stays bound while nothing listens there, so that connections are refused and nobody else takes it.
type reservedPort struct {
	descriptor int
	host       netip.Addr
	number     int
}

// reservePort reserves a free port of an IPv4 address.
func reservePort(host string) (*reservedPort, error) {
	address, err := netip.ParseAddr(host)
	if err != nil || !address.Is4() {
		return nil, errors.Newf("reserve a port: host is %q, must be an IPv4 address", host)
	}
	p := &reservedPort{host: address}
	descriptor, err := p.bind()
	if err != nil {
		return nil, err
	}
	p.descriptor = descriptor
	name, err := unix.Getsockname(descriptor)
	if err != nil {
		p.free()
		return nil, errors.Wrap(err, "read the port of a socket")
	}
	p.number = name.(*unix.SockaddrInet4).Port
	return p, nil
}

// bind returns a socket that is bound to the port, besides those bound before.
func (p *reservedPort) bind() (int, error) {
	descriptor, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, errors.Wrap(err, "open a socket")
	}
	err = errors.Join(shareAddress(descriptor), unix.Bind(descriptor, &unix.SockaddrInet4{Port: p.number, Addr: p.host.As4()}))
	if err != nil {
		_ = unix.Close(descriptor)
		return 0, errors.Wrapf(err, "bind %s", p.address())
	}
	return descriptor, nil
}

// listen listens at the port.
func (p *reservedPort) listen() (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(descriptor uintptr) { optionErr = shareAddress(int(descriptor)) })
		return errors.Join(err, optionErr)
	}}
	return config.Listen(context.Background(), "tcp4", p.address())
}

// shareAddress lets several sockets of this process bind one port.
func shareAddress(descriptor int) error {
	return errors.Join(
		unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1),
		unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1),
	)
}

// address returns the host:port.
func (p *reservedPort) address() string { return netip.AddrPortFrom(p.host, uint16(p.number)).String() }

// free releases the port.
func (p *reservedPort) free() { _ = unix.Close(p.descriptor) }
