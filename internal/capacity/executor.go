package capacity

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/decision"
)

// ErrUnavailable is returned by an Orderer if no workers of the ordered kind, on-demand or spot, are available in the zone now.
var ErrUnavailable = errors.New("no workers of this kind are available now")

// Order sets the number of workers of one kind in a zone.
type Order struct {
	Group, Zone string
	Spot        bool
	Workers     int
	// Holder is the process that gives the order, and Fence the fencing token of its authority.
	Holder string
	Fence  int64
}

// Orderer sends orders to the platform.
type Orderer interface {
	// OrderWorkers returns nil if the order was accepted. After an error other than ErrUnavailable, the order may still be carried out later.
	OrderWorkers(ctx context.Context, order Order) error
}

// Group is the observed state of the workers of a group.
type Group struct {
	Name  string
	Offer Offer
	// BootTime is the time from an order until the worker serves requests.
	BootTime time.Duration
	// Present holds the observed, not the planned, numbers of on-demand and spot workers by zone, without those that are draining.
	Present Plan
	// RecordsComplete is set while the records of the workers are known to be complete.
	RecordsComplete bool
	// NewFleet is set while the whole fleet is starting, so that there are no spot workers without a record yet.
	NewFleet bool
	// MostRegistered is set once most workers have had the time to register.
	MostRegistered bool
	// Busy is the number of workers that the current demand keeps busy.
	Busy float64
}

// Fleet provides the groups whose workers may be ordered. It provides none in a standby process, which does not receive the load of all
// gateways.
type Fleet interface{ CapacityGroups() []Group }

// Settings configures an executor.
type Settings struct {
	// Holder is the name of the process, unique in the fleet.
	Holder    string
	Estimator EstimatorSettings
	// LossUtilization is the utilization that workers may have after one zone has lost its spot workers, until others have booted.
	LossUtilization float64
	// TickInterval is how often the executor runs.
	TickInterval time.Duration
	// CallTimeout limits the duration of one order to the platform.
	CallTimeout time.Duration
	// RetryDelay is how long after the boot time an order is repeated if its workers are missing.
	RetryDelay time.Duration
	// FailedRetryDelay is how long after a failed order the next one is sent.
	FailedRetryDelay time.Duration
	// ChangeInterval is the minimum interval between orders for different numbers.
	ChangeInterval time.Duration
	// SpotTimeout is how long spot workers of a zone may be missing before other workers are ordered instead. It applies only while fewer
	// workers are present than needed.
	SpotTimeout time.Duration
	// MaxChangeRate limits the workers ordered or removed per second in all groups, because the record of each is sent to every gateway: two
	// records of some 600 bytes for each, at the default rate a twentieth of a link of 10 Mbit/s. 3,000 workers that were replaced within
	// seconds kept configurations from gateways for 8 s.
	MaxChangeRate float64
	// ReserveShare determines the number of additional spot workers, which is ReserveShare*(1-SpotPrice) of the need. They cover crashes,
	// drains, and bursts until new workers have booted.
	ReserveShare float64
}

// DefaultSettings returns the default settings, without a holder.
func DefaultSettings() Settings {
	return Settings{
		Estimator:        DefaultEstimatorSettings(),
		LossUtilization:  0.9,
		TickInterval:     250 * time.Millisecond,
		CallTimeout:      1500 * time.Millisecond,
		RetryDelay:       3 * time.Second,
		FailedRetryDelay: time.Second,
		ChangeInterval:   500 * time.Millisecond,
		SpotTimeout:      5 * time.Second,
		ReserveShare:     0.4,
		MaxChangeRate:    60,
	}
}

// Executor orders the workers that each group needs, while this process has the authority.
type Executor struct {
	settings Settings
	fleet    Fleet
	orderer  Orderer
	// authority returns the fencing token, and whether this process may make calls.
	authority      func() (int64, bool)
	logger         logrus.FieldLogger
	recordDecision func(decision.Record)

	// The fields before mutex are used by the control loop only.
	estimators map[string]*Estimator
	plans      map[string]cachedPlan
	pools      map[poolKey]*poolState
	// fence is the fencing token of the orders in pools.
	fence int64
	// budget is the number of workers that could be ordered or removed at budgetUpdatedAt.
	budget          float64
	budgetUpdatedAt time.Time

	mutex  sync.Mutex
	status []Status
}

// poolKey identifies the workers of one kind in a zone of a group.
type poolKey struct {
	group, zone string
	spot        bool
}

// poolState is the state of the orders for a pool.
type poolState struct {
	// lastOrdered is the last accepted number under the current fence, or negative if there was none.
	lastOrdered int
	// nextChange is when the next order may be sent, and nextRetry when one for the same number may.
	nextChange, nextRetry time.Time
	// refused is set if the last order returned ErrUnavailable, and outcomeUnknown if it failed otherwise: the platform may have accepted it.
	refused, outcomeUnknown bool
	// missingSince is since when fewer workers are present than wanted; zero if none are missing.
	missingSince time.Time
}

// isUnavailable reports whether workers are missing for longer than the given time, and the last order was refused or is overdue for as
// long.
func (s *poolState) isUnavailable(now time.Time, after time.Duration) bool {
	return !s.missingSince.IsZero() && now.Sub(s.missingSince) > after && (s.refused || now.Sub(s.nextRetry) > after)
}

// cachedPlan is the last plan of a group with its inputs.
type cachedPlan struct {
	offer Offer
	need  Need
	plan  Plan
}

// Status is the state of a group for operators.
type Status struct {
	Group string
	// Busy is the number of workers that the current demand keeps busy, and Average its average over about half of a boot time.
	Busy, Average float64
	Need          int
	Present, Plan Plan
	Offer         Offer
}

// NewExecutor returns an executor that is inactive until Run.
func NewExecutor(
	settings Settings, fleet Fleet, orderer Orderer, authority func() (int64, bool), logger logrus.FieldLogger, recordDecision func(decision.Record),
) *Executor {
	return &Executor{
		settings: settings, fleet: fleet, orderer: orderer, authority: authority, logger: logger, recordDecision: recordDecision,
		budget: settings.MaxChangeRate, estimators: map[string]*Estimator{}, plans: map[string]cachedPlan{}, pools: map[poolKey]*poolState{},
	}
}

// Status returns the state of each group.
func (e *Executor) Status() []Status {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.status
}

// idleTickFactor lengthens the tick of processes that may not order workers.
const idleTickFactor = 4

// Run orders workers until the context ends.
func (e *Executor) Run(ctx context.Context) {
	ticker := time.NewTicker(e.settings.TickInterval)
	defer ticker.Stop()
	for tick := 0; ; tick++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		// Processes that may not order workers run less often, to have estimates when they take over.
		if _, mayOrder := e.authority(); mayOrder || tick%idleTickFactor == 0 {
			e.Step(ctx, time.Now())
		}
	}
}

// Step updates the estimates and plans, and sends the orders that are due if this process may.
func (e *Executor) Step(ctx context.Context, now time.Time) {
	fence, mayOrder := e.authority()
	if mayOrder && fence != e.fence {
		e.fence = fence
		clear(e.pools)
	}
	var status []Status
	groups := e.fleet.CapacityGroups()
	if len(groups) == 0 {
		// No group is scaled, or this process does not receive the load of all gateways. Its estimates start again when it does.
		clear(e.estimators)
	}
	for _, group := range groups {
		need, known := e.estimate(now, group)
		plan := e.plan(group.Name, e.availableOffer(now, group, need.Total), need)
		status = append(status, Status{
			Group: group.Name, Busy: group.Busy, Average: e.estimators[group.Name].average, Need: need.Total, Present: group.Present, Plan: plan, Offer: group.Offer,
		})
		if mayOrder {
			e.reconcile(ctx, now, group, plan, need.Total, known && group.RecordsComplete)
		}
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.status = status
}

// estimate updates the estimator of a group, and returns the result.
func (e *Executor) estimate(now time.Time, group Group) (Need, bool) {
	estimator, found := e.estimators[group.Name]
	if !found {
		estimator = NewEstimator(e.settings.Estimator)
		e.estimators[group.Name] = estimator
	}
	before := estimator.need
	total, known := estimator.Update(now, group)
	if _, mayOrder := e.authority(); mayOrder && total != before {
		e.logger.WithFields(logrus.Fields{
			"group": group.Name, "need": total, "before": before, "have": group.Present.Total(), "busy": fmt.Sprintf("%.1f", group.Busy), "known": known,
		}).Info("The need for workers changed: " + estimator.reason(now) + ".")
	}
	return Need{Total: total, AfterLoss: estimator.afterLoss(now, e.settings.Estimator.TargetUtilization/e.settings.LossUtilization)}, known
}

// plan returns the plan of a group, which is computed again only if its inputs changed.
func (e *Executor) plan(group string, offer Offer, need Need) Plan {
	cached, found := e.plans[group]
	if !found || cached.need != need || !cached.offer.equal(offer) {
		plan := newTolerantPlan(offer, need).WithReserve(offer, int(e.settings.ReserveShare*(1-offer.SpotPrice)*float64(need.Total)))
		cached = cachedPlan{offer: offer, need: need, plan: plan}
		e.plans[group] = cached
	}
	return cached.plan
}

// availableOffer returns the offer without the zones whose spot workers are unavailable. If enough workers are present, the offer is
// unchanged, so that such a zone gets its spot workers back.
func (e *Executor) availableOffer(now time.Time, group Group, need int) Offer {
	offer := group.Offer
	if group.Present.Total() >= need {
		return offer
	}
	offer.Zones = lo.Map(offer.Zones, func(zone Zone, _ int) Zone {
		state, found := e.pools[poolKey{group.Name, zone.Name, true}]
		if found && state.isUnavailable(now, e.settings.SpotTimeout) {
			zone.SpotUnavailable, offer.SpotLost = true, true
		}
		return zone
	})
	return offer
}

// withReplacements returns the plan with additional spot workers in place of those that zones have refused. The zones keep their number in
// the plan, so that they are asked again.
func (e *Executor) withReplacements(group Group, plan Plan) Plan {
	offer, missing := group.Offer, 0
	offer.Zones = lo.Map(offer.Zones, func(zone Zone, _ int) Zone {
		state, found := e.pools[poolKey{group.Name, zone.Name, true}]
		if found && state.refused {
			missing += max(plan[zone.Name].Spot-group.Present[zone.Name].Spot, 0)
			zone.SpotUnavailable = true
		}
		return zone
	})
	if missing == 0 {
		return plan
	}
	return plan.WithReserve(offer, missing)
}
