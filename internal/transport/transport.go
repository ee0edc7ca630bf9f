// Package transport carries envelopes between the processes of the system over connect streams. Delivery is best effort:
// what can't be handed over in time is dropped and the peer is reported as unreachable.
package transport

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/gen/granitebay/v1/granitebayv1connect"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/logging"
)

const (
	// logPart is the prefix of the log lines of a transport.
	logPart = "transport"
	// queueLength bounds the envelopes that wait for one peer.
	queueLength = 4096
	// maxBatch bounds the envelopes that go into one message on the wire.
	maxBatch = 256
	// idleTimeout is how long an unused stream stays open.
	idleTimeout = 2 * time.Minute
	// reconnectDelay is the pause after a failed stream during which envelopes to that peer are dropped.
	reconnectDelay = 100 * time.Millisecond
	// dialTimeout bounds the time to connect to a peer.
	dialTimeout = time.Second
)

// Options of a Transport.
type Options struct {
	// Self is put into each envelope as the sender.
	Self *granitebayv1.Peer
	// Deliver takes each envelope that arrives. It is called from many goroutines.
	Deliver func(*granitebayv1.Envelope)
	// Unreachable takes the name of a peer to which envelopes were lost.
	Unreachable func(peer string)
	Logger      logrus.FieldLogger
}

// Transport sends and receives envelopes.
type Transport struct {
	options Options
	client  *http.Client
	context context.Context
	cancel  context.CancelFunc

	mutex sync.Mutex
	peers map[peerKey]*sender
	group sync.WaitGroup
}

// peerKey names one stream: a peer that moved to another address gets a new one.
type peerKey struct{ name, address string }

// New returns a transport. Close ends it.
func New(options Options) *Transport {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	dialer := &net.Dialer{Timeout: dialTimeout}
	ctx, cancel := context.WithCancel(context.Background())
	options.Logger = logging.Part(options.Logger, logPart)
	return &Transport{
		options: options,
		client:  &http.Client{Transport: &http.Transport{Protocols: protocols, DialContext: dialer.DialContext}},
		context: ctx,
		cancel:  cancel,
		peers:   make(map[peerKey]*sender),
	}
}

// Handler returns the path and the HTTP handler that take envelopes from peers.
func (t *Transport) Handler() (string, http.Handler) {
	return granitebayv1connect.NewPeerServiceHandler(&receiver{transport: t})
}

// Send queues an envelope for a peer. It never blocks.
func (t *Transport) Send(message core.Message) {
	message.Envelope.From = t.options.Self
	message.Envelope.To = message.To
	if message.To == t.options.Self.Name {
		go t.options.Deliver(message.Envelope)
		return
	}
	if !t.sender(message).offer(message.Envelope) {
		go t.options.Unreachable(message.To)
	}
}

// sender returns the running sender of a peer, and starts one if there is none.
func (t *Transport) sender(message core.Message) *sender {
	key := peerKey{name: message.To, address: message.Address}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if existing, ok := t.peers[key]; ok {
		return existing
	}
	created := newSender(t, key)
	t.peers[key] = created
	t.group.Add(1)
	go func() {
		defer t.group.Done()
		created.run()
	}()
	return created
}

// forget removes an idle sender.
func (t *Transport) forget(key peerKey) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.peers, key)
}

// Close ends all streams. Queued envelopes are dropped.
func (t *Transport) Close() {
	t.cancel()
	t.group.Wait()
	t.client.CloseIdleConnections()
}

// lost reports a peer whose stream broke: it may have died, and messages may be lost.
func (r *receiver) lost(sender string) {
	if sender != "" && r.transport.context.Err() == nil {
		r.transport.options.Unreachable(sender)
	}
}

// receiver serves the streams that peers open.
type receiver struct{ transport *Transport }

// Exchange hands each envelope of a stream on until the peer closes it.
func (r *receiver) Exchange(_ context.Context, stream *connect.ClientStream[granitebayv1.EnvelopeBatch]) (*connect.Response[granitebayv1.ExchangeResponse], error) {
	sender := ""
	for stream.Receive() {
		for _, envelope := range stream.Msg().GetEnvelopes() {
			sender = envelope.GetFrom().GetName()
			r.transport.options.Deliver(envelope)
		}
	}
	if err := stream.Err(); err != nil {
		r.lost(sender)
		return nil, err
	}
	return connect.NewResponse(&granitebayv1.ExchangeResponse{}), nil
}
