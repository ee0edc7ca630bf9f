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
	mu     sync.Mutex
	ended  map[string]bool
	silent map[string]bool
	asked  int
}

// errNoAnswer is that of a worker that neither opens nor refuses.
var errNoAnswer = errors.New("no answer")

// Refuses is part of Prober.
func (p *fakeProber) Refuses(_ context.Context, worker *backend.Worker) (bool, error) {
	time.Sleep(time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked++
	if p.silent[worker.ID] {
		return false, errNoAnswer
	}
	return p.ended[worker.ID], nil
}

// end has a worker end.
func (p *fakeProber) end(worker string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended[worker] = true
}

// guarded is a guard with what it told.
type guarded struct {
	*Guard
	prober *fakeProber
	mu     sync.Mutex
	events []string
}

// newGuarded returns a guard of some workers that are recorded.
func newGuarded(workers backend.Set) *guarded {
	g := &guarded{prober: &fakeProber{ended: map[string]bool{}, silent: map[string]bool{}}}
	g.Guard = NewGuard(DefaultSettings(), g.prober, time.Now, func(event Event) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.events = append(g.events, fmt.Sprintf("%T", event))
	})
	setRecorded(g, workers)
	return g
}

// settle lets everything be asked and judged.
func settle() {
	time.Sleep(2 * DefaultSettings().Settle)
	synctest.Wait()
}

// setRecorded has a guard know these workers in place of those before.
func setRecorded(g *guarded, workers backend.Set) { g.ChangeWorkers(workers.Since(g.recorded)) }

// recorded are some workers.
func recorded(ids ...string) backend.Set {
	set := backend.Set{}
	for _, id := range ids {
		set[id] = &backend.Worker{ID: id, Address: id}
	}
	return set
}

func TestWorkersThatEndBarARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := recorded("w1", "w2", "w3")
		g := newGuarded(workers)
		killer, innocent := digestNamed("killer"), digestNamed("innocent")
		for id, worker := range workers {
			time.Sleep(2 * DefaultSettings().Moment)
			g.prober.end(id)
			g.Broke(worker, killer, "rule", "")
			if id == "w1" {
				g.Broke(worker, innocent, "rule", "")
			}
		}
		settle()
		if got, _ := g.Standing(killer); got != Barred {
			t.Errorf("after three ends the standing is %d", got)
		}
		if got, _ := g.Standing(innocent); got != Clear {
			t.Errorf("the standing of one that ran beside it is %d", got)
		}
		if g.prober.asked != 3 {
			t.Errorf("%d workers were asked", g.prober.asked)
		}
		if told := fmt.Sprint(g.events); told != "[poison.WorkerEnded poison.WorkerEnded poison.WorkerEnded poison.Made]" {
			t.Errorf("told %s", told)
		}
	})
}

// TestWhatIsNoEndCountsForNothing breaks connections to workers that live, that leave as they said or without a word, and that fall
// silent while their records stay.
func TestWhatIsNoEndCountsForNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := recorded("lives", "silent", "leaves", "says-so")
		g := newGuarded(workers)
		g.prober.silent["silent"] = true
		g.prober.end("leaves")
		g.prober.end("says-so")
		leaving := *workers["says-so"]
		leaving.Draining = true
		setRecorded(g, backend.Set{"lives": workers["lives"], "silent": workers["silent"], "says-so": &leaving})
		asked := digestNamed("asked")
		for _, worker := range workers {
			g.Broke(worker, asked, "rule", "")
		}
		settle()
		time.Sleep(2 * recordTime)
		setRecorded(g, backend.Set{"lives": workers["lives"]})
		settle()
		if got, bar := g.Standing(asked); got != Clear || g.Watches() {
			t.Errorf("the standing is %d: %+v", got, bar)
		}
	})
}

// TestARecordThatGoesShowsAnEnd has a worker that gives no answer lose its record.
func TestARecordThatGoesShowsAnEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := recorded("w1")
		g := newGuarded(workers)
		g.prober.silent["w1"] = true
		asked := digestNamed("asked")
		g.Broke(workers["w1"], asked, "rule", "")
		settle()
		if got, _ := g.Standing(asked); got != Clear {
			t.Errorf("before the record went the standing is %d", got)
		}
		setRecorded(g, backend.Set{})
		if got, _ := g.Standing(asked); got != Suspected {
			t.Errorf("then it is %d", got)
		}
		g.EndedWell(asked)
		if got, _ := g.Standing(asked); got != Clear {
			t.Errorf("after a good end it is %d", got)
		}
	})
}

// TestGuardsAgree has three gateways see one end each, with others beside it, and tell each other.
func TestGuardsAgree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := recorded("w1", "w2", "w3")
		var guards []*guarded
		for range 3 {
			guards = append(guards, newGuarded(workers))
		}
		for i, g := range guards {
			g.ShareWith(func(bool) {
				go func() {
					time.Sleep(5 * time.Millisecond)
					told := g.Tell(false)
					for _, other := range guards {
						if other != g {
							other.Hear(told)
						}
					}
				}()
			})
			g.prober.end(fmt.Sprint("w", i+1))
		}
		killer, unlucky := digestNamed("killer"), digestNamed("unlucky")
		for i, g := range guards {
			worker := workers[fmt.Sprint("w", i+1)]
			g.Broke(worker, killer, "rule", "")
			// The unlucky one was sent through another gateway each time, and ran beside it twice.
			if i < 2 {
				other := guards[(i+1)%3]
				other.prober.end(worker.ID)
				other.Broke(worker, unlucky, "rule", "")
			}
			time.Sleep(40 * time.Millisecond)
		}
		settle()
		for i, g := range guards {
			if got, _ := g.Standing(killer); got != Barred {
				t.Errorf("at gateway %d the standing is %d", i, got)
			}
			if got, _ := g.Standing(unlucky); got != Clear {
				t.Errorf("at gateway %d the standing of the unlucky one is %d", i, got)
			}
		}
	})
}

// TestOneThatGaveASilentWorkerUpIsSuspectedOfItsEnd has a request be given up by workers that end a moment later, as others show.
func TestOneThatGaveASilentWorkerUpIsSuspectedOfItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := recorded("w1", "w2", "lives")
		g := newGuarded(workers)
		g.prober.end("w1")
		slow, other := digestNamed("slow"), digestNamed("other")
		for _, worker := range workers {
			g.Left(worker, slow, "rule", "")
		}
		time.Sleep(time.Second)
		g.Broke(workers["w1"], other, "rule", "")
		settle()
		setRecorded(g, backend.Set{"w1": workers["w1"], "lives": workers["lives"]})
		if got, bar := g.Standing(slow); got != Suspected || fmt.Sprint(bar.Workers) != "[w1 w2]" {
			t.Errorf("the standing is %d: %+v", got, bar)
		}
		time.Sleep(2 * recordTime)
		setRecorded(g, backend.Set{"w1": workers["w1"]})
		if _, bar := g.Standing(slow); len(bar.Workers) != 2 {
			t.Errorf("a worker that went long after counts: %+v", bar)
		}
	})
}

// TestAnEndIsToldOnce has more connections break once a worker is known to have ended, as those of all its requests do.
func TestAnEndIsToldOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := recorded("w1")
		g := newGuarded(workers)
		g.prober.end("w1")
		for i := range 5 {
			asked := digestNamed(fmt.Sprint(i))
			g.Broke(workers["w1"], asked, "rule", "")
			time.Sleep(3 * time.Millisecond)
			synctest.Wait()
			if got, _ := g.Standing(asked); got != Suspected {
				t.Errorf("the standing of request %d is %d", i, got)
			}
		}
		if told := fmt.Sprint(g.events); told != "[poison.WorkerEnded]" {
			t.Errorf("told %s", told)
		}
	})
}
