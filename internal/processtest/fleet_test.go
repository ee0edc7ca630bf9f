package processtest

import (
	"context"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/rendezvous"
	"github.com/granitebay/granitebay/internal/standin/standincommand"
)

const (
	// testTimeout bounds one fleet, deadline that of each request.
	testTimeout = 50 * time.Second
	deadline    = 12 * time.Second
	// maxStall is the longest time between two tokens that a planned stop may cost.
	maxStall = time.Second
	// unrepeatableShare: one request in so many may not be repeated.
	unrepeatableShare = 4
	// terminatePatience bounds a planned stop.
	terminatePatience = 15 * time.Second
)

// programs are built once for all tests.
var programs Programs

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	directory, err := os.MkdirTemp("", "granitebay-programs")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	if programs, err = Build(context.Background(), directory); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// startFleet starts three zones with two engines, two routers and an agent each.
func startFleet(t *testing.T) (context.Context, *Fleet) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	fleet, err := Start(ctx, Options{
		Programs: programs, Directory: t.TempDir(), Zones: 3, EnginesPerZone: 2, RoutersPerZone: 2, AgentsPerZone: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Stop)
	return ctx, fleet
}

// exchange is a request with its reply.
type exchange struct {
	request Request
	reply   Reply
}

// requestID is the id that the request must have everywhere: its tenant and its key.
func (e *exchange) requestID() string { return Tenant + "/" + e.request.IdempotencyKey }

// stream is load on a fleet: requests that begin one after another through all agents.
type stream struct {
	group     sync.WaitGroup
	exchanges []*exchange
}

// send begins requests, one every interval, and returns when the last has begun.
func (s *stream) send(ctx context.Context, fleet *Fleet, count int, tokens uint32, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for range count {
		index := len(s.exchanges)
		each := &exchange{request: Request{
			Prompt:         fmt.Sprintf("Order %d: one bag of beans, ground for a moka pot.", index),
			MaxTokens:      tokens + uint32(index%7),
			Adapter:        lo.Ternary(index%3 == 0, Adapter, ""),
			Repeatable:     index%unrepeatableShare != 0,
			IdempotencyKey: ulid.Make().String(),
			Deadline:       deadline,
		}}
		s.exchanges = append(s.exchanges, each)
		agent := fleet.Agents[index%len(fleet.Agents)].Address
		s.group.Go(func() { each.reply = Call(ctx, agent, each.request) })
		<-ticker.C
	}
}

// check waits for all replies and compares them with what the engines ran.
func (s *stream) check(t *testing.T, fleet *Fleet) {
	t.Helper()
	s.group.Wait()
	runs, err := fleet.Runs()
	if err != nil {
		t.Fatal(err)
	}
	byRequest := lo.GroupBy(runs, func(run standincommand.RunLogEntry) string { return run.RequestID })
	outcomes := map[string]int{}
	for _, each := range s.exchanges {
		outcomes[lo.CoalesceOrEmpty(each.reply.Outcome, "answered")]++
		each.check(t, byRequest[each.requestID()])
	}
	if err := fleet.Failure(); err != nil {
		t.Error(err)
	}
	t.Logf("outcomes: %v", outcomes)
}

// check compares one reply with the runs of its request.
func (e *exchange) check(t *testing.T, runs []standincommand.RunLogEntry) {
	t.Helper()
	count := func(event standincommand.RunEvent) int {
		return lo.CountBy(runs, func(run standincommand.RunLogEntry) bool { return run.Event == event })
	}
	started, finished := count(standincommand.RunStarted), count(standincommand.RunFinished)
	if e.reply.Outcome != "" {
		t.Logf("repeatable %t, %d runs: %s", e.request.Repeatable, started, e.reply)
	}
	if !e.request.Repeatable && started > 1 {
		t.Errorf("%s: may not be repeated and ran %d times: %+v", e.reply, started, runs)
	}
	switch {
	case e.reply.Fault != nil:
		t.Error(e.reply)
	case e.reply.RequestID != e.requestID():
		t.Errorf("%s: the id is not %s", e.reply, e.requestID())
	case e.reply.Outcome == "" && finished == 0:
		t.Errorf("%s: no engine finished it: %+v", e.reply, runs)
	case e.reply.Outcome == OutcomeNotRun && (started > 0 || e.reply.RetryAfter <= 0):
		t.Errorf("%s: %d runs, retry after %s: %+v", e.reply, started, e.reply.RetryAfter, runs)
	case e.reply.Outcome == OutcomeFailed:
		t.Errorf("%s: no engine failed", e.reply)
	case e.reply.Outcome != "" && e.reply.Outcome != OutcomeNotRun && e.reply.Outcome != OutcomeUnknown:
		t.Errorf("%s: no outcome of an accepted request", e.reply)
	}
}

// answered counts the answered requests.
func (s *stream) answered() int {
	return lo.CountBy(s.exchanges, func(each *exchange) bool { return each.reply.Answered() })
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// TestPlannedStop stops a router that owns engines and takes requests of the agent of its zone.
func TestPlannedStop(t *testing.T) {
	ctx, fleet := startFleet(t)
	const requests, tokens = 60, 120
	var load stream
	load.send(ctx, fleet, requests/2, tokens, 40*time.Millisecond)
	router := fleet.Router(rendezvous.First("engine-a-1", []string{"router-a-1", "router-a-2"}))
	stopped := make(chan error, 1)
	begun := time.Now()
	go func() { stopped <- router.Terminate(terminatePatience) }()
	load.send(ctx, fleet, requests/2, tokens, 40*time.Millisecond)
	must(t, <-stopped)
	t.Logf("%s stopped in %s", router.Name, time.Since(begun))
	load.check(t, fleet)
	if load.answered() != requests {
		t.Errorf("%d of %d requests were answered", load.answered(), requests)
	}
	longest := lo.MaxBy(load.exchanges, func(a, b *exchange) bool { return a.reply.LongestGap > b.reply.LongestGap }).reply
	t.Logf("the longest time between two tokens was %s", longest.LongestGap)
	if longest.LongestGap > maxStall {
		t.Errorf("%s: %s between two tokens, ended %s after the stop began", longest, longest.LongestGap, longest.GapEnd.Sub(begun))
	}
}

// TestFaults streams 200 requests while one router is killed, another frozen for 3 s, the key-value service restarted and a
// third router stopped as planned.
func TestFaults(t *testing.T) {
	ctx, fleet := startFleet(t)
	const requests, tokens, interval = 200, 100, 50 * time.Millisecond
	faults := make(chan error, 1)
	go func() { faults <- causeFaults(fleet) }()
	var load stream
	load.send(ctx, fleet, requests, tokens, interval)
	must(t, <-faults)
	load.check(t, fleet)
	// One router of each zone is always up, so that repeatable work has a way; work that may not be repeated may end as
	// unknown or not run where its owner or its claim holders went.
	for _, each := range load.exchanges {
		if each.request.Repeatable && !each.reply.Answered() {
			t.Errorf("repeatable and not answered: %s", each.reply)
		}
	}
}

// causeFaults goes through the faults. The times are from the start of the load.
func causeFaults(fleet *Fleet) error {
	begun := time.Now()
	killed, frozen, stopped := fleet.Router("router-a-2"), fleet.Router("router-b-1"), fleet.Router("router-c-1")
	steps := []struct {
		after time.Duration
		do    func() error
	}{
		{after: 1500 * time.Millisecond, do: killed.Kill},
		{after: 3 * time.Second, do: frozen.Freeze},
		{after: 4 * time.Second, do: func() error { return fleet.Platform.Terminate(terminatePatience) }},
		{after: 4500 * time.Millisecond, do: fleet.Platform.Restart},
		{after: 6 * time.Second, do: frozen.Thaw},
		{after: 7500 * time.Millisecond, do: func() error { return stopped.Terminate(terminatePatience) }},
	}
	for _, step := range steps {
		time.Sleep(time.Until(begun.Add(step.after)))
		if err := step.do(); err != nil {
			return err
		}
	}
	return nil
}
