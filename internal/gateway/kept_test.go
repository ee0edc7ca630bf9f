package gateway

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/cluster"
	"github.com/granitebay/granitebay/internal/forward"
	"github.com/granitebay/granitebay/internal/routing"
)

// countingParts counts the engines that are asked what they keep.
type countingParts struct{ asked atomic.Int64 }

// Kept is part of forward.KeptParts.
func (c *countingParts) Kept(context.Context, *backend.Worker) ([]forward.KeptPart, error) {
	c.asked.Add(1)
	return nil, nil
}

// anyDecoder reads nothing.
type anyDecoder struct{ cluster.Decoder }

// TestOnlyGatewaysThatTakeRequestsAskWhatEnginesKeep guards against a fleet of a thousand that starts: each gateway takes itself for an entry
// until it knows the others, and all of them would ask each engine.
func TestOnlyGatewaysThatTakeRequestsAskWhatEnginesKeep(t *testing.T) {
	for _, takesRequests := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			logger := logrus.New()
			logger.SetOutput(io.Discard)
			parts := &countingParts{}
			settings := Settings{Name: "a", LeaseTTL: time.Second, RetryWindow: time.Second}
			g := New(settings, Ports{Decoder: anyDecoder{}, KeptParts: parts}, logger)
			g.dispatcher.SetGroups([]routing.Group{{Name: "g", Engine: &routing.Engine{}}})
			g.configuration = &routing.Configuration{}
			g.WorkersChanged(backend.Changes{Put: []*backend.Worker{{ID: "w", Group: "g", Role: backend.RoleDecode, Address: "x:1"}}})
			g.entries.takesRequests = takesRequests
			ctx, cancel := context.WithCancel(t.Context())
			go g.learnKept(ctx)
			g.learnKeptAgain()
			synctest.Wait()
			if got := parts.asked.Load() > 0; got != takesRequests {
				t.Errorf("one that takes requests, %t, asked %d engines", takesRequests, parts.asked.Load())
			}
			cancel()
		})
	}
}
