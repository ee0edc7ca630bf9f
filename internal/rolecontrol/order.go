package rolecontrol

import (
	"strconv"
	"time"

	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/engine"
)

// confirmOrder brings the engine to accept the record under the present epoch. It returns true once the engine has.
func (c *Core) confirmOrder(now time.Time, control *engineControl, record Record, effects *core.Effects) bool {
	wanted := confirmation{
		incarnation: control.incarnation,
		fence:       engine.Fence{Epoch: control.epoch, Generation: record.Generation},
	}
	if control.incarnation != 0 && control.confirmed == wanted {
		return true
	}
	control.setPhase(c.phaseBeforeConfirmation(control, record))
	if control.incarnation == 0 {
		c.probe(now, control, c.settings.ProbeInterval, effects)
		return false
	}
	if !c.reached(now, control, control.retryAt) {
		return false
	}
	repeated := control.order.confirmation == wanted
	if repeated && !c.reached(now, control, control.order.sentAt.Add(c.settings.OrderRetry)) {
		return false
	}
	c.sendOrder(now, control, record, repeated, effects)
	return false
}

// phaseBeforeConfirmation is the phase of an engine that has not accepted its record yet.
func (c *Core) phaseBeforeConfirmation(control *engineControl, record Record) (Phase, string) {
	switch {
	case control.incarnation == 0:
		return PhaseRestating, "the engine was not heard of yet"
	case control.refusal != "":
		return PhaseRestating, "the engine refused its record: " + string(control.refusal)
	case !control.restated || control.confirmed.incarnation != control.incarnation:
		return PhaseRestating, "its record is being ordered again"
	case record.Draining:
		return PhaseDraining, "the drain is being ordered"
	default:
		return PhaseChanging, "its record is being ordered"
	}
}

// sendOrder sends the record as an order. Its content is a function of the record alone.
func (c *Core) sendOrder(now time.Time, control *engineControl, record Record, repeated bool, effects *core.Effects) {
	if !c.checkAuthority(now, control) {
		return
	}
	fence := engine.Fence{Epoch: control.epoch, Generation: record.Generation}
	control.order = order{confirmation: confirmation{incarnation: control.incarnation, fence: fence}, sentAt: now}
	control.restartedClean = false
	c.counts.Orders++
	effects.Command(engine.Order{
		Engine:              control.name,
		ExpectedIncarnation: control.incarnation,
		Fence:               fence,
		Configuration:       record.Configuration,
		Sender:              c.settings.Self,
	})
	if !repeated {
		c.decide(control, decision.KindOrder, string(record.Role), record.Reason, record, effects)
	}
	c.reached(now, control, now.Add(c.settings.OrderRetry))
}

// handleOrderResult takes the answer to an order. Answers to orders other than the last are ignored.
func (c *Core) handleOrderResult(now time.Time, control *engineControl, result engine.OrderResult) {
	if result.Incarnation != control.incarnation || result.Fence != control.order.fence {
		return
	}
	if result.Accepted {
		c.noteConfirmed(control, result.Fence)
		return
	}
	control.retryAt = now.Add(c.settings.OrderRetry)
	control.refusal = result.Refusal
}

// handleStatus takes a load report. It returns false when the report tells nothing new.
func (c *Core) handleStatus(now time.Time, control *engineControl, status engine.Status) bool {
	if status.Incarnation != control.incarnation {
		return false
	}
	control.statusAt = now
	if control.status.Incarnation == status.Incarnation && status.AsOf.Before(control.status.AsOf) {
		return false
	}
	control.status = status
	if status.Fence == control.order.fence && control.order.incarnation == status.Incarnation {
		c.noteConfirmed(control, status.Fence)
	}
	return true
}

func (c *Core) noteConfirmed(control *engineControl, fence engine.Fence) {
	if control.epoch == 0 || fence.Epoch != control.epoch {
		return
	}
	control.confirmed = confirmation{incarnation: control.incarnation, fence: fence}
	control.restated = true
	control.refusal = ""
}

// noteIncarnation takes the incarnation that an event tells of. A higher one means that the engine restarted: it forgot
// its runs, its fence and its configuration.
func (c *Core) noteIncarnation(now time.Time, control *engineControl, incarnation uint64, effects *core.Effects) {
	if incarnation <= control.incarnation {
		return
	}
	restarted := control.incarnation != 0
	control.incarnation = incarnation
	control.status = engine.Status{}
	control.readyDeadline = time.Time{}
	control.refusal = ""
	if !restarted || control.epoch == 0 {
		return
	}
	control.restartedClean = control.restated
	c.counts.Crashes++
	c.noteFailure(now, control, "the engine restarted", effects)
}

// noteFailure counts a crash or an order that did not make the engine ready, and sets the engine aside after too many.
func (c *Core) noteFailure(now time.Time, control *engineControl, reason string, effects *core.Effects) {
	control.failures++
	record, _ := c.records.get(control.name)
	if control.failures < c.settings.MaxCrashes {
		if control.failures > 1 {
			control.retryAt = now.Add(control.crashDelay.Next(c.random, 0))
		}
		c.decide(control, decision.KindEngine, "retry", reason, record, effects)
		return
	}
	control.setAside = true
	control.setAsideEnd = now.Add(c.settings.SetAsideRetry)
	c.decide(control, decision.KindEngine, "set aside", reason, record, effects)
}

// leaveSetAside lets an engine that was set aside back in when it serves after all, when another configuration is
// wanted of it, or after a long while. It returns false when the engine stays set aside or a commit was started.
func (c *Core) leaveSetAside(now time.Time, control *engineControl, record Record, effects *core.Effects) bool {
	wanted := control.target != nil && !sameConfiguration(control.target.Configuration, record.Configuration)
	switch {
	case control.isReady(record):
		control.failures = 0
	case wanted && control.isBlank():
		c.commitReplacement(now, control, record, effects)
		return false
	case c.reached(now, control, control.setAsideEnd):
		control.failures = c.settings.MaxCrashes - 1
	default:
		control.setPhase(PhaseSetAside, "failed "+strconv.Itoa(control.failures)+" times with its record")
		c.probe(now, control, c.settings.IdleProbeInterval, effects)
		return false
	}
	control.setAside = false
	control.retryAt = now
	return true
}

// isBlank tells whether the engine has just started, has accepted no order, and can get none but from this router: it
// started under this epoch, after it had accepted an order of this epoch. Then no router can start a run there, so that
// its record may be replaced without a drain.
func (e *engineControl) isBlank() bool {
	return e.restartedClean && e.status.Incarnation == e.incarnation && e.status.Fence == (engine.Fence{}) &&
		e.status.Running == 0 && e.status.Waiting == 0
}

// incarnationOf returns the incarnation that an event tells of; zero when it tells of none.
func incarnationOf(event engine.Event) uint64 {
	switch event := event.(type) {
	case engine.Tokens:
		return event.Incarnation
	case engine.Refused:
		return event.Incarnation
	case engine.Cancelled:
		return event.Incarnation
	case engine.OrderResult:
		return event.Incarnation
	case engine.Status:
		return event.Incarnation
	case engine.CacheEvent:
		return event.Incarnation
	default:
		return 0
	}
}
