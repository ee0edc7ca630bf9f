package forward

import (
	"context"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/httpclient"
	"github.com/granitebay/granitebay/internal/routing"
)

// Errors of opening a connection to a worker that is silent, and to one that has ended.
var (
	unresponsiveError = &httpclient.Error{Step: httpclient.StepConnect, Peer: "w", Cause: os.ErrDeadlineExceeded}
	refusedError      = &httpclient.Error{Step: httpclient.StepConnect, Peer: "w", Cause: syscall.ECONNREFUSED}
)

// TestUnresponsiveWorkersAreAwaited has all workers that are left answer no connection attempt for a while. It guards against refusing or failing a
// request for which there is time, and against holding one for workers that have ended, or that are silent for longer than sound ones.
func TestUnresponsiveWorkersAreAwaited(t *testing.T) {
	const silence, slack = 600 * time.Millisecond, time.Second
	repeatable := routing.Rule{Kind: routing.KindRepeatable, MaxAttempts: 2, Timeout: 5 * time.Second}
	once := routing.Rule{Kind: routing.KindAtMostOnce, Timeout: 5 * time.Second}
	withObjective := repeatable
	withObjective.Objective = 200 * time.Millisecond
	const served, refused = http.StatusOK, http.StatusServiceUnavailable
	for _, test := range []struct {
		desc string
		rule routing.Rule
		// runsFirst is set if a worker takes the request and stays silent before the others are tried.
		runsFirst bool
		failure   error
		silence   time.Duration
		want      int
		wantBy    time.Duration
	}{
		{desc: "not run", rule: repeatable, failure: unresponsiveError, silence: silence, want: served, wantBy: silence + slack},
		{desc: "may run once", rule: once, failure: unresponsiveError, silence: silence, want: served, wantBy: silence + slack},
		{desc: "an objective", rule: withObjective, failure: unresponsiveError, silence: silence, want: served, wantBy: silence + slack},
		{desc: "may have run", rule: repeatable, runsFirst: true, failure: unresponsiveError, silence: 2 * silence, want: served, wantBy: 2*silence + slack},
		{desc: "ended", rule: repeatable, failure: refusedError, silence: silence, want: refused, wantBy: silence / 2},
		{desc: "silent for long", rule: repeatable, failure: unresponsiveError, silence: time.Hour, want: refused, wantBy: maxWorkerSilence + slack},
	} {
		t.Run(test.desc, func(t *testing.T) {
			t.Parallel()
			begun := time.Now()
			isSilent := func() bool { return time.Since(begun) < test.silence }
			workers := &fakeWorkers{}
			isAbandoned := false
			workers.connect = func(*backend.Worker) error {
				workers.mutex.Lock()
				defer workers.mutex.Unlock()
				if test.runsFirst && !isAbandoned {
					// An idle connection is left of the time before the silence.
					isAbandoned = true
					return nil
				}
				if isSilent() {
					return test.failure
				}
				return nil
			}
			workers.run = func(ctx context.Context, number int, _ *backend.Worker, _ RunOptions) (*Response, error) {
				switch {
				case test.runsFirst && number == 1:
					return awaitCancel(ctx)
				case isSilent():
					return nil, test.failure
				default:
					return wholeResponse(http.StatusOK, "done"), nil
				}
			}
			f := newFixture(t, fixtureOptions{rule: test.rule, allowance: 10}, workers)
			response, body, err := f.get(t)
			if err != nil || response.StatusCode != test.want {
				t.Fatalf("got %v, %q, %v after attempts at %v; want status %d", response, body, err, workers.ranAt, test.want)
			}
			if took := time.Since(begun); took > test.wantBy {
				t.Errorf("the response took %v, want at most %v", took, test.wantBy)
			}
		})
	}
}

// TestJoiningWorkerEndsWait guards against a request that waits for workers which answer no connection attempt although another one has joined.
func TestJoiningWorkerEndsWait(t *testing.T) {
	const joinsAfter = 200 * time.Millisecond
	workers := &fakeWorkers{connect: func(*backend.Worker) error { return unresponsiveError }}
	workers.run = func(_ context.Context, _ int, worker *backend.Worker, _ RunOptions) (*Response, error) {
		if worker.ID != "joined" {
			return nil, unresponsiveError
		}
		return wholeResponse(http.StatusOK, "done"), nil
	}
	f := newFixture(t, fixtureOptions{rule: routing.Rule{Kind: routing.KindAtMostOnce, Timeout: 5 * time.Second}}, workers)
	begun := time.Now()
	time.AfterFunc(joinsAfter, func() {
		f.handler.dispatcher.ChangeWorkers(backend.Changes{Updated: []*backend.Worker{{ID: "joined", Group: "g", Address: "joined"}}})
	})
	response, body, err := f.get(t)
	if took := time.Since(begun); err != nil || response.StatusCode != http.StatusOK || took > maxWorkerSilence {
		t.Errorf("got %v, %q, %v after %v and attempts at %v", response, body, err, took, workers.ranAt)
	}
}
