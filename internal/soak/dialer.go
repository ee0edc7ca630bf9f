package soak

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// front opens the connections of callers, which may go silent for good.
type callerDialer struct {
	mu    sync.Mutex
	conns map[*callerConn]string
}

// newFront returns a front without connections.
func newCallerDialer() *callerDialer { return &callerDialer{conns: map[*callerConn]string{}} }

// dial opens a connection to a gateway.
func (f *callerDialer) dial(ctx context.Context, gateway string) (net.Conn, error) {
	opened, err := new(net.Dialer).DialContext(ctx, "tcp4", gateway)
	if err != nil {
		return nil, err
	}
	conn := &callerConn{TCPConn: opened.(*net.TCPConn), dialer: f, silenced: make(chan struct{}), closed: make(chan struct{})}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns[conn] = gateway
	return conn, nil
}

// silence makes the connections to a gateway go silent for good: neither side hears the other one, nor its end.
func (f *callerDialer) silence(gateway string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for conn, to := range f.conns {
		if to == gateway {
			conn.silence()
		}
	}
}

// heal has callers drop connections that have gone silent. The gateways are told nothing.
func (f *callerDialer) dropSilent() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for conn := range f.conns {
		if conn.isSilent() {
			conn.closeOnce.Do(func() { close(conn.closed) })
		}
	}
}

// close ends the connections that are left.
func (f *callerDialer) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for conn := range f.conns {
		_ = conn.TCPConn.Close()
	}
}

// forget forgets a connection that has ended for both sides.
func (f *callerDialer) remove(conn *callerConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.conns, conn)
}

// frontConn is a connection of a caller.
type callerConn struct {
	*net.TCPConn
	dialer *callerDialer
	// lost is closed once it is silent, and closed once its caller has closed it.
	silenced, closed chan struct{}
	silenceOnce      sync.Once
	closeOnce        sync.Once
}

// silence makes everything lost from now on.
func (c *callerConn) silence() {
	c.silenceOnce.Do(func() {
		close(c.silenced)
		// Whoever reads notices it now.
		_ = c.TCPConn.SetReadDeadline(time.Now())
	})
}

// isSilent tells whether everything is lost.
func (c *callerConn) isSilent() bool {
	select {
	case <-c.silenced:
		return true
	default:
		return false
	}
}

// errClosed is the error of a connection that its caller has closed.
var errClosedByCaller = errors.New("closed by its caller")

// Read is part of net.Conn.
func (c *callerConn) Read(buffer []byte) (int, error) {
	n, err := c.TCPConn.Read(buffer)
	if !c.isSilent() {
		return n, err
	}
	<-c.closed
	return 0, errClosedByCaller
}

// Write is part of net.Conn.
func (c *callerConn) Write(data []byte) (int, error) {
	if c.isSilent() {
		return len(data), nil
	}
	return c.TCPConn.Write(data)
}

// Close is part of net.Conn. The gateway does not hear of the end of a silent one.
func (c *callerConn) Close() error {
	// Also one that goes silent just now ends for its caller.
	c.closeOnce.Do(func() { close(c.closed) })
	if c.isSilent() {
		return nil
	}
	c.dialer.remove(c)
	return c.TCPConn.Close()
}

// SyscallConn is part of syscall.Conn. Callers find a silent connection closed once it has healed.
func (c *callerConn) SyscallConn() (syscall.RawConn, error) {
	select {
	case <-c.closed:
		return nil, errClosedByCaller
	default:
		return c.TCPConn.SyscallConn()
	}
}
