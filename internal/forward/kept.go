package forward

import (
	"context"

	"github.com/granitebay/granitebay/internal/backend"
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
		if part.Tokens >= d.settings.LeastSharedTokens {
			d.residency.Keep(id, d.capacityOf(worker), part.Key, part.Tokens, true)
		}
	}
}
