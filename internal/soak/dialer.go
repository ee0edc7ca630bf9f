package soak

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// callerDialer opens the clients' connections to gateways, which it can silence: they drop all further traffic.
type callerDialer struct {
	mu    sync.Mutex
	conns map[*callerConn]string
}

// newCallerDialer returns a dialer without connections.
func newCallerDialer() *callerDialer { return &callerDialer{conns: map[*callerConn]string{}} }

// dial opens a connection to a gateway.
func (d *callerDialer) dial(ctx context.Context, gateway string) (net.Conn, error) {
	opened, err := new(net.Dialer).DialContext(ctx, "tcp4", gateway)
	if err != nil {
		return nil, err
	}
	conn := &callerConn{TCPConn: opened.(*net.TCPConn), dialer: d, silenced: make(chan struct{}), closed: make(chan struct{})}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns[conn] = gateway
	return conn, nil
}

// silence drops all further traffic on the connections to a gateway. Neither side is notified, not even of a close.
func (d *callerDialer) silence(gateway string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for conn, to := range d.conns {
		if to == gateway {
			conn.silence()
		}
	}
}

// dropSilent makes clients see their silenced connections as closed. The gateways are not notified.
func (d *callerDialer) dropSilent() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for conn := range d.conns {
		if conn.isSilent() {
			conn.closeOnce.Do(func() { close(conn.closed) })
		}
	}
}

// close closes all remaining connections.
func (d *callerDialer) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for conn := range d.conns {
		_ = conn.TCPConn.Close()
	}
}

// remove removes a connection that is closed on both sides.
func (d *callerDialer) remove(conn *callerConn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.conns, conn)
}

// callerConn is a client connection.
type callerConn struct {
	*net.TCPConn
	dialer *callerDialer
	// silenced is closed once the connection is silenced, and closed once the client has closed it.
	silenced, closed chan struct{}
	silenceOnce      sync.Once
	closeOnce        sync.Once
}

// silence drops all further traffic.
func (c *callerConn) silence() {
	c.silenceOnce.Do(func() {
		close(c.silenced)
		// Unblock a pending read.
		_ = c.TCPConn.SetReadDeadline(time.Now())
	})
}

// isSilent reports whether the connection is silenced.
func (c *callerConn) isSilent() bool {
	select {
	case <-c.silenced:
		return true
	default:
		return false
	}
}

// errClosedByCaller is returned by reads of a silenced connection after its client has closed it.
var errClosedByCaller = errors.New("connection closed by the client")

// Read implements net.Conn.
func (c *callerConn) Read(buffer []byte) (int, error) {
	n, err := c.TCPConn.Read(buffer)
	if !c.isSilent() {
		return n, err
	}
	<-c.closed
	return 0, errClosedByCaller
}

// Write implements net.Conn.
func (c *callerConn) Write(data []byte) (int, error) {
	if c.isSilent() {
		return len(data), nil
	}
	return c.TCPConn.Write(data)
}

// Close implements net.Conn. The gateway is not notified if the connection is silenced.
func (c *callerConn) Close() error {
	// This also unblocks a reader if the connection is silenced at the same time.
	c.closeOnce.Do(func() { close(c.closed) })
	if c.isSilent() {
		return nil
	}
	c.dialer.remove(c)
	return c.TCPConn.Close()
}

// SyscallConn implements syscall.Conn. It returns an error for a silenced connection that was dropped.
func (c *callerConn) SyscallConn() (syscall.RawConn, error) {
	select {
	case <-c.closed:
		return nil, errClosedByCaller
	default:
		return c.TCPConn.SyscallConn()
	}
}

// CloseWrite closes the sending half. The gateway is not notified if the connection is silenced.
func (c *callerConn) CloseWrite() error {
	if c.isSilent() {
		return nil
	}
	return c.TCPConn.CloseWrite()
}
