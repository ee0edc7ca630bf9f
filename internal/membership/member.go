// Package membership finds out which routers live. Routers probe each other (SWIM: probe, indirect probe, suspicion,
// refutation) and spread news in the same messages; the platform's lagging list and fixed seeds only say whom to
// contact, who leaves, and whom to look at. See docs/design/membership.md.
package membership

import (
	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
)

// State is what this process holds of a member.
type State string

// The states.
const (
	StateAlive   State = "alive"
	StateSuspect State = "suspect" // did not answer, but may
	StateLeaving State = "leaving" // finishes what it has and gets nothing new
	StateDead    State = "dead"
)

// String returns the state as operators see it.
func (s State) String() string { return string(s) }

// Member is one router.
type Member struct {
	Name string
	// Address is the host:port at which the router accepts envelopes.
	Address string
	// Zone is the failure domain in which the router runs.
	Zone string
	// Incarnation grows each time the process starts.
	Incarnation uint64
	// Sequence grows within one incarnation when the member refutes a suspicion or begins to leave.
	Sequence uint64
	State    State
}

// health is the part of a member's state that probes find out. A higher one wins at the same sequence.
type health int

const (
	healthAlive health = iota
	healthSuspect
	healthDead
)

// toWire and fromWire translate health.
var (
	toWire = map[health]granitebayv1.MemberState{
		healthAlive:   granitebayv1.MemberState_MEMBER_STATE_ALIVE,
		healthSuspect: granitebayv1.MemberState_MEMBER_STATE_SUSPECT,
		healthDead:    granitebayv1.MemberState_MEMBER_STATE_DEAD,
	}
	fromWire = map[granitebayv1.MemberState]health{
		granitebayv1.MemberState_MEMBER_STATE_ALIVE:   healthAlive,
		granitebayv1.MemberState_MEMBER_STATE_SUSPECT: healthSuspect,
		granitebayv1.MemberState_MEMBER_STATE_DEAD:    healthDead,
	}
)
