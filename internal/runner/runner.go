// Package runner drives the core of one process: it hands inputs to the core one at a time, carries out the effects and
// wakes the core by a timer. It is the only place in a program that reads the clock for a core.
package runner

import (
	"sync"
	"time"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/decisionlog"
	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/platform"
)

// minimumWake keeps a core that is always due from spinning.
const minimumWake = time.Millisecond

// Sender hands envelopes to peers.
type Sender interface{ Send(core.Message) }

// EngineClient carries out commands to engines.
type EngineClient interface {
	SetAddress(engine, address string)
	Do(engine.Command)
}

// PlatformClient carries out requests to the platform.
type PlatformClient interface{ Do(core.PlatformRequest) }

// EngineAddressBook is implemented by nodes that command engines.
type EngineAddressBook interface {
	// EngineAddress returns the host:port of an engine, or an empty string.
	EngineAddress(engine string) string
}

// Options of a Runner. Sender, Engines, Platform and OnCaller may be nil if the node never uses them.
type Options struct {
	Node     core.Node
	Sender   Sender
	Engines  EngineClient
	Platform PlatformClient
	// Decisions keeps the decisions of the node.
	Decisions *decisionlog.Log
	// OnDecision takes each decision after it was kept. It must not block.
	OnDecision func(decision.Record)
	// OnCaller takes what the node gives to its callers. It must not block.
	OnCaller func(core.CallerEvent)
	// Now reads the clock; time.Now when nil.
	Now func() time.Time
}

// Runner drives one node. Inputs may come from any goroutine; the node sees them one at a time. Effects are carried out
// under the same lock, so they must not block.
type Runner struct {
	options Options

	mutex   sync.Mutex
	effects core.Effects
	timer   *time.Timer
	wake    time.Time
	closed  bool
}

// New returns a runner. Start wakes the node for the first time.
func New(options Options) *Runner {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Runner{options: options}
}

// Start runs the first tick.
func (r *Runner) Start() {
	r.Do(r.options.Node.Tick)
}

// Connect sets the sender and the clients, for programs whose transport needs the runner first.
func (r *Runner) Connect(sender Sender, engines EngineClient, platformClient PlatformClient) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.options.Sender = sender
	r.options.Engines = engines
	r.options.Platform = platformClient
}

// Do runs a step of the node and carries out its effects.
func (r *Runner) Do(step func(now time.Time, effects *core.Effects)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.closed {
		return
	}
	now := r.options.Now()
	step(now, &r.effects)
	r.flush(now)
	r.schedule(now)
}

// Read runs a function that only reads the node.
func (r *Runner) Read(read func(now time.Time)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	read(r.options.Now())
}

// HandleEnvelope hands a message of a peer to the node.
func (r *Runner) HandleEnvelope(envelope *granitebayv1.Envelope) {
	r.Do(func(now time.Time, effects *core.Effects) { r.options.Node.HandleEnvelope(now, envelope, effects) })
}

// HandlePeerUnreachable tells the node that messages to a peer were lost.
func (r *Runner) HandlePeerUnreachable(peer string) {
	r.Do(func(now time.Time, effects *core.Effects) { r.options.Node.HandlePeerUnreachable(now, peer, effects) })
}

// HandleEngineEvent hands an event of an engine to the node.
func (r *Runner) HandleEngineEvent(event engine.Event) {
	r.Do(func(now time.Time, effects *core.Effects) { r.options.Node.HandleEngineEvent(now, event, effects) })
}

// HandlePlatformResponse hands an answer of the platform to the node.
func (r *Runner) HandlePlatformResponse(response platform.Response) {
	r.Do(func(now time.Time, effects *core.Effects) {
		r.options.Node.HandlePlatformResponse(now, response, effects)
	})
}

// HandlePlatformWatch hands changes of a watch to the node.
func (r *Runner) HandlePlatformWatch(event platform.WatchEvent) {
	r.Do(func(now time.Time, effects *core.Effects) { r.options.Node.HandlePlatformWatch(now, event, effects) })
}

// Close stops the runner: later inputs are dropped.
func (r *Runner) Close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.closed = true
	if r.timer != nil {
		r.timer.Stop()
	}
}

// flush carries out the effects of a step.
func (r *Runner) flush(now time.Time) {
	for _, message := range r.effects.Messages {
		r.options.Sender.Send(message)
	}
	for _, command := range r.effects.Engine {
		r.command(command)
	}
	for _, request := range r.effects.Platform {
		r.options.Platform.Do(request)
	}
	for _, event := range r.effects.Caller {
		r.options.OnCaller(event)
	}
	r.keepDecisions(now)
	r.effects.Reset()
}

// command hands a command to the engine client with the latest address of the engine.
func (r *Runner) command(command engine.Command) {
	if book, ok := r.options.Node.(EngineAddressBook); ok {
		r.options.Engines.SetAddress(command.EngineName(), book.EngineAddress(command.EngineName()))
	}
	r.options.Engines.Do(command)
}

// keepDecisions puts the decisions of a step into the log.
func (r *Runner) keepDecisions(now time.Time) {
	if len(r.effects.Decisions) == 0 {
		return
	}
	kept := r.options.Decisions.Append(now, r.effects.Decisions)
	if r.options.OnDecision == nil {
		return
	}
	for _, record := range kept {
		r.options.OnDecision(record)
	}
}

// schedule sets the timer to the next wake of the node.
func (r *Runner) schedule(now time.Time) {
	wake := r.options.Node.NextWake()
	if wake.Equal(r.wake) {
		return
	}
	r.wake = wake
	if r.timer != nil {
		r.timer.Stop()
	}
	if wake.IsZero() {
		return
	}
	r.timer = time.AfterFunc(max(wake.Sub(now), minimumWake), r.tick)
}

// tick runs when the timer fires.
func (r *Runner) tick() {
	r.Do(func(now time.Time, effects *core.Effects) {
		r.wake = time.Time{}
		r.options.Node.Tick(now, effects)
	})
}
