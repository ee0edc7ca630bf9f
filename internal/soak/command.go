package soak

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/ctxsleep"
	"github.com/granitebay/granitebay/internal/standin/fleet"
)

// Command is the command line of the soak.
type Command struct {
	Deployment  string        `default:"fes" help:"Deployment that determines the size of the system: fes or magnolia."`
	For         time.Duration `default:"1m" help:"How long to inject faults, in rounds of 12s."`
	Seed        uint64        `help:"Seed of the faults and requests; random by default."`
	Rate        int           `default:"60" help:"Requests per second."`
	Gateways    int           `help:"Number of gateways; 0 uses that of the deployment."`
	Regressions bool          `help:"Run the seeds that have failed before instead."`
	Gateway     string        `help:"Gateway binary; by default it is built from the current module." type:"path"`
	Before      string        `help:"Gateway binary of the previous build: all gateways start with it, and each round performs a rolling replacement, alternating between upgrade and downgrade." type:"path"`
}

// Validate checks the flag values and returns all problems at once.
func (c *Command) Validate() error {
	var problems error
	if _, known := shapes[c.Deployment]; !known {
		problems = errors.Newf("--deployment is %q, allowed are %s", c.Deployment, strings.Join(slices.Sorted(maps.Keys(shapes)), ", "))
	}
	if c.For < roundTime {
		problems = errors.Join(problems, errors.Newf("--for is %s, must be at least %s", c.For, roundTime))
	}
	if c.Gateways < 0 || c.Gateways == 1 || c.Gateways > maxGateways {
		problems = errors.Join(problems, errors.Newf("--gateways is %d, must be 0 or 2 to %d", c.Gateways, maxGateways))
	}
	if c.Rate < 1 {
		problems = errors.Join(problems, errors.Newf("--rate is %d, must be at least 1", c.Rate))
	}
	return problems
}

// maxGateways bounds the number of processes, for the capacity of a developer's machine.
const maxGateways = 200

// ErrViolations is returned if a rule was violated.
var ErrViolations = errors.New("a rule was broken")

// Run runs the soak until its time is over, a rule is violated, or the context ends.
func (c *Command) Run(ctx context.Context, out io.Writer) error {
	if c.Regressions {
		return c.runRegressions(ctx, out)
	}
	if c.Seed == 0 {
		c.Seed = uint64(time.Now().UnixNano())
	}
	return c.runSeed(ctx, out)
}

// regressions lists seeds that have failed before, one per line: DEPLOYMENT SEED ROUNDS CAUSE.
//
//go:embed regressions.txt
var regressions string

// runRegressions runs all seeds of the regressions file.
func (c *Command) runRegressions(ctx context.Context, out io.Writer) error {
	for line := range strings.Lines(regressions) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		words := strings.Fields(line)
		if len(words) < 4 {
			return errors.Newf("parse regressions: line %q, want DEPLOYMENT SEED ROUNDS CAUSE", line)
		}
		seed, seedErr := strconv.ParseUint(words[1], 10, 64)
		rounds, roundsErr := strconv.Atoi(words[2])
		if err := errors.Join(seedErr, roundsErr); err != nil {
			return errors.Wrapf(err, "parse regressions: line %q", line)
		}
		command := Command{Deployment: words[0], Seed: seed, For: time.Duration(rounds) * roundTime, Rate: c.Rate, Gateway: c.Gateway}
		if err := command.runSeed(ctx, out); err != nil {
			return err
		}
	}
	return nil
}

// runSeed runs the soak with one seed.
func (c *Command) runSeed(ctx context.Context, out io.Writer) (err error) {
	directory, err := os.MkdirTemp("", "granitebay-soak-")
	if err != nil {
		return errors.Wrap(err, "create a directory for logs")
	}
	binary := c.Gateway
	if binary == "" {
		if binary, err = buildGateway(directory); err != nil {
			return err
		}
	}
	shape := shapes[c.Deployment]
	if c.Gateways > 0 {
		shape.gateways = c.Gateways
	}
	fmt.Fprintf(out, "soak --deployment %s --seed %d --for %s --gateways %d; logs in %s\n", c.Deployment, c.Seed, c.For, shape.gateways, directory)
	s, err := startSystem(ctx, shape, builds{previous: c.Before, current: binary}, directory, featuresOf(c.Seed))
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
	if s.variable != nil {
		s.runBoundCallers(trafficCtx, c.Seed)
	}
	if s.steady {
		s.runSteadyCallers(trafficCtx, c.Seed)
	}
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
	for _, stall := range s.stalls {
		fmt.Fprintln(out, stall)
	}
	return c.report(out, s.history(quiet), directory)
}

// Limits for the detection of stalls of this process: the interval of the checks, and the delay that counts as a stall.
const (
	stallCheckInterval = 50 * time.Millisecond
	stallThreshold     = 300 * time.Millisecond
)

// watchStalls records when this process stalls, and with it all clients, workers and the store. Stalls do not excuse violations,
// but help to interpret them.
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

// runRounds runs all rounds and returns the quiet periods, in which the system has to serve.
func (c *Command) runRounds(ctx context.Context, out io.Writer, s *system) ([]Span, error) {
	var quiet []Span
	for number := range int(c.For / roundTime) {
		faults := append(drawRound(c.Seed, number, len(s.gateways), len(s.workers), len(s.shape.zones)), s.builds.upgrade(number)...)
		slices.SortStableFunc(faults, func(a, b ScheduledFault) int { return int(a.At - b.At) })
		start := time.Now()
		for _, each := range faults {
			sleep(ctx, time.Until(start.Add(each.At)))
			s.injectFault(each.Fault, isCalm(faults))
		}
		sleep(ctx, time.Until(start.Add(faultTime)))
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
		s.endCrashingPart()
		fmt.Fprintf(out, "round %d: %s; %s\n", number, describeFaults(faults), s.progress())
		if found := Check(s.history(quiet)); len(found) > 0 {
			return quiet, nil
		}
	}
	return quiet, nil
}

// describeFaults formats the faults of a round.
func describeFaults(faults []ScheduledFault) string {
	var texts []string
	for _, each := range faults {
		texts = append(texts, fmt.Sprintf("%.1fs %s", each.At.Seconds(), each.Fault))
	}
	return strings.Join(texts, ", ")
}

// progress formats the counts so far.
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

// maxShownViolations bounds the violations that are printed.
const maxShownViolations = 5

// report prints the violations of a history and writes them next to the logs.
func (c *Command) report(out io.Writer, h *History, folder string) error {
	found := Check(h)
	for service, peak := range h.peakRetries() {
		fmt.Fprintf(out, "%s: peak of %s\n", service, peak)
	}
	if line := h.describeUnusualClients(); line != "" {
		fmt.Fprintln(out, line)
	}
	if c.Seed >= firstVersionSeed {
		fmt.Fprintln(out, h.resumptionTotals())
	}
	if c.Seed >= firstPartSeed {
		fmt.Fprintln(out, h.describeParts())
	}
	if c.Seed >= firstStopSeed {
		fmt.Fprintln(out, h.describeStops())
	}
	if c.Seed >= firstRefusalSeed {
		fmt.Fprintln(out, h.describeRefusals())
		fmt.Fprintln(out, h.describeContinuations())
	}
	if c.Seed >= firstUnframedSeed {
		fmt.Fprintln(out, h.describeUnframed())
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
	fmt.Fprintf(out, "%d violations. The logs of all processes are in %s. To reproduce: granitebay-lab soak --deployment %s --seed %d --for %s\n",
		len(found), folder, c.Deployment, c.Seed, c.For)
	_ = os.WriteFile(filepath.Join(folder, "violations.txt"), []byte(fmt.Sprintln(found)), 0o600)
	return errors.Wrapf(ErrViolations, "soak: %d violations", len(found))
}

// describeUnusualClients formats the counts of clients at bounds and of those that half-close their connections; empty without any.
func (h *History) describeUnusualClients() string {
	atBound, crossed, halfClosed, served, answered := 0, 0, 0, 0, 0
	for _, r := range h.Requests {
		if r.AtBound {
			atBound++
		}
		if r.crossedClose() {
			crossed++
		}
		if r.HalfClosedAt.IsZero() {
			continue
		}
		halfClosed++
		switch {
		case r.Response.Status == http.StatusOK && r.Response.Err == nil:
			served++
		case r.Response.Status != 0:
			answered++
		}
	}
	if atBound+halfClosed == 0 {
		return ""
	}
	return fmt.Sprintf("%d requests at a bound, of which %d crossed a close or came after it; %d of half-closed connections, of which %d were served and %d got another response or a part of one",
		atBound, crossed, halfClosed, served, answered)
}

// describeRequest formats what is known of a request.
func (h *History) describeRequest(id string) string {
	for _, r := range h.Requests {
		if r.Request.ID == id {
			return fmt.Sprintf("sent %s to %s, ended %s with %d %v; runs %+v; %s", r.Sent.Format(timeFormat), r.Gateway, r.Ended.Format(timeFormat),
				r.Response.Status, r.Response.Err, h.Runs[id], strings.Join(h.workerEnds(h.Runs[id]), ", "))
		}
	}
	return ""
}

// workerEnds describes when and why the workers of runs ended, to tell a crash from a planned exit.
func (h *History) workerEnds(runs []fleet.Run) []string {
	var ends []string
	for _, run := range runs {
		for _, crash := range h.Crashes {
			if crash.Worker == run.Worker {
				ends = append(ends, fmt.Sprintf("%s crashed %s under %s", crash.Worker, crash.At.Format(timeFormat), crash.ID))
			}
		}
		for _, departure := range h.Departures {
			if departure.Worker == run.Worker {
				ends = append(ends, fmt.Sprintf("%s began to drain %s", departure.Worker, departure.At.Format(timeFormat)))
			}
		}
	}
	if len(ends) == 0 {
		return []string{"no worker of it ended"}
	}
	return ends
}

// timeFormat is the format of printed times.
const timeFormat = "15:04:05.000"

// sleep waits for a duration or the end of the context.
func sleep(ctx context.Context, duration time.Duration) { ctxsleep.Sleep(ctx, duration) }
