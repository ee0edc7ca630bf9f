package forward

import (
	"maps"
	"slices"
	"time"

	"github.com/granitebay/granitebay/internal/quota"
	"github.com/granitebay/granitebay/internal/retrybudget"
)

// repeats are the budgets of this gateway, one for each group. It is guarded by the mutex of the dispatcher.
type retryBudgets struct {
	settings retrybudget.Settings
	// now never jumps and goes on while the machine sleeps: a jump would empty the window, or hold it still, and the others go on
	// spending. Its values are compared with each other only.
	now     func() time.Time
	share   *retrybudget.Share
	budgets map[string]*groupBudget
	// first is the part of what may be kept with which budgets began at the first start of the whole system, else 0.
	initialShare float64
	// onUsedUp is told of a budget that is used up. Nil tells nobody.
	onExhausted func(group string, view retrybudget.View)
}

// groupBudget is the budget of one group, and when it was last told to be used up.
type groupBudget struct {
	*retrybudget.Budget
	exhaustionReportedAt time.Time
}

// newRepeats returns the budgets of a gateway that has not been asked for anything.
func newRetryBudgets(settings retrybudget.Settings, sinceBoot func() time.Time) *retryBudgets {
	return &retryBudgets{
		settings: settings, now: sinceBoot, share: retrybudget.NewShare(settings.Window), budgets: map[string]*groupBudget{},
	}
}

// of returns the budget of a group. One that is asked for first has earned since the share has been in force.
func (r *retryBudgets) forGroup(group string) *groupBudget {
	budget, found := r.budgets[group]
	if !found {
		budget = &groupBudget{Budget: retrybudget.New(r.settings)}
		now := r.now()
		budget.Earn(r.share.Since(now), r.share.At(now))
		budget.Begin(now, r.share.At(now), r.initialShare)
		r.budgets[group] = budget
	}
	return budget
}

// shareChanged has all budgets earn with the share of a moment.
func (r *retryBudgets) accrue(now time.Time) {
	share := r.share.At(now)
	for _, budget := range r.budgets {
		budget.Earn(now, share)
	}
}

// mayTell tells whether a budget that is used up is to be told: once within a window.
func (r *retryBudgets) shouldReportExhausted(budget *groupBudget, now time.Time) bool {
	if r.onExhausted == nil || (!budget.exhaustionReportedAt.IsZero() && now.Sub(budget.exhaustionReportedAt) < r.settings.Window) {
		return false
	}
	budget.exhaustionReportedAt = now
	return true
}

// SetSharers tells by how many the allowance of repeats is divided.
func (d *Dispatcher) SetSharers(count int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.retries.now()
	d.retries.accrue(now)
	d.retries.share.SetSharers(now, count)
	d.retries.accrue(now)
}

// BeginFirst is ConfirmShare where the whole system starts for the first time: the share begins at once.
func (d *Dispatcher) BeginFirst(at time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.retries.now()
	d.retries.accrue(now)
	d.updateHolders(func(holders *quota.Holders) { holders.Confirm(at) })
	initial := d.retries.share.BeginFirst(at)
	d.retries.accrue(now)
	if initial == 0 {
		return
	}
	d.retries.initialShare = initial
	for _, budget := range d.retries.budgets {
		budget.Begin(now, d.retries.share.At(now), initial)
	}
}

// ConfirmShare tells that the store held the registration of this gateway at a moment of boottime, and that the sharers were told by all
// changes up to then.
func (d *Dispatcher) ConfirmShare(at time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.retries.now()
	d.retries.accrue(now)
	d.retries.share.Confirm(at)
	d.retries.accrue(now)
	d.updateHolders(func(holders *quota.Holders) { holders.Confirm(at) })
}

// SetBudget replaces the bounds of repeats. What was earned and spent stays: settings are read anew whenever their file changes.
func (d *Dispatcher) SetBudget(settings retrybudget.Settings) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if settings == d.retries.settings {
		return
	}
	d.retries.settings = settings
	d.retries.share.SetWindow(settings.Window)
	d.updateHolders(func(holders *quota.Holders) { holders.SetValid(retrybudget.ValidFor(settings.Window)) })
	for _, budget := range d.retries.budgets {
		budget.SetSettings(d.retries.now(), settings)
	}
}

// WatchBudgets makes the dispatcher tell when the budget of a group is used up, once within a window for each. The function is
// called without a mutex, by the request that is denied.
func (d *Dispatcher) WatchBudgets(onExhausted func(group string, view retrybudget.View)) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.retries.onExhausted = onExhausted
}

// BudgetView is the budget of one group.
type BudgetView struct {
	Group string
	retrybudget.View
	// Sharers is by how many the allowance is divided.
	Sharers int
}

// Budgets returns the budgets of all groups that were asked for something, by name.
func (d *Dispatcher) Budgets() []BudgetView {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.retries.now()
	share, sharers := d.retries.share.At(now), d.retries.share.Sharers(now)
	var views []BudgetView
	for _, group := range slices.Sorted(maps.Keys(d.retries.budgets)) {
		views = append(views, BudgetView{Group: group, View: d.retries.budgets[group].View(now, share), Sharers: sharers})
	}
	return views
}

// CountRequest notes a request of a caller for a group.
func (d *Dispatcher) CountRequest(group string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.retries.now()
	d.retries.forGroup(group).CountRequest(now, d.retries.share.At(now))
}

// Repeats returns the budget of a group.
func (d *Dispatcher) RetryBudget(group string) RetryBudget {
	return RetryBudget{dispatcher: d, group: group}
}

// Repeats grants repeats of requests for one group.
type RetryBudget struct {
	dispatcher *Dispatcher
	group      string
}

// spend is part of budget. It tells of a used up budget without the mutex: a log that can't be written must keep no request waiting.
func (r RetryBudget) spend() bool {
	granted, report := r.takeRetry()
	if report != nil {
		report()
	}
	return granted
}

// take takes one repeat, and returns what is to be called if that has to be told, or nil.
func (r RetryBudget) takeRetry() (granted bool, report func()) {
	r.dispatcher.mutex.Lock()
	defer r.dispatcher.mutex.Unlock()
	budgets, now := r.dispatcher.retries, r.dispatcher.retries.now()
	budget, share := budgets.forGroup(r.group), budgets.share.At(now)
	if budget.Spend(now, share) {
		return true, nil
	}
	if !budgets.shouldReportExhausted(budget, now) {
		return false, nil
	}
	onExhausted, view := budgets.onExhausted, budget.View(now, share)
	return false, func() { onExhausted(r.group, view) }
}
