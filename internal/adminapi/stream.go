package adminapi

import (
	"context"
	"time"

	"github.com/danielgtaylor/huma/v2/sse"

	"github.com/granitebay/granitebay/internal/decision"
)

// Names of the events on the decision stream.
const (
	eventDecision  = "decision"
	eventHeartbeat = "heartbeat"
)

// heartbeatInterval is the interval of heartbeats on a stream.
const heartbeatInterval = 5 * time.Second

// decisionStream is the decision stream of one client.
type decisionStream struct {
	backend Backend
	filter  StreamFilter
	send    sse.Sender
	// lastSequence is the sequence of the last decision that was sent or filtered out.
	lastSequence uint64
}

// streamDecisions sends the retained decisions that the filter selects, and then new ones, until the client disconnects.
func streamDecisions(ctx context.Context, backend Backend, filter StreamFilter, send sse.Sender) {
	records, stop := backend.FollowDecisions()
	defer stop()
	stream := &decisionStream{backend: backend, filter: filter, send: send}
	// The initial heartbeat lets the client see that the stream is open.
	if stream.heartbeat(time.Now()) != nil {
		return
	}
	if stream.sendRetained() != nil {
		return
	}
	stream.follow(ctx, records)
}

// sendRetained sends the retained decisions.
func (s *decisionStream) sendRetained() error {
	retained := s.backend.Decisions(s.filter.Since)
	for _, record := range s.filter.Initial(retained) {
		if err := s.send.Data(record); err != nil {
			return err
		}
	}
	s.lastSequence = s.filter.Since
	if len(retained) > 0 {
		s.lastSequence = retained[len(retained)-1].Sequence
	}
	return nil
}

// sendNew sends a new decision, unless it was among the retained ones.
func (s *decisionStream) sendNew(record decision.Record) error {
	if record.Sequence <= s.lastSequence {
		return nil
	}
	s.lastSequence = record.Sequence
	if !s.filter.Matches(record) {
		return nil
	}
	return s.send.Data(record)
}

func (s *decisionStream) heartbeat(now time.Time) error {
	return s.send.Data(Heartbeat{Time: now})
}

// follow sends new decisions and heartbeats.
func (s *decisionStream) follow(ctx context.Context, records <-chan decision.Record) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		var err error
		select {
		case <-ctx.Done():
			return
		case record, open := <-records:
			if !open {
				return
			}
			err = s.sendNew(record)
		case now := <-ticker.C:
			err = s.heartbeat(now)
		}
		if err != nil {
			return
		}
	}
}
