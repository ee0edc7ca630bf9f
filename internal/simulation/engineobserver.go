package simulation

import (
	"hash/fnv"
	"time"

	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/standin/enginemodel"
)

// engineObserver notes what an engine really did.
type engineObserver struct{ host *engineHost }

var _ enginemodel.Observer = (*engineObserver)(nil)

// RunStarted implements enginemodel.Observer.
func (o *engineObserver) RunStarted(_ time.Time, run enginemodel.RunRecord) {
	o.host.running++
	o.host.world.observe(RunStarted{Seen: o.host.world.seen(), Engine: run.Engine, Incarnation: run.Incarnation, RequestID: run.RequestID})
}

// RunFinished implements enginemodel.Observer.
func (o *engineObserver) RunFinished(_ time.Time, run enginemodel.RunRecord) {
	o.ended(run, RunFinished)
}

// RunCut implements enginemodel.Observer.
func (o *engineObserver) RunCut(_ time.Time, run enginemodel.RunRecord, cause enginemodel.CutCause) {
	endings := map[enginemodel.CutCause]RunEnding{enginemodel.CutChange: RunChanged, enginemodel.CutCancel: RunCancelled,
		enginemodel.CutCrash: RunCrashed}
	o.ended(run, endings[cause])
}

// OrderHandled implements enginemodel.Observer. Orders are noted where they arrive.
func (o *engineObserver) OrderHandled(time.Time, engine.Order, bool, engine.Refusal) {}

func (o *engineObserver) ended(run enginemodel.RunRecord, ending RunEnding) {
	o.host.running--
	o.host.world.observe(RunEnded{Seen: o.host.world.seen(), Engine: run.Engine, Incarnation: run.Incarnation,
		RequestID: run.RequestID, Ending: ending})
}

// observeState notes a change of the process of the engine.
func (e *engineHost) observeState(state EngineState) {
	e.world.observe(EngineChanged{Seen: e.world.seen(), Engine: e.machine.Name, Incarnation: e.incarnation, State: state})
}

// observeCommand notes an order or a submit that the model has just handled.
func (e *engineHost) observeCommand(sent sentCommand, before engine.Configuration, runs int) {
	events := e.model.TakeEvents()
	switch command := sent.command.(type) {
	case engine.Order:
		e.observeOrder(sent, command, events, before, runs)
	case engine.Submit:
		e.observeSubmit(sent, command, events)
	}
	for _, given := range events {
		e.sendEvent(given.Client, given.Event)
	}
}

// observeOrder notes an order with the verdict of the engine.
func (e *engineHost) observeOrder(sent sentCommand, order engine.Order, events []enginemodel.ClientEvent, before engine.Configuration, runs int) {
	seen := OrderReceived{Seen: e.world.seen(), SentAt: sent.sentAt, Engine: e.machine.Name, Incarnation: e.incarnation,
		Sender: sent.client, Fence: order.Fence, Configuration: order.Configuration, Runs: runs}
	for _, given := range events {
		if result, ok := given.Event.(engine.OrderResult); ok {
			seen.Accepted, seen.Refusal = result.Accepted, result.Refusal
		}
	}
	seen.Changes = seen.Accepted && !equalConfigurations(before, e.model.Configuration())
	e.world.observe(seen)
	if seen.Changes && e.crashInChange {
		e.crashInChange = false
		e.world.after(simulatedRoleChange/2, e.crash)
		e.world.after(simulatedRoleChange/2+brokenAfter, e.start)
	}
}

// observeSubmit notes a submit with the verdict of the engine.
func (e *engineHost) observeSubmit(sent sentCommand, submit engine.Submit, events []enginemodel.ClientEvent) {
	seen := SubmitReceived{Seen: e.world.seen(), Engine: e.machine.Name, Incarnation: e.incarnation, Sender: sent.client,
		RequestID: submit.RequestID}
	for _, given := range events {
		if refused, ok := given.Event.(engine.Refused); ok && refused.RequestID == submit.RequestID {
			seen.Refusal = refused.Refusal
		}
	}
	if seen.Refusal == "" {
		seen.New = !e.known[submit.RequestID]
		e.known[submit.RequestID] = true
	}
	e.world.observe(seen)
}

// requestOf returns the request that a command is about; empty if it is about none.
func requestOf(command engine.Command) string {
	switch command := command.(type) {
	case engine.Submit:
		return command.RequestID
	case engine.Attach:
		return command.RequestID
	case engine.Cancel:
		return command.RequestID
	}
	return ""
}

// requestOfEvent returns the request that an event is about; empty if it is about none.
func requestOfEvent(event engine.Event) string {
	switch event := event.(type) {
	case engine.Tokens:
		return event.RequestID
	case engine.Refused:
		return event.RequestID
	case engine.Cancelled:
		return event.RequestID
	}
	return ""
}

// endsStream tells whether an event is the last one of the stream of a request.
func endsStream(event engine.Event) bool {
	tokens, ok := event.(engine.Tokens)
	return !ok || tokens.Finished || tokens.Error != ""
}

// isReport tells whether an event is a load report or a cache event.
func isReport(event engine.Event) bool {
	switch event.(type) {
	case engine.Status, engine.CacheEvent:
		return true
	}
	return false
}

// hashName makes a number of a name.
func hashName(name string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name))
	return hash.Sum64()
}
