// Command granitebay-router runs one router. All routers of a fleet are alike.
package main

import (
	"github.com/alecthomas/kong"

	"github.com/granitebay/granitebay/internal/command"
	"github.com/granitebay/granitebay/internal/routerprogram"
	"github.com/granitebay/granitebay/internal/settings"
)

const name = "granitebay-router"

// flags are the flags of the program. Each goes over the field of the settings file.
type flags struct {
	Settings    string            `help:"Settings file (YAML)." type:"path"`
	Name        string            `help:"Name of the router, unique in the fleet."`
	Zone        string            `help:"Zone in which it runs."`
	ListenPeers string            `help:"host:port for other processes."`
	ListenAdmin string            `help:"host:port for operators, health and metrics."`
	Platform    string            `help:"URL of the platform."`
	LogLevel    string            `help:"debug, info, warn or error."`
	LogFormat   string            `help:"text or json."`
	Set         map[string]string `help:"Any field of the settings, as PATH=YAML."`
	Version     kong.VersionFlag  `help:"Print the version and exit."`
}

// overrides maps flags to fields of the settings.
func (f flags) overrides() map[string]string {
	overrides := map[string]string{
		"name":              f.Name,
		"zone":              f.Zone,
		"listenPeers":       f.ListenPeers,
		"listenAdmin":       f.ListenAdmin,
		"platform.endpoint": f.Platform,
		"logging.level":     f.LogLevel,
		"logging.format":    f.LogFormat,
	}
	return command.Overrides(overrides, f.Set)
}

func main() {
	var parsed flags
	command.Parse(name, "Routes requests to model engines and decides the roles of the engines.", &parsed)
	command.Exit(name, run(parsed))
}

func run(parsed flags) error {
	loaded := settings.DefaultRouterSettings()
	if err := settings.Load(parsed.Settings, parsed.overrides(), loaded); err != nil {
		return err
	}
	logger, err := command.Logger(loaded.Process)
	if err != nil {
		return err
	}
	program, err := routerprogram.Start(routerprogram.Options{Settings: *loaded, Logger: logger})
	if err != nil {
		return err
	}
	return command.RunUntilStopped(program, loaded.StopTimeout.Duration())
}
