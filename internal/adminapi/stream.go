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

// streamDecisions sends the kept decisions that a filter selects and then the new ones, until the client goes away.
func streamDecisions(ctx context.Context, backend Backend, filter DecisionFilter, send sse.Sender) {
	records, stop := backend.FollowDecisions()
	defer stop()
	// The heartbeat at the start lets the client see that the stream is open.
	if send.Data(Heartbeat{Time: time.Now()}) != nil {
		return
	}
	sent := filter.Since
	forward := func(record decision.Record) error {
		if record.Sequence <= sent {
			return nil
		}
		sent = record.Sequence
		if !filter.Matches(record) {
			return nil
		}
		return send.Data(record)
	}
	for _, record := range backend.Decisions(filter.Since) {
		if forward(record) != nil {
			return
		}
	}
	followDecisions(ctx, records, send, forward)
}

// followDecisions forwards new decisions.
func followDecisions(ctx context.Context, records <-chan decision.Record, send sse.Sender, forward func(decision.Record) error) {
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
			err = forward(record)
		case now := <-ticker.C:
			err = send.Data(Heartbeat{Time: now})
		}
		if err != nil {
			return
		}
	}
}
