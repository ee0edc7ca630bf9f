package platformmodel

import "time"

// OutageAnswer is what a request gets while the key-value service is down.
type OutageAnswer string

// The outage answers.
const (
	// OutageRefuses answers FailureUnavailable at once, as when no connection can be made.
	OutageRefuses OutageAnswer = "refuse"
	// OutageSilent gives no answer, as when packets vanish.
	OutageSilent OutageAnswer = "silent"
)

// OutageLeases is what becomes of leases while the key-value service is down.
type OutageLeases string

// The choices for leases.
const (
	// OutageKeepsLeases lets no lease expire during an outage; each has a full TTL from the end of the outage.
	OutageKeepsLeases OutageLeases = "keep"
	// OutageExpiresLeases lets the TTL of leases run on during an outage, in which nobody can renew them.
	OutageExpiresLeases OutageLeases = "expire"
)

// Limit is a token bucket of requests.
type Limit struct {
	// PerSecond is how many tokens are added in a second; zero or less means no limit.
	PerSecond float64
	// Burst is how many tokens the bucket holds; at least one.
	Burst int
}

// Limits are the limits of one service.
type Limits struct {
	// Service holds for all clients together, Client for each of them.
	Service Limit
	Client  Limit
}

// WeightSettings describe the weight store.
type WeightSettings struct {
	// BytesPerSecond is the rate of one region for all loads together; zero or less means no limit.
	BytesPerSecond float64
	// BurstBytes can be read ahead of the rate after a quiet time.
	BurstBytes float64
	// LoadBytesPerSecond is the most that one load reaches; zero or less means no limit.
	LoadBytesPerSecond float64
	// MaximumLoads is how many loads of a region may be under way or waiting; zero or less means no limit.
	MaximumLoads int
	// ModelBytes is the size of each model, DefaultModelBytes that of models that it does not name.
	ModelBytes        map[string]int64
	DefaultModelBytes int64
	// RegionOfZone maps zones to regions. Zones that it does not name form one region together.
	RegionOfZone map[string]string
}

// Settings describe the platform. They are taken as they are; DefaultSettings gives usual ones.
type Settings struct {
	// KeyValueLimits and MembershipLimits are the rate limits of the two services.
	KeyValueLimits   Limits
	MembershipLimits Limits
	// HistoryLength is how many commits are kept for watches that start in the past.
	HistoryLength int
	// RecordAllCommits makes History return all commits since the start, not only those kept for watches.
	RecordAllCommits bool
	// MinimumLeaseTTL is the shortest TTL of a lease; shorter wishes are raised to it.
	MinimumLeaseTTL time.Duration
	OutageAnswer    OutageAnswer
	OutageLeases    OutageLeases
	// ClientTimeout, when not zero, makes the model deliver FailureUnknown for requests that got no answer for so
	// long, as a client with a time-out does. Servers leave it at zero, because real clients have their own.
	ClientTimeout time.Duration
	// MembershipLag is how late changes of the membership list become visible.
	MembershipLag time.Duration
	// MemberTTL is how long a registration lasts without a renewal; zero means for ever.
	MemberTTL time.Duration
	Weights   WeightSettings
}

// The defaults.
const (
	defaultServicePerSecond   = 500
	defaultClientPerSecond    = 50
	defaultHistoryLength      = 1000
	defaultMinimumLeaseTTL    = time.Second
	defaultMembershipLag      = 3 * time.Second
	defaultMemberTTL          = 10 * time.Second
	defaultModelBytes         = 14 << 30
	defaultWeightsPerSecond   = 8 << 30
	defaultWeightsBurst       = 16 << 30
	defaultLoadBytesPerSecond = 4 << 30
	defaultMaximumLoads       = 8
)

// DefaultSettings returns the settings of a small platform.
func DefaultSettings() Settings {
	limits := Limits{
		Service: Limit{PerSecond: defaultServicePerSecond, Burst: 2 * defaultServicePerSecond},
		Client:  Limit{PerSecond: defaultClientPerSecond, Burst: 2 * defaultClientPerSecond},
	}
	return Settings{
		KeyValueLimits:   limits,
		MembershipLimits: limits,
		HistoryLength:    defaultHistoryLength,
		MinimumLeaseTTL:  defaultMinimumLeaseTTL,
		OutageAnswer:     OutageRefuses,
		OutageLeases:     OutageKeepsLeases,
		MembershipLag:    defaultMembershipLag,
		MemberTTL:        defaultMemberTTL,
		Weights: WeightSettings{
			BytesPerSecond:     defaultWeightsPerSecond,
			BurstBytes:         defaultWeightsBurst,
			LoadBytesPerSecond: defaultLoadBytesPerSecond,
			MaximumLoads:       defaultMaximumLoads,
			DefaultModelBytes:  defaultModelBytes,
		},
	}
}
