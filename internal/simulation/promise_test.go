package simulation

import (
	"bytes"
	"sync"
	"testing"
	"time"

	"github.com/samber/lo"
)

// fixedSeeds are the seeds of the tests: each kind of fault alone, and some pairs and mixes.
var fixedSeeds = []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 14, 20, 27, 33, 37, 45, 54, 60}

// fixedRuns runs the fixed seeds of both deployments once for all tests.
var fixedRuns = sync.OnceValue(func() map[string][]Result {
	runs := map[string][]Result{}
	var group sync.WaitGroup
	for _, deployment := range Deployments() {
		results := make([]Result, len(fixedSeeds))
		runs[deployment.Name] = results
		for index, seed := range fixedSeeds {
			group.Go(func() { results[index] = Run(seed, deployment, FaultKinds()) })
		}
	}
	group.Wait()
	return runs
})

// requirePromise fails with the shortest history if a promise was broken in a fixed run.
func requirePromise(t *testing.T, promise Promise) {
	t.Helper()
	runs := fixedRuns()
	for _, deployment := range Deployments() {
		t.Run(deployment.Name, func(t *testing.T) {
			for _, result := range runs[deployment.Name] {
				if breaks(result, promise) {
					var report bytes.Buffer
					writeViolation(&report, deployment, FaultKinds(), result, promise)
					t.Fatal(report.String())
				}
			}
		})
	}
}

func TestNoConflictingOrders(t *testing.T)         { requirePromise(t, PromiseNoConflictingOrders) }
func TestNoRequestCutByPlannedChange(t *testing.T) { requirePromise(t, PromiseNoCutByChange) }
func TestNoOrderWithoutAuthority(t *testing.T)     { requirePromise(t, PromiseNoOrderWithoutLease) }
func TestWholeAnswer(t *testing.T)                 { requirePromise(t, PromiseWholeAnswer) }
func TestNotRunIsTrue(t *testing.T)                { requirePromise(t, PromiseNotRunIsTrue) }
func TestAtMostOnce(t *testing.T)                  { requirePromise(t, PromiseAtMostOnce) }
func TestLeavingEngineGetsNoNewWork(t *testing.T)  { requirePromise(t, PromiseLeavingGetsNothing) }
func TestPlannedStopCutsNothing(t *testing.T)      { requirePromise(t, PromisePlannedStopCutsNone) }
func TestConfigurationInForce(t *testing.T)        { requirePromise(t, PromiseConfiguration) }
func TestLiveness(t *testing.T)                    { requirePromise(t, PromiseLiveness) }
func TestRetriesAreBounded(t *testing.T)           { requirePromise(t, PromiseRetriesBounded) }
func TestAnsweredShare(t *testing.T)               { requirePromise(t, PromiseAnswered) }

// TestRunsExercise checks that the fixed runs hold what the promises are about: a proof over nothing proves nothing.
func TestRunsExercise(t *testing.T) {
	for _, deployment := range Deployments() {
		t.Run(deployment.Name, func(t *testing.T) {
			summary := summarize(deployment, fixedRuns()[deployment.Name])
			if lo.Min([]int{summary.Answered, summary.NotRun, summary.Left, summary.Broken, summary.Changes, summary.Edits,
				summary.Fenced, summary.Takeovers}) == 0 {
				t.Errorf("too little happened: %+v", summary)
			}
			for _, kind := range append(FaultKinds(), FaultPlannedStop) {
				if summary.Faults[kind] == 0 {
					t.Errorf("no fault of kind %s", kind)
				}
			}
		})
	}
}

// TestSameSeedSameTrace runs a seed of the real system twice and compares everything that was seen.
func TestSameSeedSameTrace(t *testing.T) {
	for index, seed := range fixedSeeds[:4] {
		first := fixedRuns()[Fes().Name][index]
		second := Run(seed, Fes(), FaultKinds())
		if first.Trace != second.Trace || first.Events != second.Events {
			t.Errorf("seed %d: digests %x and %x of %d and %d events", seed, first.Trace, second.Trace, first.Events, second.Events)
		}
	}
}

// TestStoreOutage lets the key-value service be down for ten minutes, with one router killed meanwhile: what the others
// can carry is answered.
func TestStoreOutage(t *testing.T) {
	const answeredInOutage = 99
	for _, deployment := range Deployments() {
		t.Run(deployment.Name, func(t *testing.T) {
			t.Parallel()
			outage := Fault{Kind: FaultStoreOutage, Variant: VariantDown, From: 20 * time.Second, Until: 20*time.Second + 10*time.Minute}
			kill := Fault{Kind: FaultKill, Target: deployment.Routers[0].Name, From: time.Minute, Until: outage.Until}
			times := phases{callsBegin: callsBegin, callsEnd: outage.Until, calls: 1800, faultsEnd: outage.Until,
				end: outage.Until + 40*time.Second}
			result := judge(newWorld(1, deployment, times, []Fault{outage, kill}, newRouter))
			for _, violation := range result.Violations {
				t.Error(violation)
			}
			if result.AnsweredOfCould*100 < result.Could*answeredInOutage {
				t.Errorf("%d of %d calls were answered", result.AnsweredOfCould, result.Could)
			}
			t.Log(result.Endings, result.AnsweredOfCould, result.Could, result.Changes)
		})
	}
}
