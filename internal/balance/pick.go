package balance

import (
	"slices"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/enginemodel"
	"github.com/granitebay/granitebay/internal/rendezvous"
)

// Pick returns the cheapest worker for a query, or false when every worker was filtered out.
func (b *Balancer) Pick(now time.Time, query Query) (Choice, bool) {
	candidates := b.candidates(now, query)
	if len(candidates.states) == 0 {
		return Choice{}, false
	}
	estimate := b.model.Estimate(now, enginemodel.Class{Group: candidates.states[0].worker.Group, Role: query.Role})
	var best *state
	var bestScore Score
	for _, candidate := range candidates.states {
		score := b.scoreInDoubt(now, query, candidate, estimate)
		if best == nil || cheaper(score, bestScore, candidate == candidates.home) {
			best, bestScore = candidate, score
		}
	}
	if query.Apart != "" {
		best, bestScore = b.apart(now, query, candidates.states, bestScore, estimate)
	}
	return Choice{Worker: best.worker, Score: bestScore, Candidates: len(candidates.states)}, true
}

// candidates returns the workers that are looked at for the request.
func (b *Balancer) candidates(now time.Time, query Query) shortlist {
	if query.Apart != "" {
		states := b.atRisk(now, query)
		return shortlist{states: states, home: preferred(query, states)}
	}
	return b.list(now, query)
}

// apart returns the candidate that the key of a query prefers among those that cost little more than the cheapest.
func (b *Balancer) apart(
	now time.Time, query Query, candidates []*state, cheapest Score, estimate enginemodel.Estimate,
) (*state, Score) {
	near := map[string]*state{}
	var addresses []string
	for _, candidate := range candidates {
		if b.scoreInDoubt(now, query, candidate, estimate).Total() <= cheapest.Total()+b.settings.ApartSeconds {
			near[candidate.worker.Address] = candidate
			addresses = append(addresses, candidate.worker.Address)
		}
	}
	chosen := near[rendezvous.First(query.Apart, addresses)]
	return chosen, b.scoreInDoubt(now, query, chosen, estimate)
}

// scoreInDoubt estimates the cost of one worker, with that of one that is set aside.
func (b *Balancer) scoreInDoubt(now time.Time, query Query, candidate *state, estimate enginemodel.Estimate) Score {
	score := b.score(now, query, candidate, estimate)
	if candidate.health.ejected(now) {
		score.Doubt = b.settings.Health.DoubtSeconds
	}
	return score
}

// cheaper compares two scores; the candidate wins a tie if it is preferred.
func cheaper(score, best Score, preferred bool) bool {
	if score.Total() == best.Total() {
		return preferred
	}
	return score.Total() < best.Total()
}

// filter returns the workers that may take the request. Workers that are set aside for their failures come back when too
// few others are left.
func (b *Balancer) filter(now time.Time, query Query) []*state {
	var healthy, ejected []*state
	for _, candidate := range b.pools.groups[query.Group] {
		switch {
		case candidate.worker.Role != query.Role || !candidate.takesWork(now):
		case slices.Contains(query.Excluded, candidate.worker.ID):
		case candidate.health.ejected(now):
			ejected = append(ejected, candidate)
		default:
			healthy = append(healthy, candidate)
		}
	}
	return b.withEjected(healthy, ejected)
}

// withEjected returns the healthy workers, and those that are set aside where too few others are left.
func (b *Balancer) withEjected(healthy, ejected []*state) []*state {
	least := float64(len(healthy)+len(ejected)) * b.settings.Health.LeastHealthyShare
	if len(healthy) == 0 || float64(len(healthy)) < least {
		return append(healthy, ejected...)
	}
	return healthy
}

// score estimates the cost of one worker.
func (b *Balancer) score(now time.Time, query Query, candidate *state, estimate enginemodel.Estimate) Score {
	worker := candidate.worker
	load := b.loadAt(candidate)
	var score Score
	if worker.Role == backend.RoleNone {
		score.Queue = float64(load.Running) * estimate.RunSeconds / float64(max(worker.Slots, 1))
	} else {
		perToken := estimate.SecondsPerToken * b.model.Slowness(now, enginemodel.ClassOf(worker), worker.ID)
		score.Queue = float64(load.Running)*b.settings.SecondsPerRun + float64(tokensAhead(query, load))*perToken
		score.addReading(query, worker, perToken)
		score.Wait = float64(tokensAhead(query, load)) * perToken
		score.Answer = estimate.StartSeconds + score.Wait + score.Reading
	}
	if worker.Role == backend.RoleDecode {
		wait := slotSeconds(estimate, load.Writing(), worker.Slots)
		score.HoldUp = score.Reading * b.settings.HoldUpWeight * float64(load.Writing())
		score.Queue += wait
		score.Wait += wait
		score.Answer += wait
	}
	if query.Zone != "" && worker.Zone != query.Zone {
		score.Distance = b.settings.OtherZoneSeconds
	}
	return score
}

// tokensAhead is what a worker reads before the prompt of a query.
func tokensAhead(query Query, load backend.Load) int {
	if query.Deferred {
		return load.ReadingTokens + load.DeferredTokens
	}
	return load.ReadingTokens
}

// addReading adds what the prompt costs a worker that reads a token in a time.
func (s *Score) addReading(query Query, worker *backend.Worker, perToken float64) {
	if query.Reading == nil {
		return
	}
	reading := query.Reading(worker)
	s.Reading = float64(reading.Tokens) * perToken
	s.Transfer = reading.TransferSeconds
}

// slotSeconds is how long a new run waits for a place among those that are running.
func slotSeconds(estimate enginemodel.Estimate, running, slots int) float64 {
	over := running + 1 - slots
	if over <= 0 || slots <= 0 {
		return 0
	}
	return float64(over) * estimate.RunSeconds / float64(slots)
}

// preferred returns the worker that wins ties: the same one for all gateways that know the same workers.
func preferred(query Query, candidates []*state) *state {
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

// addresses lists the addresses of workers. Unlike ids they stay the same when a worker starts again.
func addresses(candidates []*state) []string {
	result := make([]string, len(candidates))
	for i, candidate := range candidates {
		result[i] = candidate.worker.Address
	}
	return result
}
