package forward

import (
	"context"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/peersync"
)

// CachedSegment is a prompt part that an engine has cached.
type CachedSegment struct {
	Key    string
	Tokens int
}

// CacheQuerier queries the caches of engines.
type CacheQuerier interface {
	// CachedSegments returns the prompt parts that an engine has cached, most recently added last. The result may be stale or incomplete.
	CachedSegments(ctx context.Context, worker *backend.Worker) ([]CachedSegment, error)
}

// RecordCache records the parts that an engine reported as cached. Parts that are too short to be tracked are ignored.
func (d *Dispatcher) RecordCache(id string, parts []CachedSegment) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	worker, found := d.balancer.Worker(id)
	if !found {
		return
	}
	for _, part := range parts {
		if part.Tokens >= d.settings.MinSharedTokens {
			d.residency.Add(id, d.cacheCapacity(worker), part.Key, part.Tokens, true)
		}
	}
}

// CachedSegments returns up to limit cached parts that this gateway knows of, for each engine the most recently used last.
func (d *Dispatcher) CachedSegments(limit int) []peersync.CachedSegment {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var all []peersync.CachedSegment
	for worker, part := range d.residency.All() {
		if len(all) >= limit {
			break
		}
		all = append(all, peersync.CachedSegment{Worker: worker, Key: part.Key, Tokens: part.Tokens, Ready: part.Cached})
	}
	return all
}

// MergeCache records the cached parts that another gateway knows of, and returns how many were new.
func (d *Dispatcher) MergeCache(parts []peersync.CachedSegment) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	added := 0
	for _, part := range parts {
		worker, found := d.balancer.Worker(part.Worker)
		if !found || part.Tokens <= 0 || d.residency.Has(part.Worker, part.Key) {
			continue
		}
		added++
		d.addCached(worker, part)
	}
	return added
}
