package balance

import (
	"slices"
	"strings"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/rendezvous"
)

// RiskSettings bound what requests under which workers have ended may do to a role.
type RiskSettings struct {
	// Share is the part of a role that may be away, or run such requests, at one moment: what a fleet spares for a zone or a release.
	// One worker is always allowed; otherwise small roles would never find out.
	Share float64
	// Away is how long a worker that ended and is not back counts as a loss. Then the role is taken to be that much smaller. It is some
	// times what the record of a worker needs to lapse, so that one which starts again at once is back before.
	Away time.Duration
	// Memory is how long the address of a worker that ended comes after the others: one that ends by itself, again and again, would have
	// requests barred that do no harm.
	CrashMemory time.Duration
	// Sets is into how many sets such requests are divided, so that one which ends workers meets few of the others again: over the workers
	// at risk as far as there are so many, and over time beyond, in turns of Turn. Without turns, of 50 plays at a role of four three ended
	// with a bar of an often asked request that does no harm. A turn is somewhat longer than such a request takes to end its worker.
	Sets int
	Turn time.Duration
}

// Round is how long the turns of all sets take, at the most.
func (s RiskSettings) Round() time.Duration { return time.Duration(s.Sets) * s.Turn }

// DefaultRiskSettings allow a quarter of a role.
func DefaultRiskSettings() RiskSettings {
	return RiskSettings{Share: 0.25, Away: 10 * time.Second, CrashMemory: 10 * time.Minute, Sets: 8, Turn: 100 * time.Millisecond}
}

// loss is the end of a worker.
type crash struct {
	worker *backend.Worker
	at     time.Time
	// isBack is set once there is another worker at its address, or in its place.
	replaced bool
}

// losses are the workers that ended, by the ids of their incarnations.
type crashes struct {
	byWorker map[string]*crash
	// backAfter is how long the last one took that came back; zero before.
	lastRecovery time.Duration
	// newcomers have come since Returned was called last.
	added []*workerState
	// counting is set once newcomers can be told from those that were there before.
	initialized bool
}

// Ended notes that a worker ended at a moment, as its connections or other gateways tell. Hearing it again changes nothing.
func (b *Balancer) Ended(now, at time.Time, id string) {
	state, found := b.workers[id]
	if b.crashes.byWorker[id] != nil || !found {
		return
	}
	for other, crash := range b.crashes.byWorker {
		if now.Sub(crash.at) > b.settings.Risk.CrashMemory {
			delete(b.crashes.byWorker, other)
		}
	}
	b.crashes.byWorker[id] = &crash{worker: state.worker, at: at}
}

// Returned notes which of the workers that ended have come back at their addresses, or have others in their place. It is called when the
// workers have changed.
func (b *Balancer) Returned(now time.Time) {
	for _, crash := range b.crashes.byWorker {
		if crash.replaced {
			continue
		}
		isReplacement := func(other *workerState) bool {
			return b.crashes.byWorker[other.worker.ID] == nil && slices.Contains(other.worker.Groups(), crash.worker.Group)
		}
		if slices.ContainsFunc(b.index.byAddress[crash.worker.Address], isReplacement) {
			b.markReplaced(now, crash)
		}
	}
	added := b.crashes.added
	b.crashes.added = nil
	if b.crashes.initialized {
		slices.SortFunc(added, func(a, b *workerState) int { return strings.Compare(a.worker.ID, b.worker.ID) })
		for _, state := range added {
			if replaced := b.oldestUnreplaced(state); replaced != nil {
				b.markReplaced(now, replaced)
			}
		}
	}
	// Those that are there when the first ones are known are no newcomers.
	b.crashes.initialized = b.crashes.initialized || len(b.workers) > 0
}

// isBack notes that a worker which ended is back, or that another one takes its place.
func (b *Balancer) markReplaced(now time.Time, crash *crash) {
	if !crash.replaced {
		crash.replaced, b.crashes.lastRecovery = true, min(now.Sub(crash.at), b.settings.Risk.Away)
	}
}

// firstAway returns the worker that ended first of those in whose place a newcomer may have come, or nil: another one has its address.
func (b *Balancer) oldestUnreplaced(added *workerState) *crash {
	var oldest *crash
	for _, crash := range b.crashes.byWorker {
		if crash.worker.Address == added.worker.Address {
			return nil
		}
		samePool := crash.worker.Role == added.worker.Role && crash.worker.Group == added.worker.Group
		if samePool && !crash.replaced && (oldest == nil || crash.at.Before(oldest.at)) {
			oldest = crash
		}
	}
	return oldest
}

// upAndAway returns the workers of a role that are up, by their addresses, and when those ended that are not back. One whose address
// refuses connections is away from now on, if its end was not told yet.
func (b *Balancer) liveAndMissing(now time.Time, query Query) (map[string]*workerState, []time.Time) {
	live := map[string]*workerState{}
	var missingSince []time.Time
	for _, candidate := range b.index.byGroup[query.Group] {
		crash := b.crashes.byWorker[candidate.worker.ID]
		isLive := crash == nil || now.Sub(crash.at) >= b.settings.Risk.Away
		if !isLive || candidate.worker.Draining || candidate.worker.Role != query.Role || candidate.changingRole(now) {
			continue
		}
		if candidate.unreachable(now) {
			missingSince = append(missingSince, now)
			continue
		}
		live[candidate.worker.Address] = candidate
	}
	for _, crash := range b.crashes.byWorker {
		if crash.affects(query) && !crash.replaced && now.Sub(crash.at) < b.settings.Risk.Away {
			missingSince = append(missingSince, crash.at)
		}
	}
	return live, missingSince
}

// isOf tells whether a worker that ended was of the role of a query.
func (c *crash) affects(query Query) bool {
	return c.worker.Role == query.Role && slices.Contains(c.worker.Groups(), query.Group)
}

// mostAtRisk returns at how many workers of a role requests may run that may end them.
func (b *Balancer) suspectCapacity(live, missing int) int {
	return max(int(b.settings.Risk.Share*float64(live+missing)), 1) - missing
}

// atRisk returns the workers at which requests may run that may end them: as many as the role can lose besides those that are away. All
// gateways that heard of the same ends choose the same ones, so that requests which come to several of them put no more at risk.
func (b *Balancer) suspectCandidates(now time.Time, query Query) []*workerState {
	live, missingSince := b.liveAndMissing(now, query)
	capacity := b.suspectCapacity(len(live), len(missingSince))
	if capacity <= 0 || (!query.Begun && b.untilTurn(now, query, capacity) > 0) {
		return nil
	}
	var candidates []*workerState
	for _, state := range b.suspectTargets(query, live, capacity) {
		if state.admitsNow(now) {
			candidates = append(candidates, state)
		}
	}
	return candidates
}

// mayEnd returns the workers that a request may end, of those that are up and so many at the most. Others do not take the place of one that
// it was tried at, or that wants no requests now.
func (b *Balancer) suspectTargets(query Query, live map[string]*workerState, capacity int) []*workerState {
	var workers []*workerState
	for _, address := range b.suspectOrder(query, live)[:min(capacity, len(live))] {
		if !slices.Contains(query.Excluded, live[address].worker.ID) {
			workers = append(workers, live[address])
		}
	}
	return workers
}

// untilOneTakes returns how long it takes until the first of some workers takes requests again.
func untilFirstAccepts(now time.Time, workers []*workerState) time.Duration {
	if len(workers) == 0 {
		return 0
	}
	first := slices.MinFunc(workers, func(a, b *workerState) int { return a.acceptsFrom(now).Compare(b.acceptsFrom(now)) })
	return max(first.acceptsFrom(now).Sub(now), 0)
}

// untilTurn returns how long a request waits for its turn at so many workers; zero when it is its turn. Turns are counted from the last
// end in the role, which all gateways know within some milliseconds, and each end shuffles the sets.
func (b *Balancer) untilTurn(now time.Time, query Query, workers int) time.Duration {
	sets := (b.settings.Risk.Sets + workers - 1) / workers
	lastCrash := ""
	for id, crash := range b.crashes.byWorker {
		if crash.affects(query) && (lastCrash == "" || crash.at.After(b.crashes.byWorker[lastCrash].at)) {
			lastCrash = id
		}
	}
	if sets <= 1 || lastCrash == "" {
		return 0
	}
	elapsed := now.Sub(b.crashes.byWorker[lastCrash].at)
	turn := b.settings.Risk.Turn
	ownSet := rendezvous.Slot(lastCrash+"/"+query.Apart, sets)
	turns := (ownSet - int(elapsed/turn)%sets + sets) % sets
	if turns == 0 {
		return 0
	}
	return time.Duration(turns)*turn - elapsed%turn
}

// riskOrder returns the addresses of workers, those at which none ended first, and those where it is longest ago.
func (b *Balancer) suspectOrder(query Query, live map[string]*workerState) []string {
	crashedAt := map[string]time.Time{}
	for _, crash := range b.crashes.byWorker {
		if address := crash.worker.Address; crash.at.After(crashedAt[address]) {
			crashedAt[address] = crash.at
		}
	}
	addresses := make([]string, 0, len(live))
	for address := range live {
		addresses = append(addresses, address)
	}
	ordered := rendezvous.Order(query.Group+"/"+string(query.Role), addresses)
	slices.SortStableFunc(ordered, func(a, b string) int { return crashedAt[a].Compare(crashedAt[b]) })
	return ordered
}

// RunsIn returns after how long a request that may end workers is expected to run: when it is its turn and a worker takes it, or when the first worker of the
// role that ended is back, as long as the last one took, or does not count as a loss any more.
func (b *Balancer) RunsIn(now time.Time, query Query) time.Duration {
	live, missingSince := b.liveAndMissing(now, query)
	if capacity := b.suspectCapacity(len(live), len(missingSince)); capacity > 0 {
		return max(b.untilTurn(now, query, capacity), untilFirstAccepts(now, b.suspectTargets(query, live, capacity)))
	}
	recovery := b.settings.Risk.Away
	if b.crashes.lastRecovery > 0 {
		recovery = b.crashes.lastRecovery
	}
	return max(recovery-now.Sub(slices.MinFunc(missingSince, time.Time.Compare)), 0)
}

// Tried tells whether a request that may end workers was tried at all those at which it may run: another one does not take their place.
func (b *Balancer) Tried(now time.Time, query Query) bool {
	live, missingSince := b.liveAndMissing(now, query)
	capacity := min(b.suspectCapacity(len(live), len(missingSince)), len(live))
	if capacity <= 0 || len(query.Excluded) == 0 {
		return false
	}
	return len(b.suspectTargets(query, live, capacity)) == 0
}
