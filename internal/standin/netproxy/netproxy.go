// Package netproxy provides a TCP proxy that injects network faults: delays, blocked traffic, connection resets and silent loss.
package netproxy

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Mode selects the fault that a proxy injects.
type Mode string

// The modes of a proxy.
const (
	ModePass Mode = "passes"
	// ModeSilent blocks traffic in both directions.
	ModeSilent Mode = "silent"
	// ModeOneWay blocks traffic from the server to the client.
	ModeOneWay Mode = "cut one way"
	// ModeReset resets open connections and rejects new ones with a reset.
	ModeReset Mode = "reset"
	// ModeRefuse refuses new connections. Open ones live on.
	ModeRefuse Mode = "refuses new connections"
	// ModeCut resets open connections and refuses new ones.
	ModeCut Mode = "cut with resets"
	// ModeHang blocks open connections and does not answer attempts to open new ones.
	ModeHang Mode = "cut silently"
	// ModeSlow delays each read by SlowDelay.
	ModeSlow Mode = "slow"
)

const (
	// SlowDelay is the delay that ModeSlow adds to each read.
	SlowDelay = 150 * time.Millisecond
	// blockedPollInterval is how often blocked connections check whether the mode has changed.
	blockedPollInterval = 20 * time.Millisecond
	bufferSize          = 16 << 10
)

// Proxy forwards TCP connections from a loopback address to a target.
type Proxy struct {
	address string
	target  string
	port    *reservedPort

	mu   sync.Mutex
	mode Mode
	// listener is nil while new connections are refused or hang. unanswered holds the port while they hang; otherwise it is nil.
	listener   net.Listener
	unanswered *fullListener
	closed     bool
	conns      map[net.Conn]bool
	pairs      map[*connPair]bool
}

// connPair is a proxied connection: the client side and the server side.
type connPair struct {
	client, server net.Conn
	// blackholed is set once all traffic is dropped, including the end of the connection.
	blackholed atomic.Bool
}

// New starts a proxy to a target, given as host:port.
func New(target string) (*Proxy, error) { return NewAt("127.0.0.1", target) }

// NewAt starts a proxy to a target, given as host:port, that listens at an IPv4 address.
func NewAt(host, target string) (*Proxy, error) {
	port, err := reservePort(host)
	if err != nil {
		return nil, errors.Wrapf(err, "start a proxy to %s", target)
	}
	listener, err := port.listen()
	if err != nil {
		port.free()
		return nil, errors.Wrapf(err, "start a proxy to %s", target)
	}
	p := &Proxy{
		address: port.address(), port: port, listener: listener, target: target, mode: ModePass, conns: map[net.Conn]bool{}, pairs: map[*connPair]bool{},
	}
	go p.accept(listener)
	return p, nil
}

// Address returns the host:port on which the proxy listens.
func (p *Proxy) Address() string { return p.address }

// Set changes the mode. ModeReset and ModeCut also reset the open connections.
func (p *Proxy) Set(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || mode == p.mode {
		return
	}
	p.mode = mode
	p.listenAs(mode)
	if mode == ModeReset || mode == ModeCut {
		for conn := range p.conns {
			reset(conn)
		}
	}
}

// listenAs accepts new connections, refuses them, or leaves them unanswered. The mutex is held.
func (p *Proxy) listenAs(mode Mode) {
	if p.unanswered != nil {
		p.unanswered.close()
		p.unanswered = nil
	}
	accepts := mode != ModeRefuse && mode != ModeCut && mode != ModeHang
	switch {
	case accepts && p.listener == nil:
		listener, err := p.port.listen()
		if err != nil {
			panic(err)
		}
		p.listener = listener
		go p.accept(listener)
	case !accepts && p.listener != nil:
		_ = p.listener.Close()
		p.listener = nil
	}
	if mode == ModeHang {
		unanswered, err := newFullListener(p.port)
		if err != nil {
			panic(err)
		}
		p.unanswered = unanswered
	}
}

// Silence drops all further traffic on the open connections, in both directions. New connections are not affected.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pair := range p.pairs {
		pair.blackholed.Store(true)
	}
}

// currentMode returns the mode.
func (p *Proxy) currentMode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// Close closes the listener and all connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.port.free()
	if p.listener != nil {
		_ = p.listener.Close()
	}
	if p.unanswered != nil {
		p.unanswered.close()
	}
	for conn := range p.conns {
		_ = conn.Close()
	}
	for pair := range p.pairs {
		_ = pair.server.Close()
	}
}

// accept accepts connections until the listener is closed.
func (p *Proxy) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == ModeReset {
			reset(conn)
			continue
		}
		go p.serve(conn)
	}
}

// serve forwards one connection.
func (p *Proxy) serve(client net.Conn) {
	defer client.Close()
	server, err := net.Dial("tcp4", p.target)
	if err != nil {
		reset(client)
		return
	}
	defer server.Close()
	pair := &connPair{client: client, server: server}
	p.track(pair, true)
	defer p.track(pair, false)
	done := make(chan struct{}, 2)
	go p.copyDirection(pair, false, done)
	go p.copyDirection(pair, true, done)
	<-done
	if pair.blackholed.Load() {
		// The end of one side is dropped too: the other side has to detect it with a timeout.
		<-done
	}
}

// track adds or removes an open connection.
func (p *Proxy) track(pair *connPair, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[pair.client], p.pairs[pair] = true, true
	} else {
		delete(p.conns, pair.client)
		delete(p.pairs, pair)
	}
}

// copyDirection forwards the bytes of one direction.
func (p *Proxy) copyDirection(pair *connPair, toClient bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	src, dst := pair.client, pair.server
	if toClient {
		src, dst = dst, src
	}
	buffer := make([]byte, bufferSize)
	for {
		n, err := src.Read(buffer)
		p.applyDelay(toClient)
		if n > 0 && !pair.blackholed.Load() {
			if _, err := dst.Write(buffer[:n]); err != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) || err != nil {
			return
		}
	}
}

// applyDelay blocks or delays a read according to the mode.
func (p *Proxy) applyDelay(toClient bool) {
	for {
		switch mode := p.currentMode(); {
		case mode == ModeSilent || mode == ModeHang || (mode == ModeOneWay && toClient):
			time.Sleep(blockedPollInterval)
		case mode == ModeSlow:
			time.Sleep(SlowDelay)
			return
		default:
			return
		}
	}
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, isTCP := conn.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
