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
)

// fakeProber answers for each worker what became of it.
type fakeProber struct {
	mu      sync.Mutex
	crashed map[string]bool
	silent  map[string]bool
	probes  int
}

// errNoAnswer is that of a worker that neither opens nor refuses.
var errNoAnswer = errors.New("no answer")

// Refuses is part of Prober.
func (p *fakeProber) Refuses(_ context.Context, worker *backend.Worker) (bool, error) {
	time.Sleep(time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probes++
	if p.silent[worker.ID] {
		return false, errNoAnswer
	}
	return p.crashed[worker.ID], nil
}

// end has a worker end.
func (p *fakeProber) crash(worker string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashed[worker] = true
}

// guarded is a guard with what it told.
type testGuard struct {
	*Guard
	prober *fakeProber
	mu     sync.Mutex
	events []string
}

// newGuarded returns a guard of some workers that are recorded.
func newTestGuard(workers backend.Set) *testGuard {
	g := &testGuard{prober: &fakeProber{crashed: map[string]bool{}, silent: map[string]bool{}}}
	g.Guard = NewGuard(DefaultSettings(), g.prober, time.Now, func(event Event) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.events = append(g.events, fmt.Sprintf("%T", event))
	})
	setWorkers(g, workers)
	return g
}

// settle lets everything be asked and judged.
func waitForEvaluation() {
	time.Sleep(2 * DefaultSettings().SettleDelay)
	synctest.Wait()
}

// setRecorded has a guard know these workers in place of those before.
func setWorkers(g *testGuard, workers backend.Set) { g.ChangeWorkers(workers.Since(g.registered)) }

// recorded are some workers.
func workerSet(ids ...string) backend.Set {
	set := backend.Set{}
	for _, id := range ids {
		set[id] = &backend.Worker{ID: id, Address: id}
	}
	return set
}

func TestWorkerCrashesBarRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := workerSet("w1", "w2", "w3")
		g := newTestGuard(workers)
		killer, harmless := digestNamed("killer"), digestNamed("innocent")
		for id, worker := range workers {
			time.Sleep(2 * DefaultSettings().MinCrashInterval)
			g.prober.crash(id)
			g.Broke(worker, killer, "rule", "")
			if id == "w1" {
				g.Broke(worker, harmless, "rule", "")
			}
		}
		waitForEvaluation()
		if got, _ := g.Standing(killer); got != Barred {
			t.Errorf("after three ends the standing is %d", got)
		}
		if got, _ := g.Standing(harmless); got != Clear {
			t.Errorf("the standing of one that ran beside it is %d", got)
		}
		if g.prober.probes != 3 {
			t.Errorf("%d workers were asked", g.prober.probes)
		}
		if got := fmt.Sprint(g.events); got != "[poison.WorkerEnded poison.WorkerEnded poison.WorkerEnded poison.Made]" {
			t.Errorf("told %s", got)
		}
	})
}

// TestWhatIsNoEndCountsForNothing breaks connections to workers that live, that leave as they said or without a word, and that fall
// silent while their records stay.
func TestBrokenConnectionWithoutCrashIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := workerSet("lives", "silent", "leaves", "says-so")
		g := newTestGuard(workers)
		g.prober.silent["silent"] = true
		g.prober.crash("leaves")
		g.prober.crash("says-so")
		leaving := *workers["says-so"]
		leaving.Draining = true
		setWorkers(g, backend.Set{"lives": workers["lives"], "silent": workers["silent"], "says-so": &leaving})
		digest := digestNamed("asked")
		for _, worker := range workers {
			g.Broke(worker, digest, "rule", "")
		}
		waitForEvaluation()
		time.Sleep(2 * recordTimeout)
		setWorkers(g, backend.Set{"lives": workers["lives"]})
		waitForEvaluation()
		if got, bar := g.Standing(digest); got != Clear || g.Watches() {
			t.Errorf("the standing is %d: %+v", got, bar)
		}
	})
}

// TestARecordThatGoesShowsAnEnd has a worker that gives no answer lose its record.
func TestRemovedRecordCountsAsCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := workerSet("w1")
		g := newTestGuard(workers)
		g.prober.silent["w1"] = true
		digest := digestNamed("asked")
		g.Broke(workers["w1"], digest, "rule", "")
		waitForEvaluation()
		if got, _ := g.Standing(digest); got != Clear {
			t.Errorf("before the record went the standing is %d", got)
		}
		setWorkers(g, backend.Set{})
		if got, _ := g.Standing(digest); got != Suspected {
			t.Errorf("then it is %d", got)
		}
		g.EndedWell(digest)
		if got, _ := g.Standing(digest); got != Clear {
			t.Errorf("after a good end it is %d", got)
		}
	})
}

// TestGuardsAgree has three gateways see one end each, with others beside it, and tell each other.
func TestGuardsConverge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := workerSet("w1", "w2", "w3")
		var guards []*testGuard
		for range 3 {
			guards = append(guards, newTestGuard(workers))
		}
		for i, g := range guards {
			g.ShareWith(func(bool) {
				go func() {
					time.Sleep(5 * time.Millisecond)
					update := g.Tell(false)
					for _, other := range guards {
						if other != g {
							other.Hear(update)
						}
					}
				}()
			})
			g.prober.crash(fmt.Sprint("w", i+1))
		}
		killer, bystander := digestNamed("killer"), digestNamed("unlucky")
		for i, g := range guards {
			worker := workers[fmt.Sprint("w", i+1)]
			g.Broke(worker, killer, "rule", "")
			// The unlucky one was sent through another gateway each time, and ran beside it twice.
			if i < 2 {
				other := guards[(i+1)%3]
				other.prober.crash(worker.ID)
				other.Broke(worker, bystander, "rule", "")
			}
			time.Sleep(40 * time.Millisecond)
		}
		waitForEvaluation()
		for i, g := range guards {
			if got, _ := g.Standing(killer); got != Barred {
				t.Errorf("at gateway %d the standing is %d", i, got)
			}
			if got, _ := g.Standing(bystander); got != Clear {
				t.Errorf("at gateway %d the standing of the unlucky one is %d", i, got)
			}
		}
	})
}

// TestOneThatGaveASilentWorkerUpIsSuspectedOfItsEnd has a request be given up by workers that end a moment later, as others show.
func TestCrashOfAbandonedWorkerIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := workerSet("w1", "w2", "lives")
		g := newTestGuard(workers)
		g.prober.crash("w1")
		abandoned, crashing := digestNamed("slow"), digestNamed("other")
		for _, worker := range workers {
			g.Left(worker, abandoned, "rule", "")
		}
		time.Sleep(time.Second)
		g.Broke(workers["w1"], crashing, "rule", "")
		waitForEvaluation()
		setWorkers(g, backend.Set{"w1": workers["w1"], "lives": workers["lives"]})
		if got, bar := g.Standing(abandoned); got != Suspected || fmt.Sprint(bar.Workers) != "[w1 w2]" {
			t.Errorf("the standing is %d: %+v", got, bar)
		}
		time.Sleep(2 * recordTimeout)
		setWorkers(g, backend.Set{"w1": workers["w1"]})
		if _, bar := g.Standing(abandoned); len(bar.Workers) != 2 {
			t.Errorf("a worker that went long after counts: %+v", bar)
		}
	})
}

// TestAnEndIsToldOnce has more connections break once a worker is known to have ended, as those of all its requests do.
func TestCrashIsReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := workerSet("w1")
		g := newTestGuard(workers)
		g.prober.crash("w1")
		for i := range 5 {
			digest := digestNamed(fmt.Sprint(i))
			g.Broke(workers["w1"], digest, "rule", "")
			time.Sleep(3 * time.Millisecond)
			synctest.Wait()
			if got, _ := g.Standing(digest); got != Suspected {
				t.Errorf("the standing of request %d is %d", i, got)
			}
		}
		if got := fmt.Sprint(g.events); got != "[poison.WorkerEnded]" {
			t.Errorf("told %s", got)
		}
	})
}
