// Command granitebay-lab holds what developers and newcomers need: the demo, and stand-ins of the store and the workers.
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

// commandLine is the command line of the lab.
type commandLine struct {
	LogLevel  string           `default:"info" enum:"debug,info,warn,error" help:"Least level that is logged."`
	LogFormat string           `default:"text" enum:"text,json" help:"Format of logs."`
	Version   kong.VersionFlag `help:"Print the version and exit."`

	Demo  demo.Command     `cmd:"" help:"Run a whole deployment in this process, with live load and a shifting mix."`
	Fleet labfleet.Command `cmd:"" help:"Run stand-ins of the store and the workers of a deployment."`
	Soak  soak.Command     `cmd:"" help:"Run gateways as processes under faults and check the rules."`
}

func main() {
	var parsed commandLine
	selected := command.Parse(name, "Stand-ins, live load and tests under failure for granitebay.", &parsed)
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
