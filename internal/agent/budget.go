package agent

import "time"

// retryBudget limits retries to a share of recent successes and a small steady rate, so that retries cannot multiply
// the load of a system that is already failing.
type retryBudget struct {
	share     float64
	reserve   float64
	perSecond float64
	available float64
	updated   time.Time
}

func newRetryBudget(settings Settings) retryBudget {
	return retryBudget{
		share:     settings.RetryShare,
		reserve:   settings.RetryReserve,
		perSecond: settings.RetriesPerSecond,
		available: settings.RetryReserve,
	}
}

// succeeded pays for a share of a retry.
func (b *retryBudget) succeeded() {
	b.available = min(b.reserve, b.available+b.share)
}

// take spends one retry and tells whether there was one to spend.
func (b *retryBudget) take(now time.Time) bool {
	if !b.updated.IsZero() && now.After(b.updated) {
		b.available = min(b.reserve, b.available+b.perSecond*now.Sub(b.updated).Seconds())
	}
	b.updated = now
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}
