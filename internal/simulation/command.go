package simulation

import (
	"context"
	"fmt"
	"io"
	"runtime"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Command is the command line of the simulation.
type Command struct {
	Deployment string `default:"fes" help:"Deployment to simulate: fes or magnolia."`
	Seed       uint64 `default:"1" help:"First seed, 1 or more."`
	Seeds      int    `default:"200" help:"Number of seeds."`
	Faults     string `default:"all" help:"Kinds of faults with commas between them, or all."`
	Verbose    bool   `help:"Print a line for each seed."`
}

// ErrViolations is the error of a simulation that found a broken promise.
var ErrViolations = errors.New("a promise was broken")

// ErrSeeds is the error for seeds out of range.
var ErrSeeds = errors.New("seeds out of range")

// Run runs the seeds in parallel and prints what is broken, and the summary on the last line.
func (c *Command) Run(ctx context.Context, out io.Writer) error {
	deployment, err := FindDeployment(c.Deployment)
	if err != nil {
		return err
	}
	kinds, err := ParseFaultKinds(c.Faults)
	if err != nil {
		return err
	}
	if c.Seed < 1 || c.Seeds < 1 {
		return errors.Wrapf(ErrSeeds, "--seed %d --seeds %d: both must be 1 or more", c.Seed, c.Seeds)
	}
	results, err := c.runSeeds(ctx, deployment, kinds)
	if err != nil {
		return err
	}
	if c.Verbose {
		for _, result := range results {
			writeLine(out, result)
		}
	}
	reportViolations(out, deployment, kinds, results)
	summary := summarize(deployment, results)
	if err := writeSummary(out, summary); err != nil {
		return errors.Wrap(err, "simulate: print the summary")
	}
	if summary.Violations > 0 {
		return errors.Wrapf(ErrViolations, "simulate %s: %d violations in %d seeds", deployment.Name, summary.Violations, len(results))
	}
	return nil
}

// runSeeds runs the seeds over all cores. The results are in order of seed. Histories of sound runs are let go.
func (c *Command) runSeeds(ctx context.Context, deployment Deployment, kinds []FaultKind) ([]Result, error) {
	results := make([]Result, c.Seeds)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(runtime.GOMAXPROCS(0))
	for index := range results {
		group.Go(func() error {
			if err := ctx.Err(); err != nil {
				return errors.Wrapf(err, "simulate: seed %d", c.Seed+uint64(index))
			}
			results[index] = Run(c.Seed+uint64(index), deployment, kinds)
			if len(results[index].Violations) == 0 {
				results[index].History = nil
			}
			return nil
		})
	}
	return results, group.Wait()
}

// reportViolations prints the first violation of each promise, with the faults that it takes.
func reportViolations(out io.Writer, deployment Deployment, kinds []FaultKind, results []Result) {
	reported := map[Promise]bool{}
	for _, result := range results {
		for _, violation := range result.Violations {
			if reported[violation.Promise] {
				continue
			}
			reported[violation.Promise] = true
			shrunk := shrink(result, violation.Promise, func(schedule []Fault) Result {
				return runSchedule(result.Seed, deployment, schedule)
			})
			writeViolation(out, deployment, kinds, shrunk, violation.Promise)
		}
	}
}

// writeLine prints one line for a seed.
func writeLine(out io.Writer, result Result) {
	_, _ = fmt.Fprintf(out, "seed %d: %d requests, %d of %d answered, %d changes, %d edits, %d violations, %d events, trace %s\n",
		result.Seed, result.Requests, result.AnsweredOfCould, result.Could, result.Changes, result.Edits, len(result.Violations),
		result.Events, formatDigest(result.Trace))
	for _, violation := range result.Violations {
		_, _ = fmt.Fprintf(out, "  %s\n", violation)
	}
}
