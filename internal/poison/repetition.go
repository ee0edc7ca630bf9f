package poison

import (
	"maps"
	"slices"
	"time"
)

// repetition is what a full update repeats beside all bars. All that is known of the crash of a worker is told together: the crash of a request
// without the time of its run, or of a part without the silence of the worker, would count as more than it is.
type repetition struct {
	// workers are those whose crashes are repeated.
	workers []string
	// gateways is the number of gateways that send full updates.
	gateways int
}

// requestCost is what the crash of a worker under a request costs in a full update, where one under a part costs 1.
const requestCost = 4

// limit returns how many items of another kind are repeated, given how many fit into an update.
func (r *repetition) limit(perUpdate int) int { return maxRepeated(perUpdate, r.gateways) }

// shareTime returns for how long items are repeated, given for how long they are where all fit into an update.
func (r *repetition) shareTime(unshared time.Duration) time.Duration {
	return unshared * time.Duration(max(r.gateways/fullShare, 1))
}

// nextRepetition chooses what the next full update repeats. The caller holds the mutex.
func (g *Guard) nextRepetition() *repetition {
	known := map[string]bool{}
	for worker := range g.table.suspectsByWorker {
		known[worker] = true
	}
	for worker := range g.parts.byWorker {
		known[worker] = true
	}
	for worker, crash := range g.parts.times.byWorker {
		if crash.isSilence() {
			known[worker] = true
		}
	}
	cost := func(worker string) int {
		// What exceeds an update is told in part.
		requests := min(len(g.table.suspectsByWorker[worker]), g.table.settings.MaxPerUpdate)
		return 1 + requestCost*requests + min(len(g.parts.byWorker[worker]), g.table.settings.Parts.MaxPerUpdate)
	}
	next := &repetition{gateways: int(g.gateways.Load())}
	next.workers = g.repeated.next(slices.Collect(maps.Keys(known)), next.limit(g.table.settings.Parts.MaxPerUpdate), cost)
	return next
}

// SetGateways sets the number of gateways that send full updates to each other, which share what these repeat. It doesn't block.
func (g *Guard) SetGateways(count int) { g.gateways.Store(int64(count)) }

// TakeUpdate returns the update for the other gateways: the changes since the last one, and with a full update some of the recent state. TakePartUpdate
// has to follow it.
func (g *Guard) TakeUpdate(full bool) Update {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if full && now.Sub(g.lastExpiry) >= expiryInterval {
		g.lastExpiry = now
		g.expire(now)
	}
	g.repetition = nil
	if full {
		g.repetition = g.nextRepetition()
	}
	return g.table.TakeUpdate(now, g.repetition)
}

// TakePartUpdate returns the update about parts and the supplement about requests that go with the last update.
func (g *Guard) TakePartUpdate(full bool) PartUpdate {
	g.mu.Lock()
	defer g.mu.Unlock()
	if full && g.repetition == nil {
		g.repetition = g.nextRepetition()
	}
	update := g.parts.takeUpdate(g.now(), g.repetition)
	update.Requests = g.table.TakeSupplement(g.now(), g.repetition)
	g.repetition = nil
	return update
}
