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
type cacheQueryCounter struct{ queries atomic.Int64 }

// Kept is part of forward.KeptParts.
func (c *cacheQueryCounter) Kept(context.Context, *backend.Worker) ([]forward.KeptPart, error) {
	c.queries.Add(1)
	return nil, nil
}

// anyDecoder reads nothing.
type nopDecoder struct{ cluster.Decoder }

// TestOnlyGatewaysThatTakeRequestsAskWhatEnginesKeep guards against a fleet of a thousand that starts: each gateway takes itself for an entry
// until it knows the others, and all of them would ask each engine.
func TestOnlyEntriesQueryEngineCaches(t *testing.T) {
	for _, isEntry := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			logger := logrus.New()
			logger.SetOutput(io.Discard)
			counter := &cacheQueryCounter{}
			settings := Settings{Name: "a", LeaseTTL: time.Second, RetryWindow: time.Second}
			g := New(settings, Ports{Decoder: nopDecoder{}, KeptParts: counter}, logger)
			g.dispatcher.SetGroups([]routing.Group{{Name: "g", Engine: &routing.Engine{}}})
			g.configuration = &routing.Configuration{}
			g.WorkersChanged(backend.Changes{Put: []*backend.Worker{{ID: "w", Group: "g", Role: backend.RoleDecode, Address: "x:1"}}})
			g.entries.isEntry = isEntry
			ctx, cancel := context.WithCancel(t.Context())
			go g.learnCachedParts(ctx)
			g.triggerLearning()
			synctest.Wait()
			if got := counter.queries.Load() > 0; got != isEntry {
				t.Errorf("one that takes requests, %t, asked %d engines", isEntry, counter.queries.Load())
			}
			cancel()
		})
	}
}
