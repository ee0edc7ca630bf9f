package balance

import (
	"time"

	"github.com/granitebay/granitebay/internal/backend"
)

// addRisks adds the costs of the risks of a response at a decode engine, and of those that it causes for the responses that the engine is
// decoding, which are assumed to have the same objective. All other components of the score are known.
func (b *Balancer) addRisks(now time.Time, query Query, worker *backend.Worker, load backend.Load, slotWait float64, score *Score) {
	response := query.Response
	if response.Remaining > 0 {
		response.Remaining = max(response.Remaining-time.Duration(score.TimeToFirstToken*float64(time.Second)), 1)
	}
	forecast := b.model.Forecast(now, worker, response, load)
	added := b.model.AddedPauseRisk(now, worker, response.PauseObjective, score.Prefill)
	score.PauseRisk = b.settings.PauseSeconds * (forecast.PauseRisk + added*float64(load.Decoding()))
	score.LateEnd = b.settings.LateEndSeconds * forecast.DeadlineRisk
	score.LateStart = b.settings.LateStartSeconds * response.LateStartRisk(time.Duration(slotWait*float64(time.Second)))
	score.Forecast = forecast
}
