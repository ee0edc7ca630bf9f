package experiment

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/placement"
)

// scoredPlacer is the placement that routers use.
type scoredPlacer struct{ settings placement.Settings }

func (p scoredPlacer) place(_ time.Time, request placement.Request, engines []placement.Engine) placement.Result {
	return placement.Place(request, engines, p.settings)
}

// randomPlacer takes any engine that has room.
type randomPlacer struct{ settings placement.Settings }

func (p randomPlacer) place(_ time.Time, request placement.Request, engines []placement.Engine) placement.Result {
	open := openEngines(request, engines, p.settings)
	if len(open) == 0 {
		return placement.Result{}
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(request.ID))
	return placeAt(open[int(hash.Sum64()%uint64(len(open)))], request, engines, p.settings)
}

// reportPlacer takes the engine with the least load by its last report, which lags.
type reportPlacer struct {
	settings placement.Settings
	front    *front
}

func (p *reportPlacer) place(_ time.Time, request placement.Request, engines []placement.Engine) placement.Result {
	open := openEngines(request, engines, p.settings)
	if len(open) == 0 {
		return placement.Result{}
	}
	chosen := lo.MinBy(open, func(a, b string) bool { return p.load(a) < p.load(b) })
	return placeAt(chosen, request, engines, p.settings)
}

// load is the share of slots in use by the last report.
func (p *reportPlacer) load(name string) float64 {
	state := p.front.engines[p.front.fleet.index[name]]
	slots := p.settings.Speeds[state.configuration.Role].Slots
	return float64(state.report.Running+state.report.Waiting) / float64(slots)
}

// placeAt is the result for a given engine, so that baselines give up late requests like the placement of routers.
func placeAt(name string, request placement.Request, engines []placement.Engine, settings placement.Settings) placement.Result {
	only := lo.Filter(engines, func(each placement.Engine, _ int) bool { return each.Name == name })
	return placement.Place(request, only, settings)
}

// openEngines returns the engines that no filter removes, by name.
func openEngines(request placement.Request, engines []placement.Engine, settings placement.Settings) []string {
	result := placement.Place(request, engines, settings)
	open := lo.FilterMap(result.Candidates, func(each decision.Candidate, _ int) (string, bool) {
		return each.Name, each.FilteredBy == ""
	})
	slices.Sort(open)
	return open
}
