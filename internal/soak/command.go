package soak

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/pause"
)

// Command is the command line of the soak.
type Command struct {
	Deployment  string        `default:"fes" help:"Deployment whose shape the system has: fes or magnolia."`
	For         time.Duration `default:"1m" help:"Time to inject faults; rounds of 12 s."`
	Seed        uint64        `help:"Decides the faults and the requests; a new one by default."`
	Rate        int           `default:"60" help:"Requests a second."`
	Gateways    int           `help:"Gateways in place of those of the deployment; 0 has it as it is."`
	Regressions bool          `help:"Play the seeds that once failed instead."`
	Gateway     string        `help:"Program of the gateway; it is built by default, within the module." type:"path"`
	Before      string        `help:"Program of the build before: all gateways begin with it, and each round replaces them one after the other, forward and back in turn." type:"path"`
}

// Validate checks what the types of the flags cannot say. The error names everything that is wrong.
func (c *Command) Validate() error {
	var problems error
	if _, known := shapes[c.Deployment]; !known {
		problems = errors.Newf("--deployment is %q, allowed are %s", c.Deployment, strings.Join(slices.Sorted(maps.Keys(shapes)), ", "))
	}
	if c.For < roundTime {
		problems = errors.Join(problems, errors.Newf("--for is %s, allowed is %s or more", c.For, roundTime))
	}
	if c.Gateways < 0 || c.Gateways == 1 || c.Gateways > maxGateways {
		problems = errors.Join(problems, errors.Newf("--gateways is %d, allowed are 0 and 2 to %d", c.Gateways, maxGateways))
	}
	if c.Rate < 1 {
		problems = errors.Join(problems, errors.Newf("--rate is %d, allowed is 1 or more", c.Rate))
	}
	return problems
}

// mostGateways bounds the processes of a soak: the half of a machine of developers bears them.
const maxGateways = 200

// ErrBroken is the error of a soak that found a broken rule.
var ErrViolations = errors.New("a rule was broken")

// Run runs the soak until its time is over, a rule is broken, or the context ends.
func (c *Command) Run(ctx context.Context, out io.Writer) error {
	if c.Regressions {
		return c.runRegressions(ctx, out)
	}
	if c.Seed == 0 {
		c.Seed = uint64(time.Now().UnixNano())
	}
	return c.runSeed(ctx, out)
}

// regressions are seeds that failed once, one a line: DEPLOYMENT SEED ROUNDS, then the cause.
//
//go:embed regressions.txt
var regressions string

// playRegressions plays each seed that failed once.
func (c *Command) runRegressions(ctx context.Context, out io.Writer) error {
	for line := range strings.Lines(regressions) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		words := strings.Fields(line)
		if len(words) < 4 {
			return errors.Newf("step read the regressions: %q, wanted is DEPLOYMENT SEED ROUNDS CAUSE", line)
		}
		seed, seedErr := strconv.ParseUint(words[1], 10, 64)
		rounds, roundsErr := strconv.Atoi(words[2])
		if err := errors.Join(seedErr, roundsErr); err != nil {
			return errors.Wrapf(err, "step read the regressions: %q", line)
		}
		command := Command{Deployment: words[0], Seed: seed, For: time.Duration(rounds) * roundTime, Rate: c.Rate, Gateway: c.Gateway}
		if err := command.runSeed(ctx, out); err != nil {
			return err
		}
	}
	return nil
}

// play runs one seed.
func (c *Command) runSeed(ctx context.Context, out io.Writer) (err error) {
	folder, err := os.MkdirTemp("", "granitebay-soak-")
	if err != nil {
		return errors.Wrap(err, "step make a folder for logs")
	}
	binary := c.Gateway
	if binary == "" {
		if binary, err = buildGateway(folder); err != nil {
			return err
		}
	}
	shape := shapes[c.Deployment]
	if c.Gateways > 0 {
		shape.gateways = c.Gateways
	}
	fmt.Fprintf(out, "soak --deployment %s --seed %d --for %s --gateways %d; logs in %s\n", c.Deployment, c.Seed, c.For, shape.gateways, folder)
	s, err := startSystem(ctx, shape, builds{previous: c.Before, current: binary}, folder)
	if err != nil {
		return err
	}
	defer s.stop()
	watchCtx, stopWatching := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	watchers.Go(func() { s.watchStalls(watchCtx) })
	watchers.Go(func() { s.takeSnapshots(watchCtx) })
	defer watchers.Wait()
	defer stopWatching()
	trafficCtx, stopTraffic := context.WithCancel(ctx)
	trafficDone := make(chan struct{})
	go func() {
		defer close(trafficDone)
		s.generateTraffic(trafficCtx, c.Seed, c.Rate)
	}()
	quiet, err := c.runRounds(ctx, out, s)
	stopTraffic()
	<-trafficDone
	if err != nil {
		return err
	}
	stopWatching()
	watchers.Wait()
	for _, stood := range s.stalls {
		fmt.Fprintln(out, stood)
	}
	return c.report(out, s.history(quiet), folder)
}

// Bounds of the look at the own process: how often it is taken, and how much later than that it counts as a standstill.
const (
	stallCheckInterval = 50 * time.Millisecond
	stallThreshold     = 300 * time.Millisecond
)

// watchOwn notes when the soak itself stands still, with its callers, its workers and its store: on a machine that is busy. It excuses
// nothing; whoever reads of a broken rule has to know it.
func (s *system) watchStalls(ctx context.Context) {
	last := time.Now()
	for ctx.Err() == nil {
		sleep(ctx, stallCheckInterval)
		now := time.Now()
		if stalled := now.Sub(last) - stallCheckInterval; stalled > stallThreshold {
			s.stalls = append(s.stalls, fmt.Sprintf("the soak itself stood still for %s until %s", stalled.Round(time.Millisecond), now.Format(timeFormat)))
		}
		last = now
	}
}

// rounds plays all rounds and returns the times in which the system had to serve.
func (c *Command) runRounds(ctx context.Context, out io.Writer, s *system) ([]Span, error) {
	var quiet []Span
	for number := range int(c.For / roundTime) {
		faults := append(drawRound(c.Seed, number, len(s.gateways), len(s.workers)), s.builds.upgrade(number)...)
		slices.SortStableFunc(faults, func(a, b ScheduledFault) int { return int(a.At - b.At) })
		begun := time.Now()
		for _, each := range faults {
			sleep(ctx, time.Until(begun.Add(each.At)))
			s.injectFault(each.Fault, isCalm(faults))
		}
		sleep(ctx, time.Until(begun.Add(faultTime)))
		if err := s.heal(); err != nil {
			return nil, err
		}
		sleep(ctx, recoverTime)
		from := time.Now()
		sleep(ctx, quietTime-recoverTime)
		if ctx.Err() != nil {
			return quiet, nil
		}
		quiet = append(quiet, Span{Begun: from, Ended: time.Now()})
		fmt.Fprintf(out, "round %d: %s; %s\n", number, describeFaults(faults), s.progress())
		if found := Check(s.history(quiet)); len(found) > 0 {
			return quiet, nil
		}
	}
	return quiet, nil
}

// describe names the faults of a round.
func describeFaults(faults []ScheduledFault) string {
	var texts []string
	for _, each := range faults {
		texts = append(texts, fmt.Sprintf("%.1fs %s", each.At.Seconds(), each.Fault))
	}
	return strings.Join(texts, ", ")
}

// progress counts what was seen so far.
func (s *system) progress() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	served := 0
	for _, r := range s.requests {
		if r.Response.Status == 200 && r.Response.Err == nil {
			served++
		}
	}
	return fmt.Sprintf("%d requests, %d served, %d orders", len(s.requests), served, len(s.fleet.Orders()))
}

// shownViolations bounds what is printed of each kind.
const maxShownViolations = 5

// report prints the violations of a history, and keeps it beside the logs.
func (c *Command) report(out io.Writer, h *History, folder string) error {
	found := Check(h)
	for service, peak := range h.peakRetries() {
		fmt.Fprintf(out, "%s: most were %s\n", service, peak)
	}
	if len(found) == 0 {
		fmt.Fprintf(out, "no rule was broken in %d requests\n", len(h.Requests))
		return nil
	}
	for i, violation := range found {
		if i < maxShownViolations {
			fmt.Fprintln(out, violation)
			fmt.Fprintln(out, "  "+h.describeRequest(violation.Subject))
		}
	}
	fmt.Fprintf(out, "%d violations. Logs of all processes are kept in %s. Again: granitebay-lab soak --deployment %s --seed %d --for %s\n",
		len(found), folder, c.Deployment, c.Seed, c.For)
	_ = os.WriteFile(filepath.Join(folder, "violations.txt"), []byte(fmt.Sprintln(found)), 0o600)
	return errors.Wrapf(ErrViolations, "soak: %d violations", len(found))
}

// of returns what is known of one request.
func (h *History) describeRequest(id string) string {
	for _, r := range h.Requests {
		if r.Request.ID == id {
			return fmt.Sprintf("sent %s to %s, ended %s with %d %v; runs %+v", r.Sent.Format(timeFormat), r.Gateway, r.Ended.Format(timeFormat),
				r.Response.Status, r.Response.Err, h.Runs[id])
		}
	}
	return ""
}

// clock is how times are printed.
const timeFormat = "15:04:05.000"

// sleep waits for a time or the end of the context.
func sleep(ctx context.Context, duration time.Duration) { pause.For(ctx, duration) }
