// Package deployment describes the fleets that granitebay is built for: their zones, gateways and workers, and the example
// configuration that goes with them.
package deployment

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/configuration"
)

// The names of the deployments.
const (
	NameFes      = "fes"
	NameMagnolia = "magnolia"
)

// Worker is one engine of a deployment.
type Worker struct {
	// Name of the worker, for example "engine-a-1".
	Name string
	Zone string
	// Pool is the label by which the groups of the example select it.
	Pool string
	// Reads is set for engines that begin by reading prompts.
	Reads bool
}

// Deployment is one fleet.
type Deployment struct {
	// Name by which commands choose it.
	Name string
	// Title is the full name, for people.
	Title string
	// Zones of the fleet, all in one region.
	Zones []string
	// GatewaysPerZone and Workers of the fleet.
	GatewaysPerZone int
	Workers         []Worker
	// Service that the workers belong to, and the Model that they serve.
	Service string
	Model   string
	// Configuration is the name of the example configuration.
	Configuration string
}

// Fes is the deployment of Fès Roasters: four zones and 12 engines in one pool.
func Fes() Deployment {
	zones := zones(4)
	return Deployment{
		Name: NameFes, Title: "Fès Roasters' Subscription Router Fleet", Zones: zones, GatewaysPerZone: 1,
		Service: "roastmind", Model: "roast-verdict", Configuration: configuration.ExampleFes,
		Workers: workers(zones, []Worker{{Pool: "counter", Reads: true}, {Pool: "counter"}, {Pool: "counter"}}),
	}
}

// Magnolia is the deployment of Magnolia Pallet Commons: three zones and 18 engines in two pools.
func Magnolia() Deployment {
	zones := zones(3)
	return Deployment{
		Name: NameMagnolia, Title: "Magnolia Pallet Commons Dispatch Router Fleet", Zones: zones, GatewaysPerZone: 1,
		Service: "dispatch-llm", Model: "dispatch", Configuration: configuration.ExampleMagnolia,
		Workers: workers(zones, []Worker{
			{Pool: "dock", Reads: true}, {Pool: "dock", Reads: true}, {Pool: "dock"}, {Pool: "dock"}, {Pool: "rates", Reads: true}, {Pool: "rates"},
		}),
	}
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
	return lo.Times(count, func(index int) string { return fmt.Sprintf("zone-%c", 'a'+index) })
}

// workers places the same workers in each zone, for example engine-a-1 to engine-a-3 in zone-a.
func workers(zones []string, perZone []Worker) []Worker {
	return lo.FlatMap(zones, func(zone string, _ int) []Worker {
		return lo.Map(perZone, func(worker Worker, index int) Worker {
			worker.Zone = zone
			worker.Name = fmt.Sprintf("engine-%s-%d", strings.TrimPrefix(zone, "zone-"), index+1)
			return worker
		})
	})
}
