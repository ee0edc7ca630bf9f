package agent

import "time"

// Router is a router that the agent may send requests to.
type Router struct {
	// Name of the router, unique in the fleet.
	Name string
	// Address is the host:port at which it accepts envelopes.
	Address string
	// Zone in which it runs.
	Zone string
}

// Settings of an agent. New replaces each zero value by its default, which the comment names.
type Settings struct {
	// Name of the agent, unique in the fleet. Required.
	Name string
	// Address is the host:port at which the agent accepts envelopes.
	Address string
	// Zone in which the agent runs. Routers of this zone are preferred.
	Zone string
	// Incarnation of the process; grows each time it starts.
	Incarnation uint64
	// Routers that the agent may use. At least one.
	Routers []Router

	// SilenceTimeout is how long a router that has answered may stay silent (1 s).
	SilenceTimeout time.Duration
	// FirstAnswerTimeout is how long a router may take to answer at all (1 s).
	FirstAnswerTimeout time.Duration
	// MissingDelay is how long a gap in the tokens may stay before the router is asked to send them again (20 ms).
	MissingDelay time.Duration
	// GapTimeout is how long a gap in the tokens may stay before the request is sent again (250 ms).
	GapTimeout time.Duration
	// MaxAttempts bounds the attempts in a row that brought nothing (8).
	MaxAttempts int

	// RetryShare is the share of a retry that each answered request pays for (0.2).
	RetryShare float64
	// RetryReserve is the number of retries that can be saved up, and that an agent starts with (100).
	RetryReserve float64
	// RetriesPerSecond is paid into the reserve even when nothing is answered (5).
	RetriesPerSecond float64

	// BackoffBase is the mean delay before the first delayed retry (25 ms); it doubles with each fruitless attempt.
	BackoffBase time.Duration
	// BackoffMax bounds that delay (2 s).
	BackoffMax time.Duration
	// RouterAvoidance is how long a router is avoided after its first failure (1 s); it doubles with each one after.
	RouterAvoidance time.Duration
	// RouterAvoidanceMax bounds that time (30 s).
	RouterAvoidanceMax time.Duration
	// LeavingAvoidance is how long a router is avoided after it moved a request (5 s).
	LeavingAvoidance time.Duration

	// DefaultDeadline is the time that a request gets when its caller names no deadline (60 s).
	DefaultDeadline time.Duration
	// MaxDeadline is the longest time that a caller may ask for (15 min).
	MaxDeadline time.Duration
	// CancelLead is how long before the deadline a request that has not started is cancelled, so that the engine's
	// confirmation still arrives in time (200 ms, at most a fifth of the whole time).
	CancelLead time.Duration
	// RetryAfter is what callers are told when no router names a time (1 s).
	RetryAfter time.Duration
	// AcknowledgeTokens is the number of new tokens after which the agent acknowledges what it holds (64).
	AcknowledgeTokens uint32

	// KeyClockMargin is how far ahead of the agent's clock the time in an idempotency key may be (5 s).
	KeyClockMargin time.Duration
	// KeyWindow is how old an idempotency key may be (10 min).
	KeyWindow time.Duration
	// KeepEnded is how long an ended request is remembered, so that a caller who repeats its key gets the same answer (1 min).
	KeepEnded time.Duration
	// KeepEndedCount bounds the number of ended requests that are remembered (1024).
	KeepEndedCount int

	// MaxPromptTokens bounds the prompt (32768 tokens).
	MaxPromptTokens uint32
	// MaxTokens bounds the tokens that a caller may ask for (8192).
	MaxTokens uint32
}

// WithDefaults returns the settings with each zero value replaced by its default.
func (s Settings) WithDefaults() Settings {
	setDefault(&s.SilenceTimeout, time.Second)
	setDefault(&s.FirstAnswerTimeout, time.Second)
	setDefault(&s.MissingDelay, 20*time.Millisecond)
	setDefault(&s.GapTimeout, 250*time.Millisecond)
	setDefault(&s.MaxAttempts, 8)
	setDefault(&s.RetryShare, 0.2)
	setDefault(&s.RetryReserve, 100)
	setDefault(&s.RetriesPerSecond, 5)
	setDefault(&s.BackoffBase, 25*time.Millisecond)
	setDefault(&s.BackoffMax, 2*time.Second)
	setDefault(&s.RouterAvoidance, time.Second)
	setDefault(&s.RouterAvoidanceMax, 30*time.Second)
	setDefault(&s.LeavingAvoidance, 5*time.Second)
	setDefault(&s.DefaultDeadline, time.Minute)
	setDefault(&s.MaxDeadline, 15*time.Minute)
	setDefault(&s.CancelLead, 200*time.Millisecond)
	setDefault(&s.RetryAfter, time.Second)
	setDefault(&s.AcknowledgeTokens, 64)
	setDefault(&s.KeyClockMargin, 5*time.Second)
	setDefault(&s.KeyWindow, 10*time.Minute)
	setDefault(&s.KeepEnded, time.Minute)
	setDefault(&s.KeepEndedCount, 1024)
	setDefault(&s.MaxPromptTokens, 32768)
	setDefault(&s.MaxTokens, 8192)
	return s
}

// setDefault replaces a zero value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
