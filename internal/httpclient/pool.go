package httpclient

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// connection is a connection to a worker. It carries one request at a time.
type connection struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// openedAt is a time at which the worker had accepted the connection.
	openedAt   time.Time
	provenance provenance
	// idleSince is when the connection became idle, and idleDeadline until when it may be reused.
	idleSince    time.Time
	idleDeadline time.Time
	// open holds the connection until it is closed.
	open *openConnections
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.open.remove(c)
	return c.Conn.Close()
}

// readBufferSize is the read buffer of a connection. Headers and events are small.
const readBufferSize = 2048

// pool keeps idle connections.
type pool struct {
	settings Settings
	dialer   Dialer
	opened   atomic.Int64
	// connections are all that are open, with those that carry a request.
	connections openConnections

	mutex sync.Mutex
	idle  map[string][]*connection
	// idleLimits holds, by address, how long connections may be idle, where a worker closed one earlier than its
	// Keep-Alive header allowed.
	idleLimits map[string]time.Duration
	// isSweeping is set while sweep is scheduled.
	isSweeping bool
	// isolatedUntil holds, by address, until when each request gets a connection of its own.
	isolatedUntil map[string]time.Time
}

// newPool returns an empty pool.
func newPool(settings Settings, dialer Dialer) *pool {
	return &pool{settings: settings, dialer: dialer, idle: map[string][]*connection{}, idleLimits: map[string]time.Duration{}, isolatedUntil: map[string]time.Time{}}
}

// need is what a request needs of its connection.
type need struct {
	// key is that of the request.
	key string
	// directOnly excludes relayed connections, and unused those that have carried another request.
	directOnly, unused bool
}

// isMetBy reports whether a connection is what the request needs.
func (n need) isMetBy(conn *connection, dialer Dialer) bool {
	switch {
	case n.unused && !conn.provenance.isUnused():
		return false
	case n.directOnly && !dialer.IsDirect(conn.Conn):
		return false
	default:
		return conn.provenance.mayCarry(n.key)
	}
}

// take returns the usable idle connection that was used last and meets a need, or opens one.
func (p *pool) take(ctx context.Context, address string, needed need) (*connection, error) {
	for {
		conn := p.pop(address, needed)
		if conn == nil {
			return p.open(ctx, address, needed.directOnly)
		}
		now := time.Now()
		if now.After(conn.idleDeadline) || !p.dialer.Usable(conn.Conn, address, conn.idleSince) {
			_ = conn.Close()
			continue
		}
		switch idleStateOf(conn.Conn) {
		case idleOpen:
			return conn, nil
		case idleEnded:
			if p.dialer.IsDirect(conn.Conn) {
				p.learnIdleLimit(address, now.Sub(conn.idleSince))
			}
		}
		_ = conn.Close()
	}
}

// idleLimitFactor is applied to the idle time after which a worker closed a connection, to get the limit for later ones.
const idleLimitFactor = 0.7

// learnIdleLimit records that a worker closed a connection after an idle time. A request sent while the worker closes
// the connection can't be distinguished from one that was executed, so later connections are given up earlier.
func (p *pool) learnIdleLimit(address string, idle time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	limit := time.Duration(idleLimitFactor * float64(idle))
	if known, found := p.idleLimits[address]; !found || limit < known {
		p.idleLimits[address] = limit
	}
}

// pop removes and returns the connection that was used last and meets a need, or nil.
func (p *pool) pop(address string, needed need) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	idle := p.idle[address]
	for i := len(idle) - 1; i >= 0; i-- {
		if conn := idle[i]; needed.isMetBy(conn, p.dialer) {
			p.idle[address] = slices.Delete(idle, i, i+1)
			return conn
		}
	}
	return nil
}

// open dials a worker.
func (p *pool) open(ctx context.Context, address string, directOnly bool) (*connection, error) {
	conn, err := p.dialer.Dial(ctx, address, directOnly)
	if err != nil {
		return nil, errors.Wrap(err, "open connection")
	}
	p.opened.Add(1)
	return p.newConnection(conn, address), nil
}

// newConnection returns a connection that has not been used.
func (p *pool) newConnection(conn net.Conn, address string) *connection {
	opened := &connection{
		Conn: conn, address: address, reader: bufio.NewReaderSize(conn, readBufferSize), openedAt: time.Now(), open: &p.connections,
	}
	p.connections.add(opened)
	return opened
}

// put keeps a connection for reuse for at most idleTimeout.
func (p *pool) put(conn *connection, idleTimeout time.Duration) {
	now := time.Now()
	if idleTimeout <= 0 || conn.reader.Buffered() > 0 || conn.provenance.isSpent || !p.dialer.Usable(conn.Conn, conn.address, now) {
		_ = conn.Close()
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !conn.provenance.isUnused() && now.Before(p.isolatedUntil[conn.address]) {
		_ = conn.Close()
		return
	}
	if limit, found := p.idleLimits[conn.address]; found {
		idleTimeout = min(idleTimeout, limit)
	}
	conn.idleSince, conn.idleDeadline = now, now.Add(idleTimeout)
	// Close expired connections and those above the limit. The oldest come first.
	idle := p.idle[conn.address]
	for len(idle) > 0 && (len(idle) >= p.settings.MaxIdlePerAddress || now.After(idle[0].idleDeadline)) {
		_ = idle[0].Close()
		idle = idle[1:]
	}
	p.idle[conn.address] = append(idle, conn)
	p.scheduleSweep()
}

// sweepInterval is the time between two looks at the idle connections. A peer that sends bytes without end is read from no longer than that.
const sweepInterval = 2 * time.Second

// scheduleSweep schedules a sweep unless one is. mutex must be held.
func (p *pool) scheduleSweep() {
	if !p.isSweeping {
		p.isSweeping = true
		time.AfterFunc(sweepInterval, p.sweep)
	}
}

// sweep closes the idle connections whose time is over, and those that have received bytes, which belong to no request. Connections that the peer has
// closed are left to take, which learns from their age.
func (p *pool) sweep() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.isSweeping = false
	now := time.Now()
	for address, idle := range p.idle {
		kept := slices.DeleteFunc(idle, func(conn *connection) bool {
			if !now.After(conn.idleDeadline) && idleStateOf(conn.Conn) != idleReceived {
				return false
			}
			_ = conn.Close()
			return true
		})
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
		p.scheduleSweep()
	}
}

// isolationTime is how long each request to a peer gets a connection of its own after a refusal that named no request.
const isolationTime = time.Minute

// isolate gives each request to an address a connection of its own for isolationTime, so that a refusal without a name can belong to no other.
func (p *pool) isolate(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.isolatedUntil[address] = time.Now().Add(isolationTime)
	p.idle[address] = slices.DeleteFunc(p.idle[address], func(conn *connection) bool {
		if conn.provenance.isUnused() {
			return false
		}
		_ = conn.Close()
		return true
	})
}

// putBack keeps a connection that was taken and not used.
func (p *pool) putBack(conn *connection) {
	if conn.idleSince.IsZero() {
		p.put(conn, p.settings.IdleTimeout)
		return
	}
	// It stays as old as it was, as the worker sees it.
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.idle[conn.address] = append(p.idle[conn.address], conn)
}

// hasIdle reports whether there is an idle connection to an address.
func (p *pool) hasIdle(address string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.idle[address]) > 0
}

// closeIdleBefore closes the connections to an address that have been idle since before a time.
func (p *pool) closeIdleBefore(address string, before time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var kept []*connection
	for _, conn := range p.idle[address] {
		if conn.idleSince.Before(before) {
			_ = conn.Close()
		} else {
			kept = append(kept, conn)
		}
	}
	p.idle[address] = kept
}

// closeUnusable closes the idle relayed connections that may not be used again. The dialer is asked without the mutex, since it depends on parts
// of the gateway that may call the pool.
func (p *pool) closeUnusable() {
	for _, conn := range p.removeRelayed() {
		if !p.dialer.Usable(conn.Conn, conn.address, conn.idleSince) {
			_ = conn.Close()
			continue
		}
		p.putBack(conn)
	}
}

// removeRelayed removes and returns the idle relayed connections.
func (p *pool) removeRelayed() []*connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var relayed []*connection
	for address, idle := range p.idle {
		p.idle[address] = slices.DeleteFunc(idle, func(conn *connection) bool {
			if p.dialer.IsDirect(conn.Conn) {
				return false
			}
			relayed = append(relayed, conn)
			return true
		})
	}
	return relayed
}

// forget closes the idle connections to an address and forgets its idle limit.
func (p *pool) forget(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, conn := range p.idle[address] {
		_ = conn.Close()
	}
	delete(p.idle, address)
	delete(p.idleLimits, address)
	delete(p.isolatedUntil, address)
	p.dialer.Forget(address)
}

// idleState is the state of an idle connection.
type idleState int

const (
	// idleOpen connections are open and have no unread data. idleEnded ones were closed by the peer, or can't be read.
	idleOpen idleState = iota
	idleEnded
	// idleReceived connections have received bytes that nobody has asked for.
	idleReceived
)

// idleStateOf returns the state of an idle connection.
func idleStateOf(conn net.Conn) idleState {
	withDescriptor, ok := conn.(syscall.Conn)
	if !ok {
		return idleEnded
	}
	raw, err := withDescriptor.SyscallConn()
	if err != nil {
		return idleEnded
	}
	state := idleEnded
	err = raw.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		n, _, receiveErr := syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(receiveErr, syscall.EAGAIN):
			state = idleOpen
		case n > 0:
			state = idleReceived
		}
		return true
	})
	if err != nil {
		return idleEnded
	}
	return state
}
