package simulation

import (
	"time"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/agent"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/platform"
)

// nodeFactory makes the core of a new incarnation of a router.
type nodeFactory func(host *processHost) core.Node

// newNode makes the core of a new incarnation of a process.
func (w *world) newNode(host *processHost) core.Node {
	if host.machine.Kind != platform.MemberAgent {
		return w.newRouter(host)
	}
	routers := lo.Map(w.deployment.Routers, func(machine Machine, _ int) agent.Router {
		return agent.Router{Name: machine.Name, Address: machine.Address, Zone: machine.Zone}
	})
	settings := agent.Settings{Name: host.machine.Name, Address: host.machine.Address, Zone: host.machine.Zone,
		Incarnation: host.incarnation, Routers: routers}
	return &stoppableAgent{Core: agent.New(settings, host.newRandom())}
}

// stoppableAgent is an agent that ends by plan when it has no calls. Callers go to another one meanwhile.
type stoppableAgent struct{ *agent.Core }

// Stop implements stopper.
func (a *stoppableAgent) Stop(time.Time, *core.Effects) {}

// Stopped implements stopper.
func (a *stoppableAgent) Stopped(time.Time) bool { return a.Active() == 0 }
