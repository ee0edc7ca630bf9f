package relay

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/netdial"
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
	// joins counts the attempts through relays that have joined direct ones.
	joins int
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
// such only if another gateway is refused as well, or if there is no other gateway; otherwise the error is an UnconfirmedError, or the cause of
// ctx once that has ended.
func (d *Dialer) Dial(ctx context.Context, address string, directOnly bool) (net.Conn, error) {
	if directOnly || !d.Enabled() {
		return d.dialDirect(ctx, address, d.settings.ConnectTimeout)
	}
	if d.IsLost(address) {
		conn, err := d.dialRelay(ctx, address)
		if err == nil {
			return conn, nil
		}
		if errors.Is(err, errRefusedAtPeer) {
			return nil, syscall.ECONNREFUSED
		}
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
	}
	return d.dialBoth(ctx, address)
}

// dialDirect connects without a relay and records the result.
func (d *Dialer) dialDirect(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	conn, err := netdial.Dial(ctx, d.direct, address, timeout)
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
	relayed, isRelayed := conn.(*Conn)
	if !isRelayed {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.paths.Trusts(address, lastUsed)
	}
	return d.IsLost(address) && slices.ContainsFunc(d.source().Relays(), func(peer Peer) bool { return peer.Name == relayed.peer.Name && !peer.Silent })
}
