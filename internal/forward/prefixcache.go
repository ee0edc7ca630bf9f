package forward

import (
	"context"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/loadshare"
)

// KeptPart is a part of prompts that an engine keeps.
type KeptPart struct {
	Key    string
	Tokens int
}

// KeptParts asks engines what they keep.
type KeptParts interface {
	// Kept returns the parts of prompts that an engine keeps, those got last at the end. It may be late and miss some.
	Kept(ctx context.Context, worker *backend.Worker) ([]KeptPart, error)
}

// Learn notes what an engine has told that it keeps. Parts that are too short to be followed are left out.
func (d *Dispatcher) Learn(id string, parts []KeptPart) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	worker, found := d.balancer.Worker(id)
	if !found {
		return
	}
	for _, part := range parts {
		if part.Tokens >= d.settings.MinSharedTokens {
			d.residency.Keep(id, d.cacheCapacity(worker), part.Key, part.Tokens, true)
		}
	}
}

// Kept returns what this gateway knows that engines keep, so many parts at the most, of each engine those used last at the end.
func (d *Dispatcher) Kept(limit int) []loadshare.Kept {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var all []loadshare.Kept
	for worker, part := range d.residency.All() {
		if len(all) >= limit {
			break
		}
		all = append(all, loadshare.Kept{Worker: worker, Key: part.Key, Tokens: part.Tokens, Ready: part.Ready})
	}
	return all
}

// LearnAll notes what another gateway knows that engines keep, and returns how many parts of it were news.
func (d *Dispatcher) LearnAll(parts []loadshare.Kept) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	added := 0
	for _, part := range parts {
		worker, found := d.balancer.Worker(part.Worker)
		if !found || part.Tokens <= 0 || d.residency.Keeps(part.Worker, part.Key) {
			continue
		}
		added++
		d.addCached(worker, part)
	}
	return added
}
