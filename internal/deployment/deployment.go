// Package deployment describes the fleets that granitebay is built for: their zones, machines, delays and the example
// configuration that goes with them.
package deployment

import (
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/configuration"
)

// The names of the deployments.
const (
	NameFes      = "fes"
	NameMagnolia = "magnolia"
)

const (
	// routersPerZone is the same in all deployments.
	routersPerZone = 2
	zonePrefix     = "zone-"
)

// Machine is one machine of a deployment, which runs one process.
type Machine struct {
	// Name of the process, unique in the fleet, for example "engine-a-1".
	Name string
	// Zone in which it runs, for example "zone-a".
	Zone string
}

// Deployment is one fleet.
type Deployment struct {
	// Name by which commands choose it.
	Name string
	// Title is the full name, for people.
	Title string
	// Zones of the fleet, all in one region.
	Zones []string
	// ZoneDelay is the delay one way between two zones, and ClientDelay the one between a client and any machine.
	ZoneDelay   time.Duration
	ClientDelay time.Duration
	Routers     []Machine
	Engines     []Machine
	// Agents run beside the callers: the counter applications, or the dock schedulers.
	Agents []Machine
	// Configuration is the name of the example configuration.
	Configuration string
	// Model that the engines serve.
	Model string
}

// Fes is the deployment of Fès Roasters: four zones, 12 engines and 4 counter applications.
func Fes() Deployment {
	deployment := Deployment{
		Name:          NameFes,
		Title:         "Fès Roasters' Subscription Router Fleet",
		Zones:         zones(4),
		ZoneDelay:     1500 * time.Microsecond,
		ClientDelay:   3 * time.Millisecond,
		Configuration: configuration.ExampleFes,
		Model:         "roast-verdict",
	}
	return deployment.populated(3, 1)
}

// Magnolia is the deployment of Magnolia Pallet Commons: three zones, 18 engines and 3 dock schedulers.
func Magnolia() Deployment {
	deployment := Deployment{
		Name:          NameMagnolia,
		Title:         "Magnolia Pallet Commons Dispatch Router Fleet",
		Zones:         zones(3),
		ZoneDelay:     500 * time.Microsecond,
		ClientDelay:   3 * time.Millisecond,
		Configuration: configuration.ExampleMagnolia,
		Model:         "dispatch",
	}
	return deployment.populated(6, 1)
}

// All lists the deployments.
func All() []Deployment { return []Deployment{Fes(), Magnolia()} }

// Names lists the names of the deployments.
func Names() []string {
	return lo.Map(All(), func(deployment Deployment, _ int) string { return deployment.Name })
}

// ErrUnknown is the error for a deployment that does not exist.
var ErrUnknown = errors.New("unknown deployment")

// Find returns the deployment of a name. The error names the value and what is allowed.
func Find(name string) (Deployment, error) {
	found, ok := lo.Find(All(), func(deployment Deployment) bool { return deployment.Name == name })
	if !ok {
		return Deployment{}, errors.Wrapf(ErrUnknown, "deployment is %q, allowed are %s", name, strings.Join(Names(), ", "))
	}
	return found, nil
}

// zones names zones by the letters of the alphabet.
func zones(count int) []string {
	return lo.Times(count, func(index int) string { return fmt.Sprintf("%s%c", zonePrefix, 'a'+index) })
}

// populated adds the machines: so many engines and agents in each zone.
func (d Deployment) populated(engines, agents int) Deployment {
	d.Routers = d.machines("router", routersPerZone)
	d.Engines = d.machines("engine", engines)
	d.Agents = d.machines("agent", agents)
	return d
}

// machines makes machines of one kind, zone by zone, for example engine-a-1 to engine-a-3 in zone-a.
func (d Deployment) machines(kind string, perZone int) []Machine {
	return lo.FlatMap(d.Zones, func(zone string, _ int) []Machine {
		return lo.Times(perZone, func(index int) Machine {
			name := fmt.Sprintf("%s-%s-%d", kind, strings.TrimPrefix(zone, zonePrefix), index+1)
			return Machine{Name: name, Zone: zone}
		})
	})
}
