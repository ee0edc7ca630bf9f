package relay

import (
	"cmp"
	"context"
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/rendezvous"
)

// Numbers of gateways that are asked for one connection.
const (
	maxAskedPeers = 4
	// minRefusals is the number of refusals after which no further gateway is asked: its path may be lost, too.
	minRefusals = 3
)

// dialRelay connects through another gateway. Each further gateway is asked when the one before fails, or does not answer soon. The error is
// the cause of ctx if that ends first.
func (d *Dialer) dialRelay(ctx context.Context, address string) (net.Conn, error) {
	worker, known := d.source().WorkerID(address)
	peers := d.rankedPeers(address)
	if !known || len(peers) == 0 {
		return nil, errNoPeers
	}
	// The attempts have a time of their own, so that a gateway is not taken for one that does not answer when the request ends.
	attemptCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), d.settings.ConnectTimeout)
	defer cancel()
	p := &poll{peers: peers, results: make(chan answer, len(peers)), ask: func(peer Peer) (net.Conn, error) { return d.askPeer(attemptCtx, peer, worker) }}
	patience := time.NewTicker(d.settings.hedgeDelay(false) / 2)
	defer patience.Stop()
	defer p.closeRest()
	for p.askNext(); p.pending > 0; {
		select {
		case result := <-p.results:
			if conn, done := p.add(result); done {
				return conn, p.verdict()
			}
			p.askNext()
		case <-patience.C:
			p.askNext()
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
	return nil, p.verdict()
}

// poll asks gateways for one connection, and collects their answers.
type poll struct {
	// peers are the gateways that have not been asked.
	peers   []Peer
	ask     func(peer Peer) (net.Conn, error)
	results chan answer
	// pending counts the gateways that have been asked and have not answered, and pendingLive those of them that are not silent.
	pending, pendingLive int
	// connected is set once a gateway connected. refused, silent, unsupported and other count the failures.
	connected                           bool
	refused, silent, unsupported, other int
}

// answer is the answer of a gateway.
type answer struct {
	dialed
	peer Peer
}

// askNext asks the next gateway, if there is one.
func (p *poll) askNext() {
	if len(p.peers) == 0 {
		return
	}
	peer := p.peers[0]
	p.peers = p.peers[1:]
	p.countPending(peer, 1)
	go func() {
		conn, err := p.ask(peer)
		p.results <- answer{dialed{conn, err}, peer}
	}()
}

// countPending counts a gateway that has been asked, or one less.
func (p *poll) countPending(peer Peer, change int) {
	p.pending += change
	if !peer.Silent {
		p.pendingLive += change
	}
}

// add records an answer. It reports whether no further one is needed: a gateway connected, enough are refused, or only silent ones are left
// although one could tell.
func (p *poll) add(result answer) (conn net.Conn, done bool) {
	p.countPending(result.peer, -1)
	if result.err == nil {
		p.connected = true
		return result.conn, true
	}
	p.count(result.err)
	return nil, p.refused >= minRefusals || (p.refused+p.silent > 0 && !p.awaitsLive())
}

// awaitsLive reports whether a gateway that is not silent has not answered. Silent ones are asked last.
func (p *poll) awaitsLive() bool {
	return p.pendingLive > 0 || (len(p.peers) > 0 && !p.peers[0].Silent)
}

// closeRest closes the connections of attempts that are still under way.
func (p *poll) closeRest() {
	if p.pending == 0 {
		return
	}
	go func(pending int) {
		for range pending {
			if late := <-p.results; late.err == nil {
				_ = late.conn.Close()
			}
		}
	}(p.pending)
}

// count counts a failure.
func (p *poll) count(err error) {
	switch {
	case errors.Is(err, errRefusedAtPeer):
		p.refused++
	case errors.Is(err, errSilentAtPeer):
		p.silent++
	case errors.Is(err, errUnsupported):
		p.unsupported++
	default:
		p.other++
	}
}

// verdict returns the error, which is nil if a gateway connected. Gateways that do not support relays count as if there were none.
func (p *poll) verdict() error {
	switch {
	case p.connected:
		return nil
	case p.refused > 0:
		return errRefusedAtPeer
	case p.silent > 0:
		return errSilentAtPeer
	case p.other > 0:
		return errUnreachableAtPeer
	default:
		return errNoPeers
	}
}

// askPeer asks a gateway for a connection to a worker.
func (d *Dialer) askPeer(ctx context.Context, peer Peer, worker string) (net.Conn, error) {
	conn, err := d.openRelayed(ctx, peer, worker)
	outcome := relayOutcome(err)
	if errors.Is(ctx.Err(), context.Canceled) {
		// Another gateway answered first, or the request has ended.
		return conn, err
	}
	d.observe(Event{Outcome: outcome})
	d.mu.Lock()
	defer d.mu.Unlock()
	switch outcome {
	case OutcomeConnected:
		delete(d.avoidedUntil, peer.Name)
	case OutcomeRefused, OutcomeSilent:
	default:
		d.avoidedUntil[peer.Name] = time.Now().Add(d.settings.checkInterval())
	}
	return conn, err
}

// openRelayed opens a connection to a gateway and asks it to relay.
func (d *Dialer) openRelayed(ctx context.Context, peer Peer, worker string) (net.Conn, error) {
	conn, err := d.direct.DialContext(ctx, "tcp4", peer.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "ask gateway %s for a relay", peer.Name)
	}
	deadline, _ := ctx.Deadline()
	relayed, err := upgrade(conn.(*net.TCPConn), peer, worker, deadline)
	if err != nil {
		return nil, err
	}
	return relayed, nil
}

// relayOutcome returns the outcome of an attempt through a relay.
func relayOutcome(err error) Outcome {
	switch {
	case err == nil:
		return OutcomeConnected
	case errors.Is(err, errRefusedAtPeer):
		return OutcomeRefused
	case errors.Is(err, errSilentAtPeer):
		return OutcomeSilent
	case errors.Is(err, errUnreachableAtPeer):
		return OutcomeUnreachable
	default:
		return OutcomeUnavailable
	}
}

// rankedPeers returns the gateways to ask for a connection to an address: those of the own zone first, and last those that failed recently and
// those that are silent. The order differs from address to address, so that all of them share the work.
func (d *Dialer) rankedPeers(address string) []Peer {
	peers := slices.Clone(d.source().Relays())
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	rank := func(peer Peer) int {
		switch {
		case peer.Silent:
			return 3
		case now.Before(d.avoidedUntil[peer.Name]):
			return 2
		case peer.Zone != d.settings.Zone:
			return 1
		default:
			return 0
		}
	}
	slices.SortFunc(peers, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(rendezvous.Hash(a.Name+" "+address), rendezvous.Hash(b.Name+" "+address)))
	})
	return peers[:min(len(peers), maxAskedPeers)]
}
