package peersync

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// Source provides the outgoing updates and consumes the incoming ones.
type Source interface {
	// TakeUpdate returns what changed since the last call, or everything if full is set. The exchange fills in the sender.
	TakeUpdate(full bool) Message
	// ApplyUpdate consumes a message from a peer.
	ApplyUpdate(message *Message)
	// TakeSupplement returns the supplement to send with the update, and ApplySupplement consumes one from a peer.
	TakeSupplement(full bool) Supplement
	ApplySupplement(supplement *Supplement)
}

// Settings configures an exchange.
type Settings struct {
	// Name is the name of this gateway.
	Name string
	// Listen is the host:port on which datagrams are received.
	Listen string
	// Interval is the minimum time between two messages with changes that are not urgent.
	Interval time.Duration
	// UrgentDelay is how long changes are collected after an urgent one before they are sent. A second urgent change ends
	// the delay.
	UrgentDelay time.Duration
	// FullEvery is the interval of full messages.
	FullEvery time.Duration
	// Heartbeat is the maximum time between two messages.
	Heartbeat time.Duration
}

// DefaultSettings returns settings without a name and an address.
func DefaultSettings() Settings {
	return Settings{
		Interval:    100 * time.Millisecond,
		UrgentDelay: 2 * time.Millisecond,
		FullEvery:   time.Second,
		Heartbeat:   225 * time.Millisecond,
	}
}

// Receivers is the set of gateways that receive the updates of this one.
type Receivers struct {
	// Peers are the addresses that receive every update. They must include all entries: a gateway that lacks the load and
	// cached segments of another one chooses workers badly.
	Peers []string
	// Standby is set for a standby gateway, which sends changes but no heartbeats.
	Standby bool
}

// Exchange sends and receives updates as datagrams.
type Exchange struct {
	settings  Settings
	source    Source
	logger    logrus.FieldLogger
	socket    *net.UDPConn
	urgent    chan struct{}
	changed   chan struct{}
	receivers chan Receivers
	epoch     int64
	sequence  uint64

	// The following fields are used only by the goroutine that runs Send.
	peers    []*net.UDPAddr
	standby  bool
	lastSent time.Time
	lastFull time.Time
}

// NewExchange opens the socket of an exchange.
func NewExchange(settings Settings, source Source, logger logrus.FieldLogger) (*Exchange, error) {
	address, err := net.ResolveUDPAddr("udp4", settings.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "resolve peer listen address %s", settings.Listen)
	}
	socket, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for peers on %s", settings.Listen)
	}
	return &Exchange{
		settings: settings, source: source, logger: logger, socket: socket, epoch: time.Now().UnixNano(),
		urgent: make(chan struct{}, 1), changed: make(chan struct{}, 1), receivers: make(chan Receivers, 1),
	}, nil
}

// Changed signals that there is something to send, soon if urgent is set.
func (e *Exchange) Changed(urgent bool) {
	channel := e.changed
	if urgent {
		channel = e.urgent
	}
	select {
	case channel <- struct{}{}:
	default:
	}
}

// SetReceivers makes Send use other receivers. It does not wait for Send; only the latest call takes effect.
func (e *Exchange) SetReceivers(receivers Receivers) {
	for {
		select {
		case e.receivers <- receivers:
			return
		default:
		}
		select {
		case <-e.receivers:
		default:
		}
	}
}

// Close closes the socket, which ends Receive.
func (e *Exchange) Close() { _ = e.socket.Close() }

// maxDatagramSize is the size of the receive buffer, which holds any UDP datagram.
const maxDatagramSize = 64 << 10

// Receive handles datagrams until the exchange is closed.
func (e *Exchange) Receive() {
	buffer := make([]byte, maxDatagramSize)
	for {
		count, from, err := e.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Other errors concern single datagrams.
			continue
		}
		if err := e.handleDatagram(buffer[:count]); err != nil {
			e.logger.WithError(err).WithField("peer", from).Warn("A message of a peer can't be read.")
		}
	}
}

// handleDatagram decodes one datagram and passes it on.
func (e *Exchange) handleDatagram(encoded []byte) error {
	if isSupplement(encoded) {
		supplement, err := DecodeSupplement(encoded)
		if err == nil {
			e.source.ApplySupplement(supplement)
		}
		return err
	}
	message, err := Decode(encoded)
	if err == nil {
		e.source.ApplyUpdate(message)
	}
	return err
}

// Send sends changes until the context is canceled, and heartbeats in between.
func (e *Exchange) Send(ctx context.Context) {
	heartbeat := time.NewTimer(e.settings.Heartbeat)
	defer heartbeat.Stop()
	for {
		heartbeat.Reset(max(e.settings.Heartbeat-time.Since(e.lastSent), 0))
		heartbeatC := heartbeat.C
		if e.standby {
			heartbeatC = nil
		}
		delay := e.settings.UrgentDelay
		select {
		case <-ctx.Done():
			return
		case receivers := <-e.receivers:
			e.applyReceivers(receivers)
			continue
		case <-e.urgent:
		case <-heartbeatC:
		case <-e.changed:
			delay = max(e.settings.Interval-time.Since(e.lastSent), delay)
		}
		if !e.coalesce(ctx, delay) {
			return
		}
		e.lastSent = time.Now()
		e.sendUpdate()
	}
}

// coalesce waits for further changes, until the delay is over or another urgent change arrives. It returns false if the
// context is canceled.
func (e *Exchange) coalesce(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-e.urgent:
	case <-timer.C:
	}
	return true
}

// applyReceivers applies new receivers. A gateway that becomes standby first tells its previous receivers, which
// otherwise would wait for its heartbeats.
func (e *Exchange) applyReceivers(receivers Receivers) {
	becameStandby := receivers.Standby && !e.standby
	e.standby = receivers.Standby
	if becameStandby {
		e.sendMessage(Message{})
	}
	e.peers = e.resolve(receivers.Peers)
}

// resolve returns the UDP addresses of the given host:port addresses. It logs and skips invalid ones.
func (e *Exchange) resolve(addresses []string) []*net.UDPAddr {
	var resolved []*net.UDPAddr
	for _, address := range addresses {
		target, err := net.ResolveUDPAddr("udp4", address)
		if err != nil {
			e.logger.WithError(err).WithField("peer", address).Warn("Cannot resolve the address of a peer.")
			continue
		}
		resolved = append(resolved, target)
	}
	return resolved
}

// sendUpdate sends the changes to all peers, or everything if a full message is due.
func (e *Exchange) sendUpdate() {
	full := e.lastSent.Sub(e.lastFull) >= e.settings.FullEvery
	if full {
		e.lastFull = e.lastSent
	}
	message := e.source.TakeUpdate(full)
	message.Full = full
	e.sendMessage(message)
	e.sendSupplement(e.source.TakeSupplement(full))
}

// sendMessage sends a message to all peers. Send errors are ignored, as datagrams may be lost anyway.
func (e *Exchange) sendMessage(message Message) {
	e.sequence++
	message.Sender, message.Epoch, message.Sequence, message.Standby = e.settings.Name, e.epoch, e.sequence, e.standby
	encoded, err := message.Encode()
	if err != nil {
		e.logger.WithError(err).Error("Cannot encode a message to peers.")
		return
	}
	e.broadcast(encoded)
}

// sendSupplement sends a supplement to all peers, unless it is empty.
func (e *Exchange) sendSupplement(supplement Supplement) {
	if supplement.Empty() {
		return
	}
	encoded, err := supplement.Encode()
	if err != nil {
		e.logger.WithError(err).Error("Cannot encode a supplement to peers.")
		return
	}
	e.broadcast(encoded)
}

// broadcast sends a datagram to all peers.
func (e *Exchange) broadcast(encoded []byte) {
	for _, target := range e.peers {
		_, _ = e.socket.WriteToUDP(encoded, target)
	}
}

// SendTo sends a supplement to single gateways, at once. Addresses that can't be parsed are skipped; send errors are ignored, as datagrams may be
// lost anyway. It is safe for concurrent use.
func (e *Exchange) SendTo(addresses []string, supplement Supplement) {
	encoded, err := supplement.Encode()
	if err != nil {
		e.logger.WithError(err).Error("Cannot encode a supplement to peers.")
		return
	}
	for _, address := range addresses {
		if target, err := netip.ParseAddrPort(address); err == nil {
			_, _ = e.socket.WriteToUDPAddrPort(encoded, target)
		}
	}
}
