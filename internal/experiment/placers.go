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
	return placement.Result{Engine: open[int(hash.Sum64()%uint64(len(open)))]}
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
	return placement.Result{Engine: lo.MinBy(open, func(a, b string) bool { return p.load(a) < p.load(b) })}
}

// load is the share of slots in use by the last report.
func (p *reportPlacer) load(name string) float64 {
	state := p.front.engines[p.front.fleet.index[name]]
	slots := p.settings.Speeds[state.configuration.Role].Slots
	return float64(state.report.Running+state.report.Waiting) / float64(slots)
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
