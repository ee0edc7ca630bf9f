package processtest

import (
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Ports are taken from below the range from which Linux takes the ports of outgoing connections, so that no connection
// takes a port between the moment it was found free and the moment a process listens at it.
const (
	firstPort    = 20000
	lastPort     = 32000
	portAttempts = 200
)

// ports hands out free ports of the loopback interface.
type ports struct{ taken map[int]bool }

// address returns a host:port at which nobody listens.
func (p *ports) address() (string, error) {
	for range portAttempts {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if p.taken[port] {
			continue
		}
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		p.taken[port] = true
		return address, nil
	}
	return "", errors.Newf("step find a free port: none in %d attempts", portAttempts)
}
