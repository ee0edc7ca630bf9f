package httpclient

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/granitebay/granitebay/internal/completeness"
	"github.com/granitebay/granitebay/internal/ctxsleep"
)

// Look looks whether the process at an address still runs after one of its connections has ended. It lives if a new connection stays open for the
// settle time. That one takes the place of the one that has ended, so it is kept for the next request. Connections that were open before show less,
// as an exiting process closes its listener before most of them; they count if the process accepts connections and closes them, as a full one does.
func (c *Client) Look(ctx context.Context, address string, settle time.Duration) completeness.Worker {
	conn, err := c.pool.open(ctx, address, false)
	if err != nil {
		return refusalOf(err)
	}
	ctxsleep.Sleep(ctx, settle)
	if isOpen(conn.Conn) {
		c.pool.put(conn, c.settings.IdleTimeout)
		if ctx.Err() != nil {
			return completeness.WorkerUnseen
		}
		return completeness.WorkerAlive
	}
	_ = conn.Close()
	if c.pool.stayOpen(ctx, address, settle) {
		return completeness.WorkerAlive
	}
	return completeness.WorkerCloses
}

// refusalOf returns what the failure to open a connection shows of the process at its address.
func refusalOf(err error) completeness.Worker {
	var unconfirmed interface{ RefusedHere() bool }
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return completeness.WorkerRefuses
	case errors.As(err, &unconfirmed) && unconfirmed.RefusedHere():
		return completeness.WorkerRefusesHere
	default:
		return completeness.WorkerUnseen
	}
}

// isOpen reports whether a connection has not been ended by its peer. Unlike idleStateOf it may be called while another goroutine reads.
func isOpen(conn net.Conn) bool {
	descriptor, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := descriptor.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(descriptor uintptr) {
		fds := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
		_, err := unix.Poll(fds, 0)
		open = err == nil && fds[0].Revents == 0
	})
	return open && err == nil
}

// stayOpen reports whether there are connections to an address, and all of them stay open for a time. One that has ended may be the first of those
// that an exiting process closes.
func (p *pool) stayOpen(ctx context.Context, address string, duration time.Duration) bool {
	if !p.areOpen(address) {
		return false
	}
	ctxsleep.Sleep(ctx, duration)
	return ctx.Err() == nil && p.areOpen(address)
}

// areOpen reports whether there are connections to an address whose paths work, and all of them are open.
func (p *pool) areOpen(address string) bool {
	now, found := time.Now(), false
	for _, conn := range p.connections.to(address) {
		if !p.dialer.Usable(conn.Conn, address, now) {
			continue
		}
		if !isOpen(conn.Conn) {
			return false
		}
		found = true
	}
	return found
}

// openConnections are the connections of a pool that it has not closed, by address. It is safe for concurrent use.
type openConnections struct {
	mu        sync.Mutex
	byAddress map[string]map[*connection]bool
}

// add adds a connection.
func (o *openConnections) add(conn *connection) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byAddress == nil {
		o.byAddress = map[string]map[*connection]bool{}
	}
	if o.byAddress[conn.address] == nil {
		o.byAddress[conn.address] = map[*connection]bool{}
	}
	o.byAddress[conn.address][conn] = true
}

// remove removes a connection, if it has not been removed.
func (o *openConnections) remove(conn *connection) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.byAddress[conn.address], conn)
	if len(o.byAddress[conn.address]) == 0 {
		delete(o.byAddress, conn.address)
	}
}

// to returns the connections to an address.
func (o *openConnections) to(address string) []*connection {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Collect(maps.Keys(o.byAddress[address]))
}
