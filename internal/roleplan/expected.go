package roleplan

import "github.com/granitebay/granitebay/internal/engine"

// ExpectedGoodput is the worth of answers in time a second that the plan expects of a number of engines by role, going
// by the slow averages of the demand. Engines may be counted in parts, for those that are out for a part of the time.
func ExpectedGoodput(demand Demand, engines map[engine.Role]float64, capacity *Capacity, settings Settings) float64 {
	loads := capacity.resolve(demand, func(a Averages) float64 { return a.Slow }, settings)
	return goodput(loads, split{prefill: engines[engine.RolePrefill], decode: engines[engine.RoleDecode]}, settings)
}
