// Command granitebay-lab contains development tools: the demo, and simulators of the store and the workers.
package main

import (
	"context"
	"io"
	"os"

	"github.com/alecthomas/kong"

	"github.com/granitebay/granitebay/internal/command"
	"github.com/granitebay/granitebay/internal/demo"
	"github.com/granitebay/granitebay/internal/labfleet"
	"github.com/granitebay/granitebay/internal/logging"
	"github.com/granitebay/granitebay/internal/soak"
	"github.com/granitebay/granitebay/internal/store"
	"github.com/granitebay/granitebay/platform"
)

const name = "granitebay-lab"

// commandLine is the command line of the program.
type commandLine struct {
	LogLevel  string           `default:"info" enum:"debug,info,warn,error" help:"Lowest level that is logged."`
	LogFormat string           `default:"text" enum:"text,json" help:"Log format."`
	Version   kong.VersionFlag `help:"Print the version and exit."`

	Demo  demo.Command     `cmd:"" help:"Run a complete deployment in this process under a changing load."`
	Fleet labfleet.Command `cmd:"" help:"Run simulators of the store and the workers of a deployment."`
	Soak  soak.Command     `cmd:"" help:"Run gateways as processes, inject faults and check invariants."`
}

func main() {
	var parsed commandLine
	selected := command.Parse(name, "Simulators, load generation and fault-injection tests for granitebay.", &parsed)
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
	newStore := func(address string) store.Store { return platform.NewStore(address) }
	return selected.Run(logger, demo.Surroundings{NewGateway: platform.NewGateway, NewStore: newStore}, labfleet.Connect(newStore))
}
