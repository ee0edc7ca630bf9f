// Package core defines the shape that all protocol cores share. A core is a single-threaded state machine: inputs and
// the current time go in, effects come out. It has no clock, no socket, no goroutine, no global randomness, and its
// effects never depend on the order of a map. The same cores run in the programs and in the simulation.
package core

import (
	"time"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/platform"
)

// Message is an envelope for a peer. The sender must not change the body after it was handed over, and the receiver
// must not change what it gets.
type Message struct {
	// To is the name of the receiver and Address the host:port where it accepts envelopes.
	To       string
	Address  string
	Envelope *granitebayv1.Envelope
}

// PlatformRequest is a request to the platform together with the id that its response will carry.
type PlatformRequest struct {
	ID      platform.RequestID
	Request platform.Request
}

// CallerEvent is what an agent gives to the caller of one request, in order.
type CallerEvent struct {
	// Call is the number that the shell gave to the caller's request.
	Call uint64
	// Offset of the first of Tokens in the answer.
	Offset uint32
	Tokens []string
	// Finished is set on the last event of a whole answer.
	Finished bool
	// Outcome is set on the last event of a request that was not answered.
	Outcome *granitebayv1.Outcome
}

// Effects collects what one step of a core asks its surroundings to do, in order. The zero value is ready to use.
type Effects struct {
	Messages  []Message
	Engine    []engine.Command
	Platform  []PlatformRequest
	Decisions []decision.Record
	// Caller is used by agents only.
	Caller []CallerEvent
}

// Send adds a message to a peer. The surroundings fill in the sender.
func (e *Effects) Send(to, address string, envelope *granitebayv1.Envelope) {
	e.Messages = append(e.Messages, Message{To: to, Address: address, Envelope: envelope})
}

// Command adds a command to an engine.
func (e *Effects) Command(command engine.Command) {
	e.Engine = append(e.Engine, command)
}

// Ask adds a request to the platform.
func (e *Effects) Ask(id platform.RequestID, request platform.Request) {
	e.Platform = append(e.Platform, PlatformRequest{ID: id, Request: request})
}

// Decide adds a decision. The surroundings fill in sequence, time and process.
func (e *Effects) Decide(record decision.Record) {
	e.Decisions = append(e.Decisions, record)
}

// Reset empties the effects and keeps their memory.
func (e *Effects) Reset() {
	e.Messages = e.Messages[:0]
	e.Engine = e.Engine[:0]
	e.Platform = e.Platform[:0]
	e.Decisions = e.Decisions[:0]
	e.Caller = e.Caller[:0]
}

// Earliest returns the earlier of two wake-up times, where the zero time means never.
func Earliest(a, b time.Time) time.Time {
	if a.IsZero() {
		return b
	}
	if b.IsZero() || a.Before(b) {
		return a
	}
	return b
}

// Node is the whole core of one process. Every method takes the current time by the clock of the process and adds to
// the effects. Tick runs what is due; NextWake tells when Tick is due next, where the zero time means never.
type Node interface {
	// HandleEnvelope takes a message from a peer.
	HandleEnvelope(now time.Time, envelope *granitebayv1.Envelope, effects *Effects)
	// HandlePeerUnreachable takes word that messages to a peer could not be handed over. Some may have arrived.
	HandlePeerUnreachable(now time.Time, peer string, effects *Effects)
	// HandleEngineEvent takes an event from an engine.
	HandleEngineEvent(now time.Time, event engine.Event, effects *Effects)
	// HandlePlatformResponse takes the answer to a request to the platform.
	HandlePlatformResponse(now time.Time, response platform.Response, effects *Effects)
	// HandlePlatformWatch takes changes of a watch.
	HandlePlatformWatch(now time.Time, event platform.WatchEvent, effects *Effects)
	// Tick runs what is due.
	Tick(now time.Time, effects *Effects)
	// NextWake tells when Tick is due next.
	NextWake() time.Time
}

// ownerShift is the place of the owner in a request id.
const ownerShift = 56

// RequestIDs hands out platform request ids. The cores within one process have different owners, so that a response
// finds its core.
type RequestIDs struct {
	owner uint8
	next  uint64
}

// NewRequestIDs returns the ids of one owner.
func NewRequestIDs(owner uint8) *RequestIDs { return &RequestIDs{owner: owner} }

// Next returns an id that was not handed out before.
func (r *RequestIDs) Next() platform.RequestID {
	r.next++
	return platform.RequestID(uint64(r.owner)<<ownerShift | r.next)
}

// Owner returns the owner of an id.
func Owner(id platform.RequestID) uint8 { return uint8(uint64(id) >> ownerShift) }
