package experiment

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/roleplan"
)

// Names of the deployments.
const (
	DeploymentFes      = "fes"
	DeploymentMagnolia = "magnolia"
)

// deployment is the size of a fleet, what its operators weigh, and its traffic.
type deployment struct {
	name     string
	engines  int
	tenants  int
	duration time.Duration
	policy   roleplan.Policy
	classes  []class
}

// findDeployment returns a deployment by name.
func findDeployment(name string) (deployment, error) {
	switch name {
	case DeploymentFes:
		return fes(), nil
	case DeploymentMagnolia:
		return magnolia(), nil
	default:
		return deployment{}, errors.Newf("experiment: no deployment %q, there are %q and %q", name, DeploymentFes, DeploymentMagnolia)
	}
}

// workload draws the requests of one seed, with all rates multiplied by a factor.
func (d deployment) workload(seed uint64, factor float64) *Workload {
	classes := make([]class, len(d.classes))
	for index, each := range d.classes {
		each.rate = each.rate.scaled(factor)
		classes[index] = each
	}
	source := generator{seed: seed, tenants: d.tenants}
	return &Workload{
		Deployment: d.name,
		Seed:       seed,
		Duration:   d.duration,
		Engines:    d.engines,
		Policy:     d.policy,
		Requests:   source.requests(classes, d.duration),
	}
}

// fes is Fès Roasters: 12 engines. Verdicts read a blend history, whose first part is shared by all requests of one
// roaster, and answer in a few tokens. Questions are short and have longer answers. The mix swings in steps, a ramp,
// bursts of ten seconds, which are too short to be worth a change, and a wave.
func fes() deployment {
	return deployment{
		name:     DeploymentFes,
		engines:  12,
		tenants:  8,
		duration: 15 * time.Minute,
		policy: roleplan.Policy{
			Floors:      map[engine.Role]int{engine.RolePrefill: 1, engine.RoleDecode: 1},
			ChangeCost:  5,
			MinDwell:    15 * time.Second,
			MaxChanging: 6,
		},
		classes: []class{
			{
				name: "verdict", prompt: tokenRange{2500, 5500}, output: tokenRange{6, 18},
				timeLimit: 5 * time.Second, sharedPrefix: tokenRange{1000, 2500}, owners: 200,
				rate: curve{
					points: steps(
						point{0, 40}, point{150 * time.Second, 4}, point{320 * time.Second, 42},
						point{470 * time.Second, 4}, point{600 * time.Second, 4},
					).points,
					bursts: []burst{{230 * time.Second, 8 * time.Second, 20}, {540 * time.Second, 8 * time.Second, 20}},
				}.then(point{660 * time.Second, 40}, point{780 * time.Second, 40}, point{780 * time.Second, 6}),
			},
			{
				name: "question", prompt: tokenRange{40, 240}, output: tokenRange{200, 400},
				timeLimit: 14 * time.Second, owners: 400,
				rate: curve{
					points: steps(
						point{0, 4}, point{150 * time.Second, 57}, point{320 * time.Second, 4},
						point{470 * time.Second, 58}, point{600 * time.Second, 58},
					).points,
					wave: wave{period: 240 * time.Second, depth: 0.06},
				}.then(point{660 * time.Second, 5}, point{780 * time.Second, 5}, point{780 * time.Second, 54}),
			},
		},
	}
}

// magnolia is Magnolia Pallet Commons: 18 engines. Manifest reviews read long manifests and answer with a summary before
// loading; rate checks are short, and the caller waits for them. Reviews come in night windows: bursts before each loading.
func magnolia() deployment {
	return deployment{
		name:     DeploymentMagnolia,
		engines:  18,
		tenants:  6,
		duration: 15 * time.Minute,
		policy: roleplan.Policy{
			Floors:      map[engine.Role]int{engine.RolePrefill: 2, engine.RoleDecode: 2},
			ChangeCost:  60,
			MinDwell:    60 * time.Second,
			MaxChanging: 2,
		},
		classes: []class{
			{
				name: "review", prompt: tokenRange{6000, 16000}, output: tokenRange{40, 120},
				timeLimit: 15 * time.Second, sharedPrefix: tokenRange{500, 2000}, owners: 60,
				rate: curve{
					points: steps(
						point{0, 3}, point{150 * time.Second, 14}, point{400 * time.Second, 3}, point{650 * time.Second, 14},
					).points,
					bursts: []burst{
						{60 * time.Second, 15 * time.Second, 6}, {480 * time.Second, 20 * time.Second, 7},
						{560 * time.Second, 20 * time.Second, 7},
					},
					wave: wave{period: 300 * time.Second, depth: 0.1},
				},
			},
			{
				name: "rate-check", prompt: tokenRange{60, 200}, output: tokenRange{60, 180},
				timeLimit: 6 * time.Second, priority: 1, owners: 300,
				rate: curve{
					points: steps(
						point{0, 110}, point{150 * time.Second, 20}, point{400 * time.Second, 115}, point{650 * time.Second, 20},
					).points,
					wave: wave{period: 200 * time.Second, depth: 0.1},
				},
			},
		},
	}
}
