package transport

import (
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/gen/granitebay/v1/granitebayv1connect"
)

// sender owns the stream to one peer.
type sender struct {
	transport *Transport
	key       peerKey
	client    granitebayv1connect.PeerServiceClient
	queue     chan *granitebayv1.Envelope
}

func newSender(transport *Transport, key peerKey) *sender {
	client := granitebayv1connect.NewPeerServiceClient(messageClient{client: transport.client}, "http://"+key.address, connect.WithGRPC())
	return &sender{
		transport: transport,
		key:       key,
		client:    client,
		queue:     make(chan *granitebayv1.Envelope, queueLength),
	}
}

// offer queues an envelope and reports whether there was room.
func (s *sender) offer(envelope *granitebayv1.Envelope) bool {
	select {
	case s.queue <- envelope:
		return true
	default:
		return false
	}
}

// run sends until the sender is idle or the transport closes.
func (s *sender) run() {
	defer s.transport.forget(s.key)
	for {
		first, ok := s.next()
		if !ok {
			return
		}
		err := s.stream(first)
		if s.transport.context.Err() != nil {
			return
		}
		if err != nil {
			s.fail(err)
		}
	}
}

// next waits for an envelope; false means idle or closed.
func (s *sender) next() (*granitebayv1.Envelope, bool) {
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	select {
	case envelope := <-s.queue:
		return envelope, true
	case <-idle.C:
		return nil, false
	case <-s.transport.context.Done():
		return nil, false
	}
}

// stream opens a stream and sends on it until it breaks or is idle.
func (s *sender) stream(first *granitebayv1.Envelope) error {
	stream := s.client.Exchange(s.transport.context)
	for envelope, ok := first, true; ok; envelope, ok = s.next() {
		if err := stream.Send(s.batch(envelope)); err != nil {
			_, closeError := stream.CloseAndReceive()
			return errors.Wrapf(errors.CombineErrors(closeError, err), "step send: peer %s", s.key.name)
		}
	}
	_, err := stream.CloseAndReceive()
	return errors.Wrapf(err, "step close: peer %s", s.key.name)
}

// batch takes what waits, up to maxBatch.
func (s *sender) batch(first *granitebayv1.Envelope) *granitebayv1.EnvelopeBatch {
	batch := &granitebayv1.EnvelopeBatch{Envelopes: []*granitebayv1.Envelope{first}}
	for len(batch.Envelopes) < maxBatch {
		select {
		case envelope := <-s.queue:
			batch.Envelopes = append(batch.Envelopes, envelope)
		default:
			return batch
		}
	}
	return batch
}

// fail drops what waits, reports the peer and pauses.
func (s *sender) fail(err error) {
	s.transport.options.Logger.WithError(err).WithField("peer", s.key.name).Debug("Lost the stream to a peer.")
	s.transport.options.Unreachable(s.key.name)
	pause := time.NewTimer(reconnectDelay)
	defer pause.Stop()
	for {
		select {
		case <-s.queue:
		case <-pause.C:
			return
		case <-s.transport.context.Done():
			return
		}
	}
}
