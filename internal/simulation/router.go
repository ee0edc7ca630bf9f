package simulation

import (
	"time"

	"github.com/samber/lo"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/membership"
	"github.com/granitebay/granitebay/internal/ownership"
	"github.com/granitebay/granitebay/internal/placement"
	"github.com/granitebay/granitebay/internal/rolecontrol"
	"github.com/granitebay/granitebay/internal/router"
)

// Times of routers, shorter than usual so that leases lapse and drains are withdrawn within a run.
const (
	simulatedDrainTimeout = 5 * time.Second
	simulatedLeaseTTL     = 4 * time.Second
	simulatedRenewal      = 1200 * time.Millisecond
	simulatedSettleDelay  = time.Second
	simulatedHandOnDelay  = 2 * time.Second
	simulatedStandbyDelay = 6 * time.Second
	simulatedRedrainDelay = 3 * time.Second
)

var (
	_ stopper    = (*router.Core)(nil)
	_ configured = (*router.Core)(nil)
)

// newRouter makes the core of a router.
func newRouter(host *processHost) core.Node {
	seeds := lo.Map(host.world.deployment.Routers, func(machine Machine, _ int) membership.Member {
		return membership.Member{Name: machine.Name, Address: machine.Address, Zone: machine.Zone}
	})
	settings := router.Settings{
		Self: &granitebayv1.Peer{Name: host.machine.Name, Incarnation: host.incarnation, Address: host.machine.Address,
			Zone: host.machine.Zone},
		StartedAt:   host.localNow(),
		Seeds:       seeds,
		RoleControl: rolecontrol.Settings{DrainTimeout: simulatedDrainTimeout, RedrainDelay: simulatedRedrainDelay},
		Ownership: ownership.Settings{LeaseTTL: simulatedLeaseTTL, RenewInterval: simulatedRenewal,
			SettleDelay: simulatedSettleDelay, HandOnDelay: simulatedHandOnDelay, StandbyDelay: simulatedStandbyDelay},
		Placement: simulatedPlacement(),
	}
	return router.New(settings, host.newRandom())
}

// simulatedPlacement knows the slots of the engines of a run.
func simulatedPlacement() placement.Settings {
	settings := placement.DefaultSettings()
	for role, slots := range simulatedSlots {
		speed := settings.Speeds[role]
		speed.Slots = slots
		settings.Speeds[role] = speed
	}
	return settings
}
