package forward

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"pgregory.net/rapid"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/httpclient"
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

// TestAttemptsInvariants guards against running a request more often than allowed, and against telling the caller that it did not run when
// it may have.
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
			failure := rapid.SampledFrom(failures).Draw(t, fmt.Sprint("failure ", attempt))
			if failure.mayHaveRun() {
				mayHaveRun++
			}
			if failure != failureUnreachable {
				reached++
			}
			state.record(fmt.Sprint(attempt), failure)
			decided := state.decide(failure, retries)
			if decided == decisionNotRun && mayHaveRun > 0 {
				t.Fatalf("after %v: a request that may have run %d times was reported as not run", failure, mayHaveRun)
			}
			if decided != decisionRetry {
				return
			}
			if mayHaveRun > 0 && !rule.Repeatable() {
				t.Fatalf("after %v: a request that may run only once was retried although it may have run %d times", failure, mayHaveRun)
			}
			if mayHaveRun >= rule.MaxAttempts {
				t.Fatalf("after %v: retried although the request may have run %d times, limit %d", failure, mayHaveRun, rule.MaxAttempts)
			}
			if used := granted - retries.left; reached > 0 && used == 0 {
				t.Fatalf("after %v: the retry was not taken from the budget of %d", failure, granted)
			}
			if attempt >= maxReachedWorkers+maxUnreachableWorkers {
				t.Fatalf("after %v: attempt %d was not the last", failure, attempt)
			}
		}
	})
}

// TestNotRunStatusOfWorkerIsNotForwarded guards against forwarding a status that would tell the caller that the request did not run,
// although the worker does not guarantee that.
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

// TestRefusalAtDeadlineProvesNotRun guards against a caller who is told that its request may have run although its worker refused it, because its time
// was over at the same moment.
func TestRefusalAtDeadlineProvesNotRun(t *testing.T) {
	for _, c := range []struct {
		err  error
		want decision
	}{
		{&Refusal{Status: http.StatusServiceUnavailable}, decisionNotRun},
		{&Refusal{Status: http.StatusMisdirectedRequest, Misdirected: true}, decisionNotRun},
		{errBarred, decisionNotRun},
		{&httpclient.Error{Step: httpclient.StepConnect}, decisionNotRun},
		{&httpclient.Error{Step: httpclient.StepSend}, decisionFail},
		{&httpclient.Error{Step: httpclient.StepAwait}, decisionFail},
		{&InvalidResponse{}, decisionFail},
		{&WorkerError{Status: http.StatusInternalServerError}, decisionFail},
	} {
		state := attempts{rule: &routing.Rule{Kind: routing.KindAtMostOnce, MaxAttempts: 1}}
		state.recordInterruption(c.err)
		if got := state.decide(failureDeadline, &fixedBudget{}); got != c.want {
			t.Errorf("after %T (%v): decision %d, want %d", c.err, c.err, got, c.want)
		}
	}
}
