package forward

import (
	"context"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/peersync"
)

// CachedSegment is a prompt segment that an engine has cached.
type CachedSegment struct {
	Key    string
	Tokens int
}

// CacheQuerier queries the caches of engines.
type CacheQuerier interface {
	// CachedSegments returns the prompt segments that an engine has cached, in the order in which they were added. The result may be stale
	// or incomplete.
	CachedSegments(ctx context.Context, worker *backend.Worker) ([]CachedSegment, error)
}

// RecordCache records the segments that an engine reported as cached. Segments that are too short to be tracked are ignored.
func (d *Dispatcher) RecordCache(id string, segments []CachedSegment) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	worker, found := d.balancer.Worker(id)
	if !found {
		return
	}
	for _, segment := range segments {
		if segment.Tokens >= d.settings.MinSharedTokens {
			d.prefixCache.Add(id, d.cacheCapacity(worker), segment.Key, segment.Tokens, true)
		}
	}
}

// CachedSegments returns up to limit cached segments that this gateway knows of, for each engine in the order of last use.
func (d *Dispatcher) CachedSegments(limit int) []peersync.CachedSegment {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var all []peersync.CachedSegment
	for worker, segment := range d.prefixCache.All() {
		if len(all) >= limit {
			break
		}
		all = append(all, peersync.CachedSegment{Worker: worker, Key: segment.Key, Tokens: segment.Tokens, Ready: segment.Cached})
	}
	return all
}

// MergeCache records the cached segments that another gateway knows of, and returns how many were new.
func (d *Dispatcher) MergeCache(segments []peersync.CachedSegment) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	added := 0
	for _, segment := range segments {
		worker, found := d.balancer.Worker(segment.Worker)
		if !found || segment.Tokens <= 0 || d.prefixCache.Has(segment.Worker, segment.Key) {
			continue
		}
		added++
		d.addCached(worker, segment)
	}
	return added
}
