package forward

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/poison"
	"github.com/granitebay/granitebay/internal/routing"
	"github.com/granitebay/granitebay/internal/streamversion"
)

// sharedPart is the part of shortPrompt and longPrompt that other requests may share.
var sharedPart = poison.NewPart("g", "a")

// barTestPart makes a guard learn that a part is barred, as from the store.
func barTestPart(guard *poison.Guard, part poison.Part) {
	now := time.Now()
	guard.ApplyBar(poison.Bar{
		Digest: part.Digest(), Part: part, Workers: []string{"gone-1", "gone-2", "gone-3"}, Times: 1, Since: now, Until: now.Add(time.Hour), TrialDelay: time.Hour,
	})
}

// barOnRun returns a fakeWorkers.run that bars the part as the first run begins and goes on as the given one. Later runs are answered.
func barOnRun(guard *poison.Guard, first func(ctx context.Context, worker *backend.Worker) (*Response, error)) func(context.Context, int, *backend.Worker, RunOptions) (*Response, error) {
	return func(ctx context.Context, number int, worker *backend.Worker, _ RunOptions) (*Response, error) {
		if number > 1 {
			return wholeResponse(http.StatusOK, "answer"), nil
		}
		barTestPart(guard, sharedPart)
		return first(ctx, worker)
	}
}

// TestWaitingRequestIsRefusedOnceItsPartIsBarred guards against a request that waits in the gateway while a part of its prompt is barred, and
// reaches a worker afterwards, or is told to come back.
func TestWaitingRequestIsRefusedOnceItsPartIsBarred(t *testing.T) {
	// barAfter is when the bar comes, and releaseAfter when what the request waits for comes.
	const barAfter, releaseAfter = 40 * time.Millisecond, 120 * time.Millisecond
	repeatable := routing.Rule{Kind: routing.KindRepeatable, MaxAttempts: 2, Objective: time.Second}
	for _, c := range []struct {
		name string
		// start returns the fixture and does to it what makes the request wait. It bars the part at some time.
		start func(t *testing.T, guard *poison.Guard, prober *crashProber) *fixture
		// wantPrefills and wantRuns are what reaches workers, before the bar.
		wantPrefills, wantRuns int
	}{
		{name: "for room", start: func(t *testing.T, guard *poison.Guard, _ *crashProber) *fixture {
			f := newFullFixture(t, 5)
			time.AfterFunc(barAfter, func() { barTestPart(guard, sharedPart) })
			return f
		}},
		{name: "for the end of a back-off", start: func(t *testing.T, guard *poison.Guard, _ *crashProber) *fixture {
			f := newFixture(t, fixtureOptions{rule: repeatable, demand: shortPrompt, allowance: 10}, answeringWorkers())
			for i := range 3 {
				f.handler.dispatcher.BackOff(fmt.Sprint(i), releaseAfter)
			}
			time.AfterFunc(barAfter, func() { barTestPart(guard, sharedPart) })
			return f
		}},
		{name: "for a lost role that is restored", wantRuns: 3, start: func(t *testing.T, guard *poison.Guard, _ *crashProber) *fixture {
			f, _ := newLostRoleFixture(t, 4*time.Second, 50*time.Millisecond)
			dispatcher := f.handler.dispatcher
			dispatcher.SetRoleChange("prefill0", backend.RoleDecode)
			time.AfterFunc(barAfter, func() { barTestPart(guard, sharedPart) })
			time.AfterFunc(releaseAfter, func() { dispatcher.RecordResponse("prefill0", backend.RoleDecode, false) })
			return f
		}},
		{name: "for a lost role that is not restored in time", wantRuns: 3, start: func(t *testing.T, guard *poison.Guard, _ *crashProber) *fixture {
			f, _ := newLostRoleFixture(t, 600*time.Millisecond, 50*time.Millisecond)
			f.handler.dispatcher.SetRoleChange("prefill0", backend.RoleDecode)
			time.AfterFunc(barAfter, func() { barTestPart(guard, sharedPart) })
			return f
		}},
		{name: "for its turn", wantRuns: 1, start: func(t *testing.T, guard *poison.Guard, prober *crashProber) *fixture {
			workers := answeringWorkers()
			f := newFixture(t, fixtureOptions{rule: repeatable, demand: shortPrompt, allowance: 10}, workers)
			workers.run = func(_ context.Context, number int, worker *backend.Worker, _ RunOptions) (*Response, error) {
				if number > 1 {
					return wholeResponse(http.StatusOK, "answer"), nil
				}
				prober.crash(worker.ID)
				time.AfterFunc(barAfter, func() { barTestPart(guard, sharedPart) })
				time.AfterFunc(releaseAfter, func() {
					f.handler.dispatcher.ChangeWorkers(backend.Changes{
						Updated: []*backend.Worker{{ID: "again", Group: "g", Address: worker.Address, Slots: 4}}, Removed: []string{worker.ID},
					})
				})
				return nil, resetError
			}
			return f
		}},
		{name: "for a retry after a break", wantRuns: 1, start: func(t *testing.T, guard *poison.Guard, _ *crashProber) *fixture {
			return newFixture(t, fixtureOptions{rule: repeatable, demand: shortPrompt, allowance: 10}, &fakeWorkers{
				run: barOnRun(guard, func(context.Context, *backend.Worker) (*Response, error) { return nil, resetError }),
			})
		}},
		{name: "for a retry after a refusal", wantRuns: 1, start: func(t *testing.T, guard *poison.Guard, _ *crashProber) *fixture {
			return newFixture(t, fixtureOptions{rule: repeatable, demand: shortPrompt, allowance: 10}, &fakeWorkers{
				run: barOnRun(guard, func(context.Context, *backend.Worker) (*Response, error) { return nil, refusalError }),
			})
		}},
		{name: "for a silent worker", wantRuns: 1, start: func(t *testing.T, guard *poison.Guard, _ *crashProber) *fixture {
			rule := repeatable
			rule.Objective = 50 * time.Millisecond
			return newFixture(t, fixtureOptions{rule: rule, demand: shortPrompt, allowance: 10}, &fakeWorkers{
				run: barOnRun(guard, func(ctx context.Context, _ *backend.Worker) (*Response, error) { return awaitCancel(ctx) }),
			})
		}},
		{name: "for its prefill", wantPrefills: 1, start: func(t *testing.T, guard *poison.Guard, _ *crashProber) *fixture {
			workers := answeringWorkers()
			workers.prefill = func(_ context.Context, _ int, worker *backend.Worker) (*PrefilledPrompt, error) {
				barTestPart(guard, sharedPart)
				return &PrefilledPrompt{Engine: worker, Handle: "h"}, nil
			}
			return newFixture(t, fixtureOptions{rule: repeatable, engine: true, demand: longPrompt, allowance: 10}, workers)
		}},
		{name: "for its prefill, without a retry", wantPrefills: 1, start: func(t *testing.T, guard *poison.Guard, _ *crashProber) *fixture {
			workers := answeringWorkers()
			workers.prefill = func(_ context.Context, _ int, worker *backend.Worker) (*PrefilledPrompt, error) {
				barTestPart(guard, sharedPart)
				return &PrefilledPrompt{Engine: worker, Handle: "h"}, nil
			}
			return newFixture(t, fixtureOptions{rule: repeatable, engine: true, demand: longPrompt}, workers)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			prober := &crashProber{crashed: map[string]bool{}}
			var f *fixture
			guard := poison.NewGuard(poison.DefaultSettings(), prober, time.Now, func(event poison.Event) {
				if ended, is := event.(poison.WorkerCrashed); is {
					f.handler.dispatcher.RecordCrash(ended.Worker.ID, ended.Age)
				}
			})
			f = c.start(t, guard, prober)
			f.handler.SetGuard(guard)
			response, body, err := f.get(t)
			if err != nil || response.StatusCode != http.StatusUnprocessableEntity || !strings.Contains(body, string(ReasonPartBarred)) {
				t.Errorf("got %v, %q, %v, want status %d", response, body, err, http.StatusUnprocessableEntity)
			}
			f.server.Close()
			if runs, prefills := len(f.workers.ranAt), len(f.workers.prefilledAt); runs != c.wantRuns || prefills != c.wantPrefills {
				t.Errorf("%d runs and %d prefills, want %d and %d", runs, prefills, c.wantRuns, c.wantPrefills)
			}
		})
	}
}

// TestRequestOnItsWayIsNotSentOnceItsPartIsBarred guards against a request that reaches a worker although a part of its prompt was barred after
// the worker had been chosen, while a connection opened or the worker was asked for its version.
func TestRequestOnItsWayIsNotSentOnceItsPartIsBarred(t *testing.T) {
	repeatable := routing.Rule{Kind: routing.KindRepeatable, MaxAttempts: 2}
	resumable := routing.Rule{Kind: routing.KindStream, Resumable: true, MaxAttempts: 2}
	finding := streamversion.Finding{Version: streamversion.Version{Service: "g", Software: "a"}, Source: streamversion.SourceOwnRecord}
	for _, c := range []struct {
		name    string
		options fixtureOptions
		// barAt is the number of the connection while which opens the part is barred; 0 bars it while the worker is asked for its version.
		barAt int
		// breaks makes the first run break.
		breaks bool
		// wantPrefills and wantRuns are what reaches workers, before the bar.
		wantPrefills, wantRuns int
	}{
		{name: "connection of a run", options: fixtureOptions{rule: repeatable, demand: shortPrompt}, barAt: 1},
		{name: "connection of the last retry", options: fixtureOptions{rule: repeatable, demand: shortPrompt, allowance: 1}, barAt: 2, breaks: true, wantRuns: 1},
		{name: "connection of a prefill", options: fixtureOptions{rule: repeatable, engine: true, demand: longPrompt}, barAt: 1},
		{name: "connection after a prefill", options: fixtureOptions{rule: repeatable, engine: true, demand: longPrompt}, barAt: 2, wantPrefills: 1},
		{name: "version of the worker", options: fixtureOptions{rule: resumable, engine: true, demand: shortPrompt}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			guard := poison.NewGuard(poison.DefaultSettings(), &crashProber{}, time.Now, func(poison.Event) {})
			workers := &fakeWorkers{run: func(_ context.Context, number int, _ *backend.Worker, _ RunOptions) (*Response, error) {
				if number == 1 && c.breaks {
					return nil, resetError
				}
				return wholeResponse(http.StatusOK, "answer"), nil
			}}
			f := newFixture(t, c.options, workers)
			f.handler.SetGuard(guard)
			f.handler.SetStreamVersions(&fakeStreams{finding: finding})
			if c.options.engine {
				f.setDecoders(0, "a", "a", "a")
			}
			for i := range 3 {
				if worker, found := f.handler.dispatcher.balancer.Worker(fmt.Sprint("engine-0-", i)); found {
					reused := *worker
					reused.Record = "reused"
					f.handler.dispatcher.ChangeWorkers(backend.Changes{Updated: []*backend.Worker{&reused}})
				}
			}
			var isAsked bool
			f.handler.SetConfirmation(func(context.Context, *backend.Worker) error {
				isAsked = true
				barTestPart(guard, sharedPart)
				return nil
			})
			connections := 0
			workers.connecting = func() error {
				if connections++; connections == c.barAt {
					barTestPart(guard, sharedPart)
				}
				return nil
			}
			send := f.get
			if c.barAt == 0 {
				send = f.resume
			}
			response, body, err := send(t)
			if err != nil || response.StatusCode != http.StatusUnprocessableEntity || !strings.Contains(body, string(ReasonPartBarred)) {
				t.Errorf("got %v, %q, %v, want status %d", response, body, err, http.StatusUnprocessableEntity)
			}
			f.server.Close()
			if runs, prefills := len(workers.ranAt), len(workers.prefilledAt); runs != c.wantRuns || prefills != c.wantPrefills {
				t.Errorf("%d runs and %d prefills, want %d and %d", runs, prefills, c.wantRuns, c.wantPrefills)
			}
			if isAsked != (c.barAt == 0) {
				t.Errorf("the worker was asked for its version: %t, so the test checks nothing", isAsked)
			}
			for worker, status := range f.handler.dispatcher.balancer.WorkerStatuses(time.Now(), "g") {
				if !status.Usable || status.Load != (backend.Load{}) {
					t.Errorf("worker %s is usable: %t, with the load %+v", worker.ID, status.Usable, status.Load)
				}
			}
		})
	}
}

// newBarredStreamFixture returns a continuation fixture for prompts with the shared part, and its guard.
func newBarredStreamFixture(t *testing.T, resumable bool) (*fixture, *poison.Guard) {
	t.Helper()
	f := newContinuationFixture(t, resumable, &scriptedFleet{})
	f.handler.protocol = plainProtocol{demand: backend.Demand{PromptTokens: 10, OutputTokens: 10, Segments: shortPrompt.Segments}}
	guard := poison.NewGuard(poison.DefaultSettings(), &crashProber{}, time.Now, func(poison.Event) {})
	f.handler.SetGuard(guard)
	return f, guard
}

// streamKinds are the ways by which a stream can go on at another engine.
var streamKinds = []struct {
	name      string
	resumable bool
}{{"resumed after its last event", true}, {"continued from its copy", false}}

// TestBrokenStreamDoesNotGoOnOnceItsPartIsBarred guards against a stream that breaks or is refused elsewhere and goes on at another engine, or at
// that with its copy, although a part of its prompt is barred by then.
func TestBrokenStreamDoesNotGoOnOnceItsPartIsBarred(t *testing.T) {
	for _, kind := range streamKinds {
		for _, c := range []struct {
			name      string
			responses []scriptedResponse
			// barAt is the number of the run in which the part is barred.
			barAt    int
			wantRuns int
		}{
			{"barred before a break", []scriptedResponse{{3, endBreak}}, 1, 1},
			{"barred before a break within an event", []scriptedResponse{{3, endPartial}}, 1, 1},
			{"barred before the continuation is refused", []scriptedResponse{{3, endBreak}, {0, endRefused}}, 2, 2},
			{"barred before the continuation breaks", []scriptedResponse{{3, endBreak}, {5, endBreak}}, 2, 2},
		} {
			t.Run(kind.name+", "+c.name, func(t *testing.T) {
				t.Parallel()
				f, guard := newBarredStreamFixture(t, kind.resumable)
				f.rule().MaxAttempts = maxReachedWorkers
				scripted := &scriptedFleet{total: 8, responses: c.responses}
				hadBackup, connections := false, 0
				f.workers.connecting = func() error {
					connections++
					return nil
				}
				f.workers.run = func(ctx context.Context, number int, worker *backend.Worker, options RunOptions) (*Response, error) {
					hadBackup = hadBackup || options.Backup != nil
					if number == c.barAt {
						barTestPart(guard, sharedPart)
					}
					return scripted.run(ctx, number, worker, options)
				}
				_, body, err := f.get(t)
				f.server.Close()
				if err == nil || !strings.HasPrefix(events(0, 8), body) || body == "" {
					t.Errorf("got %q, %v, want a stream that is cut off", body, err)
				}
				attempts := len(f.reports.last.Attempts)
				if runs := len(f.workers.ranAt); runs != c.wantRuns || connections != runs || attempts != runs {
					t.Errorf("%d runs in %d attempts on %d connections, want %d", runs, attempts, connections, c.wantRuns)
				}
				if hadBackup == kind.resumable {
					t.Errorf("the stream has a copy: %t, so the test checks nothing", hadBackup)
				}
			})
		}
	}
}

// TestStalledStreamStaysOnceItsPartIsBarred guards against a stream that stalls and goes on at another engine although a part of its prompt was
// barred, and against one that is cut off for that, although its own engine goes on.
func TestStalledStreamStaysOnceItsPartIsBarred(t *testing.T) {
	for _, kind := range streamKinds {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			f, guard := newBarredStreamFixture(t, kind.resumable)
			f.workers.run = pausingRun(func(options RunOptions) {
				if (options.Backup != nil) == kind.resumable {
					t.Errorf("the stream has a copy: %t, so the test checks nothing", options.Backup != nil)
				}
				barTestPart(guard, sharedPart)
			})
			left := func() float64 { return f.handler.dispatcher.Budgets()[0].Left }
			f.handler.dispatcher.RetryBudget("g").isExhausted()
			before := left()
			_, body, err := f.get(t)
			f.server.Close()
			if err != nil || body != events(0, 8) {
				t.Errorf("got %q, %v, want the whole stream", body, err)
			}
			if runs := len(f.workers.ranAt); runs != 1 {
				t.Errorf("%d runs, want 1", runs)
			}
			if after := left(); after < before {
				t.Errorf("%v of %v retries are left, but none was of use", after, before)
			}
		})
	}
}

// TestResumptionIsGuardedInItsGroup guards against a stream that a caller takes up and that goes on in the group of the version which began it,
// while the bars and the crashes of another group of its rule count.
func TestResumptionIsGuardedInItsGroup(t *testing.T) {
	const group = "h"
	rule := routing.Rule{Kind: routing.KindStream, Resumable: true, MaxAttempts: 2}
	f := newFixture(t, fixtureOptions{rule: rule, engine: true, demand: shortPrompt, allowance: 10}, &fakeWorkers{})
	configuration := *f.handler.Table().Configuration()
	other := configuration.Groups[0]
	other.Name = group
	configuration.Groups = append(configuration.Groups, other)
	configuration.Rules[0].Shares = []routing.Share{{Group: "g", Weight: 1}, {Group: group, Weight: 1}}
	f.handler.SetTable(routing.NewTable(&configuration, nil))
	worker := &backend.Worker{ID: "h0", Group: group, Address: "h0", Role: backend.RoleDecode, Slots: 4, SoftwareVersion: "a"}
	f.handler.dispatcher.ChangeWorkers(backend.Changes{Updated: []*backend.Worker{worker}})
	version := streamversion.Version{Service: group, Software: "a"}
	f.handler.SetStreamVersions(&fakeStreams{finding: streamversion.Finding{Version: version, Source: streamversion.SourceOwnRecord}})
	prober := &crashProber{crashed: map[string]bool{}}
	var crashed []poison.Part
	guard := poison.NewGuard(poison.DefaultSettings(), prober, time.Now, func(event poison.Event) {
		if ended, is := event.(poison.WorkerCrashed); is {
			crashed = ended.Parts
		}
	})
	f.handler.SetGuard(guard)
	f.workers.run = func(context.Context, int, *backend.Worker, RunOptions) (*Response, error) {
		prober.crash(worker.ID)
		return nil, resetError
	}
	if _, _, err := f.resume(t); err != nil {
		t.Fatal(err)
	}
	if want := poison.NewPart(group, sharedPart.ID); len(crashed) != 1 || crashed[0] != want {
		t.Errorf("the crash counts against the parts %v, want %v", crashed, want)
	}
	// The groups of the rule take turns.
	const turns = 2
	barTestPart(guard, poison.NewPart(group, sharedPart.ID))
	ran := len(f.workers.ranAt)
	for turn := range turns {
		response, body, err := f.resume(t)
		if err != nil || response.StatusCode != http.StatusUnprocessableEntity || !strings.Contains(body, string(ReasonPartBarred)) {
			t.Errorf("turn %d: got %v, %q, %v, want status %d", turn, response, body, err, http.StatusUnprocessableEntity)
		}
	}
	if runs := len(f.workers.ranAt) - ran; runs > 0 {
		t.Errorf("%d requests with the barred part reached workers", runs)
	}
}

// TestTrialEndsWithItsFirstSend guards against a trial of a barred part that is used up without having reached a worker, so that a mistaken bar
// lasts until the next one, and against one that reaches several.
func TestTrialEndsWithItsFirstSend(t *testing.T) {
	for _, c := range []struct {
		name string
		// first is the error of the first attempt.
		first                error
		wantStatus, wantRuns int
	}{
		{"the first worker is not reached", connectError, http.StatusOK, 1},
		{"the first worker refuses the request", refusalError, http.StatusUnprocessableEntity, 1},
		{"the first worker breaks off", resetError, http.StatusUnprocessableEntity, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			workers := &fakeWorkers{}
			connections := 0
			workers.connecting = func() error {
				if connections++; connections == 1 && c.first == connectError {
					return connectError
				}
				return nil
			}
			workers.run = func(_ context.Context, number int, _ *backend.Worker, _ RunOptions) (*Response, error) {
				if number == 1 && c.first != connectError {
					return nil, c.first
				}
				return wholeResponse(http.StatusOK, "answer"), nil
			}
			rule := routing.Rule{Kind: routing.KindRepeatable, MaxAttempts: 2}
			f := newFixture(t, fixtureOptions{rule: rule, demand: shortPrompt, allowance: 10}, workers)
			var elapsed time.Duration
			guard := poison.NewGuard(poison.DefaultSettings(), &crashProber{}, func() time.Time { return time.Now().Add(elapsed) }, func(poison.Event) {})
			f.handler.SetGuard(guard)
			now := time.Now()
			guard.ApplyBar(poison.Bar{
				Digest: sharedPart.Digest(), Part: sharedPart, Workers: []string{"gone-1", "gone-2", "gone-3"}, Times: 1, Since: now, Until: now.Add(time.Hour),
				TrialDelay: time.Second,
			})
			elapsed = time.Second + 2*poison.DefaultSettings().Parts.TrialHearing
			if response, body, err := f.get(t); err != nil || response.StatusCode != c.wantStatus {
				t.Errorf("got %v, %q, %v, want status %d", response, body, err, c.wantStatus)
			}
			if runs := len(workers.ranAt); runs != c.wantRuns {
				t.Errorf("%d runs, want %d", runs, c.wantRuns)
			}
		})
	}
}

// TestGatewayThatHearsNoOthersBeginsNoTrial guards against standby gateways that each repeat a trial which another gateway has begun, at the cost of a
// worker each.
func TestGatewayThatHearsNoOthersBeginsNoTrial(t *testing.T) {
	workers := answeringWorkers()
	f := newFixture(t, fixtureOptions{rule: routing.Rule{Kind: routing.KindRepeatable}, demand: shortPrompt}, workers)
	var elapsed time.Duration
	guard := poison.NewGuard(poison.DefaultSettings(), &crashProber{}, func() time.Time { return time.Now().Add(elapsed) }, func(poison.Event) {})
	f.handler.SetGuard(guard)
	hearsOthers := false
	f.handler.SetTrialKnowledge(func() bool { return hearsOthers })
	now := time.Now()
	guard.ApplyBar(poison.Bar{
		Digest: sharedPart.Digest(), Part: sharedPart, Workers: []string{"gone-1", "gone-2", "gone-3"}, Times: 1, Since: now, Until: now.Add(time.Hour),
		TrialDelay: time.Second,
	})
	elapsed = time.Second + 2*poison.DefaultSettings().Parts.TrialHearing
	for _, want := range []int{http.StatusUnprocessableEntity, http.StatusOK} {
		if response, body, err := f.get(t); err != nil || response.StatusCode != want {
			t.Errorf("hears others %t: got %v, %q, %v, want status %d", hearsOthers, response, body, err, want)
		}
		hearsOthers = true
	}
	if len(workers.ranAt) != 1 {
		t.Errorf("%d requests with the barred part reached workers, want 1", len(workers.ranAt))
	}
}

// answeringWorkers returns workers that answer each run.
func answeringWorkers() *fakeWorkers {
	return &fakeWorkers{run: func(context.Context, int, *backend.Worker, RunOptions) (*Response, error) {
		return wholeResponse(http.StatusOK, "answer"), nil
	}}
}
