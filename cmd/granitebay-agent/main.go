// Command granitebay-agent runs beside a caller: it takes the caller's requests over HTTP, keeps them alive through routers
// that come and go, and gives each exactly one true outcome.
package main

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/agentprogram"
	"github.com/granitebay/granitebay/internal/command"
	"github.com/granitebay/granitebay/internal/settings"
)

const name = "granitebay-agent"

// flags are the flags of the program. Each goes over the field of the settings file.
type flags struct {
	Settings      string            `help:"Settings file (YAML)." type:"path"`
	Name          string            `help:"Name of the agent, unique in the fleet."`
	Zone          string            `help:"Zone in which it runs."`
	ListenPeers   string            `help:"host:port for routers."`
	ListenCallers string            `help:"host:port for callers, health and metrics."`
	Router        map[string]string `help:"A router that the agent may use, as NAME=ZONE/HOST:PORT. All of them go in place of those in the file."`
	Tenant        string            `help:"Tenant of requests that name none."`
	LogLevel      string            `help:"debug, info, warn or error."`
	LogFormat     string            `help:"text or json."`
	Set           map[string]string `help:"Any field of the settings, as PATH=YAML."`
	Version       kong.VersionFlag  `help:"Print the version and exit."`
}

// overrides maps flags to fields of the settings.
func (f flags) overrides() map[string]string {
	return command.Overrides(map[string]string{
		"name":           f.Name,
		"zone":           f.Zone,
		"listenPeers":    f.ListenPeers,
		"listenCallers":  f.ListenCallers,
		"routers":        f.routers(),
		"defaultTenant":  f.Tenant,
		"logging.level":  f.LogLevel,
		"logging.format": f.LogFormat,
	}, f.Set)
}

// routers writes the routers of the flags as the settings have them; empty when there are none.
func (f flags) routers() string {
	if len(f.Router) == 0 {
		return ""
	}
	peers := lo.Map(slices.Sorted(maps.Keys(f.Router)), func(router string, _ int) settings.Peer {
		zone, address, _ := strings.Cut(f.Router[router], "/")
		return settings.Peer{Name: router, Zone: zone, Address: address}
	})
	// A list of strings always has a JSON form.
	data, _ := json.Marshal(peers)
	return string(data)
}

func main() {
	var parsed flags
	command.Parse(name, "Takes the requests of a caller and brings each through the routers to its outcome.", &parsed)
	command.Exit(name, run(parsed))
}

func run(parsed flags) error {
	loaded := settings.DefaultAgentSettings()
	if err := settings.Load(parsed.Settings, parsed.overrides(), loaded); err != nil {
		return err
	}
	logger, err := command.Logger(loaded.Process)
	if err != nil {
		return err
	}
	program, err := agentprogram.Start(agentprogram.Options{Settings: *loaded, Logger: logger, Version: command.Version()})
	if err != nil {
		return err
	}
	return command.RunUntilStopped(program, loaded.StopTimeout.Duration())
}
