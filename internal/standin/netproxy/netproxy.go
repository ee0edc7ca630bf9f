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
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]bool
	pairs map[*connPair]bool
}

// connPair is a proxied connection: the client side and the server side.
type connPair struct {
	client, server net.Conn
	// blackholed is set once all traffic is dropped, including the end of the connection.
	blackholed atomic.Bool
}

// New starts a proxy to a target, given as host:port.
func New(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrapf(err, "start a proxy to %s", target)
	}
	p := &Proxy{listener: listener, target: target, mode: ModePass, conns: map[net.Conn]bool{}, pairs: map[*connPair]bool{}}
	go p.accept()
	return p, nil
}

// Address returns the host:port on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the mode. ModeReset also resets the open connections.
func (p *Proxy) Set(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	if mode == ModeReset {
		for conn := range p.conns {
			reset(conn)
		}
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
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		_ = conn.Close()
	}
	for pair := range p.pairs {
		_ = pair.server.Close()
	}
}

// accept accepts connections until the proxy is closed.
func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
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
		case mode == ModeSilent || (mode == ModeOneWay && toClient):
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
