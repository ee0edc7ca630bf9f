package balance

import (
	"slices"
	"strings"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/rendezvous"
)

// RiskSettings limits how many workers of a role suspects may crash. Query.SuspectKey marks a suspect.
type RiskSettings struct {
	// Share is the share of a role that may be missing or serving suspects at any one time. It allows at least
	// one worker, so that suspects can be cleared or confirmed in small roles too.
	Share float64
	// MissingTimeout is how long a crashed worker that has not been replaced counts as missing. Afterwards the role is
	// considered smaller. It exceeds the lifetime of a registration, so that a worker that restarts at once is back
	// before it stops counting as missing.
	MissingTimeout time.Duration
	// For CrashMemory after a crash, suspects try the address of the worker last. Otherwise a worker that crashes
	// repeatedly by itself would get harmless requests barred.
	CrashMemory time.Duration
	// Sets is the maximum number of sets into which suspects are divided. If n workers may serve suspects, they are
	// divided into Sets/n sets, rounded up, which take turns, so that a suspect that crashes workers runs beside few of
	// the others. Without turns, 3 of 50 simulations of a role of four workers barred a frequent request that does no harm.
	Sets int
	// Turn is the length of a turn, somewhat longer than a suspect needs to crash its worker.
	Turn time.Duration
}

// Round returns the maximum duration of one turn of each set.
func (s RiskSettings) Round() time.Duration { return time.Duration(s.Sets) * s.Turn }

// DefaultRiskSettings returns the default settings.
func DefaultRiskSettings() RiskSettings {
	return RiskSettings{Share: 0.25, MissingTimeout: 10 * time.Second, CrashMemory: 10 * time.Minute, Sets: 8, Turn: 100 * time.Millisecond}
}

// crash records the crash of a worker.
type crash struct {
	worker *backend.Worker
	at     time.Time
	// replaced is set once another worker has registered at the same address or in place of the crashed one.
	replaced bool
}

// crashes holds the recent crashes.
type crashes struct {
	byWorker map[string]*crash
	// lastRecovery is how long the replacement of the last replaced worker took, zero if there was none.
	lastRecovery time.Duration
	// added holds the workers that were added since the last call of MatchReplacements.
	added []*workerState
	// initialized is set once the first workers have been added. These replace no crashed worker.
	initialized bool
}

// RecordCrash records that a worker crashed at the given time, as its connections or other gateways report. Repeated
// calls have no effect.
func (b *Balancer) RecordCrash(now, at time.Time, id string) {
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

// MatchReplacements matches added workers with the crashed workers that they replace. It must be called after each
// change of the workers.
func (b *Balancer) MatchReplacements(now time.Time) {
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
	// The initial workers replace no crashed one.
	b.crashes.initialized = b.crashes.initialized || len(b.workers) > 0
}

// markReplaced records that a crashed worker has been replaced.
func (b *Balancer) markReplaced(now time.Time, crash *crash) {
	if !crash.replaced {
		crash.replaced, b.crashes.lastRecovery = true, min(now.Sub(crash.at), b.settings.Risk.MissingTimeout)
	}
}

// oldestUnreplaced returns the earliest crash in the role of an added worker that has not been replaced. It returns
// nil if a worker crashed at the address of the added one, which is matched by address.
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

// liveAndMissing returns the live workers of a role by address, and since when the missing ones are missing. A worker
// whose address refuses connections, and which has not crashed within MissingTimeout, counts as missing since now.
func (b *Balancer) liveAndMissing(now time.Time, query Query) (map[string]*workerState, []time.Time) {
	live := map[string]*workerState{}
	var missingSince []time.Time
	for _, candidate := range b.index.byGroup[query.Group] {
		crash := b.crashes.byWorker[candidate.worker.ID]
		isLive := crash == nil || now.Sub(crash.at) >= b.settings.Risk.MissingTimeout
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
		if crash.affects(query) && !crash.replaced && now.Sub(crash.at) < b.settings.Risk.MissingTimeout {
			missingSince = append(missingSince, crash.at)
		}
	}
	return live, missingSince
}

// affects reports whether the crashed worker belongs to the role of the query.
func (c *crash) affects(query Query) bool {
	return c.worker.Role == query.Role && slices.Contains(c.worker.Groups(), query.Group)
}

// suspectCapacity returns how many workers of a role may serve suspects. It is not positive if none may.
func (b *Balancer) suspectCapacity(live, missing int) int {
	return max(int(b.settings.Risk.Share*float64(live+missing)), 1) - missing
}

// suspectCandidates returns the workers that may serve the suspect now: as many as the role can lose in addition to
// those that are missing. Gateways that know the same crashes return the same workers, so that together they expose no
// more workers than one gateway.
func (b *Balancer) suspectCandidates(now time.Time, query Query) []*workerState {
	live, missingSince := b.liveAndMissing(now, query)
	capacity := b.suspectCapacity(len(live), len(missingSince))
	if capacity <= 0 || (!query.Prefilled && b.untilTurn(now, query, capacity) > 0) {
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

// suspectTargets returns the live workers that may serve the suspect, at most capacity. Workers where it has been
// tried are left out, and no others take their place. If none of them is eligible for the query, the first one that is
// takes their place, so that each kind of worker adds at most one to those that suspects put at risk.
func (b *Balancer) suspectTargets(query Query, live map[string]*workerState, capacity int) []*workerState {
	var workers []*workerState
	hasEligible := false
	for i, address := range b.suspectOrder(query, live) {
		if i >= capacity && (hasEligible || query.Eligible == nil) {
			break
		}
		worker := live[address].worker
		if query.Eligible != nil && !query.Eligible(worker) {
			continue
		}
		hasEligible = true
		if !slices.Contains(query.Excluded, worker.ID) {
			workers = append(workers, live[address])
		}
	}
	return workers
}

// untilFirstAccepts returns the time until the first of the workers accepts requests.
func untilFirstAccepts(now time.Time, workers []*workerState) time.Duration {
	if len(workers) == 0 {
		return 0
	}
	first := slices.MinFunc(workers, func(a, b *workerState) int { return a.acceptsFrom(now).Compare(b.acceptsFrom(now)) })
	return max(first.acceptsFrom(now).Sub(now), 0)
}

// untilTurn returns the time until the turn of the suspect, or zero if it is its turn, given the number of workers that
// may serve suspects. Turns are counted from the last crash in the role, and each crash reshuffles the sets.
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
	ownSet := rendezvous.Bucket(lastCrash+"/"+query.SuspectKey, sets)
	turns := (ownSet - int(elapsed/turn)%sets + sets) % sets
	if turns == 0 {
		return 0
	}
	return time.Duration(turns)*turn - elapsed%turn
}

// suspectOrder returns the addresses of the workers in the order of preference: those without a recent crash first,
// then by the time of the last crash, the earliest first.
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

// SuspectWait returns the expected time until the suspect can run: when it is its turn and a worker accepts it. If too
// many workers are missing, it is when the first of them is expected to be replaced, or no longer counts as missing.
func (b *Balancer) SuspectWait(now time.Time, query Query) time.Duration {
	live, missingSince := b.liveAndMissing(now, query)
	if capacity := b.suspectCapacity(len(live), len(missingSince)); capacity > 0 {
		return max(b.untilTurn(now, query, capacity), untilFirstAccepts(now, b.suspectTargets(query, live, capacity)))
	}
	recovery := b.settings.Risk.MissingTimeout
	if b.crashes.lastRecovery > 0 {
		recovery = b.crashes.lastRecovery
	}
	return max(recovery-now.Sub(slices.MinFunc(missingSince, time.Time.Compare)), 0)
}

// SuspectExhausted reports whether the suspect has been tried at every worker that may serve it.
func (b *Balancer) SuspectExhausted(now time.Time, query Query) bool {
	live, missingSince := b.liveAndMissing(now, query)
	capacity := min(b.suspectCapacity(len(live), len(missingSince)), len(live))
	if capacity <= 0 || (len(query.Excluded) == 0 && query.Eligible == nil) {
		return false
	}
	return len(b.suspectTargets(query, live, capacity)) == 0
}
