package dispatch

import (
	"math/rand/v2"
	"time"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/placement"
	"github.com/granitebay/granitebay/internal/roleplan"
)

// Settings of a dispatch core. Zero values are replaced by the defaults named at each field.
type Settings struct {
	// Self is the name of the router.
	Self string
	// KeepAliveInterval is the longest silence towards the agent of a live request. Default 250 ms.
	KeepAliveInterval time.Duration
	// HousekeepingInterval is how often deadlines and retries are looked at. Default 50 ms.
	HousekeepingInterval time.Duration
	// ResendInterval is how long a command to an engine may stay unanswered. Default 1 s.
	ResendInterval time.Duration
	// AnswerRetention is how long an ended request is kept. Default 30 s.
	AnswerRetention time.Duration
	// EngineFailures is how many commands in a row may fail before repeatable work leaves an engine. Default 3.
	EngineFailures int
	// CancelLead is how long before the deadline a run is cancelled, so that its outcome can still be proved. Default 100 ms.
	CancelLead time.Duration
	// RecoveryTime is how long an engine that was out gets work slowly. Default 5 s.
	RecoveryTime time.Duration
	// CircuitTime is how long an engine gets nothing after it failed. Default 2 s.
	CircuitTime time.Duration
	// EngineMemory is how long engines surely remember a request id. Work that may not be repeated is submitted only
	// while its id is younger, so that an engine which has run it still knows. Default 50 s; engines promise 60 s.
	EngineMemory time.Duration
	// MaxQueued bounds the queue over all rules. Default 1000.
	MaxQueued int
	// PrefixBlocksPerEngine bounds what is remembered of the prefix cache of an engine. Default 4096 blocks.
	PrefixBlocksPerEngine int
	Placement             placement.Settings
	// PolicyFor returns the policy for a piece of work, or false if no rule matches it.
	PolicyFor func(work *granitebayv1.Work) (Policy, bool)
	// RerouteAfter is how long a request waits here before another owner is looked for. Default 300 ms.
	RerouteAfter time.Duration
	// Reroute passes a waiting request to another owner, if one can take it; nil for never.
	Reroute func(now time.Time, message *granitebayv1.Generate, effects *core.Effects) bool
	// ConfigRevision returns the configuration revision in force, for decisions.
	ConfigRevision func() uint64
}

// The defaults of Settings.
const (
	defaultKeepAliveInterval    = 250 * time.Millisecond
	defaultHousekeepingInterval = 50 * time.Millisecond
	defaultResendInterval       = time.Second
	defaultAnswerRetention      = 30 * time.Second
	defaultEngineFailures       = 3
	defaultCancelLead           = 100 * time.Millisecond
	defaultRecoveryTime         = 5 * time.Second
	defaultCircuitTime          = 2 * time.Second
	defaultRerouteAfter         = 300 * time.Millisecond
	defaultEngineMemory         = 50 * time.Second
	defaultMaxQueued            = 1000
	defaultPrefixBlocks         = 4096
)

// withDefaults fills in zero values.
func (s Settings) withDefaults() Settings {
	s.KeepAliveInterval = orDefault(s.KeepAliveInterval, defaultKeepAliveInterval)
	s.HousekeepingInterval = orDefault(s.HousekeepingInterval, defaultHousekeepingInterval)
	s.ResendInterval = orDefault(s.ResendInterval, defaultResendInterval)
	s.AnswerRetention = orDefault(s.AnswerRetention, defaultAnswerRetention)
	s.EngineFailures = orDefault(s.EngineFailures, defaultEngineFailures)
	s.CancelLead = orDefault(s.CancelLead, defaultCancelLead)
	s.RecoveryTime = orDefault(s.RecoveryTime, defaultRecoveryTime)
	s.CircuitTime = orDefault(s.CircuitTime, defaultCircuitTime)
	s.RerouteAfter = orDefault(s.RerouteAfter, defaultRerouteAfter)
	s.EngineMemory = orDefault(s.EngineMemory, defaultEngineMemory)
	s.MaxQueued = orDefault(s.MaxQueued, defaultMaxQueued)
	s.PrefixBlocksPerEngine = orDefault(s.PrefixBlocksPerEngine, defaultPrefixBlocks)
	if s.Placement.Speeds == nil {
		s.Placement = placement.DefaultSettings()
	}
	return s
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// Policy is what the rules say of a piece of work.
type Policy struct {
	// Rule is the name of the rule.
	Rule string
	// Groups that may run the work, in order of preference.
	Groups []string
	// Priority: higher runs earlier.
	Priority int32
	// Weight of the tenant among tenants of the same priority.
	Weight float64
	// MaxInFlight bounds the requests of one tenant at one owner; zero is no bound.
	MaxInFlight int
	// EngineMemory is how long engines surely remember a request id. Work that may not be repeated is submitted only
	// while its id is younger, so that an engine which has run it still knows. Default 50 s; engines promise 60 s.
	EngineMemory time.Duration
	// MaxQueued bounds the queue of the rule at one owner; zero is no bound.
	MaxQueued int
	// TokensPerSecond bounds the tokens of prompt and answer that one tenant may ask for at one owner, over some seconds;
	// zero is no bound.
	TokensPerSecond float64
	// DefaultDeadline is the time that a request gets whose caller named no deadline, MaximumDeadline the most that a caller
	// gets. Zero is no bound.
	DefaultDeadline time.Duration
	MaximumDeadline time.Duration
	// MaximumContextTokens bounds prompt and answer together; zero is no bound.
	MaximumContextTokens int
}

// Claims decides at which engine work that may not be repeated runs. The result comes back by HandleClaimResult.
type Claims interface {
	Propose(now time.Time, instance string, value *granitebayv1.ClaimValue, deadline time.Time, effects *core.Effects)
}

// EngineView is what the router knows of an engine.
type EngineView struct {
	Name        string
	Zone        string
	Group       string
	Incarnation uint64
	// Generation and Configuration of the committed record.
	Generation    uint64
	Configuration engine.Configuration
	Draining      bool
	// Changing is set while the engine is out for a change.
	Changing bool
	Leaving  bool
	// Ready is set once the engine reported that it has the generation of the record.
	Ready bool
	// Owned is set if this router is the one to send new work to the engine.
	Owned       bool
	MemoryTotal int
}

// Core is the dispatch core. It is not safe for use by several goroutines.
type Core struct {
	settings Settings
	claims   Claims
	random   *rand.Rand

	requests map[string]*request
	// order holds the entries in order of arrival; ended ones are removed now and then.
	order    []*request
	queue    *fairQueue
	engines  map[string]*engineState
	names    []string
	prefixes *placement.PrefixTable
	demand   demandMeters
	limits   tokenLimits
	shares   *tenantShares

	nextHousekeeping time.Time
	stopping         bool
	// holdUntil is until when no new work goes to engines.
	holdUntil time.Time
}

// New returns a dispatch core.
func New(settings Settings, claims Claims, random *rand.Rand) *Core {
	settings = settings.withDefaults()
	return &Core{
		settings: settings,
		claims:   claims,
		random:   random,
		requests: make(map[string]*request),
		queue:    newFairQueue(),
		engines:  make(map[string]*engineState),
		prefixes: placement.NewPrefixTable(settings.PrefixBlocksPerEngine),
		shares:   newTenantShares(),
		demand:   demandMeters{settings: roleplan.DefaultMeterSettings()},
	}
}

// Tick runs what is due.
func (c *Core) Tick(now time.Time, effects *core.Effects) {
	if c.nextHousekeeping.IsZero() || now.Before(c.nextHousekeeping) {
		return
	}
	c.nextHousekeeping = time.Time{}
	for _, entry := range c.order {
		c.keep(now, entry, effects)
	}
	c.dropEnded(now)
	c.limits.drop(now)
	c.schedule(now, effects)
	c.armHousekeeping(now)
}

// NextWake tells when Tick is due.
func (c *Core) NextWake() time.Time { return c.nextHousekeeping }

// armHousekeeping sets the timer while there are entries.
func (c *Core) armHousekeeping(now time.Time) {
	if c.nextHousekeeping.IsZero() && len(c.order) > 0 {
		c.nextHousekeeping = now.Add(c.settings.HousekeepingInterval)
	}
}

// keep looks at the deadline, the retries and the silence of one entry.
func (c *Core) keep(now time.Time, entry *request, effects *core.Effects) {
	if entry.ended() {
		return
	}
	if !now.Before(entry.deadline.Add(-c.settings.CancelLead)) {
		c.expire(now, entry, effects)
	}
	if entry.ended() {
		return
	}
	if entry.phase == phaseQueued && now.Sub(entry.queuedAt) >= c.settings.RerouteAfter && c.reroute(now, entry, effects) {
		return
	}
	if !entry.retryAt.IsZero() && !now.Before(entry.retryAt) {
		c.retry(now, entry, effects)
	}
	if now.Sub(entry.lastProgress) >= c.settings.KeepAliveInterval {
		c.sendProgress(now, entry, entry.length(), effects)
	}
}

// dropEnded removes entries that ended long ago.
func (c *Core) dropEnded(now time.Time) {
	kept := c.order[:0]
	for _, entry := range c.order {
		if entry.ended() && now.Sub(entry.endedAt) >= c.settings.AnswerRetention {
			delete(c.requests, entry.id())
			continue
		}
		kept = append(kept, entry)
	}
	clear(c.order[len(kept):])
	c.order = kept
}

// Stop makes the router hand its requests on: agents are told to go on elsewhere, and nothing new is taken.
func (c *Core) Stop(now time.Time, effects *core.Effects) {
	c.stopping = true
	for _, entry := range c.order {
		if !entry.ended() {
			c.move(now, entry, reasonStopping, effects)
		}
	}
}

// Active counts the requests that have not ended here.
func (c *Core) Active() int {
	active := 0
	for _, entry := range c.order {
		if !entry.ended() {
			active++
		}
	}
	return active
}

// configRevision returns the revision for decisions.
func (c *Core) configRevision() uint64 {
	if c.settings.ConfigRevision == nil {
		return 0
	}
	return c.settings.ConfigRevision()
}
