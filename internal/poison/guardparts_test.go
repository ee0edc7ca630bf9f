package poison

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
)

// versionSet returns workers of a service, two of the version "good" and the others of the version "bad".
func versionSet(bad int) backend.Set {
	set := backend.Set{}
	for i := range bad + 2 {
		worker := &backend.Worker{ID: fmt.Sprint("w", i), Address: fmt.Sprint("w", i), Group: "g", SoftwareVersion: "bad"}
		if i >= bad {
			worker.SoftwareVersion = "good"
		}
		set[worker.ID] = worker
	}
	return set
}

// crashUnder makes the workers with the given numbers crash one after the other, under different requests with the part b.
func crashUnder(g *testGuard, workers backend.Set, numbers ...int) {
	for _, number := range numbers {
		time.Sleep(2 * DefaultSettings().MinCrashInterval)
		worker := workers[fmt.Sprint("w", number)]
		g.prober.crash(worker.ID)
		g.ConnectionBroke(worker, Run{Digest: digestNamed(worker.ID), Rule: "rule", Parts: []Part{part("b"), part("c" + worker.ID)}})
	}
}

// newLearnedGuard returns a guard that knows the popular parts.
func newLearnedGuard(workers backend.Set) *testGuard { return newLearnedGuards(workers, 1)[0] }

// newLearnedGuards returns guards that know the popular parts.
func newLearnedGuards(workers backend.Set, count int) []*testGuard {
	guards := make([]*testGuard, count)
	for i := range guards {
		guards[i] = newTestGuard(workers)
		for range DefaultSettings().Parts.LearningAnswers {
			guards[i].RecordAnswer(workers["w0"], guards[i].Now(), []Part{part("other")})
		}
	}
	time.Sleep(DefaultSettings().Parts.LearningTime)
	return guards
}

// TestPartIsBarredAtOneVersion guards against crashes at one version that answers of another one clear, against a bar that keeps requests from
// the other version, and against trials at a version that does not crash.
func TestPartIsBarredAtOneVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers, parts := versionSet(4), []Part{part("b")}
		g := newLearnedGuard(workers)
		for number := range 3 {
			crashUnder(g, workers, number)
			time.Sleep(10 * time.Millisecond)
			g.RecordAnswer(workers["w5"], g.Now(), parts)
		}
		waitForEvaluation()
		versions, bar := g.BarredVersions("g", parts)
		if !slices.Equal(versions, []string{"bad"}) || bar.Part != part("b").AtVersion("bad") {
			t.Errorf("the part is barred at %v by %v, want at version bad", versions, bar.Part)
		}
		if status, _ := g.PartStatus(parts); status != Clear {
			t.Errorf("at all workers the part has status %d, want %d", status, Clear)
		}
		time.Sleep(DefaultSettings().Parts.TrialDelay)
		if trial := g.BeginTrial("g", parts, func(Part, int) bool { return true }); trial != bar.Part {
			t.Errorf("the trial is that of %v, want %v", trial, bar.Part)
		}
		g.RecordAnswer(workers["w5"], g.Now(), parts)
		if versions, _ := g.BarredVersions("g", parts); len(versions) != 1 {
			t.Errorf("after an answer of the other version the part is barred at %v", versions)
		}
		g.RecordAnswer(workers["w3"], g.Now(), parts)
		if versions, _ := g.BarredVersions("g", parts); len(versions) != 0 {
			t.Errorf("after an answer of the version the part is barred at %v", versions)
		}
	})
}

// TestOneVersionKeepsOneEvidence guards against evidence that is kept twice where all workers of a service are of one version, also after a
// worker changed its version or went.
func TestOneVersionKeepsOneEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := versionSet(4)
		g := newLearnedGuard(workers)
		left := backend.Set{}
		for id, worker := range workers {
			same := *worker
			same.SoftwareVersion = "bad"
			left[id] = &same
		}
		delete(left, "w5")
		setWorkers(g, left)
		crashUnder(g, left, 0, 1, 2)
		waitForEvaluation()
		if status, _ := g.PartStatus([]Part{part("b")}); status != Barred {
			t.Errorf("the part has status %d, want %d", status, Barred)
		}
		if update := g.TakePartUpdate(true); len(update.ByVersion) > 0 {
			t.Errorf("evidence is kept for versions: %v", update.ByVersion)
		}
	})
}
