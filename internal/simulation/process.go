package simulation

import (
	"math/rand/v2"
	"time"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/platform"
)

// hostState is what a process is doing.
type hostState int

const (
	processDead hostState = iota
	processRunning
	processPaused
)

// Times of processes.
const (
	// stopGrace is how long a planned stop may take before the process is ended.
	stopGrace = 30 * time.Second
	// shortestWake is the least time between two ticks of one process.
	shortestWake = 100 * time.Microsecond
	// stopPoll is the time between two looks whether a process has stopped.
	stopPoll = 50 * time.Millisecond
	// startBackoff is the time between the end of a stopped process and its next start.
	startBackoff = time.Second
)

// processHost runs the core of one process, over all its incarnations.
type processHost struct {
	world    *world
	machine  Machine
	endpoint endpoint
	clock    processClock

	node        core.Node
	state       hostState
	stopping    bool
	incarnation uint64
	// inbox holds what arrives during a pause.
	inbox []func()
	// wakeAt is when the next tick is planned; wakeNumber makes older plans void.
	wakeAt     time.Duration
	wakeNumber uint64
	// warned notes peers of which word is under way that they cannot be reached.
	warned map[string]bool
	// stalledUntil is until when commands stay in the buffers of a process that is about to be paused.
	stalledUntil time.Duration
	effects      core.Effects
}

func newProcessHost(w *world, machine Machine, clock processClock) *processHost {
	return &processHost{world: w, machine: machine, clock: clock,
		endpoint: endpoint{name: machine.Name, zone: machine.Zone, client: machine.Kind == platform.MemberAgent}}
}

// client is the name of this incarnation of the process at engines and at the platform.
func (p *processHost) client() string { return clientName(p.machine.Name, p.incarnation) }

// newRandom returns a source of randomness for this incarnation.
func (p *processHost) newRandom() *rand.Rand {
	return newRandom(p.world.seed^p.incarnation<<20, streamProcesses+stream(hashName(p.machine.Name)))
}

// localNow is the time by the clock of the process.
func (p *processHost) localNow() time.Time { return p.clock.read(p.world.now) }

// start starts a new incarnation with empty memory.
func (p *processHost) start() {
	if p.state != processDead {
		return
	}
	p.incarnation = uint64(p.localNow().UnixMilli())
	p.state, p.stopping = processRunning, false
	p.inbox, p.wakeAt, p.warned, p.stalledUntil = nil, 0, map[string]bool{}, 0
	p.node = p.world.newNode(p)
	p.world.observe(ProcessChanged{Seen: p.world.seen(), Process: p.machine.Name, Incarnation: p.incarnation, State: ProcessStarted})
	p.world.platform.setLeaving(p.machine.Name, false)
	p.world.platform.register(p.machine, p.incarnation)
	p.do(func(now time.Time, effects *core.Effects) { p.node.Tick(now, effects) })
}

// end ends the process, which loses all its memory.
func (p *processHost) end(how ProcessState) {
	if p.state == processDead {
		return
	}
	p.state = processDead
	p.node, p.inbox = nil, nil
	p.wakeNumber++
	p.world.observe(ProcessChanged{Seen: p.world.seen(), Process: p.machine.Name, Incarnation: p.incarnation, State: how})
	p.world.platform.disconnect(p.client())
	for _, machine := range p.world.deployment.Engines {
		p.world.engines[machine.Name].disconnect(p.client())
	}
	p.world.callers.agentEnded(p)
}

// pause stops the process without its notice. Commands that it has just sent may still be in its buffers.
func (p *processHost) pause() {
	if p.state != processRunning {
		return
	}
	p.state = processPaused
	p.world.observe(ProcessChanged{Seen: p.world.seen(), Process: p.machine.Name, Incarnation: p.incarnation, State: ProcessPaused})
}

// resume lets a paused process go on. What arrived meanwhile comes first, or its timers do.
func (p *processHost) resume() {
	if p.state != processPaused {
		return
	}
	p.state = processRunning
	// Another pause of the same process that overlaps this one ends with it, and so do its full buffers.
	p.stalledUntil = 0
	p.world.observe(ProcessChanged{Seen: p.world.seen(), Process: p.machine.Name, Incarnation: p.incarnation, State: ProcessResumed})
	waiting := p.inbox
	p.inbox = nil
	tick := func() { p.do(func(now time.Time, effects *core.Effects) { p.node.Tick(now, effects) }) }
	if p.world.network.chance(perMille / 2) {
		tick()
	}
	for _, input := range waiting {
		input()
	}
	if p.state == processRunning {
		tick()
	}
}

// do runs one step of the core and carries its effects out. A paused process does it when it goes on.
func (p *processHost) do(step func(now time.Time, effects *core.Effects)) {
	switch p.state {
	case processDead:
		return
	case processPaused:
		incarnation := p.incarnation
		p.inbox = append(p.inbox, func() {
			if p.incarnation == incarnation {
				p.do(step)
			}
		})
		return
	case processRunning:
	}
	p.effects.Reset()
	step(p.localNow(), &p.effects)
	effects := p.effects
	p.effects = core.Effects{}
	p.world.effectsOf(p, &effects)
	p.effects = effects
	p.planWake()
}

// planWake plans the next tick.
func (p *processHost) planWake() {
	if p.state == processDead {
		return
	}
	wake := p.node.NextWake()
	if wake.IsZero() {
		p.wakeAt = 0
		p.wakeNumber++
		return
	}
	at := max(p.clock.moment(wake), p.world.now+shortestWake)
	if at == p.wakeAt {
		return
	}
	p.wakeAt = at
	p.wakeNumber++
	number := p.wakeNumber
	p.world.at(at, func() {
		if p.wakeNumber != number || p.state == processDead {
			return
		}
		p.wakeAt = 0
		p.do(func(now time.Time, effects *core.Effects) { p.node.Tick(now, effects) })
	})
}

// sealed fills in the sender of a message.
func (p *processHost) sealed(message core.Message) *granitebayv1.Envelope {
	return &granitebayv1.Envelope{
		From: &granitebayv1.Peer{Name: p.machine.Name, Incarnation: p.incarnation, Address: p.machine.Address, Zone: p.machine.Zone},
		To:   message.To,
		Body: message.Envelope.Body,
	}
}

// receiveEnvelope hands an envelope to the core.
func (p *processHost) receiveEnvelope(envelope *granitebayv1.Envelope) {
	p.world.trace.add(p.world.now, "received", p.machine.Name, envelope.GetFrom().GetName())
	p.do(func(now time.Time, effects *core.Effects) { p.node.HandleEnvelope(now, envelope, effects) })
}

// peerUnreachable tells the core after a delay that messages to a peer could not be handed over, at times.
func (p *processHost) peerUnreachable(peer string, delay time.Duration) {
	if p.warned[peer] || !p.world.network.chance(unreachablePerMille) {
		return
	}
	p.warned[peer] = true
	incarnation := p.incarnation
	p.world.after(delay, func() {
		if p.incarnation != incarnation || p.state == processDead {
			return
		}
		delete(p.warned, peer)
		p.do(func(now time.Time, effects *core.Effects) { p.node.HandlePeerUnreachable(now, peer, effects) })
	})
}

// stalled returns how long commands still stay in the buffers of the process.
func (p *processHost) stalled() time.Duration { return max(0, p.stalledUntil-p.world.now) }

// stop asks the process to stop by plan, and starts it again afterwards, not before the given moment.
func (p *processHost) stop(startAgain time.Duration) {
	if p.state != processRunning || p.stopping {
		return
	}
	p.stopping = true
	w := p.world
	w.observe(ProcessChanged{Seen: w.seen(), Process: p.machine.Name, Incarnation: p.incarnation, State: ProcessStopping})
	w.platform.setLeaving(p.machine.Name, true)
	p.do(func(now time.Time, effects *core.Effects) { p.node.(stopper).Stop(now, effects) })
	p.awaitStopped(p.incarnation, w.now+stopGrace, startAgain)
}

// awaitStopped looks again and again whether the process has stopped.
func (p *processHost) awaitStopped(incarnation uint64, limit, startAgain time.Duration) {
	w := p.world
	w.after(stopPoll, func() {
		if p.incarnation != incarnation || p.state == processDead {
			return
		}
		switch {
		case p.state == processRunning && p.node.(stopper).Stopped(p.localNow()):
			p.end(ProcessStopped)
		case w.now >= limit:
			p.end(ProcessTimedOut)
		default:
			p.awaitStopped(incarnation, limit, startAgain)
			return
		}
		w.platform.deregister(p.machine.Name)
		w.at(max(startAgain, w.now+startBackoff), p.start)
	})
}
