package experiment

import (
	"context"
	"io"
	"runtime"

	"github.com/samber/lo"
)

// Command is the command line of the experiments, for kong. Run of its parts wants a context and a writer bound.
type Command struct {
	MixShift MixShiftCommand `cmd:"" name:"mix-shift" help:"Goodput and role changes while the mix of prompts and answers swings, against baselines."`
	Overload OverloadCommand `cmd:"" help:"Goodput as the load grows beyond what the fleet can do."`
	Flood    FloodCommand    `cmd:"" help:"What tenants within their share lose to one that floods."`
}

// Options are what all experiments take.
type Options struct {
	Deployment string  `enum:"fes,magnolia" default:"fes" help:"Deployment whose fleet and traffic are run: ${enum}."`
	Seed       uint64  `default:"1" help:"Seed of the workload."`
	Seeds      int     `default:"1" help:"Number of seeds to run, from the first on."`
	Load       float64 `default:"1" help:"Factor on the rates of all arrivals."`
	Report     string  `help:"File for an HTML page with plots of the first seed." type:"path"`
	Parallel   int     `help:"Number of runs at once; half of the processors if not given."`
}

func (o *Options) parallel() int {
	if o.Parallel > 0 {
		return o.Parallel
	}
	return max(1, runtime.GOMAXPROCS(0)/2)
}

// MixShiftCommand compares policies while the mix swings.
type MixShiftCommand struct {
	Options  `embed:""`
	Policies []string `help:"Policies or single variants to run; all if not given."`
}

// Run runs the experiment and writes tables and, as the last line, JSON.
func (c *MixShiftCommand) Run(ctx context.Context, out io.Writer) error {
	place, err := findDeployment(c.Deployment)
	if err != nil {
		return err
	}
	var comparisons []*comparison
	for offset := range max(1, c.Seeds) {
		workload := place.workload(c.Seed+uint64(offset), c.Load)
		compared, err := compare(ctx, workload, c.variants(workload), c.parallel())
		if err != nil {
			return err
		}
		if err := writeTable(out, compared); err != nil {
			return err
		}
		comparisons = append(comparisons, compared)
	}
	line := summarize(comparisons)
	if err := writeRatios(out, line); err != nil {
		return err
	}
	if c.Report != "" {
		if err := writeReport(c.Report, comparisons[0]); err != nil {
			return err
		}
	}
	return writeJSON(out, line)
}

func (c *MixShiftCommand) variants(workload *Workload) []variant {
	all := []variant{
		{family: PolicyGranitebay, policy: granitebayPolicy(workload)},
		{family: PolicyDispatchCore, policy: dispatchCorePolicy(workload)},
	}
	all = append(all, reactivePolicies(workload)...)
	all = append(all, staticPolicies(workload)...)
	all = append(all, clairvoyantPolicies(workload)...)
	all = append(all, placementBaselines(workload)...)
	all = append(all, ablations(workload)...)
	if len(c.Policies) == 0 {
		return all
	}
	return lo.Filter(all, func(each variant, _ int) bool {
		return lo.Contains(c.Policies, each.family) || lo.Contains(c.Policies, each.policy.name)
	})
}
