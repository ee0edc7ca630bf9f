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

// cacheQueryCounter counts queries of engine caches.
type cacheQueryCounter struct{ queries atomic.Int64 }

// CachedSegments implements forward.CacheQuerier.
func (c *cacheQueryCounter) CachedSegments(context.Context, *backend.Worker) ([]forward.CachedSegment, error) {
	c.queries.Add(1)
	return nil, nil
}

// nopDecoder decodes nothing.
type nopDecoder struct{ cluster.Decoder }

// TestOnlyEntriesQueryEngineCaches guards against every gateway of a starting fleet querying every engine, since each
// considers itself an entry until it knows the others.
func TestOnlyEntriesQueryEngineCaches(t *testing.T) {
	for _, isEntry := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			logger := logrus.New()
			logger.SetOutput(io.Discard)
			counter := &cacheQueryCounter{}
			settings := Settings{Name: "a", LeaseTTL: time.Second, RetryWindow: time.Second}
			g := New(settings, Dependencies{Decoder: nopDecoder{}, PromptCache: counter}, logger)
			g.dispatcher.SetGroups([]routing.Group{{Name: "g", Engine: &routing.Engine{}}})
			g.configuration = &routing.Configuration{}
			g.WorkersChanged(backend.Changes{Updated: []*backend.Worker{{ID: "w", Group: "g", Role: backend.RoleDecode, Address: "x:1"}}})
			g.entries.isEntry = isEntry
			ctx, cancel := context.WithCancel(t.Context())
			go g.learnCachedSegments(ctx)
			g.triggerLearning()
			synctest.Wait()
			if got := counter.queries.Load() > 0; got != isEntry {
				t.Errorf("with isEntry %t: %d engine queries", isEntry, counter.queries.Load())
			}
			cancel()
		})
	}
}
