package simulation

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/standin/enginemodel"
)

// Settings of the model engines, shorter than usual so that much happens in one run.
const (
	simulatedRoleChange = 1500 * time.Millisecond
	simulatedWeightLoad = 3 * time.Second
	tokenEventInterval  = 4
	// staleDelay is the extra delay of load reports and cache events while they are stale.
	staleDelay = 6 * time.Second
)

// simulatedSlots are the runs that an engine takes at once, fewer than usual so that requests wait in queues.
var simulatedSlots = map[engine.Role]int{engine.RolePrefill: 2, engine.RoleDecode: 4}

// clientName names one incarnation of a process at engines and at the platform.
func clientName(process string, incarnation uint64) string {
	return fmt.Sprintf("%s/%d", process, incarnation)
}

// processOf returns the process of a client.
func processOf(client string) string {
	process, _, _ := strings.Cut(client, "/")
	return process
}

// sentCommand is a command on its way to an engine.
type sentCommand struct {
	client  string
	sender  *processHost
	command engine.Command
	sentAt  time.Duration
}

// streamKey is one request of one client at an engine.
type streamKey struct{ client, requestID string }

// engineHost runs the model of one engine, over all its incarnations.
type engineHost struct {
	world    *world
	machine  Machine
	endpoint endpoint
	clock    processClock

	model       *enginemodel.Model
	alive       bool
	gone        bool
	incarnation uint64
	wakeAt      time.Duration
	wakeNumber  uint64
	// running counts the runs in the batch.
	running int
	// senders are the processes behind the clients of this incarnation.
	senders map[string]*processHost
	// streams are the requests for which a client waits, and false once the stream broke.
	streams map[streamKey]bool
	// known are the requests that this incarnation has accepted.
	known map[string]bool
	// lastArrival keeps the events for one client in order.
	lastArrival map[string]time.Duration
	// crashInChange is set when the engine is to crash midway through its next change.
	crashInChange bool
}

func newEngineHost(w *world, machine Machine, clock processClock) *engineHost {
	return &engineHost{world: w, machine: machine, clock: clock, endpoint: endpoint{name: machine.Name, zone: machine.Zone}}
}

// start starts a new incarnation, which knows nothing.
func (e *engineHost) start() {
	if e.alive || e.gone {
		return
	}
	e.incarnation++
	e.alive = true
	e.senders, e.streams, e.known = map[string]*processHost{}, map[streamKey]bool{}, map[string]bool{}
	e.lastArrival, e.wakeAt, e.running = map[string]time.Duration{}, 0, 0
	settings := enginemodel.DefaultSettings(e.machine.Name, e.incarnation)
	settings.Start = e.clock.read(e.world.now)
	settings.RoleChangeTime, settings.WeightLoadTime = simulatedRoleChange, simulatedWeightLoad
	settings.Prefill.Slots, settings.Decode.Slots = simulatedSlots[engine.RolePrefill], simulatedSlots[engine.RoleDecode]
	settings.TokenEventInterval = tokenEventInterval
	settings.Observer = &engineObserver{host: e}
	e.model = enginemodel.New(settings, newRandom(e.world.seed^e.incarnation<<32, streamEngines+stream(hashName(e.machine.Name))))
	e.observeState(EngineStarted)
	e.world.platform.register(e.machine, e.incarnation)
	e.planWake()
}

// crash ends the engine. Clients see their connections break, or hear nothing if they are cut off.
func (e *engineHost) crash() {
	if !e.alive {
		return
	}
	e.model.Kill(e.clock.read(e.world.now))
	e.ended(EngineCrashed)
}

// leave takes the engine away for good.
func (e *engineHost) leave() {
	e.gone = true
	e.world.platform.deregister(e.machine.Name)
	if e.alive {
		e.model.Kill(e.clock.read(e.world.now))
		e.ended(EngineGone)
	}
}

// ended notes that the process of the engine has ended.
func (e *engineHost) ended(how EngineState) {
	e.alive = false
	e.wakeNumber++
	e.observeState(how)
	for _, key := range e.openStreams() {
		sender := e.senders[key.client]
		delay := e.world.network.delay(e.endpoint, sender.endpoint)
		if e.world.network.isCut(e.endpoint, sender.endpoint) {
			delay = brokenAfter
		}
		e.deliver(sender, key.client, delay, engine.Unreachable{Engine: e.machine.Name, RequestID: key.requestID, Reason: "connection reset"})
	}
}

// openStreams returns the streams that are not broken, in order.
func (e *engineHost) openStreams() []streamKey {
	var open []streamKey
	for key, whole := range e.streams {
		if whole {
			open = append(open, key)
		}
	}
	slices.SortFunc(open, func(a, b streamKey) int {
		return cmp.Or(strings.Compare(a.client, b.client), strings.Compare(a.requestID, b.requestID))
	})
	return open
}

// disconnect lets go of a client that ended.
func (e *engineHost) disconnect(client string) {
	if e.alive {
		e.model.Disconnect(e.clock.read(e.world.now), client)
		e.flush()
	}
}

// receive takes a command that arrived.
func (e *engineHost) receive(sent sentCommand) {
	if !e.alive {
		delay := e.world.network.delay(e.endpoint, sent.sender.endpoint)
		e.unreachable(sent, delay, e.world.network.chance(notSentPerMille))
		return
	}
	requestID := requestOf(sent.command)
	e.senders[sent.client] = sent.sender
	if requestID != "" {
		e.streams[streamKey{client: sent.client, requestID: requestID}] = true
	}
	now := e.clock.read(e.world.now)
	e.model.Tick(now)
	if e.flush(); !e.alive {
		e.unreachable(sent, brokenAfter, false)
		return
	}
	before := e.model.Configuration()
	runs := e.running
	e.model.Handle(now, sent.client, sent.command)
	e.observeCommand(sent, before, runs)
	e.flush()
}

// unreachable tells the sender of a command that it got no answer.
func (e *engineHost) unreachable(sent sentCommand, delay time.Duration, notSent bool) {
	event := engine.Unreachable{Engine: e.machine.Name, RequestID: requestOf(sent.command), NotSent: notSent,
		Reason: "no connection", After: delay}
	e.deliver(sent.sender, sent.client, delay, event)
}

// flush sends the events of the model to its clients and plans its next wake.
func (e *engineHost) flush() {
	for _, given := range e.model.TakeEvents() {
		e.sendEvent(given.Client, given.Event)
	}
	if e.model.Crashed() && e.alive {
		e.ended(EngineCrashed)
		e.world.after(brokenAfter, e.start)
		return
	}
	e.planWake()
}

// sendEvent takes an event to a client, or breaks its stream if the way is cut.
func (e *engineHost) sendEvent(client string, event engine.Event) {
	sender := e.senders[client]
	requestID := requestOfEvent(event)
	key := streamKey{client: client, requestID: requestID}
	if requestID != "" && !e.streams[key] {
		return
	}
	if e.world.network.isCut(e.endpoint, sender.endpoint) {
		e.breakStream(sender, key)
		return
	}
	if requestID != "" && endsStream(event) {
		delete(e.streams, key)
	}
	delay := e.world.network.delay(e.endpoint, sender.endpoint)
	if e.world.platform.stale && isReport(event) {
		e.deliver(sender, client, delay+staleDelay, event)
		return
	}
	arrival := max(e.world.now+delay, e.lastArrival[client])
	e.lastArrival[client] = arrival
	e.deliver(sender, client, arrival-e.world.now, event)
}

// breakStream ends a stream whose way is cut.
func (e *engineHost) breakStream(sender *processHost, key streamKey) {
	if key.requestID != "" {
		e.streams[key] = false
	}
	e.deliver(sender, key.client, brokenAfter, engine.Unreachable{Engine: e.machine.Name, RequestID: key.requestID,
		Reason: "connection timed out", After: brokenAfter})
}

// deliver hands an event to a process after a delay if it is still the same incarnation.
func (e *engineHost) deliver(receiver *processHost, client string, delay time.Duration, event engine.Event) {
	e.world.after(delay, func() {
		if receiver.client() != client || receiver.state == processDead {
			return
		}
		e.world.trace.value(e.world.now, "engine event", receiver.machine.Name, event)
		receiver.do(func(now time.Time, effects *core.Effects) { receiver.node.HandleEngineEvent(now, event, effects) })
	})
}

// planWake plans the next tick of the model.
func (e *engineHost) planWake() {
	wake := e.model.NextWake()
	if wake.IsZero() {
		return
	}
	at := max(e.clock.moment(wake), e.world.now)
	if at == e.wakeAt {
		return
	}
	e.wakeAt = at
	e.wakeNumber++
	number := e.wakeNumber
	e.world.at(at, func() {
		if e.wakeNumber != number || !e.alive {
			return
		}
		e.wakeAt = 0
		e.model.Tick(e.clock.read(e.world.now))
		e.flush()
	})
}
