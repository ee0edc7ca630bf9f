package poison

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/completeness"
)

// fakeProber returns probe results from the configured state of the workers.
type fakeProber struct {
	mu           sync.Mutex
	crashed      map[string]bool
	unresponsive map[string]bool
	// replaced are the workers at whose addresses another process answers.
	replaced map[string]bool
	probes   int
}

// errProbeTimeout is the result for an unresponsive worker, which neither accepts nor refuses connections.
var errProbeTimeout = errors.New("probe timeout")

// RefusesConnections implements Prober.
func (p *fakeProber) RefusesConnections(_ context.Context, worker *backend.Worker) (bool, error) {
	time.Sleep(time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probes++
	if p.unresponsive[worker.ID] {
		return false, errProbeTimeout
	}
	return p.crashed[worker.ID], nil
}

// Look implements Prober.
func (p *fakeProber) Look(ctx context.Context, worker *backend.Worker, _ time.Duration) completeness.Worker {
	refuses, err := p.RefusesConnections(ctx, worker)
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err != nil:
		return completeness.WorkerUnseen
	case refuses:
		return completeness.WorkerRefuses
	case p.replaced[worker.ID]:
		return completeness.WorkerReplaced
	default:
		return completeness.WorkerAlive
	}
}

// crash makes probes of a worker report a crash.
func (p *fakeProber) crash(worker string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashed[worker] = true
}

// replace makes another process answer at the address of a worker.
func (p *fakeProber) replace(worker string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replaced[worker], p.unresponsive[worker] = true, false
}

// testGuard is a guard that records the types of its events.
type testGuard struct {
	*Guard
	prober *fakeProber
	mu     sync.Mutex
	events []string
}

// newTestGuard returns a guard with some registered workers.
func newTestGuard(workers backend.Set) *testGuard {
	g := &testGuard{prober: &fakeProber{crashed: map[string]bool{}, unresponsive: map[string]bool{}, replaced: map[string]bool{}}}
	g.Guard = NewGuard(DefaultSettings(), g.prober, time.Now, func(event Event) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.events = append(g.events, fmt.Sprintf("%T", event))
	})
	setWorkers(g, workers)
	return g
}

// waitForEvaluation waits until all probes and evaluations are done.
func waitForEvaluation() {
	time.Sleep(2 * DefaultSettings().SettleDelay)
	synctest.Wait()
}

// setWorkers replaces the registered workers.
func setWorkers(g *testGuard, workers backend.Set) { g.UpdateWorkers(workers.Diff(g.registered)) }

// workerSet returns workers with the given ids.
func workerSet(ids ...string) backend.Set {
	set := backend.Set{}
	for _, id := range ids {
		set[id] = &backend.Worker{ID: id, Address: id}
	}
	return set
}

// TestWorkerCrashesBarRequest guards against a request that crashes three workers and is not barred, and against evidence that remains
// on a request that ran beside it.
func TestWorkerCrashesBarRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := workerSet("w1", "w2", "w3")
		g := newTestGuard(workers)
		killer, harmless := digestNamed("killer"), digestNamed("harmless")
		for id, worker := range workers {
			time.Sleep(2 * DefaultSettings().MinCrashInterval)
			g.prober.crash(id)
			g.ConnectionBroke(worker, Run{Digest: killer, Rule: "rule"})
			if id == "w1" {
				g.ConnectionBroke(worker, Run{Digest: harmless, Rule: "rule"})
			}
		}
		waitForEvaluation()
		if got, _ := g.Status(killer); got != Barred {
			t.Errorf("after three crashes: status %d, want Barred", got)
		}
		if got, _ := g.Status(harmless); got != Clear {
			t.Errorf("harmless request: status %d, want Clear", got)
		}
		if g.prober.probes != 3 {
			t.Errorf("%d probes, want 3", g.prober.probes)
		}
		if got := fmt.Sprint(g.events); got != "[poison.WorkerCrashed poison.WorkerCrashed poison.WorkerCrashed poison.BarCreated]" {
			t.Errorf("events: %s", got)
		}
	})
}

// TestBrokenConnectionWithoutCrashIsIgnored guards against counting broken connections to workers that run, that drain or removed their
// record, and that are unresponsive but still have a record.
func TestBrokenConnectionWithoutCrashIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := workerSet("running", "unresponsive", "deregistered", "draining")
		g := newTestGuard(workers)
		g.prober.unresponsive["unresponsive"] = true
		g.prober.crash("deregistered")
		g.prober.crash("draining")
		draining := *workers["draining"]
		draining.Draining = true
		setWorkers(g, backend.Set{"running": workers["running"], "unresponsive": workers["unresponsive"], "draining": &draining})
		digest := digestNamed("request")
		for _, worker := range workers {
			g.ConnectionBroke(worker, Run{Digest: digest, Rule: "rule"})
		}
		waitForEvaluation()
		time.Sleep(2 * recordTimeout)
		setWorkers(g, backend.Set{"running": workers["running"]})
		waitForEvaluation()
		if got, bar := g.Status(digest); got != Clear || g.HasSuspects() {
			t.Errorf("status %d, bar %+v", got, bar)
		}
	})
}

// TestRemovedRecordCountsAsCrash guards against missing the crash of a worker that does not respond to probes and whose record is removed.
func TestRemovedRecordCountsAsCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := workerSet("w1")
		g := newTestGuard(workers)
		g.prober.unresponsive["w1"] = true
		digest := digestNamed("request")
		g.ConnectionBroke(workers["w1"], Run{Digest: digest, Rule: "rule"})
		waitForEvaluation()
		if got, _ := g.Status(digest); got != Clear {
			t.Errorf("before the record was removed: status %d, want Clear", got)
		}
		setWorkers(g, backend.Set{})
		if got, _ := g.Status(digest); got != Suspected {
			t.Errorf("after the record was removed: status %d, want Suspected", got)
		}
		g.RecordSuccess(digest)
		if got, _ := g.Status(digest); got != Clear {
			t.Errorf("after a success: status %d, want Clear", got)
		}
	})
}

// TestGuardsConverge guards against three gateways that see one crash each and do not all bar the killer, or suspect a request that ran
// beside it.
func TestGuardsConverge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := workerSet("w1", "w2", "w3")
		var guards []*testGuard
		for range 3 {
			guards = append(guards, newTestGuard(workers))
		}
		for i, g := range guards {
			g.NotifyUpdates(func(bool) {
				go func() {
					time.Sleep(5 * time.Millisecond)
					update := g.TakeUpdate(false)
					for _, other := range guards {
						if other != g {
							other.ApplyUpdate(update)
						}
					}
				}()
			})
			g.prober.crash(fmt.Sprint("w", i+1))
		}
		killer, harmless := digestNamed("killer"), digestNamed("harmless")
		for i, g := range guards {
			worker := workers[fmt.Sprint("w", i+1)]
			g.ConnectionBroke(worker, Run{Digest: killer, Rule: "rule"})
			// The harmless request runs beside the killer twice, each time through another gateway.
			if i < 2 {
				other := guards[(i+1)%3]
				other.prober.crash(worker.ID)
				other.ConnectionBroke(worker, Run{Digest: harmless, Rule: "rule"})
			}
			time.Sleep(40 * time.Millisecond)
		}
		waitForEvaluation()
		for i, g := range guards {
			if got, _ := g.Status(killer); got != Barred {
				t.Errorf("gateway %d: killer has status %d, want Barred", i, got)
			}
			if got, _ := g.Status(harmless); got != Clear {
				t.Errorf("gateway %d: harmless request has status %d, want Clear", i, got)
			}
		}
	})
}

// TestCrashOfAbandonedWorkerIsCounted guards against a crash that does not count against a request that abandoned the worker shortly
// before.
func TestCrashOfAbandonedWorkerIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := workerSet("w1", "w2", "running")
		g := newTestGuard(workers)
		g.prober.crash("w1")
		abandoned, crashing := digestNamed("slow"), digestNamed("other")
		for _, worker := range workers {
			g.Abandoned(worker, Run{Digest: abandoned, Rule: "rule"})
		}
		time.Sleep(time.Second)
		g.ConnectionBroke(workers["w1"], Run{Digest: crashing, Rule: "rule"})
		waitForEvaluation()
		setWorkers(g, backend.Set{"w1": workers["w1"], "running": workers["running"]})
		if got, bar := g.Status(abandoned); got != Suspected || fmt.Sprint(bar.Workers) != "[w1 w2]" {
			t.Errorf("status %d, bar %+v", got, bar)
		}
		time.Sleep(2 * recordTimeout)
		setWorkers(g, backend.Set{"w1": workers["w1"]})
		if _, bar := g.Status(abandoned); len(bar.Workers) != 2 {
			t.Errorf("a record removed long after the request counts as a crash: %+v", bar)
		}
	})
}

// TestSuccessorAtAddressIsNoSignOfLife guards against a crash that is not counted because another process accepts connections at the address of the
// worker by the time of the probe, as after the end of a response that was confirmed only then.
func TestSuccessorAtAddressIsNoSignOfLife(t *testing.T) {
	for _, looksWhole := range []bool{false, true} {
		t.Run(fmt.Sprintf("the end looks whole: %t", looksWhole), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				workers := workerSet("w1")
				g := newTestGuard(workers)
				part := NewPart("g", "a1")
				first, second := digestNamed("first"), digestNamed("second")
				endedAt := time.Now()
				g.prober.unresponsive["w1"] = true
				// The connections of one request break at once.
				g.ConnectionBroke(workers["w1"], Run{Digest: first, Rule: "rule", Parts: []Part{part}})
				time.AfterFunc(600*time.Millisecond, func() { g.prober.replace("w1") })
				if looksWhole {
					if got := g.ConfirmEnd(t.Context(), workers["w1"], completeness.StreamSettleTime); got != completeness.Cut {
						t.Errorf("the end of the response: %v, want Cut", got)
					}
				} else {
					time.Sleep(700 * time.Millisecond)
				}
				g.ConnectionBroke(workers["w1"], Run{Digest: second, Rule: "rule", Parts: []Part{part}})
				waitForEvaluation()
				for _, digest := range []Digest{first, second} {
					if got, _ := g.Status(digest); got != Suspected {
						t.Errorf("request %x: status %d, want Suspected", digest[:2], got)
					}
				}
				if got := g.parts.parts[part]; got == nil || !got.crashes["w1"].Equal(endedAt) {
					t.Errorf("the evidence against the part is %+v, want a crash at %v", got, endedAt)
				}
				if got := fmt.Sprint(g.events); got != "[poison.WorkerCrashed]" {
					t.Errorf("events: %s", got)
				}
			})
		})
	}
}

// TestCrashIsReportedOnce guards against repeated events when the connections of several requests break in a row.
func TestCrashIsReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := workerSet("w1")
		g := newTestGuard(workers)
		g.prober.crash("w1")
		for i := range 5 {
			digest := digestNamed(fmt.Sprint(i))
			g.ConnectionBroke(workers["w1"], Run{Digest: digest, Rule: "rule"})
			time.Sleep(3 * time.Millisecond)
			synctest.Wait()
			if got, _ := g.Status(digest); got != Suspected {
				t.Errorf("request %d: status %d, want Suspected", i, got)
			}
		}
		if got := fmt.Sprint(g.events); got != "[poison.WorkerCrashed]" {
			t.Errorf("events: %s", got)
		}
	})
}

// TestEndOfResponseIsTimeOfCrash guards against crashes that count as later than they were because evidence for the end of a response was awaited, and
// against requests that are held against a worker which was seen alive.
func TestEndOfResponseIsTimeOfCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &backend.Worker{ID: "w", Group: "g", Address: "w"}
		prober := &fakeProber{crashed: map[string]bool{}, unresponsive: map[string]bool{}, replaced: map[string]bool{}}
		var crashed WorkerCrashed
		guard := NewGuard(DefaultSettings(), prober, time.Now, func(event Event) {
			if found, is := event.(WorkerCrashed); is {
				crashed = found
			}
		})
		guard.UpdateWorkers(backend.Set{"w": worker}.Diff(backend.Set{}))
		if got := guard.ConfirmEnd(t.Context(), worker, completeness.SettleTime); got != completeness.Whole || len(guard.disconnected) != 0 {
			t.Errorf("got %v with %d workers that may have crashed, want a whole response", got, len(guard.disconnected))
		}
		prober.unresponsive["w"] = true
		endedAt := time.Now()
		if got := guard.ConfirmEnd(t.Context(), worker, completeness.SettleTime); got != completeness.Unknown || time.Since(endedAt) < time.Second {
			t.Errorf("got %v after %v, want an unknown end after some time", got, time.Since(endedAt))
		}
		<-guard.ConnectionBroke(worker, Run{Digest: Digest{1}, Rule: "rule"})
		guard.UpdateWorkers(backend.Changes{Removed: []string{"w"}})
		if took := time.Since(endedAt); crashed.Age != took || len(crashed.Requests) != 1 {
			t.Errorf("the crash was %v ago, with %d requests; want %v, with one", crashed.Age, len(crashed.Requests), took)
		}
	})
}
