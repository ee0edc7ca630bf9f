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

// Effects collects what one step of a core asks its surroundings to do, in order. The zero value is ready to use.
type Effects struct {
	Messages  []Message
	Engine    []engine.Command
	Platform  []PlatformRequest
	Decisions []decision.Record
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
