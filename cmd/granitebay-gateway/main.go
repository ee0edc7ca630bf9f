// Command granitebay-gateway runs a gateway: it directs callers to gateways and forwards their requests to workers.
package main

import (
	"os"
	"runtime/debug"

	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/command"
	"github.com/granitebay/granitebay/internal/gateway"
	"github.com/granitebay/granitebay/internal/logging"
	"github.com/granitebay/granitebay/internal/settings"
	"github.com/granitebay/granitebay/platform"
)

const name = "granitebay-gateway"

// logBufferLines is how many log lines are buffered for a slow output.
const logBufferLines = 512

// flags are the command-line flags.
type flags struct {
	Settings string           `help:"Settings file (YAML)." env:"${settings_variable}" required:"" type:"path"`
	Check    bool             `help:"Check the settings and exit."`
	Version  kong.VersionFlag `help:"Print the version."`
}

func main() {
	var parsed flags
	command.Parse(name, "Forwards requests of callers to workers.", &parsed, kong.Vars{"settings_variable": settings.PathVariable})
	command.Exit(name, run(parsed))
}

func run(parsed flags) error {
	// Signals are handled before callers can connect, because each would otherwise end the process with all its connections.
	command.IgnoreBrokenOutput()
	hangups := command.NotifyHangup()
	ctx, stop := command.Context()
	defer stop()
	config, err := settings.Load(parsed.Settings)
	if err != nil || parsed.Check {
		return command.BadInput(err)
	}
	output := logging.NewAsyncWriter(os.Stdout, logBufferLines)
	defer output.Close()
	logger, err := logging.New(logging.Options{
		Level: config.LogLevel, Format: logging.FormatText, Process: config.Name, Output: output,
	})
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(config.CollectorLimit())
	program := platform.NewGateway(*config, logger)
	if err := program.Start(); err != nil {
		return err
	}
	command.OnChange(ctx, hangups, parsed.Settings, func() { reload(parsed.Settings, program, logger) })
	program.Stop()
	return nil
}

// reload applies the settings file again. Invalid settings are logged and ignored.
func reload(path string, program *gateway.Gateway, logger *logrus.Logger) {
	config, err := settings.Load(path)
	if err != nil {
		logging.Component(logger, "gateway").WithError(err).Error("The settings can't be loaded; the previous settings stay in use.")
		return
	}
	program.Reload(*config)
}
