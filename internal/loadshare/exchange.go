package loadshare

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// Source gives what is to be told.
type Source interface {
	// Drain returns what has changed since the last call, or everything with full set, without a sender.
	Drain(full bool) Message
	// Hear takes what a peer told.
	Hear(message *Message)
	// DrainSupplement returns what is to be told beside that, again with full set, and HearSupplement takes what a peer told so.
	DrainSupplement(full bool) Supplement
	HearSupplement(supplement *Supplement)
}

// Settings of an exchange.
type Settings struct {
	// Name of the own gateway.
	Name string
	// Listen is host:port for datagrams.
	Listen string
	// Interval between two messages about changes that are not urgent.
	Interval time.Duration
	// UrgentDelay is how long urgent changes are gathered.
	UrgentDelay time.Duration
	// FullEvery is how often everything is told.
	FullEvery time.Duration
	// Heartbeat is the longest time in which nothing is told.
	Heartbeat time.Duration
}

// DefaultSettings return settings without a name and an address.
func DefaultSettings() Settings {
	return Settings{
		Interval:    100 * time.Millisecond,
		UrgentDelay: 2 * time.Millisecond,
		FullEvery:   time.Second,
		Heartbeat:   225 * time.Millisecond,
	}
}

// Audience says whom an exchange tells what.
type Audience struct {
	// Peers are told everything. None is left out: what one of them does not know of the queues of workers and of what they keep
	// costs far more than its datagrams.
	Peers []string
	// StandsBy is set for a gateway that tells its changes but not that it lives.
	StandsBy bool
}

// Exchange sends and receives datagrams.
type Exchange struct {
	settings Settings
	source   Source
	logger   logrus.FieldLogger
	socket   *net.UDPConn
	urgent   chan struct{}
	changed  chan struct{}
	audience chan Audience
	epoch    int64
	sequence uint64

	// What follows is used by Send alone.
	peers    []*net.UDPAddr
	standby  bool
	lastSent time.Time
	lastFull time.Time
}

// NewExchange opens the socket of an exchange.
func NewExchange(settings Settings, source Source, logger logrus.FieldLogger) (*Exchange, error) {
	address, err := net.ResolveUDPAddr("udp4", settings.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "step listen for peers, address %s", settings.Listen)
	}
	socket, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "step listen for peers, address %s", settings.Listen)
	}
	return &Exchange{
		settings: settings, source: source, logger: logger, socket: socket, epoch: time.Now().UnixNano(),
		urgent: make(chan struct{}, 1), changed: make(chan struct{}, 1), audience: make(chan Audience, 1),
	}, nil
}

// Changed tells that there is something to tell, at once if urgent.
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

// SetAudience replaces those that are told.
func (e *Exchange) SetAudience(audience Audience) {
	for {
		select {
		case e.audience <- audience:
			return
		default:
		}
		select {
		case <-e.audience:
		default:
		}
	}
}

// Close ends both loops.
func (e *Exchange) Close() { _ = e.socket.Close() }

// maxDatagram bounds a received message.
const maxDatagramSize = 64 << 10

// Receive takes messages until the exchange is closed.
func (e *Exchange) Receive() {
	buffer := make([]byte, maxDatagramSize)
	for {
		count, from, err := e.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if err := e.handleDatagram(buffer[:count]); err != nil {
			e.logger.WithError(err).WithField("peer", from).Warn("A message of a peer can't be read.")
		}
	}
}

// receive takes one datagram.
func (e *Exchange) handleDatagram(encoded []byte) error {
	if isSupplement(encoded) {
		supplement, err := DecodeSupplement(encoded)
		if err == nil {
			e.source.HearSupplement(supplement)
		}
		return err
	}
	message, err := Decode(encoded)
	if err == nil {
		e.source.Hear(message)
	}
	return err
}

// Send tells changes until the context ends, and that the gateway lives when there are none.
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
		case audience := <-e.audience:
			e.applyAudience(audience)
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

// gather waits for more to tell, and less when it gets urgent. It returns false when the context has ended.
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

// setAudience takes those that are told. A gateway that begins to stand by says so to all that have heard it.
func (e *Exchange) applyAudience(audience Audience) {
	becameStandby := audience.StandsBy && !e.standby
	e.standby = audience.StandsBy
	if becameStandby {
		e.sendMessage(Message{})
	}
	e.peers = e.resolve(audience.Peers)
}

// resolve returns addresses as the socket takes them.
func (e *Exchange) resolve(addresses []string) []*net.UDPAddr {
	var resolved []*net.UDPAddr
	for _, address := range addresses {
		target, err := net.ResolveUDPAddr("udp4", address)
		if err != nil {
			e.logger.WithError(err).WithField("peer", address).Warn("The address of a peer can't be read.")
			continue
		}
		resolved = append(resolved, target)
	}
	return resolved
}

// tell sends what has changed to the peers, and everything once in a while.
func (e *Exchange) sendUpdate() {
	full := e.lastSent.Sub(e.lastFull) >= e.settings.FullEvery
	if full {
		e.lastFull = e.lastSent
	}
	message := e.source.Drain(full)
	message.Full = full
	e.sendMessage(message)
	e.sendSupplement(e.source.DrainSupplement(full))
}

// send sends one message to all peers. Datagrams that can't be sent are lost, as others are on the way.
func (e *Exchange) sendMessage(message Message) {
	e.sequence++
	message.Sender, message.Epoch, message.Sequence, message.StandsBy = e.settings.Name, e.epoch, e.sequence, e.standby
	encoded, err := message.Encode()
	if err != nil {
		e.logger.WithError(err).Error("A message to peers can't be written.")
		return
	}
	e.broadcast(encoded)
}

// sendSupplement sends a supplement to all peers, if it tells anything.
func (e *Exchange) sendSupplement(supplement Supplement) {
	if supplement.Empty() {
		return
	}
	encoded, err := supplement.Encode()
	if err != nil {
		e.logger.WithError(err).Error("A supplement to peers can't be written.")
		return
	}
	e.broadcast(encoded)
}

// sendToPeers sends a datagram to all peers.
func (e *Exchange) broadcast(encoded []byte) {
	for _, target := range e.peers {
		_, _ = e.socket.WriteToUDP(encoded, target)
	}
}
