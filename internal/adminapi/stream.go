package adminapi

import (
	"context"
	"time"

	"github.com/danielgtaylor/huma/v2/sse"

	"github.com/granitebay/granitebay/internal/decision"
)

// The names of the events on the stream of decisions.
const (
	eventDecision  = "decision"
	eventHeartbeat = "heartbeat"
)

// heartbeatInterval is the time between two heartbeats on a stream.
const heartbeatInterval = 5 * time.Second

// decisionStream is one client that follows decisions.
type decisionStream struct {
	backend Backend
	filter  StreamFilter
	send    sse.Sender
	// sent is the last sequence that was looked at.
	lastSequence uint64
}

// streamDecisions sends the kept decisions that a filter selects and then the new ones, until the client goes away.
func streamDecisions(ctx context.Context, backend Backend, filter StreamFilter, send sse.Sender) {
	records, stop := backend.FollowDecisions()
	defer stop()
	stream := &decisionStream{backend: backend, filter: filter, send: send}
	// The heartbeat at the start lets the client see that the stream is open.
	if stream.heartbeat(time.Now()) != nil {
		return
	}
	if stream.sendKept() != nil {
		return
	}
	stream.follow(ctx, records)
}

// kept sends the decisions with which the stream starts.
func (s *decisionStream) sendKept() error {
	kept := s.backend.Decisions(s.filter.Since)
	for _, record := range s.filter.Initial(kept) {
		if err := s.send.Data(record); err != nil {
			return err
		}
	}
	s.lastSequence = s.filter.Since
	if len(kept) > 0 {
		s.lastSequence = kept[len(kept)-1].Sequence
	}
	return nil
}

// forward sends a new decision, unless it was among the kept ones.
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

// follow forwards new decisions.
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
