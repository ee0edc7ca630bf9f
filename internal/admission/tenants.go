package admission

import (
	"math"
	"time"
)

// tenantUsage counts the tokens that tenants started, decaying with a window. Shares are max-min fair: a tenant pays only for what exceeds an
// equal division among the tenants that use the group.
type tenantUsage struct {
	window time.Duration
	at     time.Time
	tokens map[string]float64
	total  float64
}

// newTenantUsage returns an empty count.
func newTenantUsage(window time.Duration) *tenantUsage {
	return &tenantUsage{window: window, tokens: map[string]float64{}}
}

// negligibleTokens is the count below which a tenant is forgotten.
const negligibleTokens = 1

// add adds the tokens of a request.
func (u *tenantUsage) add(now time.Time, tenant string, tokens int) {
	if tenant == "" {
		return
	}
	u.decay(now)
	u.tokens[tenant] += float64(tokens)
	u.total += float64(tokens)
}

// decay reduces all counts by the time since the last call.
func (u *tenantUsage) decay(now time.Time) {
	elapsed := now.Sub(u.at)
	if elapsed < decayInterval {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / u.window.Seconds())
	u.at, u.total = now, 0
	for tenant, tokens := range u.tokens {
		if tokens *= factor; tokens < negligibleTokens {
			delete(u.tokens, tenant)
			continue
		}
		u.tokens[tenant] = tokens
		u.total += tokens
	}
}

// exceedsShare reports whether a tenant used more than slack times an equal share of the tokens.
func (u *tenantUsage) exceedsShare(now time.Time, tenant string, slack float64) bool {
	if tenant == "" {
		return false
	}
	u.decay(now)
	return len(u.tokens) > 1 && u.tokens[tenant] > slack*u.total/float64(len(u.tokens))
}
