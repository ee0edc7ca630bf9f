package forward

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"pgregory.net/rapid"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/routing"
)

// fixedBudget grants a fixed number of retries.
type fixedBudget struct{ left int }

func (b *fixedBudget) takeRetry() bool {
	if b.left == 0 {
		return false
	}
	b.left--
	return true
}

// TestAttemptsInvariants checks the invariants of attempts with random failures.
func TestAttemptsInvariants(t *testing.T) {
	failures := []failureKind{failureUnreachable, failureRefused, failureMisdirected, failureSilent, failureBroken, failureError, failureDeadline, failureCallerGone}
	rapid.Check(t, func(t *rapid.T) {
		rule := &routing.Rule{
			Kind:        rapid.SampledFrom([]routing.Kind{routing.KindAtMostOnce, routing.KindRepeatable, routing.KindStream}).Draw(t, "kind"),
			Resumable:   rapid.Bool().Draw(t, "resumable"),
			MaxAttempts: rapid.IntRange(1, 3).Draw(t, "attempts"),
		}
		granted := rapid.IntRange(0, 5).Draw(t, "budget")
		retries := &fixedBudget{left: granted}
		state := attempts{rule: rule}
		mayHaveRun, reached := 0, 0
		for attempt := 0; ; attempt++ {
			failed := rapid.SampledFrom(failures).Draw(t, fmt.Sprint("failure ", attempt))
			if failed.mayHaveRun() {
				mayHaveRun++
			}
			if failed != failureUnreachable {
				reached++
			}
			state.record(fmt.Sprint(attempt), failed)
			decided := state.decide(failed, retries)
			if decided == decisionNotRun && mayHaveRun > 0 {
				t.Fatal("a request that may have run was reported as not run")
			}
			if decided != decisionRetry {
				return
			}
			if mayHaveRun > 0 && !rule.Repeatable() {
				t.Fatal("a request that may run only once was retried")
			}
			if mayHaveRun >= rule.MaxAttempts {
				t.Fatal("the request ran more often than its rule allows")
			}
			if used := granted - retries.left; reached > 0 && used == 0 {
				t.Fatal("the retry was not taken from the budget")
			}
			if attempt >= maxReachedWorkers+maxUnreachableWorkers {
				t.Fatal("the attempts do not end")
			}
		}
	})
}

// TestNotRunStatusOfWorkerIsNotForwarded covers workers that respond with a status which would tell the caller that the request did not
// run, although the worker does not guarantee that.
func TestNotRunStatusOfWorkerIsNotForwarded(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout} {
		workers := &fakeWorkers{run: func(context.Context, int, *backend.Worker, RunOptions) (*Response, error) {
			return wholeResponse(status, "x"), nil
		}}
		f := newFixture(t, fixtureOptions{rule: routing.Rule{Kind: routing.KindAtMostOnce}}, workers)
		response, _, err := f.get(t)
		if err != nil || response.StatusCode != http.StatusBadGateway || len(workers.ranAt) != 1 {
			t.Errorf("worker status %d: got %v, %v after %d runs", status, response, err, len(workers.ranAt))
		}
	}
}
