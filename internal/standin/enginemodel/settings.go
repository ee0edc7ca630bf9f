// Package enginemodel is a model of a model engine: it batches continuously, caches prompt prefixes in limited memory,
// honours priorities and fenced orders, and reports its load late. It stands in for real engines in tests, the demo and
// the simulation.
//
// The model has no clock, no goroutine and no socket. It jumps from one event to the next, so that hours of work can be
// simulated quickly. What it does is a function of its settings, its random source and the commands it gets.
package enginemodel

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/engine"
)

// RoleProfile says how fast an engine works in one role.
type RoleProfile struct {
	// Slots is the number of runs in the batch.
	Slots int
	// PrefillTokensPerSecond is the speed at which prompts are read.
	PrefillTokensPerSecond float64
	// ChunkTokens is the largest number of prompt tokens that are read in one step. Between two chunks every decoding
	// run of the batch gains a token.
	ChunkTokens int
	// StepBase is the time of a step apart from what depends on the batch.
	StepBase time.Duration
	// StepPerRun is added to a step for each decoding run of the batch.
	StepPerRun time.Duration
}

// Faster returns the profile with its speeds multiplied by a factor.
func (p RoleProfile) Faster(factor float64) RoleProfile {
	p.PrefillTokensPerSecond *= factor
	p.StepBase = time.Duration(float64(p.StepBase) / factor)
	p.StepPerRun = time.Duration(float64(p.StepPerRun) / factor)
	return p
}

// Settings of one engine. The figures of DefaultSettings are assumed, of the order that is commonly reported for a
// model of some ten billion parameters on one accelerator. None of them was measured.
type Settings struct {
	// Name of the engine in the fleet.
	Name string
	// Incarnation of the process. A restart needs a higher one.
	Incarnation uint64
	// Start is the moment at which the process starts. Zero means the time of the first call.
	Start time.Time

	// Prefill and Decode say how fast the engine works in each role.
	Prefill RoleProfile
	Decode  RoleProfile
	// TokenEventInterval is the number of decode steps whose tokens are put into one event. 1 for live use; more makes
	// simulations cheaper. The first and the last token of a run are never held back.
	TokenEventInterval int

	// MemoryTokens is the room for KV cache, in tokens. A run takes its prompt and its whole answer from when it enters
	// the batch. What runs do not take is open to the prefix cache.
	MemoryTokens int
	// PrefixCacheTokens bounds the prefix cache, in tokens.
	PrefixCacheTokens int
	// MaxWaiting bounds the queue of runs that are not in the batch.
	MaxWaiting int

	// RoleChangeTime is how long a change of role takes the engine out of service.
	RoleChangeTime time.Duration
	// WeightLoadTime is how long a change of model, version or adapters takes the engine out of service.
	WeightLoadTime time.Duration
	// KeepCacheOnRoleChange keeps the prefix cache over a change of role only.
	KeepCacheOnRoleChange bool
	// CrashDuringChangeProbability is the share of changes during which the engine crashes, from 0 to 1.
	CrashDuringChangeProbability float64

	// LoadReportInterval is the time between load reports.
	LoadReportInterval time.Duration
	// LoadReportLag is the time until a load report can be read.
	LoadReportLag time.Duration
	// CacheEventInterval is the time over which cache changes are gathered into one event.
	CacheEventInterval time.Duration
	// CacheEventLag is the time until a cache event is sent.
	CacheEventLag time.Duration
	// CacheEventLossProbability is the share of cache events that are lost, from 0 to 1.
	CacheEventLossProbability float64

	// KVBytesPerToken is the size of the KV cache of one token, in bytes.
	KVBytesPerToken uint64
	// KVBytesPerSecond is the rate at which KV cache is imported.
	KVBytesPerSecond float64

	// AnswerRetention is how long a finished answer can be asked for again.
	AnswerRetention time.Duration
	// TombstoneRetention is how long a cancelled request id is refused.
	TombstoneRetention time.Duration

	// InitialConfiguration lets an engine serve before its first order, at fence zero. It is for measuring an engine
	// without routers; in a fleet it stays empty.
	InitialConfiguration engine.Configuration
	// Observer is told what the engine really did. Nil means nobody.
	Observer Observer
}

// DefaultSettings returns the settings of one engine of a mid-size model. All figures are assumed.
func DefaultSettings(name string, incarnation uint64) Settings {
	return Settings{
		Name:        name,
		Incarnation: incarnation,
		Prefill: RoleProfile{
			Slots:                  8,
			PrefillTokensPerSecond: 16000,
			ChunkTokens:            4096,
			StepBase:               20 * time.Millisecond,
			StepPerRun:             time.Millisecond,
		},
		Decode: RoleProfile{
			Slots:                  64,
			PrefillTokensPerSecond: 6000,
			ChunkTokens:            256,
			StepBase:               15 * time.Millisecond,
			StepPerRun:             200 * time.Microsecond,
		},
		TokenEventInterval:        1,
		MemoryTokens:              200_000,
		PrefixCacheTokens:         100_000,
		MaxWaiting:                64,
		RoleChangeTime:            4 * time.Second,
		WeightLoadTime:            20 * time.Second,
		LoadReportInterval:        time.Second,
		LoadReportLag:             500 * time.Millisecond,
		CacheEventInterval:        time.Second,
		CacheEventLag:             2 * time.Second,
		CacheEventLossProbability: 0.05,
		KVBytesPerToken:           128 << 10,
		KVBytesPerSecond:          4e9,
		AnswerRetention:           time.Minute,
		TombstoneRetention:        10 * time.Minute,
	}
}

// Profile returns the profile of a role. An engine without a role works like one of the decode role.
func (s *Settings) Profile(role engine.Role) RoleProfile {
	if role == engine.RolePrefill {
		return s.Prefill
	}
	return s.Decode
}

// Validate tells whether an engine can work with the settings.
func (s *Settings) Validate() error {
	if s.Name == "" {
		return errors.New("engine settings: name is empty")
	}
	for _, role := range engine.Roles() {
		if err := s.Profile(role).validate(); err != nil {
			return errors.Wrapf(err, "engine settings: %s", role)
		}
	}
	return errors.Wrap(s.validateBounds(), "engine settings")
}

func (p RoleProfile) validate() error {
	switch {
	case p.Slots < 1:
		return errors.Newf("slots is %d, allowed is 1 or more", p.Slots)
	case p.PrefillTokensPerSecond <= 0:
		return errors.Newf("prefill tokens per second is %g, allowed is more than 0", p.PrefillTokensPerSecond)
	case p.ChunkTokens < 1:
		return errors.Newf("chunk tokens is %d, allowed is 1 or more", p.ChunkTokens)
	case p.StepBase <= 0:
		return errors.Newf("step base is %s, allowed is more than 0", p.StepBase)
	case p.StepPerRun < 0:
		return errors.Newf("step per run is %s, allowed is 0 or more", p.StepPerRun)
	}
	return nil
}

func (s *Settings) validateBounds() error {
	switch {
	case s.TokenEventInterval < 1:
		return errors.Newf("token event interval is %d, allowed is 1 or more", s.TokenEventInterval)
	case s.MemoryTokens < 1:
		return errors.Newf("memory tokens is %d, allowed is 1 or more", s.MemoryTokens)
	case s.PrefixCacheTokens < 0:
		return errors.Newf("prefix cache tokens is %d, allowed is 0 or more", s.PrefixCacheTokens)
	case s.MaxWaiting < 0:
		return errors.Newf("max waiting is %d, allowed is 0 or more", s.MaxWaiting)
	case s.RoleChangeTime <= 0 || s.WeightLoadTime <= 0:
		return errors.Newf("role change time is %s and weight load time is %s, allowed is more than 0",
			s.RoleChangeTime, s.WeightLoadTime)
	case s.LoadReportInterval <= 0 || s.LoadReportLag < 0:
		return errors.Newf("load report interval is %s and lag is %s, allowed is more than 0 and 0 or more",
			s.LoadReportInterval, s.LoadReportLag)
	case s.CacheEventInterval <= 0 || s.CacheEventLag < 0:
		return errors.Newf("cache event interval is %s and lag is %s, allowed is more than 0 and 0 or more",
			s.CacheEventInterval, s.CacheEventLag)
	case s.KVBytesPerToken < 1 || s.KVBytesPerSecond <= 0:
		return errors.Newf("KV bytes per token is %d and per second is %g, allowed is more than 0",
			s.KVBytesPerToken, s.KVBytesPerSecond)
	case s.AnswerRetention < 0 || s.TombstoneRetention < 0:
		return errors.Newf("answer retention is %s and tombstone retention is %s, allowed is 0 or more",
			s.AnswerRetention, s.TombstoneRetention)
	}
	return s.validateProbabilities()
}

func (s *Settings) validateProbabilities() error {
	for name, probability := range map[string]float64{
		"crash during change": s.CrashDuringChangeProbability,
		"cache event loss":    s.CacheEventLossProbability,
	} {
		if probability < 0 || probability > 1 {
			return errors.Newf("%s probability is %g, allowed is 0 to 1", name, probability)
		}
	}
	return nil
}
