package simulation

import (
	"time"

	"github.com/samber/lo"
)

// stallBefore is the longest time before a pause in which commands already stay in the buffers of the process.
const stallBefore = 50 * time.Millisecond

// Extra times of a platform that is slow.
const slowPlatform = 1500 * time.Millisecond

// beginFault puts a fault in force and plans its end.
func (w *world) beginFault(fault Fault) {
	w.observe(FaultBegan{Seen: w.seen(), Fault: fault})
	switch fault.Kind {
	case FaultKill, FaultPause:
		w.beginHit(fault)
	case FaultCut:
		w.network.begin(fault)
	case FaultStoreOutage:
		w.setStoreFault(fault, true)
	case FaultLostAnswer:
		w.platform.model.SetLostAnswerProbability(lostAnswerShare)
	case FaultOperators:
		w.operators.begin(fault)
	case FaultEngineCrash:
		w.beginCrash(fault)
	case FaultStaleLoad:
		w.platform.setStale(true)
	case FaultPlannedStop:
		w.beginPlannedStop(fault)
	}
	w.at(fault.Until, func() { w.healFault(fault) })
}

// healFault ends a fault.
func (w *world) healFault(fault Fault) {
	switch fault.Kind {
	case FaultKill, FaultPause:
		w.healHit(fault)
	case FaultCut:
		w.network.heal(fault)
	case FaultStoreOutage:
		w.setStoreFault(fault, false)
	case FaultLostAnswer:
		w.platform.model.SetLostAnswerProbability(0)
	case FaultEngineCrash:
		w.healCrash(fault)
	case FaultStaleLoad:
		w.platform.setStale(false)
	case FaultOperators, FaultPlannedStop:
	}
	w.observe(FaultHealed{Seen: w.seen(), Fault: fault})
}

// beginHit kills or pauses a process, at once or when a router sends what the fault waits for.
func (w *world) beginHit(fault Fault) {
	if fault.Target == "" {
		w.waiting = append(w.waiting, fault)
		return
	}
	w.hit(fault, w.processes[fault.Target])
}

// hit kills a process, or pauses it a moment later; until then its commands already stay in its buffers.
func (w *world) hit(fault Fault, target *processHost) {
	w.hits[fault] = target
	if fault.Kind == FaultKill {
		target.end(ProcessKilled)
		return
	}
	target.stalledUntil = fault.Until
	w.after(time.Duration(w.network.random.Int64N(int64(stallBefore))), target.pause)
}

// healHit lets a killed or paused process run again. A fault that waited in vain hits nobody.
func (w *world) healHit(fault Fault) {
	w.waiting = lo.Without(w.waiting, fault)
	target := w.hits[fault]
	switch {
	case target == nil:
	case fault.Kind == FaultKill:
		target.start()
	default:
		target.resume()
	}
}

// sending hits a router with the faults that wait for what it sends now. Pauses hold it back, kills come just after.
func (w *world) sending(sender *processHost, what Variant) {
	isHit := func(fault Fault, _ int) bool { return fault.Variant == what }
	for _, fault := range lo.Filter(w.waiting, isHit) {
		w.waiting = lo.Without(w.waiting, fault)
		if fault.Kind == FaultPause {
			w.hit(fault, sender)
			continue
		}
		w.after(0, func() { w.hit(fault, sender) })
	}
}

// setStoreFault begins or ends a fault of the platform.
func (w *world) setStoreFault(fault Fault, on bool) {
	switch fault.Variant {
	case VariantDown, VariantSilent:
		w.platform.setOutage(fault.Variant == VariantSilent, on)
	case VariantSlow:
		w.platform.model.SetSlow(map[bool]time.Duration{true: slowPlatform}[on])
	case VariantRateLimited:
		w.platform.limited = on
	}
}

// beginCrash crashes an engine now, or lets it crash midway through its next change.
func (w *world) beginCrash(fault Fault) {
	target := w.engines[fault.Target]
	if fault.Variant == VariantMidChange {
		target.crashInChange = true
		return
	}
	target.crash()
}

// healCrash starts a crashed engine again.
func (w *world) healCrash(fault Fault) {
	target := w.engines[fault.Target]
	target.crashInChange = false
	target.start()
}

// beginPlannedStop asks a process to stop, or marks an engine as leaving and takes it away after the grace.
func (w *world) beginPlannedStop(fault Fault) {
	if fault.Variant == VariantEngineLeaves {
		w.platform.setLeaving(fault.Target, true)
		w.after(stopGrace, w.engines[fault.Target].leave)
		return
	}
	w.processes[fault.Target].stop(fault.Until)
}
