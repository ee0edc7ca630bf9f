package simulation

import (
	"time"

	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/platform"
)

// stopper is a core that can be asked to stop by plan.
type stopper interface {
	// Stop begins the planned stop and Stopped tells when it is done.
	Stop(now time.Time, effects *core.Effects)
	Stopped(now time.Time) bool
}

// world is one run: everything that exists and happens in it.
type world struct {
	scheduler
	seed       uint64
	deployment Deployment
	schedule   []Fault
	phases     phases
	trace      *trace
	history    *History

	// waiting are faults that hit the first router that sends something, hits the processes that faults hit.
	waiting []Fault
	hits    map[Fault]*processHost

	network   *network
	platform  *platformHost
	engines   map[string]*engineHost
	processes map[string]*processHost
	newRouter nodeFactory
	callers   *callers
	operators *operators
}

// newWorld builds a run of a seed with a schedule of faults.
func newWorld(seed uint64, deployment Deployment, times phases, schedule []Fault, newRouter nodeFactory) *world {
	w := &world{seed: seed, newRouter: newRouter, phases: times, deployment: deployment, schedule: schedule, trace: newTrace(),
		history: &History{FaultsEnd: times.faultsEnd, End: times.end, Zones: zonesOf(deployment.Routers)}, engines: map[string]*engineHost{},
		processes: map[string]*processHost{}, hits: map[Fault]*processHost{}}
	w.network = &network{random: newRandom(seed, streamNetwork), deployment: deployment}
	clocks := newRandom(seed, streamClocks)
	w.platform = newPlatformHost(w)
	for _, machine := range deployment.Engines {
		w.engines[machine.Name] = newEngineHost(w, machine, newProcessClock(clocks))
	}
	for _, machine := range deployment.Routers {
		w.processes[machine.Name] = newProcessHost(w, machine, newProcessClock(clocks))
	}
	for _, machine := range deployment.Agents {
		w.processes[machine.Name] = newProcessHost(w, machine, newProcessClock(clocks))
	}
	w.callers = newCallers(w)
	w.operators = newOperators(w)
	return w
}

// run lets the run happen from its start to its end.
func (w *world) run() {
	w.platform.start()
	for _, machine := range w.deployment.Engines {
		w.engines[machine.Name].start()
	}
	for _, machine := range w.deployment.Routers {
		w.processes[machine.Name].start()
	}
	for _, machine := range w.deployment.Agents {
		w.processes[machine.Name].start()
	}
	for _, fault := range w.schedule {
		w.at(fault.From, func() { w.beginFault(fault) })
	}
	w.callers.start()
	w.operators.start()
	for w.step(w.phases.end) {
	}
	w.now = w.phases.end
}

// observe takes what was seen into the history and the trace.
func (w *world) observe(observation Observation) {
	w.history.add(observation)
	w.trace.add(w.now, "observed", observation.String())
}

// seen is the present moment for an observation.
func (w *world) seen() Seen { return Seen{At: w.now} }

// effectsOf carries out what a step of a process asks for.
func (w *world) effectsOf(sender *processHost, effects *core.Effects) {
	for _, message := range effects.Messages {
		w.sendEnvelope(sender, message)
	}
	for _, command := range effects.Engine {
		w.sendCommand(sender, command)
	}
	for _, asked := range effects.Platform {
		w.platform.send(sender, asked)
	}
	for _, record := range effects.Decisions {
		w.trace.add(w.now, string(record.Kind), sender.machine.Name, record.Subject, record.Outcome, record.Reason)
	}
	for _, given := range effects.Caller {
		w.callers.receive(sender, given)
	}
}

// sendEnvelope takes an envelope to another process.
func (w *world) sendEnvelope(sender *processHost, message core.Message) {
	receiver := w.processes[message.To]
	if receiver == nil {
		return
	}
	envelope := sender.sealed(message)
	w.trace.envelope(w.now, envelope)
	from, to := sender.endpoint, receiver.endpoint
	if w.network.isCut(from, to) {
		w.lostInCut(sender, receiver, func() { receiver.receiveEnvelope(envelope) })
		return
	}
	for _, delay := range w.network.arrivals(from, to) {
		w.after(delay, func() {
			if receiver.state == processDead {
				sender.peerUnreachable(message.To, w.network.delay(to, from))
				return
			}
			receiver.receiveEnvelope(envelope)
		})
	}
}

// lostInCut loses an envelope in a cut, or lets it arrive when the cut has healed. The sender hears of it, if at all,
// only after a time-out.
func (w *world) lostInCut(sender, receiver *processHost, arrive func()) {
	if w.network.chance(lateAfterCutPerMille) {
		w.arriveAfterCut(sender, receiver, arrive)
		return
	}
	sender.peerUnreachable(receiver.machine.Name, brokenAfter)
}

// arriveAfterCut lets an envelope arrive some time after its way is free again.
func (w *world) arriveAfterCut(sender, receiver *processHost, arrive func()) {
	w.after(cutRetry, func() {
		switch {
		case w.network.isCut(sender.endpoint, receiver.endpoint):
			w.arriveAfterCut(sender, receiver, arrive)
		case receiver.state != processDead:
			arrive()
		}
	})
}

// sendCommand takes a command to an engine.
func (w *world) sendCommand(sender *processHost, command engine.Command) {
	receiver := w.engines[command.EngineName()]
	if receiver == nil {
		return
	}
	w.trace.value(w.now, "command", sender.machine.Name, command)
	if _, orders := command.(engine.Order); orders {
		w.sending(sender, VariantMidOrder)
	}
	sent := sentCommand{client: sender.client(), sender: sender, command: command, sentAt: w.now}
	if w.network.isCut(sender.endpoint, receiver.endpoint) {
		receiver.unreachable(sent, brokenAfter, w.network.chance(notSentPerMille))
		return
	}
	w.after(w.network.delay(sender.endpoint, receiver.endpoint)+sender.stalled(), func() { receiver.receive(sent) })
}

// member describes a machine as the membership list shows it.
func member(machine Machine, incarnation uint64) platform.Member {
	return platform.Member{Name: machine.Name, Kind: machine.Kind, Zone: machine.Zone, Address: machine.Address,
		Incarnation: incarnation, Labels: machine.Labels}
}
