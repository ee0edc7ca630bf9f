package placement

import (
	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/engine"
)

// Request is what placement needs to know of a request.
type Request struct {
	ID string
	// AllowedGroups are the groups that the rules allow. Empty allows every group.
	AllowedGroups []string
	Model         string
	// ModelVersion is the wanted version. Empty takes any version.
	ModelVersion string
	// Adapter is the wanted adapter, or empty.
	Adapter string
	// Zone of the caller, for a preference of near engines. Empty has none.
	Zone string
	// PromptTokens is the length of the prompt, and OutputTokens the expected length of the answer.
	PromptTokens int
	OutputTokens int
	// ExcludedEngines are not to be tried again, for example because they refused the request.
	ExcludedEngines []string
}

// Engine is what placement needs to know of an engine.
type Engine struct {
	Name   string
	Groups []string
	Zone   string
	// Configuration that the engine has by the committed record.
	Configuration engine.Configuration
	// Draining, Changing and Leaving engines take no new work. Unready ones have not reported since they started.
	Draining bool
	Changing bool
	Leaving  bool
	Unready  bool
	// CircuitOpen is set while the engine is set aside after failures.
	CircuitOpen bool
	// Running counts the runs that the owner has dispatched and that have not ended: exact, unlike load reports.
	Running int
	// PendingPromptTokens are prompt tokens of those runs that have produced no token yet, without what was cached.
	PendingPromptTokens int
	// PendingOutputTokens are tokens that those runs are still expected to produce.
	PendingOutputTokens int
	// MemoryUsed is what those runs need, and MemoryTotal what the engine has, in tokens of KV cache. A total of zero
	// is unknown.
	MemoryUsed  int
	MemoryTotal int
	// ReadingShare is the share of its time, from 0 to 1, that the engine lately spent reading prompts, which holds up the
	// tokens of all its runs. A ReadingMeter measures it.
	ReadingShare float64
	// CachedTokens is how many leading tokens of the request's prompt the engine probably has cached.
	CachedTokens int
	// Recovering runs from 1, just back after a failure or a change, down to 0, fully trusted.
	Recovering float64
}

// Speed is what an engine of one role can do.
type Speed struct {
	// PromptTokensPerSecond is the rate at which prompts are read.
	PromptTokensPerSecond float64
	// ChunkTokens are the prompt tokens that are read in one step. Each step also gives every other run a token. Zero
	// reads whole prompts in one step.
	ChunkTokens int
	// StepSeconds is the time of one output token with one run, and StepSecondsPerRun what each further run adds.
	StepSeconds       float64
	StepSecondsPerRun float64
	// Slots is how many runs the engine takes at once.
	Slots int
}

// Settings of placement. The zero value is completed by DefaultSettings.
type Settings struct {
	// Speeds by role. Engines whose role has no speed are filtered out.
	Speeds map[engine.Role]Speed
	// Weights scale the scores by name. A missing weight is 1; zero turns the score off.
	Weights map[string]float64
	// PrefixLoadBound is how many times the mean number of runs an engine may have and still gain from a cached prefix.
	PrefixLoadBound float64
	// HoldUpLimitSeconds bounds for how long a prompt may hold up the runs of an engine, summed over the runs. Long
	// prompts then wait for a prefill engine instead of stopping the answers of a busy decode engine. Zero is no bound.
	HoldUpLimitSeconds float64
	// MemoryComfort is the share of KV memory up to which memory costs nothing.
	MemoryComfort float64
	// MemoryPenaltySeconds is the cost of a full memory.
	MemoryPenaltySeconds float64
	// RecoveryPenaltySeconds is the cost of an engine that has just come back, for each run that it already has.
	RecoveryPenaltySeconds float64
	// OtherZoneSeconds is the cost of an engine in another zone than the caller.
	OtherZoneSeconds float64
	// Seed breaks ties.
	Seed uint64
}

// Result of placing one request.
type Result struct {
	// Engine that was chosen; empty when every engine was filtered out.
	Engine string
	// FirstTokenSeconds and FinishSeconds are the expected times to the first token and to the end of the answer there.
	FirstTokenSeconds float64
	FinishSeconds     float64
	// Candidates, best first, then those that were filtered out, by name.
	Candidates []decision.Candidate
	// Reason is one plain sentence.
	Reason string
}
