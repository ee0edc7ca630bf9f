package ownership

import (
	"time"

	"github.com/samber/lo"
)

// Defaults of Settings.
const (
	DefaultLeaseTTL      = 10 * time.Second
	DefaultRenewInterval = 3 * time.Second
	DefaultClockMargin   = 0.1
	DefaultShardsPerZone = 4
	DefaultSettleDelay   = 2 * time.Second
	DefaultHandOnDelay   = 5 * time.Second
	// MaxHandOnDelay bounds the delay before a shard is handed on to a router that did not take it the last time.
	MaxHandOnDelay = 5 * time.Minute
	// DefaultStandbyDelay is more than the time a shard stays bound to the lease of a router that died.
	DefaultStandbyDelay   = 15 * time.Second
	DefaultRequestTimeout = 3 * time.Second
	DefaultBackoffBase    = 200 * time.Millisecond
	DefaultBackoffMax     = 3 * time.Second
)

// Settings of a Core. Zero values take the defaults. All routers must have the same LeaseTTL and ShardsPerZone.
type Settings struct {
	// Self is the name of this router, Incarnation that of its process.
	Self        string
	Incarnation uint64
	// LeaseTTL is the time after which the key-value service drops a lease that is not renewed.
	LeaseTTL time.Duration
	// RenewInterval is the time between two renewals of the lease.
	RenewInterval time.Duration
	// ClockMargin is the share of the TTL by which this router counts its lease shorter, against clocks that run at
	// different rates.
	ClockMargin float64
	// ShardsPerZone is the number of shards into which the engines of one zone are divided.
	ShardsPerZone int
	// SettleDelay is how long this router must be first in the order of a free shard before it claims it.
	SettleDelay time.Duration
	// HandOnDelay is how long another router must be first before a shard is handed on to it.
	HandOnDelay time.Duration
	// StandbyDelay is how long a shard must be free before the second router claims it, the third after twice that.
	StandbyDelay time.Duration
	// RequestTimeout is the time after which a request without an answer counts as lost.
	RequestTimeout time.Duration
}

func (s Settings) withDefaults() Settings {
	s.LeaseTTL = lo.CoalesceOrEmpty(s.LeaseTTL, DefaultLeaseTTL)
	s.RenewInterval = lo.CoalesceOrEmpty(s.RenewInterval, DefaultRenewInterval)
	s.ClockMargin = lo.CoalesceOrEmpty(s.ClockMargin, DefaultClockMargin)
	s.ShardsPerZone = lo.CoalesceOrEmpty(s.ShardsPerZone, DefaultShardsPerZone)
	s.SettleDelay = lo.CoalesceOrEmpty(s.SettleDelay, DefaultSettleDelay)
	s.HandOnDelay = lo.CoalesceOrEmpty(s.HandOnDelay, DefaultHandOnDelay)
	s.StandbyDelay = lo.CoalesceOrEmpty(s.StandbyDelay, DefaultStandbyDelay)
	s.RequestTimeout = lo.CoalesceOrEmpty(s.RequestTimeout, DefaultRequestTimeout)
	return s
}
