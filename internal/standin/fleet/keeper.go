package fleet

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Keeper is a caller that keeps its connections until the gateway closes them, and takes them up again after rests. It sends a request
// once, on one connection, whatever becomes of it.
type PoolingCaller struct {
	dial func(ctx context.Context, gateway string) (net.Conn, error)

	mu   sync.Mutex
	idle map[string][]*idleConn
}

// restingConn is a connection that rests.
type idleConn struct {
	net.Conn
	reader *bufio.Reader
	since  time.Time
}

// NewKeeper returns a caller without connections that opens them with dial.
func NewPoolingCaller(dial func(ctx context.Context, gateway string) (net.Conn, error)) *PoolingCaller {
	return &PoolingCaller{dial: dial, idle: map[string][]*idleConn{}}
}

// mostKept bounds the connections to one gateway that rest.
const maxIdleConns = 48

// ErrNotOpened is the error of a request that was not sent: no connection was there.
var ErrNotConnected = errors.New("no connection could be opened")

// Pick says on which connection a request is sent.
type ConnChoice int

// The ways to pick a connection.
const (
	// PickNew opens one.
	ConnNew ConnChoice = iota
	// PickLatest takes the one that has rested for the shortest time.
	ConnMostRecent
	// PickLongest takes the one that has rested for the longest time that is allowed.
	ConnLeastRecent
)

// Ask sends a request on one connection, and reads its answer to the end. No connection is taken up of which mayRest says that it has
// rested for too long. The end of the context closes the connection.
func (k *PoolingCaller) Do(ctx context.Context, gateway string, call Request, choice ConnChoice, reusable func(since time.Time) bool) Response {
	request, err := call.httpRequest(ctx, gateway)
	if err != nil {
		return Response{Err: err}
	}
	conn := k.takeIdle(gateway, choice, reusable)
	if conn == nil {
		opened, err := k.dial(ctx, gateway)
		if err != nil {
			return Response{Err: errors.Mark(err, ErrNotConnected)}
		}
		conn = &idleConn{Conn: opened, reader: bufio.NewReader(opened)}
	}
	release := context.AfterFunc(ctx, func() { _ = conn.Close() })
	response, reuse := conn.exchange(request)
	switch {
	case !release():
		response.Err = errors.CombineErrors(ctx.Err(), response.Err)
	case reuse && response.Err == nil:
		k.putIdle(gateway, conn)
	default:
		_ = conn.Close()
	}
	return response
}

// exchange sends a request and reads its answer, and tells whether the connection may be used again.
func (c *idleConn) exchange(request *http.Request) (Response, bool) {
	if err := request.Write(c); err != nil {
		return Response{Err: err}, false
	}
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return Response{Err: err}, false
	}
	defer response.Body.Close()
	return readResponse(response), !response.Close
}

// take returns a connection that rests, or nil. Those that have rested for too long, or were closed by their gateway, are dropped.
func (k *PoolingCaller) takeIdle(gateway string, choice ConnChoice, reusable func(since time.Time) bool) *idleConn {
	if choice == ConnNew {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for len(k.idle[gateway]) > 0 {
		conns := k.idle[gateway]
		var conn *idleConn
		if choice == ConnLeastRecent {
			conn, k.idle[gateway] = conns[0], conns[1:]
		} else {
			conn, k.idle[gateway] = conns[len(conns)-1], conns[:len(conns)-1]
		}
		if reusable(conn.since) && conn.isOpen() {
			return conn
		}
		_ = conn.Close()
	}
	return nil
}

// put keeps a connection.
func (k *PoolingCaller) putIdle(gateway string, conn *idleConn) {
	conn.since = time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.idle[gateway] = append(k.idle[gateway], conn)
	if conns := k.idle[gateway]; len(conns) > maxIdleConns {
		_ = conns[0].Close()
		k.idle[gateway] = conns[1:]
	}
}

// Known returns the gateways to which connections rest.
func (k *PoolingCaller) IdleGateways() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var gateways []string
	for gateway, conns := range k.idle {
		if len(conns) > 0 {
			gateways = append(gateways, gateway)
		}
	}
	return gateways
}

// open tells whether nothing has arrived on a connection that rests, neither its end nor bytes.
func (c *idleConn) isOpen() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil || c.reader.Buffered() > 0 {
		return false
	}
	var receiveErr error
	err = raw.Read(func(descriptor uintptr) bool {
		_, _, receiveErr = syscall.Recvfrom(int(descriptor), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && errors.Is(receiveErr, syscall.EAGAIN)
}

// Close closes the connections that rest.
func (k *PoolingCaller) Close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for gateway, conns := range k.idle {
		for _, conn := range conns {
			_ = conn.Close()
		}
		delete(k.idle, gateway)
	}
}
