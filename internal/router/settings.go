// Package router is the core of a router: it joins the cores of membership, configuration, ownership, role control, claims
// and dispatch into one state machine, and routes requests to the owners of engines.
package router

import (
	"time"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/claim"
	"github.com/granitebay/granitebay/internal/dispatch"
	"github.com/granitebay/granitebay/internal/membership"
	"github.com/granitebay/granitebay/internal/ownership"
	"github.com/granitebay/granitebay/internal/placement"
	"github.com/granitebay/granitebay/internal/rolecontrol"
	"github.com/granitebay/granitebay/internal/roleplan"
)

// Settings of a router. Zero values take the defaults named at each field.
type Settings struct {
	// Self names this process.
	Self *granitebayv1.Peer
	// AdminAddress is host:port of the admin API, which the other routers are told; empty when there is none.
	AdminAddress string
	// StartedAt is the time at which the process started.
	StartedAt time.Time
	// Seeds are the routers of the static settings, this one included or not. They also are the first holders of claims.
	Seeds []membership.Member
	// MembersInterval is the time between two reads of the platform's membership list. Default 2 s.
	MembersInterval time.Duration
	// DigestInterval is the time between two pool digests to the other routers. Default 500 ms.
	DigestInterval time.Duration
	// ProbeInterval is the time between two probes of an owned engine. Default 1 s.
	ProbeInterval time.Duration
	// PlanInterval is the time between two role plans of a group. Default 2 s.
	PlanInterval time.Duration
	// RecordsInterval is the time between two exchanges of engine records with a random peer. Default 2 s.
	RecordsInterval time.Duration
	// StopGrace is the least time between the announcement of a planned stop and its end. Default 1.5 s.
	StopGrace time.Duration

	// Claims sets the times of changes of the claim view. The router fills in the rest.
	Claims claim.ViewSettings

	Dispatch    dispatch.Settings
	Membership  membership.Settings
	Ownership   ownership.Settings
	RoleControl rolecontrol.Settings
	Placement   placement.Settings
	RolePlan    roleplan.Settings
}

// The defaults of Settings.
const (
	defaultMembersInterval = 2 * time.Second
	defaultDigestInterval  = 500 * time.Millisecond
	defaultProbeInterval   = time.Second
	defaultPlanInterval    = 2 * time.Second
	defaultRecordsInterval = 2 * time.Second
	defaultStopGrace       = 1500 * time.Millisecond
)

// withDefaults fills in zero values.
func (s Settings) withDefaults() Settings {
	setDefault(&s.MembersInterval, defaultMembersInterval)
	setDefault(&s.DigestInterval, defaultDigestInterval)
	setDefault(&s.ProbeInterval, defaultProbeInterval)
	setDefault(&s.PlanInterval, defaultPlanInterval)
	setDefault(&s.RecordsInterval, defaultRecordsInterval)
	setDefault(&s.StopGrace, defaultStopGrace)
	if s.Placement.Speeds == nil {
		s.Placement = placement.DefaultSettings()
	}
	if s.RolePlan.Horizon == 0 {
		s.RolePlan = roleplan.DefaultSettings()
	}
	return s
}

func setDefault(value *time.Duration, fallback time.Duration) {
	if *value == 0 {
		*value = fallback
	}
}
