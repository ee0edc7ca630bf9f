package relay

import (
	"context"
	"net"
	"time"
)

// dialed is the result of an attempt to connect.
type dialed struct {
	conn net.Conn
	err  error
}

// attempt is an attempt to connect that is under way. It receives one result.
type attempt <-chan dialed

// begin starts an attempt.
func begin(dial func() (net.Conn, error)) attempt {
	result := make(chan dialed, 1)
	go func() {
		conn, err := dial()
		result <- dialed{conn, err}
	}()
	return result
}

// dialBoth connects directly, and through a relay if that fails or takes long. The direct attempt goes on after a relay has connected, because
// its end tells whether the path is lost.
func (d *Dialer) dialBoth(ctx context.Context, address string) (net.Conn, error) {
	directCtx := context.WithoutCancel(ctx)
	direct := begin(func() (net.Conn, error) { return d.dialDirect(directCtx, address, d.settings.ConnectTimeout) })
	hedge := time.NewTimer(d.currentHedgeDelay())
	defer hedge.Stop()
	select {
	case result := <-direct:
		if result.err == nil {
			return result.conn, nil
		}
		return d.confirm(ctx, address, result.err)
	case <-hedge.C:
		return d.joinRelay(ctx, address, direct)
	case <-ctx.Done():
		return d.abandon(ctx, address, direct)
	}
}

// abandon leaves a direct attempt because its request has ended.
func (d *Dialer) abandon(ctx context.Context, address string, direct attempt) (net.Conn, error) {
	go d.discard(direct, address)
	return nil, context.Cause(ctx)
}

// awaitDirect waits for a direct attempt until its request ends.
func (d *Dialer) awaitDirect(ctx context.Context, address string, direct attempt) (net.Conn, error) {
	select {
	case result := <-direct:
		return result.conn, result.err
	case <-ctx.Done():
		return d.abandon(ctx, address, direct)
	}
}

// joinRelay joins a direct attempt that has got no answer yet by one through a relay, and returns the connection that is open first.
func (d *Dialer) joinRelay(ctx context.Context, address string, direct attempt) (net.Conn, error) {
	if d.isBefore(d.unknownUntil, address) {
		return d.awaitDirect(ctx, address, direct)
	}
	if !d.beginJoin() {
		conn, err := d.awaitDirect(ctx, address, direct)
		if err == nil || ctx.Err() != nil {
			return conn, err
		}
		return d.confirm(ctx, address, err)
	}
	defer d.endJoin()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	relayed := begin(func() (net.Conn, error) { return d.dialRelay(ctx, address) })
	select {
	case result := <-direct:
		if result.err == nil {
			go closeResult(relayed)
			return result.conn, nil
		}
		return d.judgeFor(ctx, address, result.err, <-relayed)
	case other := <-relayed:
		if other.err == nil {
			go d.judgeLate(address, direct, other.conn.(*Conn).Peer().Name)
			return other.conn, nil
		}
		conn, err := d.awaitDirect(ctx, address, direct)
		if err == nil {
			return conn, nil
		}
		return d.judgeFor(ctx, address, err, other)
	}
}

// maxDoubtfulJoins is the number of attempts through relays that may join direct ones at a time while no path is known to be lost: attempts
// of a gateway that is short of processor time take long, too, and more of them would make it worse.
const maxDoubtfulJoins = 4

// beginJoin reports whether a relay may join a direct attempt. If so, endJoin must follow.
func (d *Dialer) beginJoin() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.paths.Count() == 0 && d.joins >= maxDoubtfulJoins {
		return false
	}
	d.joins++
	return true
}

// endJoin ends what beginJoin allowed.
func (d *Dialer) endJoin() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.joins--
}

// currentHedgeDelay returns the time after which a relay is tried too.
func (d *Dialer) currentHedgeDelay() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.settings.hedgeDelay(d.paths.AnySilent())
}

// closeResult closes the connection of an attempt that is no longer needed.
func closeResult(result attempt) {
	if late := <-result; late.err == nil {
		_ = late.conn.Close()
	}
}

// discard passes the connection of a direct attempt that is no longer needed on for later use.
func (d *Dialer) discard(result attempt, address string) {
	if late := <-result; late.err == nil {
		d.keepConn(late.conn, address)
	}
}

// judgeLate records the path as lost if a direct attempt fails after a relay has connected.
func (d *Dialer) judgeLate(address string, result attempt, peer string) {
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
