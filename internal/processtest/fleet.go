package processtest

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/engineclient/enginewire"
	"github.com/granitebay/granitebay/internal/settings"
	"github.com/granitebay/granitebay/internal/standin/standincommand"
)

// pollInterval is the pause between two looks at a process that is not ready.
const pollInterval = 50 * time.Millisecond

// Options of a fleet.
type Options struct {
	Programs Programs
	// Directory takes logs and the state of the platform.
	Directory string
	// Zones is the number of zones; they are named zone-a, zone-b and so on.
	Zones int
	// EnginesPerZone, RoutersPerZone and AgentsPerZone are numbers of processes.
	EnginesPerZone, RoutersPerZone, AgentsPerZone int
	// Roles that engines may have. Empty means all.
	Roles []engine.Role
	// EngineArguments are further arguments of the engines.
	EngineArguments []string
}

// Fleet is a running fleet of processes.
type Fleet struct {
	options Options
	ports   ports

	Platform *Process
	Engines  []*Process
	Routers  []*Process
	Agents   []*Process
	peers    []settings.Peer
	runLogs  []string
}

// Start starts a fleet and waits until all engines serve and each agent gives an answer.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	if len(options.Roles) == 0 {
		options.Roles = engine.Roles()
	}
	f := &Fleet{options: options, ports: ports{taken: make(map[int]bool)}}
	for _, step := range []func(context.Context) error{f.startPlatform, f.startEngines, f.startRouters, f.startAgents, f.awaitEngines, f.awaitAgents} {
		if err := step(ctx); err != nil {
			f.Stop()
			return nil, err
		}
	}
	return f, nil
}

// Stop ends all processes that still run, each by its id, and waits for their ends.
func (f *Fleet) Stop() {
	for _, process := range f.processes() {
		if process.running() {
			_ = process.Kill()
		}
	}
}

// Failure returns an error if a process ended on its own.
func (f *Fleet) Failure() error {
	for _, process := range f.processes() {
		if err := process.failure(); err != nil {
			return err
		}
	}
	return nil
}

// Router returns the router of a name.
func (f *Fleet) Router(name string) *Process {
	return lo.Must(lo.Find(f.Routers, func(process *Process) bool { return process.Name == name }))
}

// Runs returns what the engines ran, by their own record.
func (f *Fleet) Runs() ([]standincommand.RunLogEntry, error) {
	var runs []standincommand.RunLogEntry
	for _, path := range f.runLogs {
		entries, err := standincommand.ReadRunLog(path)
		if err != nil {
			return nil, err
		}
		runs = append(runs, entries...)
	}
	return runs, nil
}

func (f *Fleet) processes() []*Process {
	all := lo.Flatten([][]*Process{f.Agents, f.Routers, f.Engines, {f.Platform}})
	return lo.Filter(all, func(process *Process, _ int) bool { return process != nil && process.command != nil })
}

// launch makes and starts a process.
func (f *Fleet) launch(name, program, address string, arguments ...string) (*Process, error) {
	process := &Process{
		Name: name, Address: address, program: f.options.Programs.path(program), arguments: arguments,
		logPath: logPath(f.options.Directory, name),
	}
	return process, process.start()
}

func (f *Fleet) platformURL() string { return "http://" + f.Platform.Address }

func (f *Fleet) startPlatform(ctx context.Context) error {
	address, err := f.ports.address()
	if err != nil {
		return err
	}
	f.Platform, err = f.launch("platform", programLab, address, "platform", "--listen", address,
		"--state", filepath.Join(f.options.Directory, "platform.state"), "--membership-lag", "300ms")
	if err != nil {
		return err
	}
	return f.await(ctx, "the platform", func() error { return configure(ctx, f.platformURL(), f.options.Roles) })
}

// zone names a zone by its index.
func zone(index int) string { return "zone-" + string(rune('a'+index)) }

// each calls a function for each place of processes of a kind, with the name and the zone of the process.
func (f *Fleet) each(kind string, perZone int, visit func(name, zone string) error) error {
	for z := range f.options.Zones {
		for i := range perZone {
			if err := visit(fmt.Sprintf("%s-%c-%d", kind, 'a'+z, i+1), zone(z)); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *Fleet) startEngines(context.Context) error {
	return f.each("engine", f.options.EnginesPerZone, func(name, zone string) error {
		address, err := f.ports.address()
		if err != nil {
			return err
		}
		runLog := filepath.Join(f.options.Directory, name+".runs")
		arguments := append([]string{"engine", "--name", name, "--zone", zone, "--listen", address, "--platform", f.platformURL(),
			"--weight-load-time", "300ms", "--role-change-time", "500ms", "--load-report-interval", "200ms", "--load-report-lag", "100ms",
			"--run-log", runLog}, f.options.EngineArguments...)
		process, err := f.launch(name, programLab, address, arguments...)
		f.Engines = append(f.Engines, process)
		f.runLogs = append(f.runLogs, runLog)
		return err
	})
}

func (f *Fleet) startRouters(context.Context) error {
	err := f.each("router", f.options.RoutersPerZone, func(name, zone string) error {
		address, err := f.ports.address()
		f.peers = append(f.peers, settings.Peer{Name: name, Address: address, Zone: zone})
		return err
	})
	if err != nil {
		return err
	}
	for _, peer := range f.peers {
		admin, err := f.ports.address()
		if err != nil {
			return err
		}
		process, err := f.launch(peer.Name, programRouter, peer.Address, "--name", peer.Name, "--zone", peer.Zone, "--listen-peers", peer.Address,
			"--listen-admin", admin, "--platform", f.platformURL(), "--set", "peers="+f.peerList())
		f.Routers = append(f.Routers, process)
		if err != nil {
			return err
		}
	}
	return nil
}

// peerList is the list of routers as a setting.
func (f *Fleet) peerList() string { return string(lo.Must(json.Marshal(f.peers))) }

func (f *Fleet) startAgents(context.Context) error {
	return f.each("agent", f.options.AgentsPerZone, func(name, zone string) error {
		peers, err := f.ports.address()
		if err != nil {
			return err
		}
		callers, err := f.ports.address()
		if err != nil {
			return err
		}
		process, err := f.launch(name, programAgent, callers, "--name", name, "--zone", zone, "--listen-peers", peers,
			"--listen-callers", callers, "--tenant", Tenant, "--set", "routers="+f.peerList())
		f.Agents = append(f.Agents, process)
		return err
	})
}

// await repeats a check until it succeeds, the context ends or a process ends on its own.
func (f *Fleet) await(ctx context.Context, what string, check func() error) error {
	for {
		err := check()
		if err == nil {
			return nil
		}
		if failure := f.Failure(); failure != nil {
			return failure
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return errors.Wrapf(err, "step await %s", what)
		}
	}
}

// awaitEngines waits until each engine has its model.
func (f *Fleet) awaitEngines(ctx context.Context) error {
	for _, process := range f.Engines {
		if err := f.await(ctx, process.Name, func() error { return engineServes(ctx, process.Address) }); err != nil {
			return err
		}
	}
	return nil
}

func engineServes(ctx context.Context, address string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+enginewire.PathLoad, nil)
	if err != nil {
		return errors.Wrap(err, "make a load request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "ask for load")
	}
	defer func() { _ = response.Body.Close() }()
	var load enginewire.Load
	if err := json.NewDecoder(response.Body).Decode(&load); err != nil {
		return errors.Wrap(err, "read load")
	}
	if load.Configuration.Model != Model || load.Changing {
		return errors.Newf("engine %s has model %q, changing %t", load.Engine, load.Configuration.Model, load.Changing)
	}
	return nil
}

// awaitAgents waits until each agent gives an answer.
func (f *Fleet) awaitAgents(ctx context.Context) error {
	for _, process := range f.Agents {
		err := f.await(ctx, process.Name, func() error {
			reply := Call(ctx, process.Address, Request{Prompt: "Are you ready?", MaxTokens: 2, Repeatable: true})
			if !reply.Answered() {
				return errors.Newf("agent %s: %s", process.Name, reply)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}
