package poison

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
)

// elected and notElected are elections of the gateway that begins a trial.
func elected(int) bool    { return true }
func notElected(int) bool { return false }

// tell sends the changes of a guard to others, or its recent state if full is set.
func tell(from *testGuard, full bool, others ...*testGuard) {
	update, parts := from.TakeUpdate(full), from.TakePartUpdate(full)
	for _, other := range others {
		other.ApplyUpdate(update)
		other.ApplyPartUpdate(&parts)
	}
}

// crashUnderRequest makes the workers with the given ids crash, each under a run of its own of the request.
func crashUnderRequest(g *testGuard, workers backend.Set, digest Digest, ids ...string) {
	for _, id := range ids {
		began := g.Now()
		time.Sleep(100 * time.Millisecond)
		g.prober.crash(id)
		g.ConnectionBroke(workers[id], Run{Digest: digest, Rule: "rule", Began: began})
		time.Sleep(10 * time.Millisecond)
	}
}

// expectRequest checks the status of a request.
func expectRequest(t *testing.T, g *testGuard, digest Digest, want Status) {
	t.Helper()
	if got, bar := g.Status(digest); got != want {
		t.Errorf("status %d, want %d; %d workers", got, want, len(bar.Workers))
	}
}

// TestBarredRequestGetsTrials guards against a barred request that no success can clear before the bar expires, and against a trial that several
// gateways begin, or that is repeated before its time.
func TestBarredRequestGetsTrials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := workerSet("w1", "w2", "w3", "w4")
		first, second := newTestGuard(workers), newTestGuard(workers)
		killer, settings := digestNamed("killer"), DefaultSettings().Parts
		crashUnderRequest(first, workers, killer, "w1", "w2", "w3")
		waitForEvaluation()
		tell(first, false, second)
		expectRequest(t, second, killer, Barred)
		if first.BeginRequestTrial(killer, elected) || second.BeginRequestTrial(killer, elected) {
			t.Error("a trial begins with the bar")
		}
		time.Sleep(settings.TrialDelay)
		if first.BeginRequestTrial(killer, notElected) {
			t.Error("a trial begins at a gateway that is not elected")
		}
		if !second.BeginRequestTrial(killer, elected) {
			t.Fatal("no trial begins when it is due")
		}
		second.ReturnRequestTrial(killer)
		if !second.BeginRequestTrial(killer, elected) {
			t.Error("no trial begins after one that reached no worker")
		}
		tell(second, false, first)
		time.Sleep(2 * settings.TrialElection)
		if first.BeginRequestTrial(killer, elected) {
			t.Error("a trial begins that another gateway has begun")
		}
		crashUnderRequest(second, workers, killer, "w4")
		waitForEvaluation()
		tell(second, true, first)
		for _, g := range []*testGuard{first, second} {
			expectRequest(t, g, killer, Barred)
			if g.BeginRequestTrial(killer, elected) {
				t.Error("a trial follows one that failed at once")
			}
		}
		time.Sleep(time.Duration(settings.TrialBackoff)*settings.TrialDelay + settings.TrialElection)
		if !first.BeginRequestTrial(killer, notElected) {
			t.Error("the second trial does not begin although the elected gateway has none")
		}
	})
}

// TestSuccessOfTrialLiftsBar guards against a bar that stays in force at other gateways or in the store after the request succeeded in its trial.
func TestSuccessOfTrialLiftsBar(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := workerSet("w1", "w2", "w3")
		creator, trying := newTestGuard(workers), newTestGuard(workers)
		digest := digestNamed("sound")
		crashUnderRequest(creator, workers, digest, "w1", "w2", "w3")
		waitForEvaluation()
		tell(creator, false, trying)
		time.Sleep(DefaultSettings().Parts.TrialDelay)
		if !trying.BeginRequestTrial(digest, elected) {
			t.Fatal("no trial begins when it is due")
		}
		time.Sleep(100 * time.Millisecond)
		trying.RecordSuccess(digest)
		tell(trying, false, creator)
		for name, g := range map[string]*testGuard{"created the bar": creator, "ran the trial": trying} {
			expectRequest(t, g, digest, Clear)
			if !slices.Contains(g.events, "poison.Cleared") {
				t.Errorf("the gateway that %s does not report that it is lifted: %v", name, g.events)
			}
		}
	})
}

// TestSuccessAfterCrashesRefutesRequestBar guards against a bar that is believed although the request succeeded after its crashes, at a gateway that the
// one which created the bar had not heard.
func TestSuccessAfterCrashesRefutesRequestBar(t *testing.T) {
	for _, fromStore := range []bool{false, true} {
		t.Run(fmt.Sprint("from the store: ", fromStore), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				workers := workerSet("w1", "w2", "w3")
				mistaken, knowing := newTestGuard(workers), newTestGuard(workers)
				digest := digestNamed("sound")
				crashUnderRequest(mistaken, workers, digest, "w1", "w2", "w3")
				tell(mistaken, false, knowing)
				time.Sleep(20 * time.Millisecond)
				knowing.RecordSuccess(digest)
				time.Sleep(5 * time.Second)
				expectRequest(t, mistaken, digest, Barred)
				if fromStore {
					for _, bar := range mistaken.Bars() {
						knowing.ApplyBar(bar)
					}
				} else {
					tell(mistaken, true, knowing)
				}
				expectRequest(t, knowing, digest, Clear)
				if fromStore && !slices.Contains(knowing.events, "poison.Cleared") {
					t.Errorf("the gateway that knows of the success leaves the bar in the store: %v", knowing.events)
				}
				tell(knowing, false, mistaken)
				expectRequest(t, mistaken, digest, Clear)
				if !slices.Contains(mistaken.events, "poison.Cleared") {
					t.Errorf("the gateway that created the bar does not report that it is lifted: %v", mistaken.events)
				}
			})
		})
	}
}

// TestCrashAfterSuccessKeepsBar guards against a success between the crashes that lifts a bar for those after it.
func TestCrashAfterSuccessKeepsBar(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := workerSet("w1", "w2", "w3", "w4")
		creator, other := newTestGuard(workers), newTestGuard(workers)
		digest := digestNamed("killer")
		crashUnderRequest(creator, workers, digest, "w1")
		tell(creator, false, other)
		other.RecordSuccess(digest)
		crashUnderRequest(creator, workers, digest, "w2", "w3", "w4")
		waitForEvaluation()
		tell(creator, true, other)
		tell(other, true, creator)
		expectRequest(t, creator, digest, Barred)
		expectRequest(t, other, digest, Barred)
	})
}

// TestStoredBarOfRequestWaitsForTrialsOfOthers guards against a gateway that has just started and repeats the trials of a bar, which the store doesn't tell.
func TestStoredBarOfRequestWaitsForTrialsOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := DefaultSettings().Parts
		workers := workerSet("w1", "w2", "w3")
		running, started := newTestGuard(workers), newTestGuard(workers)
		killer := digestNamed("killer")
		crashUnderRequest(running, workers, killer, "w1", "w2", "w3")
		waitForEvaluation()
		time.Sleep(settings.TrialDelay)
		if !running.BeginRequestTrial(killer, elected) {
			t.Fatal("no trial begins when it is due")
		}
		for _, bar := range running.Bars() {
			bar.Trials = 0
			started.ApplyBar(bar)
		}
		time.Sleep(settings.TrialHearing - time.Millisecond)
		if started.BeginRequestTrial(killer, elected) {
			t.Error("a trial begins before the gateway has heard of those of others")
		}
		tell(running, true, started)
		time.Sleep(time.Minute / 6)
		if started.BeginRequestTrial(killer, elected) {
			t.Error("a trial is repeated that another gateway has told of")
		}
	})
}
