package placement

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/decision"
)

// scoreDigits rounds scores, so that equal engines tie and the seed decides.
const scoreDigits = 1e6

// scored is an engine that passed the filters.
type scored struct {
	engine *Engine
	// seconds is the whole cost and parts the cost by score, in the order of the scores.
	seconds float64
	parts   []float64
	tie     uint64
}

// Place chooses the engine for a request. The result depends only on the arguments, and not on the order of engines.
func Place(request Request, engines []Engine, settings Settings) Result {
	passed, removed := applyFilters(&request, engines, &settings)
	if len(passed) == 0 {
		return Result{Candidates: removed, Reason: reasonForNone(removed)}
	}
	ranked := rank(&request, passed, &settings)
	candidates := lo.Map(ranked, func(each scored, _ int) decision.Candidate {
		return decision.Candidate{Name: each.engine.Name, Score: -each.seconds}
	})
	best := ranked[0]
	speed := settings.Speeds[best.engine.Configuration.Role]
	return Result{
		Engine:            best.engine.Name,
		FirstTokenSeconds: firstTokenSeconds(&request, best.engine, speed),
		FinishSeconds:     finishSeconds(&request, best.engine, speed),
		Candidates:        append(candidates, removed...),
		Reason:            reasonForBest(best, len(ranked)),
	}
}

func applyFilters(request *Request, engines []Engine, settings *Settings) ([]*Engine, []decision.Candidate) {
	var passed []*Engine
	var removed []decision.Candidate
	for index := range engines {
		candidate := &engines[index]
		if name := removedBy(request, candidate, settings); name != noFilterRemoved {
			removed = append(removed, decision.Candidate{Name: candidate.Name, FilteredBy: name})
			continue
		}
		passed = append(passed, candidate)
	}
	slices.SortFunc(removed, func(a, b decision.Candidate) int { return cmp.Compare(a.Name, b.Name) })
	return passed, removed
}

// rank scores the engines and sorts them, cheapest first.
func rank(request *Request, engines []*Engine, settings *Settings) []scored {
	running := lo.SumBy(engines, func(each *Engine) int { return each.Running })
	shared := &situation{
		request:     request,
		settings:    settings,
		meanRunning: float64(running) / float64(len(engines)),
	}
	ranked := lo.Map(engines, func(each *Engine, _ int) scored { return shared.score(each) })
	slices.SortFunc(ranked, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.seconds, b.seconds), cmp.Compare(a.tie, b.tie),
			cmp.Compare(a.engine.Name, b.engine.Name))
	})
	return ranked
}

func (s *situation) score(candidate *Engine) scored {
	result := scored{engine: candidate, tie: tieBreak(s.settings.Seed, s.request.ID, candidate.Name)}
	speed := s.settings.Speeds[candidate.Configuration.Role]
	for _, each := range scores {
		part := s.settings.weight(each.name) * each.seconds(s, candidate, speed)
		result.parts = append(result.parts, part)
		result.seconds += part
	}
	result.seconds = math.Round(result.seconds*scoreDigits) / scoreDigits
	return result
}

// tieBreak is a number that differs for each request, so that equal engines share the work.
func tieBreak(seed uint64, request, engineName string) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%d/%s/%s", seed, request, engineName))
}

func reasonForBest(best scored, count int) string {
	var parts []string
	for index, each := range scores {
		if seconds := best.parts[index]; math.Abs(seconds) >= 0.0005 {
			parts = append(parts, fmt.Sprintf("%s %.3f s", each.name, seconds))
		}
	}
	return fmt.Sprintf("Least expected delay of %d engines, %.3f s: %s.", count, best.seconds, strings.Join(parts, ", "))
}

func reasonForNone(removed []decision.Candidate) string {
	if len(removed) == 0 {
		return "There is no engine."
	}
	counts := lo.CountValuesBy(removed, func(each decision.Candidate) string { return each.FilteredBy })
	names := lo.Keys(counts)
	slices.Sort(names)
	parts := lo.Map(names, func(name string, _ int) string { return fmt.Sprintf("%d by %s", counts[name], name) })
	return "Every engine was filtered out: " + strings.Join(parts, ", ") + "."
}
