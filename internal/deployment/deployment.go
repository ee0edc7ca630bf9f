// Package deployment describes the fleets that granitebay is deployed to: their zones, gateways and workers, and the example
// configuration of each.
package deployment

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/configuration"
)

// Names of the deployments.
const (
	NameFes      = "fes"
	NameMagnolia = "magnolia"
)

// Worker is one inference engine of a deployment.
type Worker struct {
	// Name of the worker, for example "engine-a-1".
	Name string
	// Zone that the worker runs in.
	Zone string
	// Pool is the label value by which the groups of the example configuration select the worker.
	Pool string
	// Prefill is set for engines that start in the prefill role; all others start in the decode role.
	Prefill bool
}

// Deployment is a fleet of gateways and workers that granitebay is configured for.
type Deployment struct {
	// Name by which command lines select the deployment.
	Name string
	// Title is the full display name.
	Title string
	// Zones of the fleet, all in one region.
	Zones []string
	// GatewaysPerZone is the number of gateways in each zone.
	GatewaysPerZone int
	// Workers of the fleet, by zone.
	Workers []Worker
	// Service that the workers belong to.
	Service string
	// Model that the workers serve.
	Model string
	// Configuration is the name of the example configuration.
	Configuration string
}

// Fes is the deployment of Fès Roasters: four zones and 12 engines in one pool.
func Fes() Deployment {
	zones := zones(4)
	return Deployment{
		Name: NameFes, Title: "Fès Roasters' Subscription Router Fleet", Zones: zones, GatewaysPerZone: 1,
		Service: "roastmind", Model: "roast-verdict", Configuration: configuration.ExampleFes,
		Workers: workers(zones, []Worker{{Pool: "counter", Prefill: true}, {Pool: "counter"}, {Pool: "counter"}}),
	}
}

// Magnolia is the deployment of Magnolia Pallet Commons: three zones and 18 engines in two pools.
func Magnolia() Deployment {
	zones := zones(3)
	return Deployment{
		Name: NameMagnolia, Title: "Magnolia Pallet Commons Dispatch Router Fleet", Zones: zones, GatewaysPerZone: 1,
		Service: "dispatch-llm", Model: "dispatch", Configuration: configuration.ExampleMagnolia,
		Workers: workers(zones, []Worker{
			{Pool: "dock", Prefill: true}, {Pool: "dock", Prefill: true}, {Pool: "dock"}, {Pool: "dock"}, {Pool: "rates", Prefill: true}, {Pool: "rates"},
		}),
	}
}

// All returns all deployments.
func All() []Deployment { return []Deployment{Fes(), Magnolia()} }

// Names returns the names of all deployments.
func Names() []string {
	return lo.Map(All(), func(deployment Deployment, _ int) string { return deployment.Name })
}

// ErrUnknown is returned by Find for a name that no deployment has.
var ErrUnknown = errors.New("unknown deployment")

// Find returns the deployment with the given name. The error lists the allowed names.
func Find(name string) (Deployment, error) {
	found, ok := lo.Find(All(), func(deployment Deployment) bool { return deployment.Name == name })
	if !ok {
		return Deployment{}, errors.Wrapf(ErrUnknown, "deployment %q, want one of %s", name, strings.Join(Names(), ", "))
	}
	return found, nil
}

// zones returns zone names in alphabetical order: zone-a, zone-b and so on.
func zones(count int) []string {
	return lo.Times(count, func(index int) string { return fmt.Sprintf("zone-%c", 'a'+index) })
}

// workers returns the same set of workers for each zone, for example engine-a-1 to engine-a-3 in zone-a.
func workers(zones []string, perZone []Worker) []Worker {
	return lo.FlatMap(zones, func(zone string, _ int) []Worker {
		return lo.Map(perZone, func(worker Worker, index int) Worker {
			worker.Zone = zone
			worker.Name = fmt.Sprintf("engine-%s-%d", strings.TrimPrefix(zone, "zone-"), index+1)
			return worker
		})
	})
}
