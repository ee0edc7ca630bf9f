package poison

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// exchangeAll sends the changes of each table to all others.
func exchangeAll(now time.Time, tables []*Table) {
	for _, from := range tables {
		update, supplement := from.TakeUpdate(now, nil), from.TakeSupplement(now, nil)
		for _, to := range tables {
			if to != from {
				to.ApplyUpdate(now, update)
				to.ApplySupplement(now, supplement)
			}
		}
	}
}

// TestCopiesInFlightBarNoRequest guards against a bar of an often asked request whose copies were at each of the workers when these crashed 50 to 300 ms
// apart: the request did nothing between the crashes.
func TestCopiesInFlightBarNoRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*Table{NewTable(DefaultSettings()), NewTable(DefaultSettings()), NewTable(DefaultSettings())}
		first := time.Unix(1000, 0)
		now, often := first, digestNamed("often")
		for i := range rapid.IntRange(3, 8).Draw(t, "workers") {
			crash := Crash{Digest: often, Worker: fmt.Sprint("w", i)}
			// Several copies may run at the worker, at several gateways.
			for range rapid.IntRange(1, 3).Draw(t, "copies") {
				table := tables[rapid.IntRange(0, 2).Draw(t, "gateway")]
				began := first.Add(-time.Duration(rapid.IntRange(1, 2000).Draw(t, "ran before the first crash")) * time.Millisecond)
				table.RecordCrash(now, now, crash, "rule", "")
				table.RecordRun(now, began, now, crash)
			}
			exchangeAll(now, tables)
			now = now.Add(time.Duration(rapid.IntRange(50, 300).Draw(t, "until the next crash")) * time.Millisecond)
			for number, table := range tables {
				table.Evaluate(now)
				if got, _ := table.Status(now, often); got != Suspected {
					t.Fatalf("gateway %d: status %d, want Suspected", number, got)
				}
			}
		}
		now = now.Add(DefaultSettings().SettleDelay)
		for number, table := range tables {
			if bars := table.Evaluate(now); len(bars) > 0 {
				t.Errorf("gateway %d bars the request", number)
			}
		}
	})
}

// TestLaterCopiesBarNoRequest guards against a bar of an often asked request because a further copy of it reached each worker right before the worker
// crashed, while earlier copies were in flight at all of them.
func TestLaterCopiesBarNoRequest(t *testing.T) {
	first := time.Unix(1000, 0)
	now, often := first, digestNamed("often")
	tables := []*Table{NewTable(DefaultSettings()), NewTable(DefaultSettings())}
	for i := range 6 {
		crash := Crash{Digest: often, Worker: fmt.Sprint("w", i)}
		for gateway, began := range []time.Time{first.Add(-time.Second), now.Add(-20 * time.Millisecond)} {
			tables[gateway].RecordCrash(now, now, crash, "rule", "")
			tables[gateway].RecordRun(now, began, now, crash)
		}
		exchangeAll(now, tables)
		now = now.Add(150 * time.Millisecond)
	}
	now = now.Add(DefaultSettings().SettleDelay)
	for number, table := range tables {
		if bars := table.Evaluate(now); len(bars) > 0 {
			t.Errorf("gateway %d bars the request", number)
		}
	}
}

// TestRunsAfterCrashesBarRequest guards against a request that crashes each worker and is not barred after three, because copies of it were in flight
// together: three at one moment, then one after the other.
func TestRunsAfterCrashesBarRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*Table{NewTable(DefaultSettings()), NewTable(DefaultSettings()), NewTable(DefaultSettings())}
		now, killer := time.Unix(1000, 0), digestNamed("killer")
		crashes := 0
		record := func(table *Table, began time.Time) {
			crash := Crash{Digest: killer, Worker: fmt.Sprint("w", crashes)}
			crashes++
			table.RecordCrash(now, now, crash, "rule", "")
			table.RecordRun(now, began, now, crash)
			exchangeAll(now, tables)
		}
		began := now
		for _, table := range tables {
			now = now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "until the crash")) * time.Millisecond)
			record(table, began)
		}
		for range 2 {
			now = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "until the retry")) * time.Millisecond)
			began = now
			now = now.Add(time.Duration(rapid.IntRange(30, 300).Draw(t, "until the crash")) * time.Millisecond)
			record(tables[rapid.IntRange(0, 2).Draw(t, "gateway")], began)
		}
		now = now.Add(DefaultSettings().SettleDelay)
		for number, table := range tables {
			table.Evaluate(now)
			if got, _ := table.Status(now, killer); got != Barred {
				t.Errorf("gateway %d: status %d after %d crashes, want Barred", number, got, crashes)
			}
		}
	})
}

// TestStartsOfRunsReachOtherGateways guards against a bar at a gateway that learns of the crashes under copies in flight from others, and against one that
// never bars because a build without starts told of them.
func TestStartsOfRunsReachOtherGateways(t *testing.T) {
	for _, knowsStarts := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			workers := workerSet("w1", "w2", "w3")
			reporting, other := newTestGuard(workers), newTestGuard(workers)
			often := digestNamed("often")
			began := reporting.Now()
			for _, id := range []string{"w1", "w2", "w3"} {
				time.Sleep(150 * time.Millisecond)
				reporting.prober.crash(id)
				run := Run{Digest: often, Rule: "rule"}
				if knowsStarts {
					run.Began = began
				}
				reporting.ConnectionBroke(workers[id], run)
				time.Sleep(5 * time.Millisecond)
				other.ApplyUpdate(reporting.TakeUpdate(false))
				parts := reporting.TakePartUpdate(false)
				other.ApplyPartUpdate(&parts)
			}
			waitForEvaluation()
			want := Suspected
			if !knowsStarts {
				want = Barred
			}
			for name, g := range map[string]*testGuard{"reports": reporting, "is told": other} {
				if got, _ := g.Status(often); got != want {
					t.Errorf("starts are known: %t: the gateway that %s has status %d, want %d", knowsStarts, name, got, want)
				}
			}
		})
	}
}

// TestSilenceDoesNotEndRun guards against copies in flight that count one by one because a worker had been silent for longer than a gateway waits, which
// is taken for the time of its crash: a run was sent to it later, and its connection broke.
func TestSilenceDoesNotEndRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := workerSet("w1", "w2", "w3")
		reporting, other := newTestGuard(workers), newTestGuard(workers)
		often := digestNamed("often")
		for _, id := range []string{"w1", "w2", "w3"} {
			reporting.Responded(workers[id])
			time.Sleep(50 * time.Millisecond)
			reporting.Abandoned(workers[id], Run{Digest: digestNamed("other" + id), Rule: "rule", Began: reporting.Now()})
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(700 * time.Millisecond)
		began := reporting.Now()
		for _, id := range []string{"w1", "w2", "w3"} {
			time.Sleep(150 * time.Millisecond)
			reporting.prober.crash(id)
			reporting.ConnectionBroke(workers[id], Run{Digest: often, Rule: "rule", Began: began})
			time.Sleep(5 * time.Millisecond)
			tell(reporting, false, other)
			time.Sleep(50 * time.Millisecond)
		}
		waitForEvaluation()
		expectRequest(t, reporting, often, Suspected)
		expectRequest(t, other, often, Suspected)
	})
}
