package simulation

import (
	"time"

	"github.com/samber/lo"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/membership"
	"github.com/granitebay/granitebay/internal/rolecontrol"
	"github.com/granitebay/granitebay/internal/router"
)

// simulatedDrainTimeout is how long a drain may take, shorter than usual so that some are withdrawn.
const simulatedDrainTimeout = 10 * time.Second

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
		RoleControl: rolecontrol.Settings{DrainTimeout: simulatedDrainTimeout},
	}
	return router.New(settings, host.newRandom())
}
