package balance

import (
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/rendezvous"
)

// maxBackupProbes bounds the workers that Backup visits.
const maxBackupProbes = 64

// Backup returns a worker that can keep a copy of a request that runs elsewhere, or false if none was found. Copies are spread over the group by
// the request ID and not placed by cost: they take no part in the load that costs are estimated from, so all would go to the cheapest worker.
// A worker that inPreferredZone accepts is taken before others.
func (b *Balancer) Backup(now time.Time, query Query, inPreferredZone func(zone string) bool) (*backend.Worker, bool) {
	states := b.index.byGroup[query.Group]
	if len(states) == 0 {
		return nil, false
	}
	var other *backend.Worker
	start := rendezvous.Bucket(query.Request, len(states))
	for i := range min(len(states), maxBackupProbes) {
		state := states[(start+i)%len(states)]
		worker := state.worker
		if worker.Role != query.Role || !state.acceptsNow(now) || state.health.ejected(now) || !query.allows(worker) {
			continue
		}
		if inPreferredZone(worker.Zone) {
			return worker, true
		}
		if other == nil {
			other = worker
		}
	}
	return other, other != nil
}
