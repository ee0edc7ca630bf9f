package simulation

import (
	"fmt"
	"strings"
	"time"

	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/platform"
)

// Observation is something that can be seen from outside of the system.
type Observation interface {
	// When is the moment of virtual time at which it was seen.
	When() time.Duration
	// About names the requests, engines and processes that it concerns.
	About() []string
	// String describes it in one line.
	String() string
}

// Seen is the moment of an observation.
type Seen struct{ At time.Duration }

// When implements Observation.
func (s Seen) When() time.Duration { return s.At }

// CallAsked is a caller that asks an agent for work.
type CallAsked struct {
	Seen
	Call      uint64
	RequestID string
	Agent     string
	// Repeatable tells whether the work may run more than once.
	Repeatable bool
	// Expected is the whole right answer.
	Expected []string
	// Deadline is the moment until which the caller waits.
	Deadline time.Duration
	// Labels of the request.
	Labels map[string]string
}

// CallTokens is a part of an answer that a caller got.
type CallTokens struct {
	Seen
	Call      uint64
	RequestID string
	Offset    uint32
	Tokens    []string
}

// Ending is how a call ended as its caller sees it.
type Ending string

// The endings.
const (
	EndAnswered Ending = "answered"
	EndNotRun   Ending = "not-run"
	EndUnknown  Ending = "unknown"
	EndFailed   Ending = "failed"
	// EndBroken is a connection that broke because the agent was killed.
	EndBroken Ending = "broken"
	// EndLeft is a caller that went away by itself.
	EndLeft Ending = "left"
)

// CallEnded is the last thing that a caller got.
type CallEnded struct {
	Seen
	Call      uint64
	RequestID string
	Ending    Ending
	Reason    string
}

// OrderReceived is an order that reached an engine.
type OrderReceived struct {
	Seen
	// SentAt is the moment at which the sender handed the order to its network.
	SentAt        time.Duration
	Engine        string
	Incarnation   uint64
	Sender        string
	Fence         engine.Fence
	Configuration engine.Configuration
	Accepted      bool
	Refusal       engine.Refusal
	// Changes tells whether the accepted order changed role, model, version or adapters.
	Changes bool
	// Runs is the number of runs that the engine had, in its batch or its queue, when the order came.
	Runs int
}

// SubmitReceived is a submit that reached an engine.
type SubmitReceived struct {
	Seen
	Engine      string
	Incarnation uint64
	Sender      string
	RequestID   string
	// New is set if the engine accepted work that it did not have before.
	New     bool
	Refusal engine.Refusal
}

// RunStarted is an engine that begins to run a request.
type RunStarted struct {
	Seen
	Engine      string
	Incarnation uint64
	RequestID   string
}

// RunEnding is how a run ended at an engine.
type RunEnding string

// The ends of runs.
const (
	RunFinished  RunEnding = "finished"
	RunCancelled RunEnding = "cancelled"
	// RunChanged is a run cut by a change of role or model.
	RunChanged RunEnding = "changed"
	// RunCrashed is a run lost with its engine.
	RunCrashed RunEnding = "crashed"
)

// RunEnded is an engine that stops running a request.
type RunEnded struct {
	Seen
	Engine      string
	Incarnation uint64
	RequestID   string
	Ending      RunEnding
}

// EngineState is what became of the process of an engine.
type EngineState string

// The states of engines.
const (
	EngineStarted EngineState = "started"
	EngineCrashed EngineState = "crashed"
	// EngineLeaving is an engine that the membership list shows as leaving from now on.
	EngineLeaving EngineState = "leaving"
	EngineGone    EngineState = "gone"
)

// EngineChanged is a change of the process of an engine.
type EngineChanged struct {
	Seen
	Engine      string
	Incarnation uint64
	State       EngineState
}

// StoreCommitted is a revision of the key-value service.
type StoreCommitted struct {
	Seen
	Revision uint64
	Changed  []platform.Entry
	Deleted  []string
}

// ConfigurationAccepted is an edit that an operator was told is accepted.
type ConfigurationAccepted struct {
	Seen
	Operator string
	Router   string
	Revision uint64
	ChangeID string
}

// ConfigurationRead is the revision that a router shows to an operator as in force.
type ConfigurationRead struct {
	Seen
	Router      string
	Incarnation uint64
	Revision    uint64
}

// ProcessState is what became of a process.
type ProcessState string

// The states of processes.
const (
	ProcessStarted  ProcessState = "started"
	ProcessKilled   ProcessState = "killed"
	ProcessPaused   ProcessState = "paused"
	ProcessResumed  ProcessState = "resumed"
	ProcessStopping ProcessState = "stopping"
	ProcessStopped  ProcessState = "stopped"
	// ProcessTimedOut is a process that did not stop within its grace and was ended.
	ProcessTimedOut ProcessState = "timed-out"
)

// ProcessChanged is a change of a process.
type ProcessChanged struct {
	Seen
	Process     string
	Incarnation uint64
	State       ProcessState
}

// FaultBegan is a fault that sets in.
type FaultBegan struct {
	Seen
	Fault Fault
}

// FaultHealed is a fault that ends.
type FaultHealed struct {
	Seen
	Fault Fault
}

// About implements Observation.
func (o CallAsked) About() []string { return []string{o.RequestID, o.Agent} }

// About implements Observation.
func (o CallTokens) About() []string { return []string{o.RequestID} }

// About implements Observation.
func (o CallEnded) About() []string { return []string{o.RequestID} }

// About implements Observation.
func (o OrderReceived) About() []string { return []string{o.Engine, o.Sender} }

// About implements Observation.
func (o SubmitReceived) About() []string { return []string{o.Engine, o.RequestID, o.Sender} }

// About implements Observation.
func (o RunStarted) About() []string { return []string{o.Engine, o.RequestID} }

// About implements Observation.
func (o RunEnded) About() []string { return []string{o.Engine, o.RequestID} }

// About implements Observation.
func (o EngineChanged) About() []string { return []string{o.Engine} }

// About implements Observation.
func (o StoreCommitted) About() []string {
	var keys []string
	for _, entry := range o.Changed {
		keys = append(keys, entry.Key)
	}
	return append(keys, o.Deleted...)
}

// About implements Observation.
func (o ConfigurationAccepted) About() []string { return []string{o.Router, configurationSubject} }

// About implements Observation.
func (o ConfigurationRead) About() []string { return []string{o.Router, configurationSubject} }

// About implements Observation.
func (o ProcessChanged) About() []string { return []string{o.Process} }

// About implements Observation.
func (o FaultBegan) About() []string { return o.Fault.about() }

// About implements Observation.
func (o FaultHealed) About() []string { return o.Fault.about() }

// configurationSubject is the subject of what concerns the configuration.
const configurationSubject = "configuration"

func (o CallAsked) String() string {
	return fmt.Sprintf("caller %d asks %s for %s (repeatable %t, %d tokens, deadline %v)",
		o.Call, o.Agent, o.RequestID, o.Repeatable, len(o.Expected), o.Deadline)
}

func (o CallTokens) String() string {
	return fmt.Sprintf("caller %d gets tokens %d to %d of %s", o.Call, o.Offset, int(o.Offset)+len(o.Tokens), o.RequestID)
}

func (o CallEnded) String() string {
	return fmt.Sprintf("caller %d is told %s for %s: %s", o.Call, o.Ending, o.RequestID, o.Reason)
}

func (o OrderReceived) String() string {
	verdict := "accepted"
	if !o.Accepted {
		verdict = "refused, " + string(o.Refusal)
	}
	return fmt.Sprintf("%s/%d gets order (%d,%d) %s %s@%s from %s, sent at %v, with %d runs: %s", o.Engine, o.Incarnation,
		o.Fence.Epoch, o.Fence.Generation, o.Configuration.Role, o.Configuration.Model, o.Configuration.ModelVersion,
		o.Sender, o.SentAt, o.Runs, verdict)
}

func (o SubmitReceived) String() string {
	verdict := "joined"
	if o.New {
		verdict = "accepted"
	}
	if o.Refusal != "" {
		verdict = "refused, " + string(o.Refusal)
	}
	return fmt.Sprintf("%s/%d gets %s from %s: %s", o.Engine, o.Incarnation, o.RequestID, o.Sender, verdict)
}

func (o RunStarted) String() string {
	return fmt.Sprintf("%s/%d starts to run %s", o.Engine, o.Incarnation, o.RequestID)
}

func (o RunEnded) String() string {
	return fmt.Sprintf("%s/%d ends the run of %s: %s", o.Engine, o.Incarnation, o.RequestID, o.Ending)
}

func (o EngineChanged) String() string {
	return fmt.Sprintf("%s/%d %s", o.Engine, o.Incarnation, o.State)
}

func (o StoreCommitted) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "store revision %d:", o.Revision)
	for _, entry := range o.Changed {
		fmt.Fprintf(&text, " put %s=%.160s", entry.Key, entry.Value)
	}
	for _, key := range o.Deleted {
		fmt.Fprintf(&text, " delete %s", key)
	}
	return text.String()
}

func (o ConfigurationAccepted) String() string {
	return fmt.Sprintf("%s is told by %s that %s is accepted as revision %d", o.Operator, o.Router, o.ChangeID, o.Revision)
}

func (o ConfigurationRead) String() string {
	return fmt.Sprintf("%s/%d shows revision %d in force", o.Router, o.Incarnation, o.Revision)
}

func (o ProcessChanged) String() string {
	return fmt.Sprintf("%s/%d %s", o.Process, o.Incarnation, o.State)
}

func (o FaultBegan) String() string { return "fault: " + o.Fault.String() }

func (o FaultHealed) String() string { return "healed: " + o.Fault.String() }
