// Package rolecontrol keeps the committed records of the engines and carries them out: it is the only place from which
// orders to engines come.
//
// Each engine has one record in the key-value service. The router that has authority over an engine commits its
// changes by compare-and-swap, in a transaction that also requires the key of the engine's shard to be unchanged, so
// that a router whose lease has lapsed commits nothing. An order is a function of the record and of the epoch.
//
// The Core works by reconciling: whatever happens, it looks at the record, at what the engine is known to have
// accepted, and at the target, and does the next step. All other routers only follow the records.
package rolecontrol

import (
	"math/rand/v2"
	"slices"
	"time"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/ownership/backoff"
	"github.com/granitebay/granitebay/internal/ownership/mirror"
	"github.com/granitebay/granitebay/internal/platform"
	"github.com/samber/lo"
)

// RequestOwner marks the platform requests of this core.
const RequestOwner = 3

// Target is the configuration that the role plan wants of an engine.
type Target struct {
	Configuration engine.Configuration
	// Reason is one plain sentence for people.
	Reason string
}

// Counts of what happened at the engines of which this router had authority.
type Counts struct {
	// Started changes, which began with a drain.
	Started int
	// Done changes: the engine serves with its new configuration.
	Done int
	// Withdrawn changes: the engine serves on with its old configuration.
	Withdrawn int
	// Crashes of engines that this router noticed.
	Crashes int
	// Orders sent, repeats included.
	Orders int
}

// Core is the state machine of one router. It is single-threaded.
type Core struct {
	settings Settings
	random   *rand.Rand
	ids      *core.RequestIDs
	mirror   *mirror.Mirror
	backoff  backoff.Backoff
	records  *recordTable
	engines  map[string]*engineControl
	// names are the keys of engines, sorted.
	names []string
	// requests finds the engine of a request to the key-value service.
	requests map[platform.RequestID]*engineControl
	counts   Counts
	// held counts the engines over which this router has authority.
	held int
	// wake is the earliest wake of all engines, when wakeKnown.
	wake      time.Time
	wakeKnown bool
}

// New returns a core that knows no engines and no records.
func New(settings Settings, random *rand.Rand) *Core {
	settings = settings.withDefaults()
	ids := core.NewRequestIDs(RequestOwner)
	return &Core{
		settings: settings,
		random:   random,
		ids:      ids,
		mirror: mirror.New(mirror.Settings{
			Prefix:         RecordPrefix,
			RequestTimeout: settings.RequestTimeout,
		}, ids, random),
		backoff:  backoff.Backoff{Base: defaultBackoffBase, Max: defaultBackoffMax},
		records:  newRecordTable(),
		engines:  map[string]*engineControl{},
		requests: map[platform.RequestID]*engineControl{},
	}
}

// SetAuthority tells whether this router has authority over an engine, and under which epoch. With a new epoch the
// committed record is restated before anything else.
func (c *Core) SetAuthority(now time.Time, engineName string, epoch uint64, held bool) {
	if !held {
		epoch = 0
	}
	control := c.control(engineName)
	if control.epoch == epoch {
		return
	}
	c.adoptEpoch(control, epoch)
	c.wakeAt(control, now)
}

// SetKnownEngine tells of an engine of the fleet. The incarnation is zero when the teller does not know it.
func (c *Core) SetKnownEngine(now time.Time, engineName, zone string, incarnation uint64) {
	control := c.control(engineName)
	control.zone = zone
	if incarnation > control.incarnation {
		c.noteIncarnation(now, control, incarnation, nil)
		c.wakeAt(control, now)
	}
}

// RemoveEngine forgets an engine that is no longer of the fleet. Its record stays.
func (c *Core) RemoveEngine(engineName string) {
	control := c.engines[engineName]
	if control == nil {
		return
	}
	c.dropCommit(control)
	c.countHeld(control.epoch, 0)
	delete(c.engines, engineName)
	c.names = lo.Without(c.names, engineName)
	c.wakeKnown = false
}

// SetTarget tells what the role plan wants of an engine. A change of the configuration is carried out when this router
// has authority and the engine serves. A target equal to the record withdraws a change that is not yet carried out. The
// target is forgotten when the change is withdrawn, when it cannot start within TargetLifetime and when the authority
// ends, and is ignored for RedrainDelay after a withdrawal: the role plan gives it again while it wants it.
func (c *Core) SetTarget(now time.Time, engineName string, target Target, effects *core.Effects) {
	control := c.control(engineName)
	target.Configuration = canonical(target.Configuration)
	if now.Before(control.redrainAt) {
		return
	}
	control.targetAt = now
	if control.target != nil && sameConfiguration(control.target.Configuration, target.Configuration) {
		return
	}
	control.target = &target
	c.advance(now, control, effects)
}

// HandleEngineEvent takes an event of an engine. Any event may tell of a new incarnation.
func (c *Core) HandleEngineEvent(now time.Time, event engine.Event, effects *core.Effects) {
	control := c.engines[event.EngineName()]
	if control == nil {
		return
	}
	before := control.incarnation
	c.noteIncarnation(now, control, incarnationOf(event), effects)
	changed := control.incarnation != before
	switch event := event.(type) {
	case engine.OrderResult:
		c.handleOrderResult(now, control, event)
		changed = true
	case engine.Status:
		changed = c.handleStatus(now, control, event) || changed
	}
	if changed && control.epoch != 0 {
		c.advance(now, control, effects)
	}
}

// HandlePlatformResponse takes the answer to a request of this core.
func (c *Core) HandlePlatformResponse(now time.Time, response platform.Response, effects *core.Effects) {
	if c.mirror.HandleResponse(now, response) {
		c.takeMirror(now, effects)
		c.advanceWaiting(now, effects)
		return
	}
	control := c.requests[response.ID]
	if control == nil {
		return
	}
	delete(c.requests, response.ID)
	if c.handleWeightsResponse(now, control, response, effects) {
		c.advance(now, control, effects)
		return
	}
	c.handleCommitResponse(now, control, response)
	c.takeMirror(now, effects)
	c.advance(now, control, effects)
}

// HandlePlatformWatch takes changes of the records.
func (c *Core) HandlePlatformWatch(now time.Time, event platform.WatchEvent, effects *core.Effects) {
	if c.mirror.HandleWatch(now, event) {
		c.takeMirror(now, effects)
		c.advanceWaiting(now, effects)
	}
}

// LearnRecords takes records from another router. Only higher generations count. Engines of which this router has
// authority are passed over: all their records are its own, and it reads them from the key-value service.
func (c *Core) LearnRecords(_ time.Time, messages []*granitebayv1.EngineRecord) {
	for _, message := range messages {
		control := c.engines[message.GetEngine()]
		if message.GetEngine() == "" || control != nil && control.epoch != 0 {
			continue
		}
		c.records.learn(message.GetEngine(), fromMessage(message))
	}
}

// Record returns the record of an engine with the highest generation that is known. The caller must not change it.
func (c *Core) Record(engineName string) (*granitebayv1.EngineRecord, bool) {
	return c.records.message(engineName)
}

// Records returns all records, sorted by engine. The caller must not change them.
func (c *Core) Records() []*granitebayv1.EngineRecord { return c.records.messages() }

// TakeChangedRecords returns the records that changed since the last call, sorted by engine, to be spread to others.
func (c *Core) TakeChangedRecords() []*granitebayv1.EngineRecord { return c.records.takeChanged() }

// Counts returns what happened so far.
func (c *Core) Counts() Counts { return c.counts }

// Tick runs what is due.
func (c *Core) Tick(now time.Time, effects *core.Effects) {
	if wake := c.NextWake(); wake.IsZero() || now.Before(wake) {
		return
	}
	for _, name := range c.names {
		control := c.engines[name]
		if !control.wake.IsZero() && !now.Before(control.wake) {
			c.advance(now, control, effects)
		}
	}
	c.mirror.Tick(now, effects)
}

// NextWake tells when Tick is due next.
func (c *Core) NextWake() time.Time {
	if !c.wakeKnown {
		c.wake = time.Time{}
		for _, control := range c.engines {
			c.wake = core.Earliest(c.wake, control.wake)
		}
		c.wakeKnown = true
	}
	return core.Earliest(c.wake, c.mirror.NextWake())
}

// control returns the state of an engine, which it makes when it is new.
func (c *Core) control(name string) *engineControl {
	if known := c.engines[name]; known != nil {
		return known
	}
	created := newEngineControl(name, c.settings)
	c.engines[name] = created
	c.names = append(c.names, name)
	slices.Sort(c.names)
	return created
}

// takeMirror takes what changed in the key-value service into the table of records, and does what follows from it.
func (c *Core) takeMirror(now time.Time, effects *core.Effects) {
	for _, key := range c.mirror.TakeChanged() {
		entry, present := c.mirror.Entry(key)
		if !present {
			continue // a record never goes back, also if somebody removes its key
		}
		record, err := parseRecord(entry)
		if err != nil {
			continue // what cannot be read is no record
		}
		name := recordEngine(key)
		before, taken := c.records.learn(name, record)
		control := c.engines[name]
		if !taken || control == nil || control.epoch == 0 {
			continue
		}
		c.noteCommitted(now, control, before, record, effects)
		c.advance(now, control, effects)
	}
}

// advanceWaiting goes on with the engines whose records were not known to be up to date.
func (c *Core) advanceWaiting(now time.Time, effects *core.Effects) {
	waiting := lo.Filter(c.names, func(name string, _ int) bool { return c.engines[name].waitsForRecords })
	for _, name := range waiting {
		c.advance(now, c.engines[name], effects)
	}
}

func (c *Core) wakeAt(control *engineControl, moment time.Time) {
	control.wake = moment
	c.wakeKnown = false
}
