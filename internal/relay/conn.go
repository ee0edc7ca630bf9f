package relay

import (
	"bufio"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/netdial"
	"github.com/granitebay/granitebay/internal/responsehead"
)

// Path is the path of requests for relayed connections at the control address of a gateway.
const Path = "/relay"

// Headers of such a request and of its response. The response has status 101 if the worker has accepted the connection.
const (
	headerWorker = "Relay-Worker"
	headerResult = "Relay-Result"
	protocolName = "granitebay-relay"
)

// Values of headerResult: the worker refuses connections; it does not answer; the gateway can't tell, since it is cut off from the group; it
// does not know the worker; or it relays as many connections as it may.
const (
	resultRefused     = "refused"
	resultSilent      = "silent"
	resultUnreachable = "unreachable"
	resultUnknown     = "unknown"
	resultNoRoom      = "no room"
)

// resultErrors are the errors for the values of headerResult. Without a value, the gateway does not support relays.
var resultErrors = map[string]error{
	resultRefused: errRefusedAtPeer, resultSilent: errSilentAtPeer, resultUnreachable: errUnreachableAtPeer, resultUnknown: errPeerUnavailable,
	resultNoRoom: errPeerUnavailable, "": errUnsupported,
}

// Conn is a connection to a worker through another gateway. The bytes from the worker arrive in chunks, whose end mark tells a connection that
// the worker closed from one that broke off: a response without a length would otherwise look complete when the relaying gateway ends.
type Conn struct {
	// Conn is an interface, so that no further method of the connection, such as WriteTo, passes by the chunks.
	net.Conn
	raw    syscall.Conn
	peer   Peer
	chunks io.Reader
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return c.raw.SyscallConn() }

// Peer returns the gateway that relays the connection.
func (c *Conn) Peer() Peer { return c.peer }

// Read implements net.Conn.
func (c *Conn) Read(buffer []byte) (int, error) { return c.chunks.Read(buffer) }

// socket is a TCP connection.
type socket interface {
	net.Conn
	syscall.Conn
}

// arrivedReader reads a connection, also what has arrived when its deadline passes: this process may have stood still.
type arrivedReader struct{ socket }

// Read implements io.Reader.
func (r arrivedReader) Read(buffer []byte) (int, error) {
	n, err := r.socket.Read(buffer)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return netdial.ReadArrived(r.socket, buffer)
	}
	return n, err
}

// upgrade asks the gateway at the other end of a connection to relay it to a worker. It closes the connection if that fails.
func upgrade(conn socket, peer Peer, worker string, deadline time.Time) (*Conn, error) {
	relayed, err := requestUpgrade(conn, peer, worker, deadline)
	if err != nil {
		_ = conn.Close()
	}
	return relayed, err
}

// requestUpgrade is upgrade without the close.
func requestUpgrade(conn socket, peer Peer, worker string, deadline time.Time) (*Conn, error) {
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, err
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+peer.Address+Path, http.NoBody)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Connection", "Upgrade")
	request.Header.Set("Upgrade", protocolName)
	request.Header.Set(headerWorker, worker)
	if err := request.Write(conn); err != nil {
		return nil, err
	}
	limited := &io.LimitedReader{R: arrivedReader{conn}, N: responsehead.MaxBytes}
	reader := bufio.NewReader(limited)
	response, err := responsehead.Read(reader, request)
	if err != nil {
		return nil, err
	}
	// The bound is one of the head.
	limited.N = math.MaxInt64
	if response.StatusCode == http.StatusSwitchingProtocols {
		return &Conn{Conn: conn, raw: conn, peer: peer, chunks: httputil.NewChunkedReader(reader)}, conn.SetDeadline(time.Time{})
	}
	if failure, known := resultErrors[response.Header.Get(headerResult)]; known {
		return nil, failure
	}
	return nil, errPeerUnavailable
}
