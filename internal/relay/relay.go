// Package relay connects a gateway to workers through other gateways while its own network path to them is lost.
//
// A relayed connection is a byte stream: the gateway that read a request runs the attempt itself, with its own deadlines, budgets and limits,
// and the relaying gateway neither reads nor repeats anything. Nothing is sent before the relaying gateway has connected to the worker, so a
// failed attempt to connect never ran a request. A relaying gateway connects directly, so there is one hop and no cycle.
//
// The answers of other gateways also tell a lost path from a worker that has ended: a worker that refuses this gateway and others, which still
// reach workers of the same group, has ended; if another gateway connects to it, the path of this one is lost; otherwise nobody can tell.
package relay

import (
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Settings configures the use of relays.
type Settings struct {
	// Zone is the zone of this gateway. Relays in the same zone are preferred.
	Zone string
	// Bound is the time within which callers must be served again after paths to workers are lost. The delays and pauses are fractions of
	// it. Zero disables relays.
	Bound time.Duration
	// ConnectTimeout limits the time to open a connection to a worker, and UnacknowledgedTimeout how long sent data may stay unacknowledged.
	ConnectTimeout, UnacknowledgedTimeout time.Duration
	// MaxRelayed is the maximum number of connections that this gateway relays for others at a time.
	MaxRelayed int
}

// Fractions of Settings.Bound.
const (
	// hedgeDivisor divides the bound to get the time after which an unanswered attempt to connect directly is joined by one through a relay.
	hedgeDivisor = 30
	// silentHedgeDivisor replaces hedgeDivisor while another path hangs.
	silentHedgeDivisor = 150
	// checkDivisor divides the bound to get the time after which a lost path is first tried again. It doubles up to the bound.
	checkDivisor = 10
)

// hedgeDelay is the time after which a relay is tried too.
func (s *Settings) hedgeDelay(silent bool) time.Duration {
	if silent {
		return s.Bound / silentHedgeDivisor
	}
	return s.Bound / hedgeDivisor
}

// checkInterval is the shortest time between two attempts at a lost path.
func (s *Settings) checkInterval() time.Duration { return s.Bound / checkDivisor }

// Peer is another gateway that may relay connections.
type Peer struct {
	Name string
	Zone string
	// Address is its control address, host:port.
	Address string
	// Silent is set if the gateway is registered, but has not been heard lately. It is asked only if no other one can tell.
	Silent bool
}

// Source tells what the gateway knows of workers and other gateways. It must be safe for concurrent use.
type Source interface {
	// WorkerID returns the id of the worker at an address.
	WorkerID(address string) (string, bool)
	// WorkerAddress returns the address of a worker.
	WorkerAddress(id string) (string, bool)
	// WorkerAddresses returns the addresses of all known workers.
	WorkerAddresses() []string
	// Siblings returns the addresses of some other workers of the same group, in random order, at most count.
	Siblings(address string, count int) []string
	// Relays returns the other gateways that serve requests.
	Relays() []Peer
}

// UnconfirmedError is the error of an attempt to connect that failed from this gateway, while no other gateway could tell whether the worker
// accepts connections. It is not evidence that the worker has ended.
type UnconfirmedError struct {
	// Address is the address of the worker.
	Address string
	Cause   error
}

// Error implements error. The cause is part of the text only, so that no caller takes a refused connection for a confirmed one.
func (e *UnconfirmedError) Error() string {
	return "connect to " + e.Address + " (no other gateway could confirm): " + e.Cause.Error()
}

// RefusedHere reports whether the worker refused the connection of this gateway, rather than not to answer.
func (e *UnconfirmedError) RefusedHere() bool { return errors.Is(e.Cause, syscall.ECONNREFUSED) }

// Errors of attempts through relays.
var (
	// errRefusedAtPeer means that the worker refuses connections of another gateway.
	errRefusedAtPeer = errors.New("the worker refuses the connections of another gateway")
	// errSilentAtPeer means that the worker does not answer another gateway, which reaches other workers of its group.
	errSilentAtPeer = errors.New("the worker does not answer another gateway")
	// errUnreachableAtPeer means that another gateway is cut off from the worker's group, too, and can't tell.
	errUnreachableAtPeer = errors.New("the other gateway does not reach the worker's group")
	// errPeerUnavailable means that another gateway does not relay now, and errUnsupported that it never does.
	errPeerUnavailable = errors.New("the other gateway does not relay now")
	errUnsupported     = errors.New("the other gateway does not support relays")
	// errNoPeers means that there is no other gateway to ask.
	errNoPeers = errors.New("no other gateway is known")
)
