package forward

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/balance"
	"github.com/granitebay/granitebay/internal/completeness"
	"github.com/granitebay/granitebay/internal/ctxsleep"
	"github.com/granitebay/granitebay/internal/poison"
	"github.com/granitebay/granitebay/internal/routing"
	"github.com/granitebay/granitebay/internal/streamversion"
)

// crashProber is a poison.Prober that reports the workers marked as crashed.
type crashProber struct {
	mutex   sync.Mutex
	crashed map[string]bool
	// unconfirmed are the workers that refuse this gateway, while no other can tell.
	unconfirmed map[string]bool
	delay       time.Duration
}

// RefusesConnections implements poison.Prober.
func (p *crashProber) RefusesConnections(_ context.Context, worker *backend.Worker) (bool, error) {
	time.Sleep(p.delay)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.unconfirmed[worker.ID] {
		return false, errUnconfirmed
	}
	return p.crashed[worker.ID], nil
}

// Look implements poison.Prober.
func (p *crashProber) Look(ctx context.Context, worker *backend.Worker, _ time.Duration) completeness.Worker {
	switch refuses, err := p.RefusesConnections(ctx, worker); {
	case err != nil:
		return completeness.WorkerRefusesHere
	case refuses:
		return completeness.WorkerRefuses
	default:
		return completeness.WorkerAlive
	}
}

// errUnconfirmed is the result for a worker that only this gateway was asked about.
var errUnconfirmed = errors.New("no other gateway could confirm")

// crash marks a worker as crashed.
func (p *crashProber) crash(worker string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.crashed[worker] = true
}

// newSuspectFixture returns a fixture with a guard. The worker that gets the first request crashes.
func newSuspectFixture(t *testing.T, rule routing.Rule, probeDelay time.Duration) *fixture {
	workers, prober := &fakeWorkers{}, &crashProber{crashed: map[string]bool{}, delay: probeDelay}
	workers.run = func(_ context.Context, number int, worker *backend.Worker, _ RunOptions) (*Response, error) {
		if number == 1 {
			prober.crash(worker.ID)
			return nil, resetError
		}
		return wholeResponse(200, "answer"), nil
	}
	f := newFixture(t, fixtureOptions{rule: rule, allowance: 10}, workers)
	f.handler.SetGuard(poison.NewGuard(poison.DefaultSettings(), prober, time.Now, func(event poison.Event) {
		if ended, is := event.(poison.WorkerCrashed); is {
			f.handler.dispatcher.RecordCrash(ended.Worker.ID, ended.Age)
		}
	}))
	return f
}

// TestSuspectWaitsForReplacementWorker guards against a retry that crashes a second worker before the first is replaced. The retry waits
// for that; duplicates are refused with a Retry-After time.
func TestSuspectWaitsForReplacementWorker(t *testing.T) {
	f := newSuspectFixture(t, routing.Rule{Kind: routing.KindRepeatable, MaxAttempts: 2, Timeout: 5 * time.Second}, 50*time.Millisecond)
	const downtime = 400 * time.Millisecond
	time.AfterFunc(downtime, func() {
		set := backend.Set{"again": {ID: "again", Group: "g", Address: f.workers.ranAt[0], Slots: 4}}
		for _, id := range []string{"0", "1", "2"} {
			if id != f.workers.ranAt[0] {
				set[id] = &backend.Worker{ID: id, Group: "g", Address: id, Slots: 4}
			}
		}
		f.handler.dispatcher.SetWorkers(set)
	})
	var duplicate *http.Response
	var duplicateDone sync.WaitGroup
	duplicateDone.Go(func() {
		time.Sleep(downtime / 2)
		duplicate, _, _ = f.get(t)
	})
	start := time.Now()
	response, body, err := f.get(t)
	if err != nil || response.StatusCode != 200 || body != "answer" || time.Since(start) < downtime {
		t.Errorf("after %s: got %v, %v", time.Since(start), response, err)
	}
	duplicateDone.Wait()
	after, _ := strconv.ParseFloat(duplicate.Header.Get("Retry-After"), 64)
	least := (balance.DefaultRiskSettings().MissingTimeout - downtime).Seconds()
	if duplicate.StatusCode != http.StatusServiceUnavailable || after < least {
		t.Errorf("the duplicate got %d with Retry-After %.1f", duplicate.StatusCode, after)
	}
	if len(f.workers.ranAt) != 2 || slices.Contains(f.workers.ranAt[1:], f.workers.ranAt[0]) {
		t.Errorf("the request ran at %v", f.workers.ranAt)
	}
}

// TestSuspectFailureIsDelayedUntilPeersKnow guards against reporting the failure before other gateways know of the crash: an immediate
// retry would crash another worker.
func TestSuspectFailureIsDelayedUntilPeersKnow(t *testing.T) {
	f := newSuspectFixture(t, routing.Rule{Kind: routing.KindAtMostOnce}, 0)
	start := time.Now()
	response, _, err := f.get(t)
	if err != nil || response.StatusCode != http.StatusBadGateway || time.Since(start) < peerNotifyDelay {
		t.Errorf("after %s: got %v, %v", time.Since(start), response, err)
	}
}

// TestRequestsWithSuspectPartRunOneAtATime guards against requests that share a part under which workers crashed, differ in all else, and reach
// workers side by side.
func TestRequestsWithSuspectPartRunOneAtATime(t *testing.T) {
	part := poison.NewPart("g", "5c1e")
	bar := poison.Bar{Digest: part.Digest(), Part: part, DistinctCrashes: exclusiveMinCrashes}
	handler := &Handler{guard: poison.NewGuard(poison.DefaultSettings(), nil, time.Now, func(poison.Event) {})}
	newCall := func(path string) *call {
		return &call{handler: handler, guarded: &guardedRequest{guard: handler.guard, request: &Request{Target: path}, parts: []poison.Part{part}}}
	}
	first, second := newCall("/1"), newCall("/2")
	if !first.mayRunExclusively(poison.Suspected, bar) || second.mayRunExclusively(poison.Suspected, bar) {
		t.Error("both requests with the part may run")
	}
	first.endExclusive()
	if !second.mayRunExclusively(poison.Suspected, bar) {
		t.Error("the second request may not run after the first")
	}
}

// newVersionedDispatcher returns a dispatcher of plain workers: one of the version "good" and two of the version "bad".
func newVersionedDispatcher() (*Dispatcher, *routing.Group) {
	dispatcher, _ := newBudgetDispatcher()
	group := &routing.Group{Name: "g"}
	dispatcher.SetGroups([]routing.Group{*group})
	dispatcher.SetWorkers(backend.Set{
		"good": {ID: "good", Group: "g", Address: "good", Slots: 4, SoftwareVersion: "good"},
		"bad1": {ID: "bad1", Group: "g", Address: "bad1", Slots: 4, SoftwareVersion: "bad"},
		"bad2": {ID: "bad2", Group: "g", Address: "bad2", Slots: 4, SoftwareVersion: "bad"},
	})
	return dispatcher, group
}

// TestBarredVersionsGetNoRequests guards against requests that reach workers of a version at which a part of their prompt is barred, against
// trials at other versions, and against refusals while a worker of another version is left.
func TestBarredVersionsGetNoRequests(t *testing.T) {
	dispatcher, group := newVersionedDispatcher()
	for number := range 20 {
		request := &Request{ID: fmt.Sprint(number)}
		for _, kind := range []struct {
			filter versionFilter
			want   string
		}{
			{versionFilter{barred: []string{"bad"}}, "good"},
			{versionFilter{trial: "bad"}, "bad"},
			{versionFilter{barred: []string{"bad", "good"}}, ""},
			{versionFilter{bound: &streamversion.Version{Service: "g", Software: "bad"}, barred: []string{"bad"}}, ""},
		} {
			placement, found := dispatcher.Place(request, group, PlaceOptions{Versions: kind.filter})
			got := ""
			if found {
				got = placement.Runner.Worker.SoftwareVersion
				placement.Runner.finish(balance.OutcomeNone)
			}
			if got != kind.want {
				t.Errorf("under %+v the request is placed at version %q, want %q", kind.filter, got, kind.want)
			}
			if has := dispatcher.hasVersion(group, kind.filter, nil); has != (kind.want != "") {
				t.Errorf("under %+v a worker that may run the request is known: %t", kind.filter, has)
			}
		}
	}
}

// TestBarAtOneVersionRestrictsRequest guards against a request that is refused, or may run at all workers, while a part of its prompt is barred
// at one version, and against a trial of the bar that is no request at that version.
func TestBarAtOneVersionRestrictsRequest(t *testing.T) {
	part := poison.NewPart("g", "5c1e").AtVersion("bad")
	now := time.Now()
	guard := poison.NewGuard(poison.DefaultSettings(), nil, func() time.Time { return now }, func(poison.Event) {})
	guard.UpdateWorkers(backend.Changes{Updated: []*backend.Worker{
		{ID: "good", Group: "g", SoftwareVersion: "good"}, {ID: "bad", Group: "g", SoftwareVersion: "bad"},
	}})
	delay := poison.DefaultSettings().Parts.TrialDelay
	guard.ApplyBar(poison.Bar{Digest: part.Digest(), Part: part, Workers: []string{"w"}, Times: 1, Since: now, Until: now.Add(time.Hour), TrialDelay: delay})
	newRequest := func() *guardedRequest {
		return &guardedRequest{guard: guard, request: &Request{}, service: "g", parts: []poison.Part{part.AtVersion("")}}
	}
	request := newRequest()
	status, _ := request.admit(&exclusiveRuns{})
	barred, bar := request.barredVersions()
	if status != poison.Clear || !slices.Equal(barred, []string{"bad"}) || bar.Part != part || request.trialVersion() != "" {
		t.Errorf("the request has status %d, is barred at %v by %v and a trial at %q", status, barred, bar.Part, request.trialVersion())
	}
	now = now.Add(delay)
	trial, next := newRequest(), newRequest()
	trial.admit(&exclusiveRuns{})
	next.admit(&exclusiveRuns{})
	if barred, _ := trial.barredVersions(); len(barred) > 0 || trial.trialVersion() != "bad" || next.trialVersion() != "" {
		t.Errorf("the trial is one at %q, barred at %v, and the next request one at %q", trial.trialVersion(), barred, next.trialVersion())
	}
	if !trial.endVersionTrial() || trial.trialVersion() != "" {
		t.Error("a trial that can't be placed does not become an ordinary request")
	}
	if next.admit(&exclusiveRuns{}); next.trialVersion() != "bad" {
		t.Error("after a trial that was sent to no worker there is no other")
	}
}

// TestCopiesInFlightAreNoSeriesOfCrashes guards against an often asked request that is barred because each worker crashed, one after the other, while it
// ran a copy that had begun before the first crash.
func TestCopiesInFlightAreNoSeriesOfCrashes(t *testing.T) {
	const copies = 3
	prober := &crashProber{crashed: map[string]bool{}}
	var running sync.WaitGroup
	running.Add(copies)
	workers := &fakeWorkers{run: func(_ context.Context, number int, worker *backend.Worker, _ RunOptions) (*Response, error) {
		running.Done()
		running.Wait()
		time.Sleep(time.Duration(number) * 150 * time.Millisecond)
		prober.crash(worker.ID)
		return nil, resetError
	}}
	f := newFixture(t, fixtureOptions{rule: routing.Rule{Kind: routing.KindRepeatable}}, workers)
	events := make(chan string, 100)
	f.handler.SetGuard(poison.NewGuard(poison.DefaultSettings(), prober, time.Now, func(event poison.Event) { events <- fmt.Sprintf("%T", event) }))
	var callers sync.WaitGroup
	for range copies {
		callers.Go(func() { _, _, _ = f.get(t) })
	}
	callers.Wait()
	time.Sleep(2 * poison.DefaultSettings().SettleDelay)
	crashes := 0
	for len(events) > 0 {
		switch event := <-events; event {
		case "poison.WorkerCrashed":
			crashes++
		default:
			t.Errorf("the guard reports a %s", event)
		}
	}
	if crashes != copies {
		t.Errorf("%d of %d workers crashed, so the test checks nothing", crashes, copies)
	}
}

// TestBarredRequestIsTried guards against a barred request that is refused for as long as its bar lasts although it is sound again, against trials that are
// used up without having reached a worker, and against one that reaches several.
func TestBarredRequestIsTried(t *testing.T) {
	const ok, barred = http.StatusOK, http.StatusUnprocessableEntity
	for _, c := range []struct {
		name string
		// first is the error of the first attempt; nil if the worker answers.
		first error
		// want are the statuses of the first request and the next.
		want     [2]int
		wantRuns int
	}{
		{name: "it is answered", want: [2]int{ok, ok}, wantRuns: 2},
		{name: "the first worker is not reached", first: connectError, want: [2]int{ok, ok}, wantRuns: 2},
		{name: "the first worker refuses the request", first: refusalError, want: [2]int{http.StatusServiceUnavailable, barred}, wantRuns: 1},
		{name: "the first worker breaks off", first: resetError, want: [2]int{http.StatusBadGateway, barred}, wantRuns: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			workers := answeringWorkers()
			connections := 0
			workers.connecting = func() error {
				if connections++; connections == 1 && c.first == connectError {
					return connectError
				}
				return nil
			}
			workers.run = func(_ context.Context, number int, _ *backend.Worker, _ RunOptions) (*Response, error) {
				if number == 1 && c.first != nil && c.first != connectError {
					return nil, c.first
				}
				return wholeResponse(http.StatusOK, "answer"), nil
			}
			f := newFixture(t, fixtureOptions{rule: routing.Rule{Kind: routing.KindRepeatable, MaxAttempts: 2}, allowance: 10}, workers)
			var elapsed time.Duration
			var cleared []poison.Cleared
			guard := poison.NewGuard(poison.DefaultSettings(), &crashProber{}, func() time.Time { return time.Now().Add(elapsed) }, func(event poison.Event) {
				if event, is := event.(poison.Cleared); is {
					cleared = append(cleared, event)
				}
			})
			f.handler.SetGuard(guard)
			now := time.Now()
			digest := poison.Request{Method: http.MethodGet, Target: "/x"}.Digest()
			guard.ApplyBar(poison.Bar{Digest: digest, Workers: []string{"gone-1", "gone-2", "gone-3"}, Times: 1, Since: now, Until: now.Add(time.Hour)})
			if response, _, err := f.get(t); err != nil || response.StatusCode != barred {
				t.Fatalf("with the bar: got %v, %v, want status %d", response, err, barred)
			}
			elapsed = poison.DefaultSettings().Parts.TrialDelay + poison.DefaultSettings().Parts.TrialElection
			for i, want := range c.want {
				if response, body, err := f.get(t); err != nil || response.StatusCode != want {
					t.Errorf("request %d: got %v, %q, %v, want status %d", i, response, body, err, want)
				}
			}
			if runs := len(workers.ranAt); runs != c.wantRuns {
				t.Errorf("%d runs, want %d", runs, c.wantRuns)
			}
			if isLifted := len(cleared) == 1 && cleared[0].WasBarred; isLifted != (c.want[1] == ok) {
				t.Errorf("the guard reports %v as cleared", cleared)
			}
		})
	}
}

// TestExclusiveCopyIsNotAbandonedForSilence guards against the only copy of a suspect request that may run being given up because its worker does not
// answer at once: no other copy runs meanwhile, and the suspicion of a sound request that takes its time would never end.
func TestExclusiveCopyIsNotAbandonedForSilence(t *testing.T) {
	f := newFixture(t, fixtureOptions{rule: slowRule, allowance: 10}, slowWorkers())
	guard := poison.NewGuard(poison.DefaultSettings(), &crashProber{}, time.Now, func(poison.Event) {})
	f.handler.SetGuard(guard)
	digest := poison.Request{Method: http.MethodGet, Target: "/x"}.Digest()
	guard.ApplyUpdate(poison.Update{Crashes: []poison.Crash{{Digest: digest, Worker: "gone-1", AgoMs: 60_000}, {Digest: digest, Worker: "gone-2", AgoMs: 30_000}}})
	if status, bar := guard.Status(digest); status != poison.Suspected || bar.DistinctCrashes < exclusiveMinCrashes {
		t.Fatalf("status %d with %d crashes, so the test checks nothing", status, bar.DistinctCrashes)
	}
	if response, body, err := f.get(t); err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("got %v, %q, %v, want an answer", response, body, err)
	}
	if runs := len(f.workers.ranAt); runs != 1 {
		t.Errorf("%d runs, want 1", runs)
	}
	if status, _ := guard.Status(digest); status != poison.Clear {
		t.Errorf("status %d, want Clear", status)
	}
}

// slowRule is a rule whose workers are given up before slowWorkers answer.
var slowRule = routing.Rule{Kind: routing.KindRepeatable, MaxAttempts: 2, Objective: 50 * time.Millisecond}

// slowWorkers returns workers that take a while to answer.
func slowWorkers() *fakeWorkers {
	return &fakeWorkers{run: func(ctx context.Context, _ int, _ *backend.Worker, _ RunOptions) (*Response, error) {
		if !ctxsleep.Sleep(ctx, 300*time.Millisecond) {
			return nil, context.Cause(ctx)
		}
		return wholeResponse(http.StatusOK, "answer"), nil
	}}
}

// TestTrialIsNotAbandonedForSilence guards against the trial of a barred request that is given up because its worker does not answer at once: no other
// worker may run it, so the bar would outlast a sound request that takes its time.
func TestTrialIsNotAbandonedForSilence(t *testing.T) {
	f := newFixture(t, fixtureOptions{rule: slowRule, allowance: 10}, slowWorkers())
	var elapsed time.Duration
	guard := poison.NewGuard(poison.DefaultSettings(), &crashProber{}, func() time.Time { return time.Now().Add(elapsed) }, func(poison.Event) {})
	f.handler.SetGuard(guard)
	now := time.Now()
	digest := poison.Request{Method: http.MethodGet, Target: "/x"}.Digest()
	guard.ApplyBar(poison.Bar{Digest: digest, Workers: []string{"gone-1", "gone-2", "gone-3"}, Times: 1, Since: now, Until: now.Add(time.Hour)})
	elapsed = poison.DefaultSettings().Parts.TrialDelay + poison.DefaultSettings().Parts.TrialElection
	if response, body, err := f.get(t); err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("got %v, %q, %v, want an answer", response, body, err)
	}
	if status, _ := guard.Status(digest); status != poison.Clear {
		t.Errorf("status %d, want Clear", status)
	}
}
