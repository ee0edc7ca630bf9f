// Package demo runs a whole deployment in one process under a generated load with a shifting mix. It prints one line per second
// with the request counts and latencies, the worker roles and the reasons for role changes.
package demo

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/deployment"
)

const (
	// lineInterval is the time between status lines.
	lineInterval = time.Second
	// startTimeout bounds the start of the deployment.
	startTimeout = 30 * time.Second
	// drainingMix replaces the mix once no more requests are sent.
	drainingMix = "no new requests, waiting for answers"
)

// Command is the command line of the demo.
type Command struct {
	Deployment string        `default:"fes" help:"Deployment to run: fes or magnolia."`
	For        time.Duration `help:"How long to send requests, for example 10s. The demo then waits for the answers and prints a summary. By default it runs until Ctrl-C."`
	Seed       uint64        `default:"1" help:"Seed of the generated requests."`
	Rate       float64       `default:"1" help:"Factor applied to the request rate."`
	// A speed above 1 leaves enough headroom that a rush causes few late answers.
	EngineSpeed float64 `default:"1.5" help:"Factor applied to the speed of the engines."`
}

// ErrGuaranteeViolated is returned if a guarantee was violated.
var ErrGuaranteeViolated = errors.New("a guarantee was violated")

// Validate checks the flag values and returns all problems at once.
func (c *Command) Validate() error {
	_, err := deployment.Find(c.Deployment)
	problems := errors.Wrap(err, "--deployment")
	if c.For < 0 {
		problems = errors.Join(problems, errors.Newf("--for is %s, must not be negative", c.For))
	}
	if c.Rate <= 0 {
		problems = errors.Join(problems, errors.Newf("--rate is %g, must be greater than 0", c.Rate))
	}
	if c.EngineSpeed <= 0 {
		problems = errors.Join(problems, errors.Newf("--engine-speed is %g, must be greater than 0", c.EngineSpeed))
	}
	return problems
}

// Run runs the demo until the configured time is over or the context ends. The last line of output is the summary in JSON.
func (c *Command) Run(ctx context.Context, out io.Writer, factories Surroundings, logger *logrus.Logger) error {
	spec, err := deployment.Find(c.Deployment)
	if err != nil {
		return err
	}
	workload, err := workloadFor(spec.Name)
	if err != nil {
		return err
	}
	screen := display{out: out, workload: workload}
	screen.introduction(spec)
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	sys, err := startSystem(starting, spec, c.EngineSpeed, factories, warningsOnly(logger))
	if err != nil {
		return err
	}
	defer sys.stop()
	stats, roleChanges := newStats(), &roleChangeLog{}
	sys.followDecisions(roleChanges.record)
	screen.ready(spec, sys)
	c.serve(ctx, screen, newLoadGenerator(c.Seed, c.Rate, workload, spec.Model, sys, stats), sys, roleChanges)
	final := stats.nextSnapshot(time.Now())
	screen.failures(final.failures)
	final.summary.DuplicateRuns = stats.duplicateRuns(sys.fleet.RunCounts())
	final.summary.FalseNotRun = stats.falseNotRun(sys.fleet.RunCounts())
	final.summary.RoleChanges = sys.fleet.OrderCount()
	return screen.finish(final.summary)
}

// serve sends requests and prints status lines until the time is over and all requests have ended.
func (c *Command) serve(ctx context.Context, screen display, generator *loadGenerator, sys *system, roleChanges *roleChangeLog) {
	started := time.Now()
	if c.For > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.For)
		defer cancel()
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		generator.run(ctx, started)
		generator.wait()
	}()
	ticker := time.NewTicker(lineInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			mix := drainingMix
			if ctx.Err() == nil {
				mix = screen.mix(now.Sub(started))
			}
			screen.line(now.Sub(started), mix, generator.stats.nextSnapshot(now), countRoles(sys.fleet))
			screen.roleChanges(roleChanges.drain())
		case <-done:
			return
		}
	}
}

// warningsOnly returns a logger that suppresses info messages, unless a more detailed level is set.
func warningsOnly(logger *logrus.Logger) *logrus.Logger {
	quiet := logrus.New()
	quiet.SetOutput(logger.Out)
	quiet.SetFormatter(logger.Formatter)
	quiet.SetLevel(logger.GetLevel())
	if logger.GetLevel() == logrus.InfoLevel {
		quiet.SetLevel(logrus.WarnLevel)
	}
	return quiet
}

// finish prints the summary, with JSON on the last line, and returns an error if a guarantee was violated.
func (d display) finish(total summary) error {
	d.totals(total)
	text, err := json.Marshal(total)
	if err != nil {
		return errors.Wrap(err, "encode the summary")
	}
	d.printf("%s", text)
	if !total.guaranteesKept() {
		return errors.Wrapf(ErrGuaranteeViolated, "demo: %d wrong answers, %d duplicate runs, %d requests without a reported outcome, %d executed although reported as not run",
			total.WrongAnswers, total.DuplicateRuns, total.Unreported, total.FalseNotRun)
	}
	return nil
}
