package roleplan

import (
	"math"
	"time"

	"github.com/granitebay/granitebay/internal/engine"
)

// Speed is what one engine of a role can do. Times are in seconds.
type Speed struct {
	// PromptTokensPerSecond is the rate at which prompts are read when nothing else runs.
	PromptTokensPerSecond float64
	// StepSeconds is the time of one output token with one run, and StepSecondsPerRun what each further run adds.
	StepSeconds       float64
	StepSecondsPerRun float64
	// Slots is how many runs the engine takes at once.
	Slots int
}

// Capacity is what engines can do, by role, with a correction that is learned.
type Capacity struct {
	speeds map[engine.Role]Speed
	// factors are how much of the stated speed engines of a role really reached.
	factors map[engine.Role]float64
}

// Bounds and memory of what is learned.
const (
	leastFactor    = 0.25
	greatestFactor = 2
	// learnMemory is engine time.
	learnMemory     = 10 * time.Minute
	factorTolerance = 0.2
)

// NewCapacity returns a capacity with stated speeds.
func NewCapacity(speeds map[engine.Role]Speed) *Capacity {
	factors := map[engine.Role]float64{}
	for role := range speeds {
		factors[role] = 1
	}
	return &Capacity{speeds: speeds, factors: factors}
}

// Observation is what engines of one role did while they had work without a pause.
type Observation struct {
	Role engine.Role
	// BusyTime is summed over the engines.
	BusyTime time.Duration
	// PromptTokens that were read, without cached ones, and OutputTokens that were produced in that time.
	PromptTokens int
	OutputTokens int
	// MeanRuns is the mean number of runs in a batch.
	MeanRuns float64
}

// Learn corrects the stated speed of a role by what its engines did: the time that the stated speeds give for the work,
// over the time that it took.
func (c *Capacity) Learn(observation Observation) {
	speed, known := c.speeds[observation.Role]
	if !known || observation.BusyTime <= 0 {
		return
	}
	runs := max(1, int(observation.MeanRuns+0.5))
	stated := float64(observation.PromptTokens)/speed.PromptTokensPerSecond +
		float64(observation.OutputTokens)*speed.outputSeconds(runs)
	reached := stated / observation.BusyTime.Seconds()
	factor := c.factors[observation.Role]
	factor += (reached - factor) * weightOf(observation.BusyTime, learnMemory)
	c.factors[observation.Role] = min(greatestFactor, max(leastFactor, factor))
}

// Factor is how much of the stated speed engines of a role are taken to reach. Small differences come from the mix of the
// moment, so the stated speed counts until what was learned differs from it by more than a tolerance.
func (c *Capacity) Factor(role engine.Role) float64 {
	learned := c.factors[role]
	if math.Abs(learned-1) <= factorTolerance {
		return 1
	}
	return learned
}

// outputSeconds is the engine time of one output token in a batch of so many runs.
func (s Speed) outputSeconds(runs int) float64 { return s.stepSeconds(runs) / float64(runs) }

// stepSeconds is the time of one step of a batch of so many runs.
func (s Speed) stepSeconds(runs int) float64 {
	return s.StepSeconds + s.StepSecondsPerRun*float64(runs-1)
}

// deadlineShare is the part of a deadline that producing the answer may take, the rest being for the queue.
const deadlineShare = 0.65

// batch is the largest number of runs at which an answer still comes within its deadline, at least 1. When all runs are
// of one class, each answer also waits for the prompts of the runs that come after it, as many as there are runs.
func (s Speed) batch(promptTokens, outputTokens float64, deadline time.Duration) int {
	reading := promptTokens / s.PromptTokensPerSecond
	perRun := outputTokens*s.StepSecondsPerRun + reading
	if deadline <= 0 || perRun <= 0 {
		return s.Slots
	}
	left := deadline.Seconds()*deadlineShare - reading - outputTokens*(s.StepSeconds-s.StepSecondsPerRun)
	return min(s.Slots, max(1, int(left/perRun)))
}

// secondsPerRequest is the engine time that one request of a class takes at a role.
func (c *Capacity) secondsPerRequest(role engine.Role, class load) float64 {
	speed := c.speeds[role]
	runs := speed.batch(class.promptTokens, class.outputTokens, class.deadline)
	stated := class.promptTokens/speed.PromptTokensPerSecond + class.outputTokens*speed.outputSeconds(runs)
	return stated / c.Factor(role)
}
