package relay

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// confirm asks other gateways about a worker after a direct attempt failed, and returns a relayed connection if one reaches it.
func (d *Dialer) confirm(ctx context.Context, address string, cause error) (net.Conn, error) {
	switch {
	case d.isBefore(d.refusedUntil, address) && errors.Is(cause, syscall.ECONNREFUSED):
		return nil, cause
	case d.isBefore(d.unknownUntil, address):
		return nil, &UnconfirmedError{Address: address, Cause: cause}
	}
	conn, err := d.dialRelay(ctx, address)
	return d.judgeFor(ctx, address, cause, dialed{conn, err})
}

// judgeFor is judge for a request. That it ended before another gateway answered tells nothing of the worker.
func (d *Dialer) judgeFor(ctx context.Context, address string, cause error, relayed dialed) (net.Conn, error) {
	if relayed.err != nil && ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	return d.judge(address, cause, relayed)
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
		d.scheduleCheck(address)
	}
	if sweep {
		go d.sweep()
	}
}
