package forward

import (
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/retrybudget"
)

// fakeClock is a manually advanced clock.
type fakeClock struct{ elapsed time.Duration }

func (c *fakeClock) now() time.Time { return simEpoch.Add(c.elapsed) }

// newBudgetDispatcher returns a dispatcher that is one of four gateways and whose share has been in force for 3 s. With an allowance of 40,
// it accrues 0.5 retries a second and keeps at most 5.
func newBudgetDispatcher() (*Dispatcher, *fakeClock) {
	clock := &fakeClock{}
	settings := DefaultDispatchSettings()
	settings.Budget = retrybudget.Settings{Allowance: 40, Window: 10 * time.Second, Safety: 1}
	d := newDispatcher(settings, clock.now, clock.now)
	d.SetGatewayCount(4)
	d.ConfirmShare(clock.now())
	for clock.elapsed < 10*time.Second {
		clock.elapsed += time.Second
		d.ConfirmShare(clock.now())
	}
	return d, clock
}

// checkBalance checks the balance of a group's budget.
func checkBalance(t *testing.T, d *Dispatcher, group string, want float64) {
	t.Helper()
	for _, view := range d.Budgets() {
		if view.Group == group && (view.Left < want-1e-6 || view.Left > want+1e-6) {
			t.Errorf("%v retries are left for %s, want %v", view.Left, group, want)
		}
	}
}

// TestNewBudgetAccruesFromShareStart guards against new budgets that start empty, or with more than their share accrued.
func TestNewBudgetAccruesFromShareStart(t *testing.T) {
	d, clock := newBudgetDispatcher()
	d.CountRequest("early")
	checkBalance(t, d, "early", 1.5)
	d.SetGatewayCount(8)
	clock.elapsed += 2 * time.Second
	d.CountRequest("late")
	checkBalance(t, d, "late", 0.5)
}

// TestNoAccrualWhileShareIsSuspended guards against accrual while the share is not confirmed. The balance is lost with the share.
func TestNoAccrualWhileShareIsSuspended(t *testing.T) {
	d, clock := newBudgetDispatcher()
	d.CountRequest("group")
	checkBalance(t, d, "group", 1.5)
	clock.elapsed += 8 * time.Second
	d.ConfirmShare(clock.now().Add(-1500 * time.Millisecond))
	checkBalance(t, d, "group", 0)
	clock.elapsed += time.Second
	checkBalance(t, d, "group", 0.5)
}

// TestExhaustedBudgetCallbackDoesNotHoldMutex guards against a blocked log that blocks requests.
func TestExhaustedBudgetCallbackDoesNotHoldMutex(t *testing.T) {
	d, _ := newBudgetDispatcher()
	counts := make(chan int, 1)
	d.OnBudgetExhausted(func(string, retrybudget.View) {
		budgets := make(chan int, 1)
		go func() { budgets <- len(d.Budgets()) }()
		select {
		case count := <-budgets:
			counts <- count
		case <-time.After(2 * time.Second):
			counts <- 0
		}
	})
	for d.RetryBudget("group").takeRetry() {
	}
	if count := <-counts; count != 1 {
		t.Errorf("the callback read %d budgets, want 1", count)
	}
}

// TestSmallShareGrantsRetriesOnlyWithRequests guards against retries without requests when a gateway can keep less than one retry of its
// share of the allowance.
func TestSmallShareGrantsRetriesOnlyWithRequests(t *testing.T) {
	for _, test := range []struct {
		perSecond float64
		retries   int
	}{{0.5, 0}, {1, 0}, {2, 8}, {4, 15}} {
		clock := &fakeClock{}
		settings := DefaultDispatchSettings()
		settings.Budget = retrybudget.Settings{Ratio: 0.2, Allowance: 20, Window: 10 * time.Second, Safety: retrybudget.DefaultSafety}
		d := newDispatcher(settings, clock.now, clock.now)
		d.SetGatewayCount(12)
		d.ConfirmShare(clock.now())
		retries := 0
		for clock.elapsed < 40*time.Second {
			clock.elapsed += time.Duration(float64(time.Second) / test.perSecond)
			d.ConfirmShare(clock.now())
			d.CountRequest("group")
			if clock.elapsed > 20*time.Second && d.RetryBudget("group").takeRetry() {
				retries++
			}
		}
		if retries != test.retries {
			t.Errorf("%v requests a second: %d retries in 20 s, want %d", test.perSecond, retries, test.retries)
		}
	}
}
