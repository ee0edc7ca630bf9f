package roleplan

import (
	"time"

	"github.com/granitebay/granitebay/internal/engine"
)

// Demand is what arrives for one group and model.
type Demand struct {
	// Classes of requests of like shape, in any order. Names are unique.
	Classes []ClassDemand
}

// ClassDemand is the demand of one class of requests.
type ClassDemand struct {
	Name string
	// Requests, PromptTokens and OutputTokens that arrive a second. Prompt tokens that are found in a cache do not
	// count.
	Requests     Averages
	PromptTokens Averages
	OutputTokens Averages
	// Deadline is how long an answer may take in all. Zero is no limit.
	Deadline time.Duration
	// Worth of an answer in time. Zero counts as 1.
	Worth float64
	// Queued requests, and the age of the oldest.
	Queued   int
	QueueAge time.Duration
}

// Engine is an engine of the group.
type Engine struct {
	Name string
	// Role that the engine has by its committed record.
	Role engine.Role
	// Changing is set from the start of the drain until the engine is ready again, and Target is then its next role.
	Changing bool
	Target   engine.Role
	// ChangedAt is when the last change ended. Zero is long ago.
	ChangedAt time.Time
	// Unusable engines are crashed, leaving or set aside. They count for nothing and are not changed.
	Unusable bool
	// Pending is the work at the engine, in seconds, which a change must wait for.
	Pending time.Duration
}

// Policy of a group on role changes, set by the operators.
type Policy struct {
	// AllowedRoles of the group. Empty allows all.
	AllowedRoles []engine.Role
	// Floors are the least numbers of engines by role.
	Floors map[engine.Role]int
	// ChangeCost is how many answers in time one change must gain beyond those that it loses.
	ChangeCost float64
	// MinDwell is the least time between two changes of one engine.
	MinDwell time.Duration
	// MaxChanging bounds how many engines are out at once. Zero counts as 1.
	MaxChanging int
}

// Change is one engine that is to change its role now.
type Change struct {
	Engine string
	From   engine.Role
	To     engine.Role
	// Reason is one plain sentence.
	Reason string
	// Gain is the expected number of further answers in time over the horizon, and Cost what the policy asks, both as a
	// share of the whole plan.
	Gain float64
	Cost float64
}

// Plan is the result of planning.
type Plan struct {
	// Wanted is the number of engines by role that the plan aims at, with those that are changing.
	Wanted map[engine.Role]int
	// Changes to start now, in order.
	Changes []Change
	// Goodput is the expected worth of answers in time a second, with the present split and with the wanted one.
	Goodput       float64
	WantedGoodput float64
	// Utilization of the present split: the share of the engines' time that the demand needs. Above 1 is overload.
	Utilization float64
	// Reason is one plain sentence, also when nothing is to change.
	Reason string
}

// Settings of the planner.
type Settings struct {
	// Horizon is the time over which a change must pay for itself.
	Horizon time.Duration
	// ChangeTime is how long an engine is out for a change, and DrainTime how long it takes to run empty before that.
	ChangeTime time.Duration
	DrainTime  time.Duration
	// Confidence is by how many standard deviations the fast average of a class must differ from the slow one to be
	// believed; otherwise the difference is taken for chance and the slow one counts. Arrivals are taken to be random.
	Confidence float64
	// FastMemory is the memory of the fast averages, from which their deviation follows.
	FastMemory time.Duration
	// Hysteresis is the share of the expected goodput that a change must gain at least.
	Hysteresis float64
	// TargetUtilization is the share of the engines' time that can be sold without answers being late.
	TargetUtilization float64
	// QueueClear is the time in which the queue should be worked off: the queue counts as further demand over that time.
	// Zero leaves the queue out.
	QueueClear time.Duration
}

// DefaultSettings returns settings for engines that change role in seconds.
func DefaultSettings() Settings {
	return Settings{
		Horizon:           60 * time.Second,
		ChangeTime:        8 * time.Second,
		DrainTime:         3 * time.Second,
		Confidence:        2.5,
		FastMemory:        DefaultMeterSettings().FastMemory,
		Hysteresis:        0.05,
		TargetUtilization: 0.9,
		QueueClear:        20 * time.Second,
	}
}
