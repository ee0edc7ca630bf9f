package rolecontrol

import (
	"strconv"
	"time"

	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/ownership/backoff"
)

// Phase is how far an engine is, as seen by the router that has authority over it.
type Phase string

// The phases.
const (
	// PhaseUnknown: this router has no authority over the engine, or does not know its record yet.
	PhaseUnknown Phase = "unknown"
	// PhaseRestating: the committed record is being ordered again, under a new epoch or to a restarted engine.
	PhaseRestating Phase = "restating"
	// PhaseServing: the engine serves as its record says.
	PhaseServing Phase = "serving"
	// PhaseDraining: the engine gets no new work and finishes what it has, before a change.
	PhaseDraining Phase = "draining"
	// PhaseChanging: the engine was ordered its record and is not ready yet.
	PhaseChanging Phase = "changing"
	// PhaseSetAside: the engine crashed or failed too often with its record and gets no orders for a while.
	PhaseSetAside Phase = "setAside"
)

// engineControl is the state of one engine.
type engineControl struct {
	name, zone string
	// incarnation is the highest that was heard of; zero before the first.
	incarnation uint64
	// epoch under which this router has authority; zero when it has none.
	epoch  uint64
	target *Target
	// targetAt is when the target was last given.
	targetAt time.Time
	status   engine.Status
	// statusAt is when the latest load report came, probedAt when the latest probe was sent.
	statusAt, probedAt time.Time

	phase   Phase
	message string
	wake    time.Time
	// waitsForRecords is set while the copy of the records may be older than the epoch.
	waitsForRecords bool
	weights         weightLeave
	commit          *commit
	commitAt        time.Time

	order order
	// refusal is the answer of the engine to the last order, if it did not take it.
	refusal engine.Refusal
	// confirmed is what the engine is known to have accepted from this router.
	confirmed confirmation
	// restated is set once the engine accepted an order of this epoch.
	restated bool
	// readyGeneration is the generation with which the engine was last seen serving, in readyIncarnation.
	readyGeneration, readyIncarnation uint64
	readySince                        time.Time
	readyDeadline                     time.Time
	// drainGeneration is the generation to which drainDeadline belongs, changeGeneration the one that carries out a
	// change.
	drainGeneration  uint64
	drainDeadline    time.Time
	changeGeneration uint64
	redrainAt        time.Time

	// failures counts crashes and orders that did not make the engine ready, since it last served for long.
	failures    int
	crashDelay  backoff.Backoff
	retryAt     time.Time
	setAside    bool
	setAsideEnd time.Time
	// restartedClean is set while the engine's present incarnation started under this epoch and got no order from this
	// router: nothing can run there.
	restartedClean bool
}

// confirmation is a fence that an incarnation of an engine has accepted.
type confirmation struct {
	incarnation uint64
	fence       engine.Fence
}

// order is the order that was sent last.
type order struct {
	confirmation
	sentAt time.Time
}

func newEngineControl(name string, settings Settings) *engineControl {
	return &engineControl{
		name:       name,
		phase:      PhaseUnknown,
		message:    "no authority over the engine yet",
		crashDelay: backoff.Backoff{Base: settings.CrashBackoff, Max: settings.MaxCrashBackoff},
	}
}

// adoptEpoch begins anew under another epoch. Zero means that this router has no authority any more. A commit that is
// under way is kept until another epoch makes it void, in case this router gets the same authority again.
func (c *Core) adoptEpoch(control *engineControl, epoch uint64) {
	target := control.target
	if control.epoch != 0 {
		target = nil
	}
	c.countHeld(control.epoch, epoch)
	pending := control.commit
	if pending != nil && epoch != 0 && pending.proposal.Epoch != epoch {
		c.dropCommit(control)
		pending = nil
	}
	*control = engineControl{
		name:        control.name,
		zone:        control.zone,
		incarnation: control.incarnation,
		epoch:       epoch,
		target:      target,
		targetAt:    control.targetAt,
		status:      control.status,
		statusAt:    control.statusAt,
		commit:      pending,
		phase:       PhaseUnknown,
		message:     "another router has authority over the engine",
		crashDelay:  backoff.Backoff{Base: c.settings.CrashBackoff, Max: c.settings.MaxCrashBackoff},
	}
	c.wakeKnown = false
}

// countHeld keeps the number of engines over which this router has authority.
func (c *Core) countHeld(before, after uint64) {
	if before == 0 && after != 0 {
		c.held++
	}
	if before != 0 && after == 0 {
		c.held--
	}
}

// checkAuthority asks for the authority anew. It is called last thing before each order and each commit.
func (c *Core) checkAuthority(now time.Time, control *engineControl) bool {
	epoch, held := c.settings.Authority(now, control.name)
	if !held {
		epoch = 0
	}
	if epoch != control.epoch {
		c.adoptEpoch(control, epoch)
		if epoch != 0 {
			c.wakeAt(control, now)
		}
		return false
	}
	return epoch != 0
}

// advance does the next step for an engine, whatever it is.
func (c *Core) advance(now time.Time, control *engineControl, effects *core.Effects) {
	c.wakeAt(control, time.Time{})
	if control.epoch == 0 {
		return
	}
	if c.waitForRecords(now, control) || c.advanceCommit(now, control, effects) {
		return
	}
	record, known := c.records.get(control.name)
	if !known {
		c.commitFirst(now, control, effects)
		return
	}
	if c.overdue(now, control, record) {
		c.commitWithdrawal(now, control, record, "the engine did not become empty in time", effects)
		return
	}
	if control.setAside && !c.leaveSetAside(now, control, record, effects) {
		return
	}
	if !c.confirmOrder(now, control, record, effects) {
		return
	}
	if record.Draining {
		c.advanceDrain(now, control, record, effects)
		return
	}
	c.advanceServing(now, control, record, effects)
}

// waitForRecords holds everything back until the copy of the records is at least as new as the epoch. From there on
// only this router commits records of the engine, so that the copy is up to date.
func (c *Core) waitForRecords(now time.Time, control *engineControl) bool {
	control.waitsForRecords = !c.mirror.Ready() || c.mirror.Revision() < control.epoch
	if control.waitsForRecords {
		c.mirror.Refresh(now)
		control.setPhase(PhaseUnknown, "waiting for the records from the key-value service")
	}
	return control.waitsForRecords
}

// overdue tells whether a drain took too long. It starts the clock of a drain that is new to this router.
func (c *Core) overdue(now time.Time, control *engineControl, record Record) bool {
	if !record.Draining {
		return false
	}
	if control.drainGeneration != record.Generation {
		control.drainGeneration = record.Generation
		control.drainDeadline = now.Add(c.settings.DrainTimeout)
	}
	return control.restated && c.reached(now, control, control.drainDeadline)
}

// advanceDrain waits until the engine is empty, and then commits the change.
func (c *Core) advanceDrain(now time.Time, control *engineControl, record Record, effects *core.Effects) {
	control.setPhase(PhaseDraining, "finishing "+strconv.Itoa(control.status.Running+control.status.Waiting)+" runs before a change")
	switch {
	case control.target == nil || sameConfiguration(control.target.Configuration, record.Configuration):
		c.commitWithdrawal(now, control, record, "the change is no longer wanted", effects)
	case control.isEmpty(record):
		c.commitChange(now, control, record, effects)
	default:
		c.probe(now, control, c.settings.ProbeInterval, effects)
	}
}

// isEmpty tells whether a load report proves that nothing runs and that nothing can start any more.
func (e *engineControl) isEmpty(record Record) bool {
	return e.status.Incarnation == e.incarnation && e.status.Fence.Generation >= record.Generation &&
		e.status.Running == 0 && e.status.Waiting == 0 && !e.status.Changing
}

// advanceServing waits until the engine serves as its record says, and starts a change when one is wanted.
func (c *Core) advanceServing(now time.Time, control *engineControl, record Record, effects *core.Effects) {
	if !control.isReady(record) {
		c.awaitReady(now, control, effects)
		return
	}
	c.noteReady(now, control, record, effects)
	if control.failures > 0 && c.reached(now, control, control.readySince.Add(c.settings.StableAfter)) {
		control.failures = 0
		control.crashDelay.Reset()
	}
	if c.wantsChange(now, control, record) && c.mayLoad(now, control, record, effects) {
		c.commitDrain(now, control, record, effects)
	}
	if control.commit != nil {
		return
	}
	if idle := c.idleInterval(); c.reached(now, control, control.statusAt.Add(idle)) {
		c.probe(now, control, idle, effects)
	}
}

// wantsChange tells whether the target differs from the record. An outdated target is dropped.
func (c *Core) wantsChange(now time.Time, control *engineControl, record Record) bool {
	if control.target == nil || sameConfiguration(control.target.Configuration, record.Configuration) {
		return false
	}
	if !now.Before(control.targetAt.Add(c.settings.TargetLifetime)) {
		control.target = nil
		return false
	}
	return true
}

// isReady tells whether a load report shows the engine serving as its record says.
func (e *engineControl) isReady(record Record) bool {
	return e.status.Incarnation == e.incarnation && e.status.Fence.Generation == record.Generation &&
		!e.status.Changing && sameConfiguration(e.status.Configuration, record.Configuration)
}

// freelyProbed is the number of engines that are probed at IdleProbeInterval while they serve. With more of them, each
// waits for idleProbeShare times their number.
const (
	freelyProbed   = 16
	idleProbeShare = 250 * time.Millisecond
)

// idleInterval is the time after the latest report of a serving engine at which it is probed.
func (c *Core) idleInterval() time.Duration {
	if c.held <= freelyProbed {
		return c.settings.IdleProbeInterval
	}
	return max(c.settings.IdleProbeInterval, time.Duration(c.held)*idleProbeShare)
}

func (c *Core) awaitReady(now time.Time, control *engineControl, effects *core.Effects) {
	control.setPhase(PhaseChanging, "accepted its record and is not ready yet")
	if control.readyDeadline.IsZero() {
		control.readyDeadline = now.Add(max(c.settings.ReadyTimeout, loadTimeFactor*control.weights.loadTime))
	}
	if c.reached(now, control, control.readyDeadline) {
		control.confirmed = confirmation{}
		control.readyDeadline = time.Time{}
		c.noteFailure(now, control, "the engine did not become ready in time", effects)
		c.wakeAt(control, now)
		return
	}
	c.probe(now, control, c.settings.ProbeInterval, effects)
}

func (c *Core) noteReady(now time.Time, control *engineControl, record Record, effects *core.Effects) {
	control.setPhase(PhaseServing, "serves as its record says")
	control.readyDeadline = time.Time{}
	if control.readyGeneration == record.Generation && control.readyIncarnation == control.incarnation {
		return
	}
	control.readyGeneration = record.Generation
	control.readyIncarnation = control.incarnation
	control.readySince = now
	control.weights = weightLeave{}
	if control.changeGeneration == record.Generation {
		c.counts.Done++
		control.changeGeneration = 0
	}
	c.decide(control, decision.KindEngine, "ready", "the engine serves as its record says", record, effects)
}

// probe asks for a load report unless one was asked for a moment ago.
func (c *Core) probe(now time.Time, control *engineControl, interval time.Duration, effects *core.Effects) {
	next := control.probedAt.Add(interval)
	if control.probedAt.IsZero() || !now.Before(next) {
		control.probedAt = now
		effects.Command(engine.Probe{Engine: control.name})
		next = now.Add(interval)
	}
	c.reached(now, control, next)
}

// reached tells whether a moment has come, and notes to wake up at it if it has not.
func (c *Core) reached(now time.Time, control *engineControl, moment time.Time) bool {
	if now.Before(moment) {
		c.wakeAt(control, core.Earliest(control.wake, moment))
		return false
	}
	return true
}

func (e *engineControl) setPhase(phase Phase, message string) {
	e.phase = phase
	e.message = message
}

func (c *Core) decide(control *engineControl, kind decision.Kind, outcome, reason string, record Record, effects *core.Effects) {
	if effects == nil {
		return
	}
	effects.Decide(decision.Record{
		Kind:    kind,
		Subject: control.name,
		Outcome: outcome,
		Reason:  reason,
		Inputs: map[string]string{
			"generation":  strconv.FormatUint(record.Generation, 10),
			"incarnation": strconv.FormatUint(control.incarnation, 10),
			"role":        string(record.Role),
			"model":       record.Model,
			"version":     record.ModelVersion,
			"running":     strconv.Itoa(control.status.Running + control.status.Waiting),
		},
		Epoch: control.epoch,
	})
}
