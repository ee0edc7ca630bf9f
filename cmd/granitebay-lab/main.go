// Command granitebay-lab holds what developers and newcomers need: the demo, and stand-ins of the platform and of engines.
package main

import (
	"context"
	"io"
	"os"

	"github.com/alecthomas/kong"

	"github.com/granitebay/granitebay/internal/bench"
	"github.com/granitebay/granitebay/internal/capacity"
	"github.com/granitebay/granitebay/internal/command"
	"github.com/granitebay/granitebay/internal/demo"
	"github.com/granitebay/granitebay/internal/experiment"
	"github.com/granitebay/granitebay/internal/logging"
	"github.com/granitebay/granitebay/internal/simulation"
	"github.com/granitebay/granitebay/internal/standin/standincommand"
)

const name = "granitebay-lab"

// commandLine is the command line of the lab.
type commandLine struct {
	LogLevel  string           `default:"info" enum:"debug,info,warn,error" help:"Least level that is logged."`
	LogFormat string           `default:"text" enum:"text,json" help:"Format of logs."`
	Version   kong.VersionFlag `help:"Print the version and exit."`

	Demo       demo.Command                   `cmd:"" help:"Run a whole deployment in this process, with live load and a shifting mix."`
	Engine     standincommand.EngineCommand   `cmd:"" help:"Run a stand-in of a model engine."`
	Platform   standincommand.PlatformCommand `cmd:"" help:"Run a stand-in of the platform."`
	Simulate   simulation.Command             `cmd:"" help:"Prove the promises by deterministic simulation under failure."`
	Experiment experiment.Command             `cmd:"" help:"Measure goodput and role changes against baselines."`
	Bench      bench.BenchCommand             `cmd:"" help:"Measure what agent and routers add to a request. Run it within the module."`
	Capacity   capacity.Command               `cmd:"" help:"Measure what control costs a router at growing sizes of the fleet."`
}

func main() {
	var parsed commandLine
	selected := command.Parse(name, "Stand-ins, load, simulation and experiments for granitebay.", &parsed)
	command.Exit(name, run(selected, parsed))
}

func run(selected *kong.Context, parsed commandLine) error {
	logger, err := logging.New(logging.Options{Level: parsed.LogLevel, Format: parsed.LogFormat, Process: name, Output: os.Stderr})
	if err != nil {
		return command.BadInput(err)
	}
	ctx, cancel := command.Context()
	defer cancel()
	selected.BindTo(ctx, (*context.Context)(nil))
	selected.BindTo(os.Stdout, (*io.Writer)(nil))
	return selected.Run(logger)
}
