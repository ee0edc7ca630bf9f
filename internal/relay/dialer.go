package relay

import (
	"cmp"
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/netdial"
	"github.com/granitebay/granitebay/internal/rendezvous"
)

// Outcome is the outcome of an attempt to relay a connection.
type Outcome string

// The outcomes.
const (
	OutcomeConnected   Outcome = "connected"
	OutcomeRefused     Outcome = "refused"
	OutcomeSilent      Outcome = "silent"
	OutcomeUnreachable Outcome = "unreachable"
	OutcomeNoRoom      Outcome = "no room"
	OutcomeUnknown     Outcome = "unknown worker"
	// OutcomeUnavailable means that the other gateway did not answer, or does not relay.
	OutcomeUnavailable Outcome = "unavailable"
)

// Event reports an attempt to relay a connection, for another gateway if Served is set, or a changed path.
type Event struct {
	Served  bool
	Outcome Outcome
	// Path is set if the direct path to the worker at Address was lost or restored; Outcome is then empty. LostPaths is the number of lost
	// paths after that, and Peer the gateway that reaches the worker.
	Path      PathChange
	Address   string
	Peer      string
	LostPaths int
}

// PathChange is a change of a path.
type PathChange string

// The changes.
const (
	PathLost     PathChange = "lost"
	PathRestored PathChange = "restored"
)

// Dialer opens connections to workers, directly or through another gateway. It is safe for concurrent use.
type Dialer struct {
	settings Settings
	direct   *net.Dialer

	mu sync.Mutex
	// known is nil until SetSource, and onEvent may be nil.
	known   Source
	onEvent func(Event)
	paths   *Paths
	// refusedUntil holds, by address, until when a refused connection counts as confirmed by another gateway, and unknownUntil until when no
	// other gateway is asked because none could tell.
	refusedUntil, unknownUntil map[string]time.Time
	// hungAt is when a direct attempt at an address last got no answer, without a later success.
	hungAt map[string]time.Time
	// avoidedUntil holds, by name, until when gateways that did not connect are asked last.
	avoidedUntil map[string]time.Time
	// checkedAt is when the path to an address was last checked because of a failed request, and sweptAt when all paths were.
	checkedAt map[string]time.Time
	sweptAt   time.Time
	// keep takes direct connections that a check has opened; nil closes them.
	keep func(conn net.Conn, address string)
}

// NewDialer returns a dialer that only connects directly until SetSource is called.
func NewDialer(settings Settings) *Dialer {
	return &Dialer{
		settings: settings, direct: netdial.New(settings.ConnectTimeout, settings.UnacknowledgedTimeout), paths: NewPaths(settings),
		refusedUntil: map[string]time.Time{}, unknownUntil: map[string]time.Time{}, hungAt: map[string]time.Time{},
		avoidedUntil: map[string]time.Time{}, checkedAt: map[string]time.Time{},
	}
}

// SetSource sets what the gateway knows, and a callback for events, which must not block.
func (d *Dialer) SetSource(source Source, onEvent func(Event)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.known, d.onEvent = source, onEvent
}

// OnChecked sets a callback that takes the direct connections opened by checks.
func (d *Dialer) OnChecked(keep func(conn net.Conn, address string)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.keep = keep
}

// source returns the source, or nil.
func (d *Dialer) source() Source {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.known
}

// Enabled reports whether relays are used.
func (d *Dialer) Enabled() bool { return d.settings.Bound > 0 && d.source() != nil }

// observe reports an event.
func (d *Dialer) observe(event Event) {
	d.mu.Lock()
	onEvent := d.onEvent
	d.mu.Unlock()
	if onEvent != nil {
		onEvent(event)
	}
}

// Dial opens a connection to the worker at an address. If directOnly is set, it does not use a relay. A refused connection is returned as
// such only if another gateway is refused as well, or if there is no other gateway; otherwise the error is an UnconfirmedError.
func (d *Dialer) Dial(ctx context.Context, address string, directOnly bool) (net.Conn, error) {
	if directOnly || !d.Enabled() {
		return d.dialDirect(ctx, address, d.settings.ConnectTimeout)
	}
	if d.IsLost(address) {
		d.checkIfDue(address)
		conn, err := d.dialRelay(ctx, address)
		if err == nil {
			return conn, nil
		}
		if errors.Is(err, errRefusedAtPeer) {
			return nil, syscall.ECONNREFUSED
		}
	}
	return d.dialBoth(ctx, address)
}

// dialDirect connects without a relay and records the result.
func (d *Dialer) dialDirect(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := d.direct.DialContext(ctx, "tcp4", address)
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return conn, err
	}
	d.mu.Lock()
	now := time.Now()
	restored := false
	if err == nil {
		delete(d.hungAt, address)
		restored = d.paths.Restored(now, address)
	} else if !errors.Is(err, syscall.ECONNREFUSED) {
		d.hungAt[address] = now
	}
	lost := d.paths.Count()
	d.mu.Unlock()
	if restored {
		d.observe(Event{Path: PathRestored, Address: address, LostPaths: lost})
	}
	return conn, err
}

// dialed is the result of an attempt to connect.
type dialed struct {
	conn net.Conn
	err  error
}

// dialBoth connects directly, and through a relay if that fails or takes long.
func (d *Dialer) dialBoth(ctx context.Context, address string) (net.Conn, error) {
	directResult := make(chan dialed, 1)
	// The direct attempt goes on after a relay has connected, because its end tells whether the path is lost.
	directCtx := context.WithoutCancel(ctx)
	go func() {
		conn, err := d.dialDirect(directCtx, address, d.settings.ConnectTimeout)
		directResult <- dialed{conn, err}
	}()
	hedge := time.NewTimer(d.currentHedgeDelay())
	defer hedge.Stop()
	select {
	case result := <-directResult:
		if result.err == nil {
			return result.conn, nil
		}
		return d.confirm(ctx, address, result.err)
	case <-hedge.C:
	case <-ctx.Done():
		go d.discard(directResult, address)
		return nil, context.Cause(ctx)
	}
	if d.isBefore(d.unknownUntil, address) {
		result := <-directResult
		return result.conn, result.err
	}
	relayResult := make(chan dialed, 1)
	relayCtx, cancelRelay := context.WithCancel(ctx)
	defer cancelRelay()
	go func() {
		conn, err := d.dialRelay(relayCtx, address)
		relayResult <- dialed{conn, err}
	}()
	select {
	case result := <-directResult:
		if result.err == nil {
			go closeResult(relayResult)
			return result.conn, nil
		}
		relayed := <-relayResult
		return d.judge(address, result.err, relayed)
	case relayed := <-relayResult:
		if relayed.err == nil {
			go d.judgeLate(address, directResult, relayed.conn.(*Conn).Peer().Name)
			return relayed.conn, nil
		}
		select {
		case result := <-directResult:
			if result.err == nil {
				return result.conn, nil
			}
			return d.judge(address, result.err, relayed)
		case <-ctx.Done():
			go d.discard(directResult, address)
			return nil, context.Cause(ctx)
		}
	}
}

// currentHedgeDelay returns the time after which a relay is tried too.
func (d *Dialer) currentHedgeDelay() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.settings.hedgeDelay(d.paths.AnySilent())
}

// closeResult closes the connection of an attempt that is no longer needed.
func closeResult(result <-chan dialed) {
	if late := <-result; late.err == nil {
		_ = late.conn.Close()
	}
}

// discard passes the connection of a direct attempt that is no longer needed on for later use.
func (d *Dialer) discard(result <-chan dialed, address string) {
	if late := <-result; late.err == nil {
		d.keepConn(late.conn, address)
	}
}

// judgeLate records the path as lost if a direct attempt fails after a relay has connected.
func (d *Dialer) judgeLate(address string, result <-chan dialed, peer string) {
	late := <-result
	if late.err == nil {
		d.keepConn(late.conn, address)
		return
	}
	d.recordLost(address, late.err, peer)
}

// keepConn keeps a direct connection for later use.
func (d *Dialer) keepConn(conn net.Conn, address string) {
	d.mu.Lock()
	keep := d.keep
	d.mu.Unlock()
	if keep == nil {
		_ = conn.Close()
		return
	}
	keep(conn, address)
}

// confirm asks other gateways about a worker after a direct attempt failed, and returns a relayed connection if one reaches it.
func (d *Dialer) confirm(ctx context.Context, address string, cause error) (net.Conn, error) {
	switch {
	case d.isBefore(d.refusedUntil, address) && errors.Is(cause, syscall.ECONNREFUSED):
		return nil, cause
	case d.isBefore(d.unknownUntil, address):
		return nil, &UnconfirmedError{Address: address, Cause: cause}
	}
	conn, err := d.dialRelay(ctx, address)
	return d.judge(address, cause, dialed{conn, err})
}

// judge combines the failure of a direct attempt with the result of a relay.
func (d *Dialer) judge(address string, cause error, relayed dialed) (net.Conn, error) {
	now := time.Now()
	switch {
	case relayed.err == nil:
		d.recordLost(address, cause, relayed.conn.(*Conn).Peer().Name)
		return relayed.conn, nil
	case errors.Is(relayed.err, errNoPeers):
		return nil, cause
	case errors.Is(relayed.err, errRefusedAtPeer):
		d.remember(d.refusedUntil, address, now.Add(d.settings.checkInterval()))
		return nil, errors.Wrap(syscall.ECONNREFUSED, "other gateways are refused, too")
	default:
		d.remember(d.unknownUntil, address, now.Add(d.settings.checkInterval()))
		return nil, &UnconfirmedError{Address: address, Cause: cause}
	}
}

// isBefore reports whether the time of an address in one of the maps of the dialer has not come yet.
func (d *Dialer) isBefore(times map[string]time.Time, address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Now().Before(times[address])
}

// remember sets the time of an address in one of the maps of the dialer.
func (d *Dialer) remember(times map[string]time.Time, address string, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	times[address] = until
}

// recordLost records that the path to an address is lost, since a peer reaches the worker.
func (d *Dialer) recordLost(address string, cause error, peer string) {
	silent := !errors.Is(cause, syscall.ECONNREFUSED)
	d.mu.Lock()
	now := time.Now()
	isNew := d.paths.Lost(now, address, silent)
	lost := d.paths.Count()
	sweep := isNew && lost >= minLostToSweep && now.Sub(d.sweptAt) >= d.settings.Bound
	if sweep {
		d.sweptAt = now
	}
	d.mu.Unlock()
	if isNew {
		d.observe(Event{Path: PathLost, Address: address, Peer: peer, LostPaths: lost})
	}
	if sweep {
		go d.sweep()
	}
}

// IsLost reports whether the direct path to an address is lost.
func (d *Dialer) IsLost(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.paths.IsLost(address)
}

// LostPaths returns the number of lost direct paths.
func (d *Dialer) LostPaths() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.paths.Count()
}

// Forget drops what is known about an address that no worker uses any more.
func (d *Dialer) Forget(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.paths.Forget(address)
	for _, times := range []map[string]time.Time{d.refusedUntil, d.unknownUntil, d.hungAt, d.checkedAt} {
		delete(times, address)
	}
}

// IsDirect reports whether no other gateway relays a connection.
func (d *Dialer) IsDirect(conn net.Conn) bool {
	_, isRelayed := conn.(*Conn)
	return !isRelayed
}

// Usable reports whether an idle connection to an address that was last used at a time may be used again. A relayed one is used only while
// the direct path is lost and the relaying gateway serves, a direct one only while the path works.
func (d *Dialer) Usable(conn net.Conn, address string, lastUsed time.Time) bool {
	if !d.Enabled() {
		return true
	}
	d.checkIfDue(address)
	relayed, isRelayed := conn.(*Conn)
	if !isRelayed {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.paths.Trusts(address, lastUsed)
	}
	return d.IsLost(address) && slices.ContainsFunc(d.source().Relays(), func(peer Peer) bool { return peer.Name == relayed.peer.Name })
}

// Numbers of gateways that are asked for one connection.
const (
	maxAskedPeers = 4
	// minRefusals is the number of refusals after which no further gateway is asked: its path may be lost, too.
	minRefusals = 3
)

// dialRelay connects through another gateway. Each further gateway is asked when the one before fails, or does not answer soon.
func (d *Dialer) dialRelay(ctx context.Context, address string) (net.Conn, error) {
	worker, known := d.source().WorkerID(address)
	peers := d.rankedPeers(address)
	if !known || len(peers) == 0 {
		return nil, errNoPeers
	}
	ctx, cancel := context.WithTimeout(ctx, d.settings.ConnectTimeout)
	defer cancel()
	poll := &poll{results: make(chan dialed, len(peers))}
	next := 0
	ask := func() {
		if next == len(peers) {
			return
		}
		peer := peers[next]
		next++
		poll.pending++
		go func() {
			conn, err := d.askPeer(ctx, peer, worker)
			poll.results <- dialed{conn, err}
		}()
	}
	ask()
	patience := time.NewTicker(d.settings.hedgeDelay(false) / 2)
	defer patience.Stop()
	for poll.pending > 0 {
		select {
		case result := <-poll.results:
			poll.pending--
			if result.err == nil {
				go closeResults(poll.results, poll.pending)
				return result.conn, nil
			}
			if poll.add(result.err); poll.refused >= minRefusals {
				go closeResults(poll.results, poll.pending)
				return nil, errRefusedAtPeer
			}
			ask()
		case <-patience.C:
			ask()
		}
	}
	return nil, poll.verdict()
}

// poll collects the answers of the gateways that are asked for one connection.
type poll struct {
	results chan dialed
	pending int
	// refused, silent, unsupported and other count the failures.
	refused, silent, unsupported, other int
}

// add counts a failure.
func (p *poll) add(err error) {
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

// verdict returns the error if no gateway connected. Gateways that do not support relays count as if there were none.
func (p *poll) verdict() error {
	switch {
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

// closeResults closes the connections of attempts that are still under way.
func closeResults(results <-chan dialed, pending int) {
	for range pending {
		closeResult(results)
	}
}

// askPeer asks a gateway for a connection to a worker.
func (d *Dialer) askPeer(ctx context.Context, peer Peer, worker string) (*Conn, error) {
	conn, err := d.openRelayed(ctx, peer, worker)
	outcome := relayOutcome(err)
	if errors.Is(ctx.Err(), context.Canceled) {
		// Another gateway answered first.
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
func (d *Dialer) openRelayed(ctx context.Context, peer Peer, worker string) (*Conn, error) {
	conn, err := d.direct.DialContext(ctx, "tcp4", peer.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "ask gateway %s for a relay", peer.Name)
	}
	deadline, _ := ctx.Deadline()
	return upgrade(conn.(*net.TCPConn), peer, worker, deadline)
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

// rankedPeers returns the gateways to ask for a connection to an address: those of the own zone first, and last those that failed recently. The
// order differs from address to address, so that all of them share the work.
func (d *Dialer) rankedPeers(address string) []Peer {
	peers := slices.Clone(d.source().Relays())
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	rank := func(peer Peer) int {
		switch {
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
