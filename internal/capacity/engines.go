package capacity

import (
	"time"

	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/engine"
)

// hollowEngineMemory is the KV cache of a hollow engine, in tokens.
const hollowEngineMemory = 400_000

// hollowEngine answers probes and orders at once.
type hollowEngine struct {
	name          string
	incarnation   uint64
	fence         engine.Fence
	configuration engine.Configuration
}

// command hands a command of a real router to an engine and delivers the answer.
func (w *world) command(from *host, command engine.Command) {
	from.meter.countJSON("engine commands", command)
	target := w.engines[command.EngineName()]
	if target == nil {
		return
	}
	event := target.handle(w.now, command)
	if event == nil {
		return
	}
	w.schedule(w.now.Add(engineDelay), func() {
		switch event := event.(type) {
		case engine.Status:
			received := *receiveJSON(from.meter, "engine events", &event)
			w.step(from, func(effects *core.Effects) { from.node.HandleEngineEvent(w.now, received, effects) })
		case engine.OrderResult:
			received := *receiveJSON(from.meter, "engine events", &event)
			w.step(from, func(effects *core.Effects) { from.node.HandleEngineEvent(w.now, received, effects) })
		}
	})
}

// handle carries a command out and returns the answer, or nil.
func (e *hollowEngine) handle(now time.Time, command engine.Command) engine.Event {
	switch command := command.(type) {
	case engine.Order:
		e.fence, e.configuration = command.Fence, command.Configuration
		return engine.OrderResult{Engine: e.name, Incarnation: e.incarnation, Fence: command.Fence, Accepted: true, Current: e.fence}
	case engine.Probe:
		return engine.Status{
			Engine: e.name, Incarnation: e.incarnation, AsOf: now, Fence: e.fence, Configuration: e.configuration,
			MemoryTotal: hollowEngineMemory,
		}
	default:
		return nil
	}
}
