// Package netproxy passes TCP connections on and makes their way misbehave: it holds bytes up, resets connections, or loses everything
// that comes on those that are there.
package netproxy

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Mode is what a proxy does to the bytes that pass through it.
type Mode string

// The modes of a proxy.
const (
	ModePass Mode = "passes"
	// ModeSilent holds all bytes of both directions up.
	ModeSilent Mode = "silent"
	// ModeOneWay holds up what comes back.
	ModeOneWay Mode = "cut one way"
	// ModeReset resets connections, also new ones.
	ModeReset Mode = "reset"
	// ModeSlow delays all bytes.
	ModeSlow Mode = "slow"
)

const (
	// SlowDelay is the delay of ModeSlow for each piece of bytes.
	SlowDelay = 150 * time.Millisecond
	// holdPoll is how often bytes that are held up look whether they may go on.
	blockedPollInterval = 20 * time.Millisecond
	bufferSize          = 16 << 10
)

// Proxy passes TCP connections on to a target, on loopback.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]bool
	// flows are the connections that pass.
	pairs map[*connPair]bool
}

// flow is one connection that passes, from its near to its far end.
type connPair struct {
	client, server net.Conn
	// silent is set once everything that comes on it is lost, its end too, for good.
	blackholed atomic.Bool
}

// New starts a proxy to a target, host:port.
func New(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrapf(err, "step start a proxy, peer %s", target)
	}
	p := &Proxy{listener: listener, target: target, mode: ModePass, conns: map[net.Conn]bool{}, pairs: map[*connPair]bool{}}
	go p.accept()
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the mode. Connections that are there are reset by ModeReset.
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

// Silence makes the connections that are there go silent for good, in both directions. New ones pass.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pair := range p.pairs {
		pair.blackholed.Store(true)
	}
}

// current returns the mode.
func (p *Proxy) currentMode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// Close ends the proxy and its connections.
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

// accept takes connections until the proxy is closed.
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

// serve passes one connection on.
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
		// The end of one side is lost too: the other one has to find out by itself.
		<-done
	}
}

// hold notes or forgets a connection.
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

// copy passes the bytes of one direction on.
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

// delay waits as the mode wants it.
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

// reset closes a connection without a farewell.
func reset(conn net.Conn) {
	if tcp, isTCP := conn.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
