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
	noMix = "no new requests, waiting for answers"
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
func (c *Command) Run(ctx context.Context, out io.Writer, around Surroundings, logger *logrus.Logger) error {
	chosen, err := deployment.Find(c.Deployment)
	if err != nil {
		return err
	}
	work, err := workloadOf(chosen.Name)
	if err != nil {
		return err
	}
	show := display{out: out, workload: work}
	show.introduction(chosen)
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	running, err := startSystem(starting, chosen, c.EngineSpeed, around, quieter(logger))
	if err != nil {
		return err
	}
	defer running.stop()
	counts, sentences := newTally(), &changes{}
	running.follow(sentences.note)
	show.ready(chosen, running)
	c.serve(ctx, show, newLoad(c.Seed, c.Rate, work, chosen.Model, running, counts), running, sentences)
	last := counts.take(time.Now())
	show.troubles(last.troubles)
	last.summary.DuplicateRuns = counts.duplicates(running.fleet.RunCounts())
	last.summary.FalseNotRun = counts.falseNotRun(running.fleet.RunCounts())
	last.summary.RoleChanges = running.fleet.OrderCount()
	return show.end(last.summary)
}

// serve sends the load and prints a line a second, until the time is over and the answers are here.
func (c *Command) serve(ctx context.Context, show display, sending *load, running *system, sentences *changes) {
	started := time.Now()
	if c.For > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.For)
		defer cancel()
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		sending.run(ctx, started)
		sending.wait()
	}()
	ticker := time.NewTicker(lineInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			mix := noMix
			if ctx.Err() == nil {
				mix = show.mix(now.Sub(started))
			}
			show.line(now.Sub(started), mix, sending.tally.take(now), rolesOf(running.fleet))
			show.sentences(sentences.take())
		case <-done:
			return
		}
	}
}

// quieter returns a logger without the messages that every start gives, unless details were asked for.
func quieter(logger *logrus.Logger) *logrus.Logger {
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
func (d display) end(total summary) error {
	d.totals(total)
	text, err := json.Marshal(total)
	if err != nil {
		return errors.Wrap(err, "encode the summary")
	}
	d.printf("%s", text)
	if !total.well() {
		return errors.Wrapf(ErrPromiseBroken, "demo: %d wrong answers, %d duplicate runs, %d requests without an outcome, %d run although not run",
			total.WrongAnswers, total.DuplicateRuns, total.Untold, total.FalseNotRun)
	}
	return nil
}
