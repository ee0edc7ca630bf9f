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

// newFullListener listens at a port and fills the queue.
func newFullListener(port *reservedPort) (*fullListener, error) {
	descriptor, err := port.bind()
	if err != nil {
		return nil, err
	}
	l := &fullListener{descriptor: descriptor}
	if err := unix.Listen(descriptor, 0); err != nil {
		l.close()
		return nil, errors.Wrapf(err, "listen at %s", port.address())
	}
	for range maxFillers {
		filler, err := net.DialTimeout("tcp4", port.address(), fillTimeout)
		if err != nil {
			return l, nil
		}
		l.fillers = append(l.fillers, filler)
	}
	l.close()
	return nil, errors.Newf("the queue of %s still takes connections after %d", port.address(), maxFillers)
}

// close stops listening.
func (l *fullListener) close() {
	_ = unix.Close(l.descriptor)
	for _, filler := range l.fillers {
		_ = filler.Close()
	}
}
