package roleplan

import "github.com/granitebay/granitebay/internal/engine"

// ExpectedGoodput is the worth of answers in time a second that the plan expects of a number of engines by role.
// Engines may be counted in parts, for those that are out for a part of the time.
func ExpectedGoodput(demand Demand, engines map[engine.Role]float64, capacity *Capacity, settings Settings) float64 {
	loads := capacity.resolve(demand, settings)
	return goodput(loads, split{prefill: engines[engine.RolePrefill], decode: engines[engine.RoleDecode]}, settings)
}
