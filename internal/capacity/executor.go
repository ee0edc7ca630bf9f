package capacity

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/decision"
)

// ErrRefused is returned by an Orderer when no such workers are to be had now.
var ErrRefused = errors.New("no such workers are to be had now")

// Order asks for a number of workers of one kind in a zone.
type Order struct {
	Group, Zone string
	Spot        bool
	Workers     int
	// Holder gives the order, and Fence tells its authority from older ones.
	Holder string
	Fence  int64
}

// Orderer carries orders to the platform.
type Orderer interface {
	// OrderWorkers returns nil once the order was taken. After other errors than ErrRefused it may be carried out later.
	OrderWorkers(ctx context.Context, order Order) error
}

// Group is what is seen of the workers of a group.
type Group struct {
	Name  string
	Offer Offer
	// Boot is how long an ordered worker takes until it serves.
	Boot time.Duration
	// Present workers by zone, without those that leave.
	Present Plan
	// Certain is set while the records of the workers are known to be complete.
	Certain bool
	// New is set in the first moments of the whole fleet: no spot workers are there that do not show yet.
	New bool
	// Shown is set once the records of most workers have had the time to show.
	Shown bool
	// Busy is how many workers the demand of the moment keeps busy.
	Busy float64
}

// Fleet shows the groups whose workers may be ordered. It shows none to a process that does not hear of the work of all gateways: one that
// stands by sees only a part of the demand.
type Fleet interface{ CapacityGroups() []Group }

// Settings of an executor.
type Settings struct {
	// Holder is the name of the process, unique in the fleet.
	Holder    string
	Estimator EstimatorSettings
	// Tick is how often the workers are looked at.
	TickInterval time.Duration
	// CallTimeout bounds one call.
	CallTimeout time.Duration
	// Again is how long after an order, beyond the boot, it is given again when the workers are not there; RefusedPause how long
	// after it was refused; and ChangePause how long after an order one for another number is given.
	RetryDelay, RefusedRetryDelay, ChangeInterval time.Duration
	// DryAfter is how long spot workers of a zone are missing before others are ordered in their place, if those that are there are
	// too few.
	SpotTimeout time.Duration
	// Pace is how many workers of all groups are ordered or given back in a second: the records of those that come and go are told to
	// every gateway, over the smallest links of the fleet.
	MaxChangeRate float64
	// Reserve is the part of the need for which spot workers are ordered besides, where they cost nothing; the dearer they are, the
	// fewer. They bear what the loss of one zone does not cover: crashes, workers that leave, bursts until others have booted.
	ReserveShare float64
}

// DefaultSettings returns settings without a holder.
func DefaultSettings() Settings {
	return Settings{
		Estimator:         DefaultEstimatorSettings(),
		TickInterval:      250 * time.Millisecond,
		CallTimeout:       1500 * time.Millisecond,
		RetryDelay:        3 * time.Second,
		RefusedRetryDelay: time.Second,
		ChangeInterval:    500 * time.Millisecond,
		SpotTimeout:       5 * time.Second,
		ReserveShare:      0.4,
		// Two records of some 600 bytes for each are a twentieth of a link of 10 Mbit/s; 3,000 workers that were replaced within seconds
		// kept configurations from gateways for eight (sweep, journal e6ec2684).
		MaxChangeRate: 60,
	}
}

// Executor has the workers ordered that are needed, while this process has the authority.
type Executor struct {
	settings Settings
	fleet    Fleet
	orderer  Orderer
	// authority tells whether this process may call, and its fence.
	authority      func() (int64, bool)
	logger         logrus.FieldLogger
	recordDecision func(decision.Record)

	// needs and lines belong to the loop.
	estimators map[string]*Estimator
	plans      map[string]cachedPlan
	pools      map[poolKey]*poolState
	fence      int64
	// left is how many workers may be ordered or given back at pacedAt.
	budget          float64
	budgetUpdatedAt time.Time

	mu     sync.Mutex
	status []Status
}

// line is one number that can be ordered.
type poolKey struct {
	group, zone string
	spot        bool
}

// lineState is what was ordered there.
type poolState struct {
	// ordered is the number of the last order that was taken under the present fence; negative when there was none.
	lastOrdered int
	// changeFrom is when the next order may be given, and notBefore when one for the same number may.
	nextChange, nextRetry time.Time
	// refused is set when the last order was.
	refused bool
	// shortSince is since when fewer workers are there than were wanted; zero when all are.
	missingSince time.Time
}

// isDry tells whether workers have been missing for a while, and the last order had its time or was refused.
func (s *poolState) isUnavailable(now time.Time, after time.Duration) bool {
	return !s.missingSince.IsZero() && now.Sub(s.missingSince) > after && (s.refused || now.Sub(s.nextRetry) > after)
}

// planned is the last plan of a group, and what it was made of.
type cachedPlan struct {
	offer Offer
	need  int
	plan  Plan
}

// Status is what an executor knows of a group.
type Status struct {
	Group         string
	Busy          float64
	Need          int
	Present, Plan Plan
	Offer         Offer
}

// NewExecutor returns an executor that does nothing before Run.
func NewExecutor(
	settings Settings, fleet Fleet, orderer Orderer, authority func() (int64, bool), logger logrus.FieldLogger, recordDecision func(decision.Record),
) *Executor {
	return &Executor{
		settings: settings, fleet: fleet, orderer: orderer, authority: authority, logger: logger, recordDecision: recordDecision,
		budget: settings.MaxChangeRate, estimators: map[string]*Estimator{}, plans: map[string]cachedPlan{}, pools: map[poolKey]*poolState{},
	}
}

// Status returns what is known of each group.
func (e *Executor) Status() []Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.status
}

// calmTicks is by how much rarer a process looks at the workers that may not order any.
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
		// Those that give no orders only follow what is needed, to go on from there.
		if _, mayOrder := e.authority(); mayOrder || tick%idleTickFactor == 0 {
			e.Step(ctx, time.Now())
		}
	}
}

// Step follows the demand, and gives the orders that are due while this process may.
func (e *Executor) Step(ctx context.Context, now time.Time) {
	fence, mayOrder := e.authority()
	if mayOrder && fence != e.fence {
		e.fence = fence
		clear(e.pools)
	}
	var status []Status
	groups := e.fleet.CapacityGroups()
	if len(groups) == 0 {
		// One that begins to hear of all watches anew: what is there is enough until it has.
		clear(e.estimators)
	}
	for _, group := range groups {
		need, known := e.estimate(now, group)
		plan := e.plan(group.Name, e.availableOffer(now, group, need), need)
		status = append(status, Status{
			Group: group.Name, Busy: group.Busy, Need: need, Present: group.Present, Plan: plan, Offer: group.Offer,
		})
		if mayOrder {
			e.reconcile(ctx, now, group, plan, need, known && group.Certain)
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.status = status
}

// need returns how many workers of a group are needed, and whether that is known.
func (e *Executor) estimate(now time.Time, group Group) (int, bool) {
	estimator, found := e.estimators[group.Name]
	if !found {
		estimator = NewEstimator(e.settings.Estimator)
		e.estimators[group.Name] = estimator
	}
	return estimator.Update(now, group)
}

// plan returns the plan of a group, which is made anew only when something has changed.
func (e *Executor) plan(group string, offer Offer, need int) Plan {
	cached, found := e.plans[group]
	if !found || cached.need != need || !cached.offer.equal(offer) {
		plan := NewPlan(offer, need).WithReserve(offer, int(e.settings.ReserveShare*(1-offer.SpotPrice)*float64(need)))
		cached = cachedPlan{offer: offer, need: need, plan: plan}
		e.plans[group] = cached
	}
	return cached.plan
}

// available returns the offer without the spot workers that have not come for long. While those that are there are enough, the plan
// stays: a zone that has lost its own gets them back.
func (e *Executor) availableOffer(now time.Time, group Group, need int) Offer {
	offer := group.Offer
	if group.Present.Total() >= need {
		return offer
	}
	offer.Zones = lo.Map(offer.Zones, func(zone Zone, _ int) Zone {
		state, found := e.pools[poolKey{group.Name, zone.Name, true}]
		if found && state.isUnavailable(now, e.settings.SpotTimeout) {
			zone.NoSpot, offer.SpotLost = true, true
		}
		return zone
	})
	return offer
}
