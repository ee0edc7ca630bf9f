// Package fleet runs a whole deployment in one process on loopback: the stand-ins of the platform and of the engines,
// and the real programs of routers and agents, which talk to each other over TCP as they do on machines of their own.
package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/deployment"
	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/platformclient"
	"github.com/granitebay/granitebay/internal/routerprogram"
	"github.com/granitebay/granitebay/internal/settings"
	"github.com/granitebay/granitebay/internal/standin/engineserver"
)

// logPrefix begins the log lines of this package.
const logPrefix = "fleet: "

// Defaults of Options.
const (
	DefaultRoleChangeTime = 4 * time.Second
	DefaultWeightLoadTime = time.Second
	DefaultMembershipLag  = 500 * time.Millisecond
)

// Options of a fleet. Zero values take the defaults.
type Options struct {
	Deployment deployment.Deployment
	// Seed of the randomness of the stand-ins.
	Seed uint64
	// EngineSpeed is a factor on the speed of the engines; 1 is what the role planner and placement assume.
	EngineSpeed float64
	// RoleChangeTime is how long an engine is out for a change of role, WeightLoadTime for one of its model.
	RoleChangeTime time.Duration
	WeightLoadTime time.Duration
	// MembershipLag is how late the membership list shows a change.
	MembershipLag time.Duration
	// OnDecision takes each decision of the routers; nil for none. It is called from many goroutines and must not block.
	OnDecision func(decision.Record)
	// OnFinished takes each answer that an engine finished, with the role of the engine; nil for none. It is called from
	// many goroutines and must not block.
	OnFinished func(requestID string, role engine.Role)
	// Logger takes the logs of all processes.
	Logger *logrus.Logger
}

// Process is one running process.
type Process struct {
	Name string
	Zone string
	// Address is the host:port at which callers reach an agent, and operators a router.
	Address string
}

// Fleet is a running deployment.
type Fleet struct {
	options Options
	ledger  *Ledger

	// standIns serve the platform and the engines.
	standIns         httpServers
	platformEndpoint string
	stopPlatform     context.CancelFunc
	platformStopped  sync.WaitGroup
	engines          []*engineserver.Server
	client           *platformclient.Client

	routerPeers []settings.Peer
	routers     []*routerprogram.Program
	agents      []agentProgram
	ready       *readiness
}

// Start starts a deployment and waits until all engines serve and each agent gives an answer. The context bounds the
// start only.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	options.RoleChangeTime = lo.CoalesceOrEmpty(options.RoleChangeTime, DefaultRoleChangeTime)
	options.WeightLoadTime = lo.CoalesceOrEmpty(options.WeightLoadTime, DefaultWeightLoadTime)
	options.EngineSpeed = lo.CoalesceOrEmpty(options.EngineSpeed, 1)
	options.MembershipLag = lo.CoalesceOrEmpty(options.MembershipLag, DefaultMembershipLag)
	f := &Fleet{
		options: options,
		ledger:  newLedger(options.RoleChangeTime, options.OnFinished),
		ready:   newReadiness(options.Deployment.Engines),
	}
	steps := []func(context.Context) error{
		f.startPlatform, f.startEngines, f.startRouters, f.configure, f.startAgents, f.awaitReady,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			f.Stop()
			return nil, err
		}
	}
	return f, nil
}

// Ledger tells what the engines really did.
func (f *Fleet) Ledger() *Ledger { return f.ledger }

// Agents lists the agents with the addresses for callers.
func (f *Fleet) Agents() []Process {
	return lo.Map(f.agents, func(program agentProgram, index int) Process {
		machine := f.options.Deployment.Agents[index]
		return Process{Name: machine.Name, Zone: machine.Zone, Address: program.Addresses().Callers}
	})
}

// Routers lists the routers with the addresses for operators.
func (f *Fleet) Routers() []Process {
	return lo.Map(f.routers, func(program *routerprogram.Program, index int) Process {
		machine := f.options.Deployment.Routers[index]
		return Process{Name: machine.Name, Zone: machine.Zone, Address: program.Addresses().Admin}
	})
}

// Stop ends all processes at once. Requests that are still on their way are cut. It returns when nothing runs any more.
func (f *Fleet) Stop() {
	for _, program := range f.agents {
		program.Close()
	}
	for _, program := range f.routers {
		program.Close()
	}
	for _, server := range f.engines {
		server.Close()
	}
	if f.client != nil {
		f.client.Close()
	}
	if f.stopPlatform != nil {
		f.stopPlatform()
	}
	f.standIns.close()
	f.platformStopped.Wait()
}
