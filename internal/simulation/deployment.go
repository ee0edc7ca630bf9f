package simulation

import (
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/platform"
)

// Machine is one machine of a deployment.
type Machine struct {
	Name    string
	Kind    platform.MemberKind
	Zone    string
	Address string
	Labels  map[string]string
}

// Deployment gives the sizes, zones and delays of a fleet.
type Deployment struct {
	Name  string
	Zones []string
	// ZoneDelay is the one-way delay between two zones, ClientDelay that between an agent and any machine.
	ZoneDelay   time.Duration
	ClientDelay time.Duration
	Routers     []Machine
	Engines     []Machine
	Agents      []Machine
	// Model that all engines start with.
	Model string
	// RoleChangeCost weighs a role change against goodput: Magnolia's is high.
	RoleChangeCost float64
}

// Sizes that both deployments share.
const (
	routersPerZone = 2
	// localDelay is the one-way delay within a zone.
	localDelay = 200 * time.Microsecond
)

// Fes is the deployment of Fès Roasters.
func Fes() Deployment {
	deployment := Deployment{Name: "fes", Zones: []string{"a", "b", "c", "d"}, ZoneDelay: 1500 * time.Microsecond,
		ClientDelay: 3 * time.Millisecond, Model: "roast-verdict", RoleChangeCost: 1}
	return deployment.populated(12, 4)
}

// Magnolia is the deployment of Magnolia Pallet Commons.
func Magnolia() Deployment {
	deployment := Deployment{Name: "magnolia", Zones: []string{"a", "b", "c"}, ZoneDelay: 500 * time.Microsecond,
		ClientDelay: 3 * time.Millisecond, Model: "manifest-review", RoleChangeCost: 10}
	return deployment.populated(18, 3)
}

// Deployments lists the deployments by name.
func Deployments() []Deployment { return []Deployment{Fes(), Magnolia()} }

// ErrDeployment is the error for a deployment that does not exist.
var ErrDeployment = errors.New("unknown deployment")

// FindDeployment returns the deployment of a name.
func FindDeployment(name string) (Deployment, error) {
	found, ok := lo.Find(Deployments(), func(deployment Deployment) bool { return deployment.Name == name })
	if !ok {
		names := lo.Map(Deployments(), func(deployment Deployment, _ int) string { return deployment.Name })
		return Deployment{}, errors.Wrapf(ErrDeployment, "--deployment: %q is not one of %s", name, strings.Join(names, ","))
	}
	return found, nil
}

// populated adds the machines, spread evenly over the zones.
func (d Deployment) populated(engines, agents int) Deployment {
	d.Routers = d.machines("router", platform.MemberRouter, routersPerZone*len(d.Zones))
	d.Engines = d.machines("engine", platform.MemberEngine, engines)
	d.Agents = d.machines("agent", platform.MemberAgent, agents)
	return d
}

// machines makes machines of one kind, zone after zone.
func (d Deployment) machines(prefix string, kind platform.MemberKind, count int) []Machine {
	return lo.Times(count, func(index int) Machine {
		zone := d.Zones[index%len(d.Zones)]
		name := fmt.Sprintf("%s-%s-%d", prefix, zone, index/len(d.Zones)+1)
		labels := map[string]string{"zone": zone, "model": d.Model}
		return Machine{Name: name, Kind: kind, Zone: zone, Address: name + ":7400", Labels: labels}
	})
}

// names returns the names of machines.
func names(machines []Machine) []string {
	return lo.Map(machines, func(machine Machine, _ int) string { return machine.Name })
}

// zonesOf returns the zones of machines by name.
func zonesOf(machines []Machine) map[string]string {
	return lo.SliceToMap(machines, func(machine Machine) (string, string) { return machine.Name, machine.Zone })
}
