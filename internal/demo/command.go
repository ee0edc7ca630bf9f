// Package demo is the main job of a newcomer: a whole deployment in one process with live load whose mix shifts, and a
// line a second that says who served what, which engines change their role, and why.
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
	// lineInterval is the time between two lines.
	lineInterval = time.Second
	// startTimeout bounds the start of the deployment.
	startTimeout = 30 * time.Second
	// noMix stands for the mix when no more requests are sent.
	drainingMix = "no new requests, waiting for answers"
)

// Command is the command line of the demo.
type Command struct {
	Deployment string        `default:"fes" help:"Deployment to run: fes or magnolia."`
	For        time.Duration `help:"Time to send requests, for example 10s; then wait for the answers and print a summary. By default until Ctrl-C."`
	Seed       uint64        `default:"1" help:"Decides the requests and the faults of the stand-ins."`
	Rate       float64       `default:"1" help:"Factor on the requests a second."`
	// EngineSpeed above 1 leaves room to watch a rush without many late answers.
	EngineSpeed float64 `default:"1.5" help:"Factor on the speed of the engines."`
}

// ErrPromiseBroken is the error of a demo in which a promise was broken.
var ErrPromiseBroken = errors.New("a promise was broken")

// Validate checks what the types of the flags cannot say. The error names everything that is wrong.
func (c *Command) Validate() error {
	_, err := deployment.Find(c.Deployment)
	problems := errors.Wrap(err, "--deployment")
	if c.For < 0 {
		problems = errors.Join(problems, errors.Newf("--for is %s, allowed is 0 or more", c.For))
	}
	if c.Rate <= 0 {
		problems = errors.Join(problems, errors.Newf("--rate is %g, allowed is more than 0", c.Rate))
	}
	if c.EngineSpeed <= 0 {
		problems = errors.Join(problems, errors.Newf("--engine-speed is %g, allowed is more than 0", c.EngineSpeed))
	}
	return problems
}

// Run runs the demo until the time is over or the context ends. The last line is the summary as JSON.
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

// serve sends the load and prints a line a second, until the time is over and the answers are here.
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

// quieter returns a logger without the messages that every start gives, unless details were asked for.
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

// end prints the summary, as JSON on the last line, and tells whether all is well.
func (d display) finish(total summary) error {
	d.totals(total)
	text, err := json.Marshal(total)
	if err != nil {
		return errors.Wrap(err, "encode the summary")
	}
	d.printf("%s", text)
	if !total.allKept() {
		return errors.Wrapf(ErrPromiseBroken, "demo: %d wrong answers, %d duplicate runs, %d requests without an outcome, %d run although not run",
			total.WrongAnswers, total.DuplicateRuns, total.Unreported, total.FalseNotRun)
	}
	return nil
}
