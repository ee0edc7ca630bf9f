package membership

import (
	"time"

	"github.com/samber/lo"
)

// Defaults of the settings.
const (
	DefaultProbeInterval        = time.Second
	DefaultProbeTimeout         = 300 * time.Millisecond
	DefaultIndirectProbes       = 2
	DefaultSuspicionTimeout     = 2 * time.Second
	DefaultGossipInterval       = 200 * time.Millisecond
	DefaultGossipPeers          = 2
	DefaultQuickProbes          = 4
	DefaultMaxUpdatesPerMessage = 24
	DefaultDeadRetention        = 2 * time.Minute
)

// Settings are fixed for the life of a process. A zero field means its default.
type Settings struct {
	// Self is this process. Its sequence starts at zero and its state alive.
	Self Member
	// Seeds are routers to contact without the platform. Only name, address and zone count.
	Seeds []Member
	// ProbeInterval is the time between two probes; each goes to another member.
	ProbeInterval time.Duration
	// ProbeTimeout is the wait for an answer before others are asked to probe. A process that was not run for this long
	// beyond its wake-up draws no conclusions from the silence.
	ProbeTimeout time.Duration
	// IndirectProbes is the number of members that are asked to probe one that did not answer.
	IndirectProbes int
	// SuspicionTimeout is how long a member is suspect before it counts as dead.
	SuspicionTimeout time.Duration
	// GossipInterval is the time between two messages of news, while there is any.
	GossipInterval time.Duration
	// GossipPeers is the number of members that each message of news goes to.
	GossipPeers int
	// QuickProbes bounds the probes out of turn in one GossipInterval.
	QuickProbes int
	// MaxUpdatesPerMessage bounds the news in one message, and apart from it the records in one answer.
	MaxUpdatesPerMessage int
	// DeadRetention is how long a dead member is remembered and contacted.
	DeadRetention time.Duration
}

// withDefaults fills zero fields.
func (s Settings) withDefaults() Settings {
	s.ProbeInterval = lo.CoalesceOrEmpty(s.ProbeInterval, DefaultProbeInterval)
	s.ProbeTimeout = lo.CoalesceOrEmpty(s.ProbeTimeout, DefaultProbeTimeout)
	s.IndirectProbes = lo.CoalesceOrEmpty(s.IndirectProbes, DefaultIndirectProbes)
	s.SuspicionTimeout = lo.CoalesceOrEmpty(s.SuspicionTimeout, DefaultSuspicionTimeout)
	s.GossipInterval = lo.CoalesceOrEmpty(s.GossipInterval, DefaultGossipInterval)
	s.GossipPeers = lo.CoalesceOrEmpty(s.GossipPeers, DefaultGossipPeers)
	s.QuickProbes = lo.CoalesceOrEmpty(s.QuickProbes, DefaultQuickProbes)
	s.MaxUpdatesPerMessage = lo.CoalesceOrEmpty(s.MaxUpdatesPerMessage, DefaultMaxUpdatesPerMessage)
	s.DeadRetention = lo.CoalesceOrEmpty(s.DeadRetention, DefaultDeadRetention)
	return s
}
