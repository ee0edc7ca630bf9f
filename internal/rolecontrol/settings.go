package rolecontrol

import (
	"time"

	"github.com/samber/lo"
)

// Defaults of Settings.
const (
	DefaultDrainTimeout      = 60 * time.Second
	DefaultReadyTimeout      = 2 * time.Minute
	DefaultOrderRetry        = time.Second
	DefaultProbeInterval     = 500 * time.Millisecond
	DefaultIdleProbeInterval = 2 * time.Second
	DefaultRequestTimeout    = 3 * time.Second
	DefaultMaxCrashes        = 3
	DefaultCrashBackoff      = 2 * time.Second
	DefaultMaxCrashBackoff   = time.Minute
	DefaultStableAfter       = 2 * time.Minute
	DefaultSetAsideRetry     = 10 * time.Minute
	DefaultRedrainDelay      = time.Minute
	DefaultTargetLifetime    = time.Minute
	defaultBackoffBase       = 200 * time.Millisecond
	defaultBackoffMax        = 5 * time.Second
)

// Settings of a Core. Zero durations and counts take the defaults; the functions must be set unless noted.
type Settings struct {
	// Self is the name of this router.
	Self string
	// Authority tells whether this router may order the engine now, and under which epoch. It is asked last thing
	// before each order and each commit.
	Authority func(now time.Time, engine string) (epoch uint64, held bool)
	// ShardKey returns the key of the key-value service whose modification revision is the epoch of the engine.
	ShardKey func(engine string) string
	// InitialTarget gives the first configuration of an engine that has no record and no target. It may be nil.
	InitialTarget func(engine string) (Target, bool)
	// DrainTimeout is how long an engine may take to become empty before its change is withdrawn.
	DrainTimeout time.Duration
	// ReadyTimeout is how long an engine may take to serve after it accepted an order.
	ReadyTimeout time.Duration
	// OrderRetry is the time after which an order without an answer is sent again.
	OrderRetry time.Duration
	// ProbeInterval is the time between two probes of an engine that is waited for, IdleProbeInterval the time
	// without a load report after which an engine that serves is probed.
	ProbeInterval     time.Duration
	IdleProbeInterval time.Duration
	// RequestTimeout is the time after which a request to the key-value service without an answer counts as lost.
	RequestTimeout time.Duration
	// MaxCrashes is the number of crashes, or of orders that did not make the engine ready, after which it is set
	// aside. Each adds to the delay before the next order, from CrashBackoff to MaxCrashBackoff.
	MaxCrashes      int
	CrashBackoff    time.Duration
	MaxCrashBackoff time.Duration
	// StableAfter is how long an engine must serve until its crashes are forgotten.
	StableAfter time.Duration
	// SetAsideRetry is how long an engine stays set aside before it gets one more order.
	SetAsideRetry time.Duration
	// RedrainDelay is how long an engine is left alone after a change of it was withdrawn: targets that come before are
	// ignored.
	RedrainDelay time.Duration
	// TargetLifetime is how long a change may wait for its start. After that the target is dropped as outdated; the role
	// plan gives it again if it still wants it.
	TargetLifetime time.Duration
}

func (s Settings) withDefaults() Settings {
	s.DrainTimeout = lo.CoalesceOrEmpty(s.DrainTimeout, DefaultDrainTimeout)
	s.ReadyTimeout = lo.CoalesceOrEmpty(s.ReadyTimeout, DefaultReadyTimeout)
	s.OrderRetry = lo.CoalesceOrEmpty(s.OrderRetry, DefaultOrderRetry)
	s.ProbeInterval = lo.CoalesceOrEmpty(s.ProbeInterval, DefaultProbeInterval)
	s.IdleProbeInterval = lo.CoalesceOrEmpty(s.IdleProbeInterval, DefaultIdleProbeInterval)
	s.RequestTimeout = lo.CoalesceOrEmpty(s.RequestTimeout, DefaultRequestTimeout)
	s.MaxCrashes = lo.CoalesceOrEmpty(s.MaxCrashes, DefaultMaxCrashes)
	s.CrashBackoff = lo.CoalesceOrEmpty(s.CrashBackoff, DefaultCrashBackoff)
	s.MaxCrashBackoff = lo.CoalesceOrEmpty(s.MaxCrashBackoff, DefaultMaxCrashBackoff)
	s.StableAfter = lo.CoalesceOrEmpty(s.StableAfter, DefaultStableAfter)
	s.SetAsideRetry = lo.CoalesceOrEmpty(s.SetAsideRetry, DefaultSetAsideRetry)
	s.TargetLifetime = lo.CoalesceOrEmpty(s.TargetLifetime, DefaultTargetLifetime)
	s.RedrainDelay = lo.CoalesceOrEmpty(s.RedrainDelay, DefaultRedrainDelay)
	return s
}
