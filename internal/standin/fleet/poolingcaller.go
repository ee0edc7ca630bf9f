package fleet

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// PoolingCaller is a client that reuses idle connections until the gateway closes them. It sends each request once, on one
// connection, and never retries.
type PoolingCaller struct {
	dial func(ctx context.Context, gateway string) (net.Conn, error)

	mu   sync.Mutex
	idle map[string][]*idleConn
}

// idleConn is a pooled connection.
type idleConn struct {
	*CallerConn
	since time.Time
}

// NewPoolingCaller returns a client that opens connections with dial.
func NewPoolingCaller(dial func(ctx context.Context, gateway string) (net.Conn, error)) *PoolingCaller {
	return &PoolingCaller{dial: dial, idle: map[string][]*idleConn{}}
}

// maxIdleConns bounds the idle connections to one gateway.
const maxIdleConns = 48

// ErrNotConnected marks errors of requests that were not sent because no connection could be opened.
var ErrNotConnected = errors.New("no connection could be opened")

// ConnChoice selects the connection for a request.
type ConnChoice int

// The connection choices.
const (
	// ConnNew opens a new connection.
	ConnNew ConnChoice = iota
	// ConnMostRecent takes the connection that became idle last.
	ConnMostRecent
	// ConnLeastRecent takes the connection that has been idle longest and is still reusable.
	ConnLeastRecent
)

// Do sends a request on one connection and reads the whole response. Idle connections that reusable rejects are closed. The
// connection is closed if the context ends.
func (c *PoolingCaller) Do(ctx context.Context, gateway string, call Request, choice ConnChoice, reusable func(since time.Time) bool) Response {
	conn := c.takeIdle(gateway, choice, reusable)
	if conn == nil {
		opened, err := OpenCallerConn(ctx, gateway, c.dial)
		if err != nil {
			return Response{Err: err}
		}
		conn = &idleConn{CallerConn: opened}
	}
	response, reuse := conn.Do(ctx, call, NoHalfClose)
	if reuse {
		c.putIdle(gateway, conn)
	} else {
		_ = conn.Close()
	}
	return response
}

// takeIdle returns an idle connection, or nil. It closes connections that are not reusable or were closed by the gateway.
func (c *PoolingCaller) takeIdle(gateway string, choice ConnChoice, reusable func(since time.Time) bool) *idleConn {
	if choice == ConnNew {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle[gateway]) > 0 {
		conns := c.idle[gateway]
		var conn *idleConn
		if choice == ConnLeastRecent {
			conn, c.idle[gateway] = conns[0], conns[1:]
		} else {
			conn, c.idle[gateway] = conns[len(conns)-1], conns[:len(conns)-1]
		}
		if reusable(conn.since) && conn.isOpen() {
			return conn
		}
		_ = conn.Close()
	}
	return nil
}

// putIdle returns a connection to the pool and closes the oldest one beyond the limit.
func (c *PoolingCaller) putIdle(gateway string, conn *idleConn) {
	conn.since = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[gateway] = append(c.idle[gateway], conn)
	if conns := c.idle[gateway]; len(conns) > maxIdleConns {
		_ = conns[0].Close()
		c.idle[gateway] = conns[1:]
	}
}

// IdleGateways returns the gateways with idle connections.
func (c *PoolingCaller) IdleGateways() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var gateways []string
	for gateway, conns := range c.idle {
		if len(conns) > 0 {
			gateways = append(gateways, gateway)
		}
	}
	return gateways
}

// isOpen reports whether an idle connection has received neither data nor an end of stream.
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

// Close closes all idle connections.
func (c *PoolingCaller) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for gateway, conns := range c.idle {
		for _, conn := range conns {
			_ = conn.Close()
		}
		delete(c.idle, gateway)
	}
}
