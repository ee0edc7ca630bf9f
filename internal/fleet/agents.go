package fleet

import (
	"context"

	"github.com/granitebay/granitebay/internal/agentprogram"
	"github.com/granitebay/granitebay/internal/settings"
)

// agentProgram is a running agent.
type agentProgram = *agentprogram.Program

// startAgents starts the agents. Each knows all routers.
func (f *Fleet) startAgents(context.Context) error {
	for _, machine := range f.options.Deployment.Agents {
		agent := settings.DefaultAgentSettings()
		agent.Name = machine.Name
		agent.Zone = machine.Zone
		agent.ListenPeers = loopback
		agent.ListenCallers = loopback
		agent.Routers = f.routerPeers
		if err := agent.Validate(); err != nil {
			return err
		}
		program, err := agentprogram.Start(agentprogram.Options{Settings: *agent, Logger: f.options.Logger})
		if err != nil {
			return err
		}
		f.agents = append(f.agents, program)
	}
	return nil
}
