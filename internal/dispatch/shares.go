package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/samber/lo"
)

// Constants of fair shares, measured by `experiment flood` (docs/measurements/mix-shift.md).
const (
	// shareMemory is the time in which work fades to 1/e.
	shareMemory = 10 * time.Second
	// shareTolerance is how far above its share a tenant may be without giving way.
	shareTolerance = 1.2
	// shareExponent is how sharply a tenant above its share gives way.
	shareExponent = 3
	// leastWork is the work below which a tenant does not count as active, in prompt tokens.
	leastWork = 1
)

// tenantShares measures which part of the work that was lately given to engines each tenant had.
type tenantShares struct {
	work   map[string]float64
	weight map[string]float64
	last   time.Time
}

func newTenantShares() *tenantShares {
	return &tenantShares{work: make(map[string]float64), weight: make(map[string]float64)}
}

// record counts a request that was given to an engine.
func (t *tenantShares) record(now time.Time, entry *request) {
	t.fade(now)
	tenant := entry.work.GetTenant()
	t.work[tenant] += cost(entry)
	t.weight[tenant] = max(entry.policy.Weight, minimumWeight)
}

// slack is the part of the slack before its deadlines that a tenant may use: 1 for tenants within their share.
func (t *tenantShares) slack(now time.Time, tenant string) float64 {
	t.fade(now)
	if len(t.work) < 2 || t.work[tenant] <= 0 {
		return 1
	}
	names := lo.Keys(t.work)
	slices.Sort(names)
	work := lo.SumBy(names, func(name string) float64 { return t.work[name] })
	weight := lo.SumBy(names, func(name string) float64 { return t.weight[name] })
	over := t.work[tenant] / work * weight / t.weight[tenant] / shareTolerance
	return min(1, math.Pow(over, -shareExponent))
}

// fade lets old work count less.
func (t *tenantShares) fade(now time.Time) {
	elapsed := now.Sub(t.last)
	if elapsed <= 0 {
		return
	}
	t.last = now
	factor := math.Exp(-elapsed.Seconds() / shareMemory.Seconds())
	for tenant, work := range t.work {
		if work*factor < leastWork {
			delete(t.work, tenant)
			delete(t.weight, tenant)
			continue
		}
		t.work[tenant] = work * factor
	}
}
