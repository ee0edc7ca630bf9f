package roles

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/authority"
	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/boottime"
	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/routing"
	"github.com/granitebay/granitebay/internal/store"
)

// ControllerKey is the store key whose holder may give orders. Its holder has the authority over the fleet.
const ControllerKey = "controller"

// Order tells an engine to take a role.
type Order struct {
	Worker *backend.Worker
	Role   backend.Role
	// Holder is the process that gives the order, and Fence the fencing token of its authority.
	Holder string
	Fence  int64
	// ExpectedOrders is the number of orders that the engine has accepted so far. The engine refuses the order if its count differs, so a
	// delayed order has no effect.
	ExpectedOrders int64
}

// EngineState is the state that an engine reports.
type EngineState struct {
	Role backend.Role
	// Orders is the number of orders that the engine has accepted since it started.
	Orders int64
	// Busy is set while the engine carries out an order.
	Busy bool
	// Running counts the requests that run or wait at the engine.
	Running int
}

// ErrOutcomeUnknown is returned for an order whose response was lost, so that the engine may carry it out.
var ErrOutcomeUnknown = errors.New("the engine may carry out the order, since its response was lost")

// ErrWorkerReplaced is returned if another worker answers at the address of an engine, which means that the engine has ended.
var ErrWorkerReplaced = errors.New("another worker answers at the address")

// Orderer sends orders to engines.
type Orderer interface {
	// Inspect requests the state of an engine.
	Inspect(ctx context.Context, worker *backend.Worker) (EngineState, error)
	// Order returns nil if the engine accepts the order or already has the role. After any error other than a refusal, the engine may
	// still accept the order, even later.
	Order(ctx context.Context, order Order) error
}

// Fleet is the controller's view of the engines.
type Fleet interface {
	// Groups returns the groups of engines by name.
	Groups() map[string]*Group
	// SetRoleChange stops routing to an engine at all gateways until its record has the given role. Passing its present role cancels the
	// change.
	SetRoleChange(worker string, role backend.Role)
}

// ControllerSettings configures a controller.
type ControllerSettings struct {
	// Holder is the name of the process, unique in the fleet.
	Holder string
	// DrainDelay is how long routing to an engine is stopped before it gets its order.
	DrainDelay time.Duration
	// OrderTimeout bounds one order or one store call.
	OrderTimeout time.Duration
	// UnleasedKeyDelay is how long the controller key must stand unchanged without a lease until it is deleted. It must exceed the leases to
	// which processes bind the key.
	UnleasedKeyDelay time.Duration
	Planner          Settings
	Authority        authority.Settings
	// Now is the clock for the lease and the orders. It must include the time in which the machine is suspended.
	Now func() time.Time
}

// DefaultControllerSettings returns settings without a holder.
func DefaultControllerSettings() ControllerSettings {
	return ControllerSettings{
		DrainDelay:       150 * time.Millisecond,
		OrderTimeout:     1500 * time.Millisecond,
		UnleasedKeyDelay: 3700 * time.Millisecond,
		Planner:          DefaultSettings(),
		Authority:        authority.DefaultSettings(),
		Now:              boottime.Now,
	}
}

// Controller gives orders while it holds the controller key. At most one process of the fleet may give orders at a time.
type Controller struct {
	settings       ControllerSettings
	store          store.Store
	orderer        Orderer
	fleet          Fleet
	logger         logrus.FieldLogger
	planners       map[string]*Planner
	pendingChanges pendingChanges
	recordDecision func(decision.Record)
	// reachesEngines reports whether this process reaches enough engines to give orders; nil means that it does.
	reachesEngines func() bool
	// onOrder is called with the outcome of each order; may be nil.
	onOrder func(outcome string)
	// handoverAt is when the controller key may be handed over again after that failed, and handoverPause the pause before.
	handoverAt    time.Time
	handoverPause time.Duration
	// wake triggers the next step immediately.
	wake chan struct{}
	// resigned is set when the process shuts down: it releases the controller key and does not acquire it again.
	resigned atomic.Bool

	mutex     sync.Mutex
	authority *authority.Authority
	// keyRevision is the revision of the controller key when this process holds it, and era the latest known era of the store.
	keyRevision store.Revision
	era         int64
	lease       int64
	// minEngines are the configured minimums of engines per role, by group.
	minEngines map[string]map[backend.Role]int
	// keyFree is set while no process holds the controller key. This process may acquire it from acquireAfter on.
	keyFree      bool
	acquireAfter time.Time
	// unleased is the controller key while it has no lease; nil otherwise.
	unleased *unleasedKey
}

// NewController returns a controller that is inactive until Run.
func NewController(
	settings ControllerSettings, store store.Store, orderer Orderer, fleet Fleet, logger logrus.FieldLogger, recordDecision func(decision.Record),
) *Controller {
	return &Controller{
		settings: settings, store: store, orderer: orderer, fleet: fleet, logger: logger, recordDecision: recordDecision,
		planners: map[string]*Planner{}, pendingChanges: pendingChanges{changes: map[string]*pendingChange{}},
		wake: make(chan struct{}, 1), authority: authority.New(settings.Authority),
	}
}

// OnOrder sets a callback for the outcome of each order: "accepted", "in place", "unknown" or "failed". It must be called before Run.
func (c *Controller) OnOrder(onOrder func(outcome string)) { c.onOrder = onOrder }

// SetReachability sets a function that reports whether this process reaches enough engines to give orders. While it does not, the controller
// hands the controller key over and does not acquire it. It must be called before Run.
func (c *Controller) SetReachability(reachesEngines func() bool) { c.reachesEngines = reachesEngines }

// SetGroups sets the minimum numbers of engines per role from the configuration of the groups.
func (c *Controller) SetGroups(groups []routing.Group) {
	minEngines := map[string]map[backend.Role]int{}
	for _, group := range groups {
		minEngines[group.Name] = group.MinPerRole
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.minEngines = minEngines
}

// HasAuthority reports whether this process holds the controller key. It may not be allowed to give orders yet.
func (c *Controller) HasAuthority() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.authority.Holds()
}

// Authority returns the fencing token of this process, and whether it may make calls on behalf of the fleet now.
func (c *Controller) Authority() (fence int64, mayCall bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.authority.MayCall(c.settings.Now())
}

// LeaseRenewed records the lease of the process, which was granted or renewed by a call that began at startedAt.
func (c *Controller) LeaseRenewed(startedAt time.Time, lease int64, ttl time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.lease == 0 && lease != 0 {
		c.Wake()
	}
	c.lease = lease
	c.authority.Leased(startedAt, lease, ttl)
}

// KeyChanged records a change of the controller key; nil means that it is free. Rank staggers the processes that try to acquire a free key.
func (c *Controller) KeyChanged(now time.Time, key *store.Item, rank int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	stagger := time.Duration(rank) * rankDelay
	c.keyFree = key == nil
	c.acquireAfter = now.Add(stagger)
	c.noteUnleased(now, stagger, key)
	var holder keyHolder
	if key == nil || key.Lease == 0 || json.Unmarshal(key.Value, &holder) != nil || holder.Holder != c.settings.Holder {
		c.authority.Lost()
		return
	}
	revision := key.Revision
	switch {
	case holder.Lease != c.lease:
		// An earlier process of the same name holds the key.
	case !c.authority.Holds():
		// This also covers an acquisition whose response was lost.
		c.authority.Acquired(now, holder.Lease, revision.Fence(), authority.Returning)
		c.keyRevision = revision
	case revision.Era() >= c.era:
		c.authority.Confirmed(revision.Fence())
		c.keyRevision = revision
	}
}

// StoreRestored records that the store was restored from an older copy, which began a new era. A call of KeyChanged follows.
func (c *Controller) StoreRestored(now time.Time, era int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if era <= c.era {
		return
	}
	c.era = era
	c.authority.Restored(now)
}

// rankDelay separates the attempts of processes with consecutive ranks to acquire a free key.
const rankDelay = 700 * time.Millisecond

// keyHolder is the value of the controller key.
type keyHolder struct {
	Holder string `json:"holder"`
	Lease  int64  `json:"lease"`
}

// idleTickFactor lengthens the tick of processes that have no lease and don't hold the controller key.
const idleTickFactor = 8

// Run gives orders until the context ends.
func (c *Controller) Run(ctx context.Context) {
	timer := time.NewTimer(c.stepDelay())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-c.wake:
		}
		c.step(ctx)
		timer.Reset(c.stepDelay())
	}
}

// stepDelay returns the time until the next step.
func (c *Controller) stepDelay() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.lease == 0 && !c.authority.Holds() && !c.resigned.Load() {
		return idleTickFactor * c.settings.Authority.TickInterval
	}
	return c.settings.Authority.TickInterval
}

// Wake triggers a step without waiting for the next tick. It does not block.
func (c *Controller) Wake() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// step releases the controller key after Resign, hands it over while this process reaches too few engines, acquires a free
// key, or, if this process may give orders, recovers lost roles or confirms pending changes and makes the next ones.
func (c *Controller) step(ctx context.Context) {
	if c.resigned.Load() {
		c.release(ctx)
		return
	}
	now := c.settings.Now()
	c.deleteUnleased(ctx, now)
	if c.reachesEngines != nil && !c.reachesEngines() {
		c.handOver(ctx, now)
		return
	}
	c.handoverPause, c.handoverAt = 0, time.Time{}
	c.mutex.Lock()
	c.authority.Tick(now)
	acquire := c.keyFree && c.lease != 0 && !now.Before(c.acquireAfter)
	if acquire {
		c.acquireAfter = now.Add(time.Second)
	}
	lease := c.lease
	_, mayOrder := c.authority.MayOrder(now)
	c.mutex.Unlock()
	if acquire {
		c.acquire(ctx, lease)
		return
	}
	if !mayOrder {
		return
	}
	groups := c.fleet.Groups()
	c.pendingChanges.removeFinished(groups)
	if changes := c.recoverRoles(now, groups); len(changes) > 0 {
		c.execute(ctx, changes)
		return
	}
	c.confirm(ctx, now)
	c.execute(ctx, c.plan(now, groups))
}

// recoverRoles returns the changes that restore a lost role, and stops routing to the engines.
func (c *Controller) recoverRoles(now time.Time, groups map[string]*Group) []Change {
	var changes []Change
	for name, group := range groups {
		for _, change := range c.planner(name).Recover(now, group) {
			c.fleet.SetRoleChange(change.Worker.ID, change.Role)
			changes = append(changes, change)
		}
	}
	return changes
}

// maxChangesPerStep limits the planned changes and the inspections of one step.
const maxChangesPerStep = 16

// plan returns the changes that are due, and stops routing to the engines. Planned changes are applied to the given groups, because
// gathering the groups again is slow in a large fleet.
func (c *Controller) plan(now time.Time, groups map[string]*Group) []Change {
	var changes []Change
	for len(changes) < maxChangesPerStep {
		planned := len(changes)
		for name, group := range groups {
			if change := c.planner(name).Next(now, group); change != nil {
				c.fleet.SetRoleChange(change.Worker.ID, change.Role)
				group.applyChange(change)
				changes = append(changes, *change)
			}
		}
		if len(changes) == planned {
			break
		}
	}
	return changes
}

// planner returns the planner of a group with the current configuration.
func (c *Controller) planner(group string) *Planner {
	planner, found := c.planners[group]
	if !found {
		planner = NewPlanner(c.settings.Planner)
		c.planners[group] = planner
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	planner.settings.MinEngines = c.minEngines[group]
	return planner
}

// errNoAuthority is returned if the authority ended before the order was sent.
var errNoAuthority = errors.New("the authority ended before the order was sent")

// errRoleInPlace is returned if the engine already has or is taking the role.
var errRoleInPlace = errors.New("the engine already has or is taking the role")
