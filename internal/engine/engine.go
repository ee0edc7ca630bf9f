// Package engine defines what the system says to model engines and hears from them. It is the port to engines:
// cores produce commands and take events; a client turns them into HTTP, the simulation hands them to a model engine.
package engine

import "time"

// Role is the way in which an engine is tuned. An engine of either role can run any request of its model.
type Role string

// The roles. RoleNone is the role of an engine that has just started and got no order.
const (
	RoleNone Role = ""
	// RolePrefill batches few requests and reads prompts fast.
	RolePrefill Role = "prefill"
	// RoleDecode batches many requests and reads prompts slowly.
	RoleDecode Role = "decode"
)

// Roles lists the roles that can be ordered.
func Roles() []Role { return []Role{RolePrefill, RoleDecode} }

// Configuration is the state of an engine that an order sets.
type Configuration struct {
	Role         Role     `json:"role"`
	Model        string   `json:"model"`
	ModelVersion string   `json:"modelVersion"`
	Adapters     []string `json:"adapters,omitempty"`
}

// Fence orders the orders to one engine. An engine refuses an order whose epoch is below the highest it has seen, and
// one whose generation is below its current one, or equal to it with another content.
type Fence struct {
	Epoch      uint64 `json:"epoch"`
	Generation uint64 `json:"generation"`
}

// Command is one of Submit, Attach, Cancel, Order, Probe, WatchCache, ExportKV and ImportKV.
type Command interface{ EngineName() string }

// Submit starts a run. The engine joins the run instead if it already has one of that request id, and refuses if the
// request was cancelled, if its incarnation or generation is not the expected one, or if it is full or changing.
type Submit struct {
	Engine string
	// ExpectedIncarnation guards against an engine that restarted and forgot its runs.
	ExpectedIncarnation uint64
	// ExpectedGeneration guards against an engine that was drained or changed meanwhile.
	ExpectedGeneration uint64
	RequestID          string
	Model              string
	Adapter            string
	// Prompt is the text. Simulations leave it empty and set the three fields after it.
	Prompt       string
	PromptDigest uint64
	PromptTokens uint32
	PrefixBlocks []uint64
	MaxTokens    uint32
	// Priority: higher runs earlier.
	Priority int32
	// ContinueFrom is the number of tokens that another run already produced. The run starts after them.
	ContinueFrom uint32
	PriorTokens  []string
	// StreamOffset is the first token that is wanted.
	StreamOffset uint32
}

// Attach takes up the stream of a run at an offset. It never starts a run.
type Attach struct {
	Engine              string
	ExpectedIncarnation uint64
	RequestID           string
	StreamOffset        uint32
}

// Cancel stops a run and leaves a tombstone, so that a later Submit of the same request id is refused.
type Cancel struct {
	Engine    string
	RequestID string
}

// Order sets the configuration of an engine. An order that equals the current configuration only raises the fence.
type Order struct {
	Engine string
	// ExpectedIncarnation guards against an engine that restarted and forgot its fence.
	ExpectedIncarnation uint64
	Fence               Fence
	Configuration       Configuration
	// Sender is the process that sends the order; for the record only.
	Sender string
}

// Probe asks an engine for its latest load report, which lags.
type Probe struct{ Engine string }

// EngineName returns the name of the engine that the command goes to.
func (c Submit) EngineName() string { return c.Engine }

// EngineName returns the name of the engine that the command goes to.
func (c Attach) EngineName() string { return c.Engine }

// EngineName returns the name of the engine that the command goes to.
func (c Cancel) EngineName() string { return c.Engine }

// EngineName returns the name of the engine that the command goes to.
func (c Order) EngineName() string { return c.Engine }

// EngineName returns the name of the engine that the command goes to.
func (c Probe) EngineName() string { return c.Engine }

// Refusal is why an engine did not do what a command asked. A refused Submit has not run and will not run.
type Refusal string

// The refusals.
const (
	RefusalIncarnation Refusal = "incarnation" // the engine restarted
	RefusalGeneration  Refusal = "generation"  // the engine has another generation
	RefusalEpoch       Refusal = "epoch"       // the order is from an older epoch
	RefusalConflict    Refusal = "conflict"    // the generation already has another content
	RefusalCancelled   Refusal = "cancelled"   // the request was cancelled
	RefusalFull        Refusal = "full"        // no room in the batch or the queue of the engine
	RefusalChanging    Refusal = "changing"    // the engine is out for a change
	RefusalModel       Refusal = "model"       // model or adapter not loaded
	RefusalTooLong     Refusal = "too-long"    // the prompt does not fit the memory of the engine
	RefusalUnknownRun  Refusal = "unknown-run" // Attach to a run that the engine does not have
)

// Event is one of Tokens, Refused, Cancelled, OrderResult, Status, CacheEvent, KVExported, KVImported and Unreachable.
type Event interface{ EngineName() string }

// Tokens carries tokens of a run.
type Tokens struct {
	Engine      string
	Incarnation uint64
	RequestID   string
	Offset      uint32
	Tokens      []string
	// Finished is set with the last tokens; Total is then the length of the whole answer.
	Finished bool
	Total    uint32
	// Error is set when the engine ended the run partway.
	Error string
}

// Refused answers a Submit or Attach that was not taken.
type Refused struct {
	Engine      string
	Incarnation uint64
	// Generation is the current one of the engine.
	Generation uint64
	RequestID  string
	Refusal    Refusal
}

// Cancelled confirms a Cancel: from now on the engine will not start the request.
type Cancelled struct {
	Engine      string
	Incarnation uint64
	RequestID   string
	// Started tells whether the engine had begun to run it.
	Started bool
}

// OrderResult answers an Order.
type OrderResult struct {
	Engine      string
	Incarnation uint64
	// Fence of the order that is answered.
	Fence    Fence
	Accepted bool
	// Refusal is set when the order was not accepted.
	Refusal Refusal
	// Current is the fence of the engine after the order.
	Current Fence
}

// Status answers a Probe with the latest load report. All its fields were true together at one moment, AsOf, which
// lags. A report with a fence at or above a drained generation and no runs proves that the engine is empty for good.
type Status struct {
	Engine      string
	Incarnation uint64
	// AsOf is the moment of the report by the clock of the engine.
	AsOf  time.Time
	Fence Fence
	// Configuration that the engine has, or is changing to.
	Configuration Configuration
	// Changing is set while the engine is out for a change.
	Changing bool
	// Running counts runs in the batch, Waiting those that the engine queues.
	Running int
	Waiting int
	// MemoryUsed and MemoryTotal are in tokens of KV cache.
	MemoryUsed  int
	MemoryTotal int
}

// CacheEvent tells that prefixes were cached or evicted. Events come late and with gaps in Sequence.
type CacheEvent struct {
	Engine      string
	Incarnation uint64
	Sequence    uint64
	Stored      []uint64
	Evicted     []uint64
}

// Unreachable tells that a command got no answer. The command may have taken effect.
type Unreachable struct {
	Engine string
	// RequestID is set when the command was a Submit, Attach or Cancel, or a stream that broke.
	RequestID string
	// NotSent is set when no connection could be made, so that the command surely had no effect.
	NotSent bool
	Reason  string
	After   time.Duration
}

// EngineName returns the name of the engine that the event is from.
func (e Tokens) EngineName() string { return e.Engine }

// EngineName returns the name of the engine that the event is from.
func (e Refused) EngineName() string { return e.Engine }

// EngineName returns the name of the engine that the event is from.
func (e Cancelled) EngineName() string { return e.Engine }

// EngineName returns the name of the engine that the event is from.
func (e OrderResult) EngineName() string { return e.Engine }

// EngineName returns the name of the engine that the event is from.
func (e Status) EngineName() string { return e.Engine }

// EngineName returns the name of the engine that the event is from.
func (e CacheEvent) EngineName() string { return e.Engine }

// EngineName returns the name of the engine that the event is from.
func (e Unreachable) EngineName() string { return e.Engine }
