package forward

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/balance"
	"github.com/granitebay/granitebay/internal/routing"
)

// paceRule wants pauses of 200 ms at most.
var paceRule = routing.Rule{Name: "r", Kind: routing.KindStream, Objective: time.Second, EventGapObjective: 200 * time.Millisecond}

// paceClock is a clock that tests advance.
type paceClock struct{ now time.Time }

// newPaceDispatcher returns a dispatcher with three engines of each role, whose events have twelve tokens.
func newPaceDispatcher() (*Dispatcher, *routing.Group, *paceClock) {
	clock := &paceClock{now: time.Unix(1000, 0)}
	dispatcher := NewDispatcher(DefaultDispatchSettings(), func() time.Time { return clock.now })
	group := routing.Group{Name: "g", Engine: &routing.Engine{KVCacheTokens: 400_000, BytesPerToken: 160_000, LinkMbps: 1e6, TokensPerEvent: 12}}
	dispatcher.SetGroups([]routing.Group{group})
	set := backend.Set{}
	for _, role := range []backend.Role{backend.RolePrefill, backend.RoleDecode} {
		for i := range 3 {
			id := fmt.Sprint(role, i)
			set[id] = &backend.Worker{ID: id, Group: "g", Address: id, Role: role, Slots: 32}
		}
	}
	dispatcher.SetWorkers(set)
	return dispatcher, &group, clock
}

// respond lets a decode engine give responses of 24 events, with the given interval between events.
func respond(dispatcher *Dispatcher, clock *paceClock, id string, interval time.Duration, responses int) {
	worker, _ := dispatcher.balancer.Worker(id)
	for range responses {
		wanted := &wantedResponse{rule: "r", hinted: 24, isWhole: true}
		assignment := dispatcher.assign(balance.Choice{Worker: worker}, 0, false, 0).observeEvents(wanted)
		for range 24 {
			assignment.eventArrived(0)
			clock.now = clock.now.Add(interval)
		}
		assignment.finish(balance.OutcomeGood)
	}
}

// TestRunnerHoldsPauses guards against a long response at an engine where its pauses exceed their objective, while another would hold them: both
// for prompts that the runner prefills and for those that were prefilled elsewhere.
func TestRunnerHoldsPauses(t *testing.T) {
	for _, prompt := range []backend.Demand{shortPrompt, longPrompt} {
		for i := range 20 {
			dispatcher, group, clock := newPaceDispatcher()
			respond(dispatcher, clock, "decode0", 250*time.Millisecond, 2)
			respond(dispatcher, clock, "decode1", 40*time.Millisecond, 2)
			respond(dispatcher, clock, "decode2", 250*time.Millisecond, 2)
			prompt.OutputTokens, prompt.ExpectedOutputTokens = 800, 288
			request := &Request{ID: fmt.Sprint("r", i), Demand: prompt}
			options := PlaceOptions{Rule: &paceRule, Deadline: clock.now.Add(8 * time.Second), Objective: time.Second, Remaining: time.Second}
			placement, _ := dispatcher.Place(request, group, options)
			runner := placement.Runner
			if placement.Prefill != nil {
				runner, _ = dispatcher.PlaceRunner(request, group, nil, placement.Prefill)
			}
			if runner.Worker.ID != "decode1" {
				t.Fatalf("%s went to %s: %+v", request.ID, runner.Worker.ID, runner.Score)
			}
			if runner.stream == nil {
				t.Fatal("the response of the runner is not observed")
			}
		}
	}
}

// TestLengthLearntByRule guards against lengths that are learnt from responses of which a part had been sent before.
func TestLengthLearntByRule(t *testing.T) {
	dispatcher, group, clock := newPaceDispatcher()
	respond(dispatcher, clock, "decode0", time.Millisecond, 20)
	request := &Request{ID: "r", Demand: backend.Demand{PromptTokens: 100, OutputTokens: 1200, ExpectedOutputTokens: 120}}
	wanted := dispatcher.newWantedResponse(request, group, PlaceOptions{Rule: &paceRule})
	if wanted.events < 9 || wanted.events > 11 || wanted.maxEvents != 100 || !wanted.isWhole {
		t.Errorf("got %+v, want 10 of at most 100 events", wanted)
	}
	request.ResumeAfter = "4"
	if dispatcher.newWantedResponse(request, group, PlaceOptions{Rule: &paceRule}).isWhole {
		t.Error("a resumed response counts as whole")
	}
}

// TestEventsAreObserved guards against events of a decode engine that the gateway forwards without learning from them.
func TestEventsAreObserved(t *testing.T) {
	workers := &fakeWorkers{run: func(context.Context, int, *backend.Worker, RunOptions) (*Response, error) {
		reader, writer := io.Pipe()
		go func() {
			for id := range 4 {
				_, _ = fmt.Fprintf(writer, "id: %d\ndata: x\n\n", id+1)
				time.Sleep(5 * time.Millisecond)
			}
			_ = writer.Close()
		}()
		return &Response{Status: 200, Header: map[string][]string{}, Body: reader}, nil
	}}
	f := newFixture(t, fixtureOptions{rule: routing.Rule{Name: "r", Kind: routing.KindStream, EventGapObjective: 200 * time.Millisecond}, engine: true}, workers)
	intervals := make(chan string, 16)
	f.handler.dispatcher.OnInterval(func(group string, _ time.Duration) { intervals <- group })
	if _, body, err := f.get(t); err != nil {
		t.Fatalf("%q, %v", body, err)
	}
	if len(intervals) != 3 || <-intervals != "g" {
		t.Errorf("%d intervals were observed, want 3 of the group g", len(intervals))
	}
	f.server.Close()
	f.reports.mutex.Lock()
	defer f.reports.mutex.Unlock()
	report := f.reports.last
	course := report.Attempts[len(report.Attempts)-1].Course
	if course.Events != 4 || course.LongestPause < 4*time.Millisecond || course.PauseObjective != 200*time.Millisecond {
		t.Errorf("got course %+v, want 4 events", course)
	}
}

// TestRemovedWorkersAreNotObserved guards against observations of workers that were removed while they prefilled: nothing would delete
// them any more.
func TestRemovedWorkersAreNotObserved(t *testing.T) {
	dispatcher, _, clock := newPaceDispatcher()
	worker, _ := dispatcher.balancer.Worker("prefill0")
	var assignments []*Assignment
	for range 10 {
		assignment := dispatcher.assign(balance.Choice{Worker: worker}, 0, false, 0)
		assignment.load.PrefillTokens = 10_000
		assignments = append(assignments, assignment)
	}
	dispatcher.ChangeWorkers(backend.Changes{Removed: []string{worker.ID}})
	clock.now = clock.now.Add(5 * time.Second)
	for _, assignment := range assignments {
		assignment.responseStarted()
		assignment.finish(balance.OutcomeGood)
	}
	if pace, known := dispatcher.model.RelativePace(clock.now, worker); known {
		t.Errorf("the pace of a removed worker is known as %.2f, want unknown", pace)
	}
}

// TestSlowCallersAreNotThePaceOfEngines guards against engines that count as slow because a caller accepts the events of its response slowly:
// the gateway reads an event only once the one before has been forwarded.
func TestSlowCallersAreNotThePaceOfEngines(t *testing.T) {
	dispatcher, _, clock := newPaceDispatcher()
	for _, id := range []string{"decode0", "decode1", "decode2"} {
		respond(dispatcher, clock, id, 40*time.Millisecond, 4)
	}
	worker, _ := dispatcher.balancer.Worker("decode0")
	assignment := dispatcher.assign(balance.Choice{Worker: worker}, 0, false, 0).observeEvents(&wantedResponse{rule: "r", hinted: 24})
	const forwarding = 200 * time.Millisecond
	for range 40 {
		assignment.eventArrived(forwarding)
		clock.now = clock.now.Add(forwarding)
	}
	if factor, known := dispatcher.model.RelativePace(clock.now, worker); known && factor > 1.2 {
		t.Errorf("the relative pace is %.2f, want at most 1.2", factor)
	}
	if course := assignment.course(); course.LongestPause != 0 {
		t.Errorf("the longest pause is %v, want none", course.LongestPause)
	}
}
