package experiment

import (
	"math"
	"time"
)

// tenantShares measures how much work each tenant lately had.
type tenantShares struct {
	work map[string]float64
	last time.Time
}

// Constants of fair shares.
const (
	// shareMemory is the time in which work fades to 1/e.
	shareMemory = 10 * time.Second
	// shareTolerance is how far above the mean of the others a tenant may be without giving way.
	shareTolerance = 1.5
	// shareExponent is how sharply a tenant above its share gives way.
	shareExponent = 3
	// leastSlack is the part of the slack that the heaviest tenant may use.
	leastSlack = 0
	// leastWork is the work below which a tenant does not count as active.
	leastWork = 1
)

func newTenantShares() *tenantShares { return &tenantShares{work: map[string]float64{}} }

// record counts work.
func (t *tenantShares) record(now time.Time, tenant string, work float64) {
	t.fade(now)
	t.work[tenant] += work
}

// slack is the part of the slack before its deadlines that a tenant may use: 1 for tenants within their share.
func (t *tenantShares) slack(now time.Time, tenant string) float64 {
	return max(leastSlack, math.Pow(t.within(now, tenant), shareExponent))
}

// demand is the part of a tenant's requests that counts as demand for the role plan.
func (t *tenantShares) demand(now time.Time, tenant string) float64 {
	return max(leastSlack, t.within(now, tenant))
}

// within is the part of a tenant's work that is within its share: as much as the others have on average, and a little.
func (t *tenantShares) within(now time.Time, tenant string) float64 {
	t.fade(now)
	total := 0.0
	for _, name := range sortedKeys(t.work) {
		total += t.work[name]
	}
	if len(t.work) < 2 || t.work[tenant] <= 0 {
		return 1
	}
	others := (total - t.work[tenant]) / float64(len(t.work)-1)
	return min(1, shareTolerance*others/t.work[tenant])
}

func (t *tenantShares) fade(now time.Time) {
	elapsed := now.Sub(t.last)
	t.last = now
	factor := math.Exp(-elapsed.Seconds() / shareMemory.Seconds())
	for tenant, work := range t.work {
		if work*factor < leastWork {
			delete(t.work, tenant)
			continue
		}
		t.work[tenant] = work * factor
	}
}
