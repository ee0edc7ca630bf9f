package httpclient

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/netdial"
)

// connection is one connection to a worker, used for one request at a time.
type connection struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// restsSince is when the connection began to rest, and usableUntil bounds how long it may.
	idleSince    time.Time
	idleDeadline time.Time
}

// readerBytes is the buffer of a connection; heads and events are small.
const readBufferSize = 2048

// pool keeps connections that rest.
type pool struct {
	settings Settings
	dialer   *net.Dialer
	opened   atomic.Int64

	mutex sync.Mutex
	idle  map[string][]*connection
	// restLimits holds how long connections to a worker may rest, where the worker was seen to close one earlier than told.
	idleLimits map[string]time.Duration
}

// newPool returns an empty pool.
func newPool(settings Settings) *pool {
	return &pool{
		settings: settings,
		dialer:   netdial.New(settings.ConnectTimeout, settings.UnansweredTimeout),
		idle:     map[string][]*connection{},

		idleLimits: map[string]time.Duration{},
	}
}

// take returns a connection that rests, the one used last first, or opens one.
func (p *pool) take(ctx context.Context, address string) (*connection, error) {
	for {
		conn := p.pop(address)
		if conn == nil {
			return p.open(ctx, address)
		}
		now := time.Now()
		if now.After(conn.idleDeadline) {
			_ = conn.Close()
			continue
		}
		if nothingReceived(conn.Conn) {
			return conn, nil
		}
		_ = conn.Close()
		p.learnIdleLimit(address, now.Sub(conn.idleSince))
	}
}

// restShare is the part of the time after which a worker closed a connection for which later ones rest.
const idleLimitFactor = 0.7

// learn notes that a worker closed a connection that rested for so long. A request that is sent just as the worker closes
// can't be told from one that has run.
func (p *pool) learnIdleLimit(address string, idle time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	limit := time.Duration(idleLimitFactor * float64(idle))
	if known, found := p.idleLimits[address]; !found || limit < known {
		p.idleLimits[address] = limit
	}
}

// pop takes the connection that was used last, or nil.
func (p *pool) pop(address string) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	idle := p.idle[address]
	if len(idle) == 0 {
		return nil
	}
	last := idle[len(idle)-1]
	p.idle[address] = idle[:len(idle)-1]
	return last
}

// open dials a worker.
func (p *pool) open(ctx context.Context, address string) (*connection, error) {
	conn, err := p.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "open a connection")
	}
	p.opened.Add(1)
	return &connection{Conn: conn, address: address, reader: bufio.NewReaderSize(conn, readBufferSize)}, nil
}

// put keeps a connection for so long.
func (p *pool) put(conn *connection, idleTimeout time.Duration) {
	if idleTimeout <= 0 || conn.reader.Buffered() > 0 {
		_ = conn.Close()
		return
	}
	now := time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if limit, found := p.idleLimits[conn.address]; found {
		idleTimeout = min(idleTimeout, limit)
	}
	conn.idleSince, conn.idleDeadline = now, now.Add(idleTimeout)
	// Connections that rested too long are closed here: the oldest stand first.
	idle := p.idle[conn.address]
	for len(idle) > 0 && (len(idle) >= p.settings.MaxIdlePerAddress || now.After(idle[0].idleDeadline)) {
		_ = idle[0].Close()
		idle = idle[1:]
	}
	p.idle[conn.address] = append(idle, conn)
}

// drop closes the connections to an address that rest since before a moment.
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

// forget closes the connections to an address that rest.
func (p *pool) forget(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, conn := range p.idle[address] {
		_ = conn.Close()
	}
	delete(p.idle, address)
	delete(p.idleLimits, address)
}

// quiet tells whether nothing has arrived on a connection that rests: neither its end nor bytes that belong to no request.
func nothingReceived(conn net.Conn) bool {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		_, _, receiveErr := syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(receiveErr, syscall.EAGAIN)
		return true
	})
	return err == nil && empty
}
