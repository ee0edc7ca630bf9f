package gateway

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/boottime"
	"github.com/granitebay/granitebay/internal/forward"
	"github.com/granitebay/granitebay/internal/retrybudget"
	"github.com/granitebay/granitebay/internal/store"
)

// newBudgetGateway returns a gateway with retry budgets and nothing else.
func newBudgetGateway(settings Settings) *Gateway {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	dispatch := forward.DefaultDispatchSettings()
	dispatch.Budget = budgetSettings(settings)
	g := &Gateway{settings: settings, logger: logger, dispatcher: forward.NewDispatcher(dispatch, time.Now)}
	g.dispatcher.CountRequest("group")
	return g
}

// TestEntriesShareRetryAllowanceWithSuspects guards against spending more than the retry allowance while gateways
// disagree on which of them are entries.
func TestEntriesShareRetryAllowanceWithSuspects(t *testing.T) {
	g := newBudgetGateway(Settings{RetryRatio: 0.2, RetryAllowance: 54, RetryWindow: 10 * time.Second})
	for _, test := range []struct {
		standby                    bool
		entries, suspects, serving int
		want                       int
	}{{false, 6, 0, 13, 8}, {false, 6, 3, 13, 12}, {false, 6, 9, 13, 13}, {true, 6, 3, 13, 28}} {
		// A lower number of gateways takes effect only later, so each case needs its own gateway.
		g = newBudgetGateway(g.settings)
		g.setRetryGatewayCount(test.standby, test.entries, test.suspects, test.serving)
		if got := g.dispatcher.Budgets()[0].GatewayCount; got != test.want {
			t.Errorf("%+v: the allowance is divided by %d", test, got)
		}
	}
}

// TestStoppingEntryKeepsItsRetries guards against a gateway that has no retry left for the streams that it finishes, because it counts as one on
// standby as soon as it stops. The others divide by fewer only once its share is over.
func TestStoppingEntryKeepsItsRetries(t *testing.T) {
	g := newBudgetGateway(Settings{RetryRatio: 0.2, RetryAllowance: 2040, RetryWindow: 10 * time.Second, FirstStart: true})
	g.setRetryGatewayCount(false, 8, 0, 82)
	g.RegistrationConfirmed(boottime.Now(), true)
	before := g.dispatcher.Budgets()[0]
	if before.Left < 1 {
		t.Fatalf("an entry has %v retries", before.Left)
	}
	g.leaving.Store(true)
	g.setRetryGatewayCount(true, 8, 0, 81)
	if after := g.dispatcher.Budgets()[0]; after.GatewayCount != before.GatewayCount || after.Left < before.Left {
		t.Errorf("before the stop %v retries, the allowance divided by %d; then %v, divided by %d", before.Left, before.GatewayCount, after.Left, after.GatewayCount)
	}
}

// TestBudgetSettingsCopyRetrySettings guards against retry settings that have no effect.
func TestBudgetSettingsCopyRetrySettings(t *testing.T) {
	got := budgetSettings(Settings{RetryRatio: 0.2, RetryAllowance: 54, RetryWindow: 10 * time.Second})
	if want := (retrybudget.Settings{Ratio: 0.2, Allowance: 54, Window: 10 * time.Second, Safety: retrybudget.DefaultSafety}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestRetryShareAvailableAtOnceOnlyInNewFleet guards against spending the retry allowance twice when FirstStart is left
// set.
func TestRetryShareAvailableAtOnceOnlyInNewFleet(t *testing.T) {
	for _, test := range []struct {
		firstStart, fleetIsNew bool
		want                   float64
	}{{true, true, 1}, {true, false, 0}, {false, true, 0}, {false, false, 0}} {
		g := newBudgetGateway(Settings{RetryRatio: 0.2, RetryAllowance: 54, RetryWindow: 10 * time.Second, FirstStart: test.firstStart})
		g.RegistrationConfirmed(boottime.Now(), test.fleetIsNew)
		if got := g.dispatcher.Budgets()[0].Share; got != test.want {
			t.Errorf("%+v: share is %v", test, got)
		}
	}
}

// watchRecorder is an empty store that records the wait times of watches.
type watchRecorder struct {
	store.Store
	waits chan time.Duration
}

func (w *watchRecorder) List(context.Context, string) ([]store.Item, store.Revision, error) {
	return nil, 1, nil
}

func (w *watchRecorder) ListUntil(context.Context, string, func([]store.Item) bool) (store.Listing, error) {
	return store.Listing{Revision: 1, Complete: true}, nil
}

func (w *watchRecorder) Watch(ctx context.Context, _ string, _ store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	w.waits <- wait
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// nopConsumer ignores all updates.
type nopConsumer struct{}

func (nopConsumer) Reset([]store.Item)     {}
func (nopConsumer) Restored(int64)         {}
func (nopConsumer) Apply([]store.Event)    {}
func (nopConsumer) StoreUnavailable(error) {}
func (nopConsumer) UpToDate(time.Time)     {}

// TestRegisteredShortensNextWatch guards against a registration that is confirmed only after a full watch interval.
func TestRegisteredShortensNextWatch(t *testing.T) {
	for _, registered := range []bool{false, true} {
		recorder := &watchRecorder{waits: make(chan time.Duration, 1)}
		g := newBudgetGateway(Settings{RetryWindow: 10 * time.Second})
		g.replica = store.NewReplica(recorder, allKeys, store.DefaultReplicaSettings(), nopConsumer{}, nil)
		if registered {
			g.Registered()
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			g.replica.Run(ctx)
			close(done)
		}()
		if wait := <-recorder.waits; (wait < time.Second) != registered {
			t.Errorf("with registered %v: next watch waits for %s", registered, wait)
		}
		cancel()
		<-done
	}
}
