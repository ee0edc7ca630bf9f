package netproxy

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// fullListener holds a port whose queue of new connections is full, so that further attempts to connect get no answer.
type fullListener struct {
	descriptor int
	fillers    []net.Conn
}

const (
	// maxFillers bounds the connections that fill the queue.
	maxFillers = 4
	// fillTimeout is how long an attempt to connect may take before the queue counts as full.
	fillTimeout = 50 * time.Millisecond
)

// newFullListener listens at an address, host:port, and fills its queue.
func newFullListener(address string) (*fullListener, error) {
	resolved, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "resolve %s", address)
	}
	descriptor, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, errors.Wrap(err, "open a socket")
	}
	l := &fullListener{descriptor: descriptor}
	target := &unix.SockaddrInet4{Port: resolved.Port, Addr: [4]byte(resolved.IP.To4())}
	err = errors.Join(
		unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1),
		unix.Bind(descriptor, target),
		unix.Listen(descriptor, 0),
	)
	if err != nil {
		l.close()
		return nil, errors.Wrapf(err, "listen at %s", address)
	}
	for range maxFillers {
		filler, err := net.DialTimeout("tcp4", address, fillTimeout)
		if err != nil {
			return l, nil
		}
		l.fillers = append(l.fillers, filler)
	}
	l.close()
	return nil, errors.Newf("the queue of %s still takes connections after %d", address, maxFillers)
}

// close frees the port.
func (l *fullListener) close() {
	_ = unix.Close(l.descriptor)
	for _, filler := range l.fillers {
		_ = filler.Close()
	}
}

// listenAgain listens at an address whose previous listener may only just have been closed.
func listenAgain(address string) (net.Listener, error) {
	const attempts, pause = 50, 10 * time.Millisecond
	var err error
	for range attempts {
		var listener net.Listener
		if listener, err = net.Listen("tcp4", address); err == nil {
			return listener, nil
		}
		time.Sleep(pause)
	}
	return nil, errors.Wrapf(err, "listen at %s again", address)
}
