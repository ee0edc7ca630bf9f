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

// Key is held by the process that may give orders.
const Key = "controller"

// Order asks an engine to take a role.
type Order struct {
	Worker *backend.Worker
	Role   backend.Role
	// Holder gives the order, and Fence tells its authority from older ones.
	Holder string
	Fence  int64
	// Expected is the number of orders that the engine has taken so far; otherwise it refuses. So an order that is carried out
	// late has no effect.
	Expected int64
}

// EngineState is what an engine tells of itself.
type EngineState struct {
	Role backend.Role
	// Orders is the number of orders that the engine has taken since it started.
	Orders int64
	// Busy engines are carrying one out.
	Busy bool
}

// ErrOtherWorker is returned when another worker answers at the address of an engine, which so has ended.
var ErrOtherWorker = errors.New("another worker answers at the address")

// Orderer carries orders to engines.
type Orderer interface {
	// Inspect asks an engine for its state.
	Inspect(ctx context.Context, worker *backend.Worker) (EngineState, error)
	// Order returns nil when the engine takes the role or has it already. After other errors than a refusal it may have taken
	// the order, also later.
	Order(ctx context.Context, order Order) error
}

// Fleet is what the controller sees of the engines.
type Fleet interface {
	// Groups returns the groups of engines.
	Groups() map[string]*Group
	// SetChanging keeps work off an engine at all gateways until its record tells the role; with the role that it has, the
	// change is given up.
	SetChanging(worker string, role backend.Role)
}

// ControllerSettings of a controller.
type ControllerSettings struct {
	// Holder is the name of the process, unique in the fleet.
	Holder string
	// Clearing is how long work is kept off an engine before its order.
	DrainDelay time.Duration
	// OrderTimeout bounds one order.
	OrderTimeout time.Duration
	Planner      Settings
	Authority    authority.Settings
	// Now is the clock of the lease and of the orders. It has to count the time in which the machine is suspended.
	Now func() time.Time
}

// DefaultControllerSettings return settings without a holder.
func DefaultControllerSettings() ControllerSettings {
	return ControllerSettings{
		DrainDelay:   150 * time.Millisecond,
		OrderTimeout: 1500 * time.Millisecond,
		Planner:      DefaultSettings(),
		Authority:    authority.DefaultSettings(),
		Now:          boottime.Now,
	}
}

// Controller gives orders while it has the authority. One process of the fleet has it at a time.
type Controller struct {
	settings       ControllerSettings
	store          store.Store
	orderer        Orderer
	fleet          Fleet
	logger         logrus.FieldLogger
	planners       map[string]*Planner
	pendingChanges pendingChanges
	recordDecision func(decision.Record)
	// wake has the next step made at once.
	wake chan struct{}
	// resigned is set once the process leaves: it gives the key up and asks for it no more.
	resigned atomic.Bool

	mutex     sync.Mutex
	authority *authority.Authority
	// held is the revision of the key that this process holds, and era that of the store as far as is known.
	keyRevision store.Revision
	era         int64
	lease       int64
	// floors are the least numbers of engines of each role, by group.
	minEngines map[string]map[backend.Role]int
	// vacant is set when nobody holds the key, and askAfter when this process may ask for it.
	keyFree      bool
	acquireAfter time.Time
}

// NewController returns a controller that does nothing before Run.
func NewController(
	settings ControllerSettings, store store.Store, orderer Orderer, fleet Fleet, logger logrus.FieldLogger, recordDecision func(decision.Record),
) *Controller {
	return &Controller{
		settings: settings, store: store, orderer: orderer, fleet: fleet, logger: logger, recordDecision: recordDecision,
		planners: map[string]*Planner{}, pendingChanges: pendingChanges{changes: map[string]*pendingChange{}},
		wake: make(chan struct{}, 1), authority: authority.New(settings.Authority),
	}
}

// SetGroups tells the least numbers of engines that each role keeps within each group.
func (c *Controller) SetGroups(groups []routing.Group) {
	minEngines := map[string]map[backend.Role]int{}
	for _, group := range groups {
		minEngines[group.Name] = group.LeastOfRole
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.minEngines = minEngines
}

// GivesOrders tells whether this process has the authority.
func (c *Controller) GivesOrders() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.authority.Holds()
}

// Authority tells whether this process may call in the name of the fleet at this moment, and its fence.
func (c *Controller) Authority() (fence int64, mayCall bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.authority.MayCall(c.settings.Now())
}

// Leased tells that the lease of the process was granted or renewed by a call that began at a moment.
func (c *Controller) Leased(startedAt time.Time, lease int64, ttl time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.lease == 0 && lease != 0 {
		c.Wake()
	}
	c.lease = lease
	c.authority.Leased(startedAt, lease, ttl)
}

// KeyChanged tells who holds the key; a value of nil is nobody. Rank orders the processes that may ask for it when it is free.
func (c *Controller) KeyChanged(now time.Time, value []byte, revision store.Revision, rank int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.keyFree = value == nil
	c.acquireAfter = now.Add(time.Duration(rank) * rankDelay)
	var holder keyHolder
	if value == nil || json.Unmarshal(value, &holder) != nil || holder.Holder != c.settings.Holder {
		c.authority.Lost()
		return
	}
	switch {
	case holder.Lease != c.lease:
	case !c.authority.Holds():
		// Also settles a call whose answer was lost.
		c.authority.Acquired(now, holder.Lease, revision.Fence(), authority.Returning)
		c.keyRevision = revision
	case revision.Era() >= c.era:
		c.authority.Confirmed(revision.Fence())
		c.keyRevision = revision
	}
}

// Restored tells that the store has come back from an older copy, in an era. Who holds the key is told next.
func (c *Controller) Restored(now time.Time, era int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if era <= c.era {
		return
	}
	c.era = era
	c.authority.Restored(now)
}

// rankDelay is by how much later the next process asks for a free key.
const rankDelay = 700 * time.Millisecond

// holding is the value of the key.
type keyHolder struct {
	Holder string `json:"holder"`
	Lease  int64  `json:"lease"`
}

// idleTicks is by how many times more rarely a process looks that neither holds the key nor may ask for it. Hundreds of a large fleet stand
// by, and each wake-up of theirs costs as much as one of the holder.
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

// pause returns the time until the next step.
func (c *Controller) stepDelay() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.lease == 0 && !c.authority.Holds() && !c.resigned.Load() {
		return idleTickFactor * c.settings.Authority.TickInterval
	}
	return c.settings.Authority.TickInterval
}

// Wake has what changed in the fleet looked at now, and not only with the next tick. It does not wait.
func (c *Controller) Wake() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// step asks for the key when it is free, or gives the next order.
func (c *Controller) step(ctx context.Context) {
	if c.resigned.Load() {
		c.release(ctx)
		return
	}
	now := c.settings.Now()
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

// rescue returns the changes that bring back a role that is gone, and keeps work off their engines.
func (c *Controller) recoverRoles(now time.Time, groups map[string]*Group) []Change {
	var changes []Change
	for name, group := range groups {
		for _, change := range c.planner(name).Recover(now, group) {
			c.fleet.SetChanging(change.Worker.ID, change.Role)
			changes = append(changes, change)
		}
	}
	return changes
}

// mostAtOnce bounds the changes of one step: the engines of a group of a thousand that fall due within a tick.
const maxChangesPerStep = 16

// plan returns the changes that are due, and keeps work off their engines. The fleet is looked at once: a change that is planned is noted
// in the groups themselves, since to gather them is what takes long in a fleet of thousands.
func (c *Controller) plan(now time.Time, groups map[string]*Group) []Change {
	var changes []Change
	for len(changes) < maxChangesPerStep {
		planned := len(changes)
		for name, group := range groups {
			if change := c.planner(name).Next(now, group); change != nil {
				c.fleet.SetChanging(change.Worker.ID, change.Role)
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

// planner returns the planner of a group with the floors of the moment.
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

// errNoAuthority is returned when the authority ended before the order was given.
var errNoAuthority = errors.New("the authority ended before the order")

// errChanging is returned when the engine is about to change already.
var errChanging = errors.New("the engine is changing its role or has")
