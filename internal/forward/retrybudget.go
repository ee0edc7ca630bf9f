package forward

import (
	"maps"
	"slices"
	"time"

	"github.com/granitebay/granitebay/internal/quota"
	"github.com/granitebay/granitebay/internal/retrybudget"
)

// retryBudgets holds one retry budget per group. It is guarded by the mutex of the dispatcher.
type retryBudgets struct {
	settings retrybudget.Settings
	// now is the clock since boot, including suspended time. The wall clock is not used: a jump would clear or extend the window while other
	// gateways keep granting retries.
	now     func() time.Time
	share   *retrybudget.Share
	budgets map[string]*groupBudget
	// initialShare is the fraction of the maximum balance that new budgets start with; 0 unless the whole system was started for the first
	// time.
	initialShare float64
	// onExhausted is called when a budget is exhausted; may be nil.
	onExhausted func(group string, view retrybudget.View)
}

// groupBudget is the budget of one group, with the time at which it was last reported as exhausted.
type groupBudget struct {
	*retrybudget.Budget
	exhaustionReportedAt time.Time
}

// newRetryBudgets returns empty budgets.
func newRetryBudgets(settings retrybudget.Settings, sinceBoot func() time.Time) *retryBudgets {
	return &retryBudgets{
		settings: settings, now: sinceBoot, share: retrybudget.NewShare(settings.Window), budgets: map[string]*groupBudget{},
	}
}

// forGroup returns the budget of a group. A new budget is credited with what it would have accrued since
// this gateway's share took effect.
func (r *retryBudgets) forGroup(group string) *groupBudget {
	budget, found := r.budgets[group]
	if !found {
		budget = &groupBudget{Budget: retrybudget.New(r.settings)}
		now := r.now()
		budget.Accrue(r.share.Since(now), r.share.At(now))
		budget.AddInitialCredit(now, r.share.At(now), r.initialShare)
		r.budgets[group] = budget
	}
	return budget
}

// accrue credits all budgets up to now with the current share.
func (r *retryBudgets) accrue(now time.Time) {
	share := r.share.At(now)
	for _, budget := range r.budgets {
		budget.Accrue(now, share)
	}
}

// shouldReportExhausted reports whether an exhausted budget should be reported, which happens at most once per window.
func (r *retryBudgets) shouldReportExhausted(budget *groupBudget, now time.Time) bool {
	if r.onExhausted == nil || (!budget.exhaustionReportedAt.IsZero() && now.Sub(budget.exhaustionReportedAt) < r.settings.Window) {
		return false
	}
	budget.exhaustionReportedAt = now
	return true
}

// SetGatewayCount sets the number of gateways among which the retry allowance is divided.
func (d *Dispatcher) SetGatewayCount(count int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.retries.now()
	d.retries.accrue(now)
	d.retries.share.SetGatewayCount(now, count)
	d.retries.accrue(now)
}

// ConfirmFirstStart is like ConfirmShare, for a gateway that starts with the whole system: its share takes effect immediately.
func (d *Dispatcher) ConfirmFirstStart(at time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.retries.now()
	d.retries.accrue(now)
	d.updateQuotaGateways(func(gateways *quota.Holders) { gateways.Confirm(at) })
	initial := d.retries.share.ConfirmFirstStart(at)
	d.retries.accrue(now)
	if initial == 0 {
		return
	}
	d.retries.initialShare = initial
	for _, budget := range d.retries.budgets {
		budget.AddInitialCredit(now, d.retries.share.At(now), initial)
	}
}

// ConfirmShare records that at the given time (clock since boot) this gateway was registered in the store and SetGatewayCount had been
// called with all changes up to then.
func (d *Dispatcher) ConfirmShare(at time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.retries.now()
	d.retries.accrue(now)
	d.retries.share.Confirm(at)
	d.retries.accrue(now)
	d.updateQuotaGateways(func(gateways *quota.Holders) { gateways.Confirm(at) })
}

// SetBudget replaces the settings. Budgets keep their balance: a reload of the settings must not refill them.
func (d *Dispatcher) SetBudget(settings retrybudget.Settings) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if settings == d.retries.settings {
		return
	}
	d.retries.settings = settings
	d.retries.share.SetWindow(settings.Window)
	d.updateQuotaGateways(func(gateways *quota.Holders) {
		gateways.SetConfirmationTTL(retrybudget.ConfirmationTTL(settings.Window))
	})
	for _, budget := range d.retries.budgets {
		budget.SetSettings(d.retries.now(), settings)
	}
}

// OnBudgetExhausted sets a callback for exhausted budgets, called at most once per window and group. It is called without the mutex, in the
// goroutine of the request that was denied a retry.
func (d *Dispatcher) OnBudgetExhausted(onExhausted func(group string, view retrybudget.View)) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.retries.onExhausted = onExhausted
}

// BudgetView describes the budget of one group.
type BudgetView struct {
	Group string
	retrybudget.View
	// GatewayCount is the number of gateways among which the allowance is divided.
	GatewayCount int
}

// Budgets returns the budgets of all groups that received requests, ordered by name.
func (d *Dispatcher) Budgets() []BudgetView {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.retries.now()
	share, gatewayCount := d.retries.share.At(now), d.retries.share.GatewayCount(now)
	var views []BudgetView
	for _, group := range slices.Sorted(maps.Keys(d.retries.budgets)) {
		views = append(views, BudgetView{Group: group, View: d.retries.budgets[group].View(now, share), GatewayCount: gatewayCount})
	}
	return views
}

// CountRequest counts a request for a group.
func (d *Dispatcher) CountRequest(group string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.retries.now()
	d.retries.forGroup(group).CountRequest(now, d.retries.share.At(now))
}

// RetryBudget returns the budget of a group.
func (d *Dispatcher) RetryBudget(group string) RetryBudget {
	return RetryBudget{dispatcher: d, group: group}
}

// RetryBudget limits the retries of requests for one group.
type RetryBudget struct {
	dispatcher *Dispatcher
	group      string
}

// takeRetry implements retrySource.
func (r RetryBudget) takeRetry() bool { return r.ask((*retrybudget.Budget).Spend) }

// hasRetry reports whether a retry could be taken. If not, it counts as one that was denied.
func (r RetryBudget) hasRetry() bool { return r.ask((*retrybudget.Budget).Check) }

// isExhausted reports whether the budget has no retry. It does not count as a retry that was denied.
func (r RetryBudget) isExhausted() bool {
	r.dispatcher.mutex.Lock()
	defer r.dispatcher.mutex.Unlock()
	budgets, now := r.dispatcher.retries, r.dispatcher.retries.now()
	return budgets.forGroup(r.group).View(now, budgets.share.At(now)).Left < 1
}

// ask asks the budget for a retry. It reports an exhausted budget without holding the mutex, so that a blocked log does not block other requests.
func (r RetryBudget) ask(check func(budget *retrybudget.Budget, now time.Time, share float64) bool) bool {
	granted, report := r.askWithReport(check)
	if report != nil {
		report()
	}
	return granted
}

// askWithReport asks the budget for a retry. If the budget is exhausted and that should be reported, it returns the function to call.
func (r RetryBudget) askWithReport(check func(budget *retrybudget.Budget, now time.Time, share float64) bool) (granted bool, report func()) {
	r.dispatcher.mutex.Lock()
	defer r.dispatcher.mutex.Unlock()
	budgets, now := r.dispatcher.retries, r.dispatcher.retries.now()
	budget, share := budgets.forGroup(r.group), budgets.share.At(now)
	if check(budget.Budget, now, share) {
		return true, nil
	}
	if !budgets.shouldReportExhausted(budget, now) {
		return false, nil
	}
	onExhausted, view := budgets.onExhausted, budget.View(now, share)
	return false, func() { onExhausted(r.group, view) }
}
