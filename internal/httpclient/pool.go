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
	restsSince  time.Time
	usableUntil time.Time
}

// readerBytes is the buffer of a connection; heads and events are small.
const readerBytes = 2048

// pool keeps connections that rest.
type pool struct {
	settings Settings
	dialer   *net.Dialer
	opened   atomic.Int64

	mutex sync.Mutex
	idle  map[string][]*connection
	// restLimits holds how long connections to a worker may rest, where the worker was seen to close one earlier than told.
	restLimits map[string]time.Duration
}

// newPool returns an empty pool.
func newPool(settings Settings) *pool {
	return &pool{
		settings: settings,
		dialer:   netdial.New(settings.ConnectTimeout, settings.UnansweredTimeout),
		idle:     map[string][]*connection{},

		restLimits: map[string]time.Duration{},
	}
}

// take returns a connection that rests, the one used last first, or opens one.
func (p *pool) take(ctx context.Context, address string) (*connection, error) {
	for {
		kept := p.pop(address)
		if kept == nil {
			return p.open(ctx, address)
		}
		now := time.Now()
		if now.After(kept.usableUntil) {
			_ = kept.Close()
			continue
		}
		if quiet(kept.Conn) {
			return kept, nil
		}
		_ = kept.Close()
		p.learn(address, now.Sub(kept.restsSince))
	}
}

// restShare is the part of the time after which a worker closed a connection for which later ones rest.
const restShare = 0.7

// learn notes that a worker closed a connection that rested for so long. A request that is sent just as the worker closes
// can't be told from one that has run.
func (p *pool) learn(address string, rested time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	limit := time.Duration(restShare * float64(rested))
	if known, found := p.restLimits[address]; !found || limit < known {
		p.restLimits[address] = limit
	}
}

// pop takes the connection that was used last, or nil.
func (p *pool) pop(address string) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	kept := p.idle[address]
	if len(kept) == 0 {
		return nil
	}
	last := kept[len(kept)-1]
	p.idle[address] = kept[:len(kept)-1]
	return last
}

// open dials a worker.
func (p *pool) open(ctx context.Context, address string) (*connection, error) {
	opened, err := p.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "open a connection")
	}
	p.opened.Add(1)
	return &connection{Conn: opened, address: address, reader: bufio.NewReaderSize(opened, readerBytes)}, nil
}

// put keeps a connection for so long.
func (p *pool) put(kept *connection, rest time.Duration) {
	if rest <= 0 || kept.reader.Buffered() > 0 {
		_ = kept.Close()
		return
	}
	now := time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if limit, found := p.restLimits[kept.address]; found {
		rest = min(rest, limit)
	}
	kept.restsSince, kept.usableUntil = now, now.Add(rest)
	// Connections that rested too long are closed here: the oldest stand first.
	resting := p.idle[kept.address]
	for len(resting) > 0 && (len(resting) >= p.settings.MaxIdlePerAddress || now.After(resting[0].usableUntil)) {
		_ = resting[0].Close()
		resting = resting[1:]
	}
	p.idle[kept.address] = append(resting, kept)
}

// drop closes the connections to an address that rest since before a moment.
func (p *pool) drop(address string, before time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var kept []*connection
	for _, each := range p.idle[address] {
		if each.restsSince.Before(before) {
			_ = each.Close()
		} else {
			kept = append(kept, each)
		}
	}
	p.idle[address] = kept
}

// forget closes the connections to an address that rest.
func (p *pool) forget(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, each := range p.idle[address] {
		_ = each.Close()
	}
	delete(p.idle, address)
	delete(p.restLimits, address)
}

// quiet tells whether nothing has arrived on a connection that rests: neither its end nor bytes that belong to no request.
func quiet(resting net.Conn) bool {
	raw, err := resting.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	nothing := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, receiveErr := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		nothing = errors.Is(receiveErr, syscall.EAGAIN)
		return true
	})
	return err == nil && nothing
}
