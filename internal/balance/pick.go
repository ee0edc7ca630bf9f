package balance

import (
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/enginemodel"
	"github.com/granitebay/granitebay/internal/rendezvous"
)

// Pick returns the cheapest worker for a query, or false if no worker is eligible.
func (b *Balancer) Pick(now time.Time, query Query) (Choice, bool) {
	candidates := b.candidates(now, query)
	if len(candidates.states) == 0 {
		return Choice{}, false
	}
	estimate := b.model.Estimate(now, enginemodel.Class{Group: candidates.states[0].worker.Group, Role: query.Role})
	var best *workerState
	var bestScore Score
	for _, candidate := range candidates.states {
		score := b.scoreWithPenalty(now, query, candidate, estimate)
		if best == nil || isCheaper(score, bestScore, candidate == candidates.preferred) {
			best, bestScore = candidate, score
		}
	}
	if query.SuspectKey != "" {
		best, bestScore = b.spreadSuspect(now, query, candidates.states, bestScore, estimate)
	}
	return Choice{Worker: best.worker, Score: bestScore, Candidates: len(candidates.states)}, true
}

// candidates returns the workers to score for the query.
func (b *Balancer) candidates(now time.Time, query Query) shortlist {
	if query.SuspectKey != "" {
		states := b.suspectCandidates(now, query)
		return shortlist{states: states, preferred: preferredWorker(query, states)}
	}
	return b.shortlistWorkers(now, query)
}

// spreadSuspect returns the candidate that the suspect key selects among those whose cost is at most
// SuspectSpreadSeconds above the cheapest.
func (b *Balancer) spreadSuspect(
	now time.Time, query Query, candidates []*workerState, cheapest Score, estimate enginemodel.Estimate,
) (*workerState, Score) {
	affordable := map[string]*workerState{}
	var addresses []string
	for _, candidate := range candidates {
		if b.scoreWithPenalty(now, query, candidate, estimate).Total() <= cheapest.Total()+b.settings.SuspectSpreadSeconds {
			affordable[candidate.worker.Address] = candidate
			addresses = append(addresses, candidate.worker.Address)
		}
	}
	chosen := affordable[rendezvous.First(query.SuspectKey, addresses)]
	return chosen, b.scoreWithPenalty(now, query, chosen, estimate)
}

// scoreWithPenalty returns the score of a worker, including the penalty for an ejected one.
func (b *Balancer) scoreWithPenalty(now time.Time, query Query, candidate *workerState, estimate enginemodel.Estimate) Score {
	score := b.score(now, query, candidate, estimate)
	if candidate.health.ejected(now) {
		score.EjectedPenalty = b.settings.Health.EjectedPenaltySeconds
	}
	return score
}

// isCheaper reports whether a score is lower than the best one so far. A preferred candidate wins a tie.
func isCheaper(score, best Score, preferred bool) bool {
	if score.Total() == best.Total() {
		return preferred
	}
	return score.Total() < best.Total()
}

// eligibleWorkers returns the workers that can accept the request. Ejected workers are included if too few healthy
// ones are left.
func (b *Balancer) eligibleWorkers(now time.Time, query Query) []*workerState {
	var healthy, ejected []*workerState
	for _, candidate := range b.index.byGroup[query.Group] {
		switch {
		case candidate.worker.Role != query.Role || !candidate.acceptsNow(now):
		case !query.allows(candidate.worker):
		case candidate.health.ejected(now):
			ejected = append(ejected, candidate)
		default:
			healthy = append(healthy, candidate)
		}
	}
	return b.withEjected(healthy, ejected)
}

// withEjected returns the healthy workers, and the ejected ones too if too few are healthy.
func (b *Balancer) withEjected(healthy, ejected []*workerState) []*workerState {
	minHealthy := float64(len(healthy)+len(ejected)) * b.settings.Health.MinHealthyShare
	if len(healthy) == 0 || float64(len(healthy)) < minHealthy {
		return append(healthy, ejected...)
	}
	return healthy
}

// score estimates the cost of one worker.
func (b *Balancer) score(now time.Time, query Query, candidate *workerState, estimate enginemodel.Estimate) Score {
	worker := candidate.worker
	load := b.combinedLoad(candidate)
	var score Score
	if worker.Role == backend.RoleNone {
		score.Queue = float64(load.Running) * estimate.ServiceSeconds / float64(max(worker.Slots, 1))
	} else {
		perToken := estimate.SecondsPerToken * b.model.Slowdown(now, enginemodel.ClassOf(worker), worker.ID)
		ahead := tokensAhead(query, worker.Role, load) * perToken
		score.Queue = float64(load.Running)*b.settings.SecondsPerRequest + ahead
		score.addPrefill(query, worker, perToken)
		score.QueueWait = ahead
		score.TimeToFirstToken = estimate.BaseSeconds + score.QueueWait + score.Prefill
	}
	if worker.Role == backend.RoleDecode {
		wait := slotWaitSeconds(estimate, query, load, worker.Slots)
		score.Interference = score.Prefill * b.settings.InterferenceWeight * float64(load.Decoding())
		score.Queue += wait
		score.QueueWait += wait
		score.SlotWait = wait
		score.TimeToFirstToken += wait
		b.addRisks(now, query, worker, load, wait, &score)
	}
	if query.Zone != "" && worker.Zone != query.Zone {
		score.ZoneCost = b.settings.OtherZoneSeconds
	}
	return score
}

// tokensAhead returns how many tokens the worker prefills before the prompt of the query. One prompt is prefilled already and does not yield.
func tokensAhead(query Query, role backend.Role, load backend.Load) float64 {
	tokens := load.PrefillTokens
	if query.Deferred {
		tokens += load.DeferredTokens
	}
	if role != backend.RolePrefill {
		return float64(tokens)
	}
	yielding := float64(tokens) * query.YieldingShare
	current := float64(tokens) / float64(max(load.Prefilling, 1))
	return (float64(tokens) - max(yielding-current, 0)) / (1 - query.UrgentLoad)
}

// addPrefill adds the prefill cost of the prompt at a worker with the given time per token.
func (s *Score) addPrefill(query Query, worker *backend.Worker, perToken float64) {
	if query.PrefillCost == nil {
		return
	}
	prefill := query.PrefillCost(worker)
	s.Prefill = float64(prefill.Tokens) * perToken
	s.Transfer = prefill.TransferSeconds
}

// slotWaitSeconds returns the expected time until a decode engine with the given load has a free slot for the request of a query. Requests
// that run don't yield, so that it takes one slot to become free at least.
func slotWaitSeconds(estimate enginemodel.Estimate, query Query, load backend.Load, slots int) float64 {
	running := load.Decoding()
	if query.BehindWaiting {
		running += load.Waiting
	}
	excess := running + 1 - slots
	if excess <= 0 || slots <= 0 {
		return 0
	}
	ahead := max(float64(excess)*(1-query.YieldingShare), 1)
	return ahead * estimate.ServiceSeconds / float64(slots) / (1 - query.UrgentLoad)
}

// preferredWorker returns the worker that wins ties. It is the same on all gateways with the same workers.
func preferredWorker(query Query, candidates []*workerState) *workerState {
	key := query.Key
	if key == "" {
		key = query.Request
	}
	address := rendezvous.First(key, addresses(candidates))
	for _, candidate := range candidates {
		if candidate.worker.Address == address {
			return candidate
		}
	}
	return nil
}

// addresses returns the addresses of the candidates. Unlike IDs, they survive a restart of the worker.
func addresses(candidates []*workerState) []string {
	result := make([]string, len(candidates))
	for i, candidate := range candidates {
		result[i] = candidate.worker.Address
	}
	return result
}
