package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/httpclient"
	"github.com/granitebay/granitebay/internal/poison"
	"github.com/granitebay/granitebay/internal/routing"
)

// TestLastAttemptIsNotAbandoned guards against giving up a slow worker as silent when no further attempt can follow: its response is lost,
// although it is on time.
func TestLastAttemptIsNotAbandoned(t *testing.T) {
	const timeout, took = 3 * time.Second, responseTimeoutBase + 200*time.Millisecond
	for _, c := range []struct {
		desc         string
		refusals     int
		minRemaining time.Duration
	}{
		{"the limit of workers tried", maxReachedWorkers - 1, DefaultSettings().MinRemaining},
		{"too little time left", 0, timeout - responseTimeoutBase + 100*time.Millisecond},
	} {
		t.Run(c.desc, func(t *testing.T) {
			workers := &fakeWorkers{run: func(ctx context.Context, number int, _ *backend.Worker, _ RunOptions) (*Response, error) {
				if number <= c.refusals {
					return nil, refusalError
				}
				select {
				case <-time.After(took):
					return wholeResponse(http.StatusOK, "done"), nil
				case <-ctx.Done():
					return awaitCancel(ctx)
				}
			}}
			f := newFixture(t, fixtureOptions{rule: routing.Rule{Kind: routing.KindRepeatable, MaxAttempts: 3, Timeout: timeout}, allowance: 100}, workers)
			f.handler.settings.MinRemaining = c.minRemaining
			set := backend.Set{}
			for i := range 2 * maxReachedWorkers {
				id := fmt.Sprint("w", i)
				set[id] = &backend.Worker{ID: id, Group: "g", Address: id}
			}
			f.handler.dispatcher.SetWorkers(set)
			response, body, err := f.get(t)
			if err != nil || response.StatusCode != http.StatusOK {
				t.Errorf("got %v, %q, %v after attempts at %v", response, body, err, workers.ranAt)
			}
		})
	}
}

// TestLastPrefillIsNotAbandoned guards against giving up an engine that prefills slowly when no further attempt can follow: its caller is
// refused, although the prompt is prefilled on time. If another attempt can follow, the engine is given up.
func TestLastPrefillIsNotAbandoned(t *testing.T) {
	const timeout = 3 * time.Second
	minRemaining := DefaultSettings().MinRemaining
	for _, c := range []struct {
		desc         string
		retries      float64
		reached      int
		minRemaining time.Duration
		wantGivenUp  bool
	}{
		{desc: "another attempt can follow", retries: 10, minRemaining: minRemaining, wantGivenUp: true},
		{desc: "no retry in the budget", minRemaining: minRemaining},
		{desc: "the limit of workers tried", retries: 10, reached: maxReachedWorkers - 1, minRemaining: minRemaining},
		{desc: "too little time left", retries: 10, minRemaining: timeout},
	} {
		t.Run(c.desc, func(t *testing.T) {
			workers := &fakeWorkers{prefill: func(ctx context.Context, _ int, worker *backend.Worker) (*PrefilledPrompt, error) {
				select {
				case <-time.After(prefillHold):
					return &PrefilledPrompt{Engine: worker, Handle: "h"}, nil
				case <-ctx.Done():
					_, err := awaitCancel(ctx)
					return nil, err
				}
			}}
			rule := routing.Rule{Kind: routing.KindRepeatable, MaxAttempts: 2, Objective: 100 * time.Millisecond}
			f := newFixture(t, fixtureOptions{rule: rule, engine: true, allowance: c.retries}, workers)
			f.handler.settings.MinRemaining = c.minRemaining
			configuration := f.handler.Table().Configuration()
			call := &call{
				handler: f.handler, request: &Request{ID: "r", Demand: backend.Demand{PromptTokens: 4_000}}, deadline: time.Now().Add(timeout),
				match: routing.Match{Rule: &configuration.Rules[0], Group: &configuration.Groups[0]}, report: &Report{Arrived: time.Now()}, guarded: &guardedRequest{},
			}
			call.attempts.rule, call.attempts.reached = call.match.Rule, c.reached
			placement, found := f.handler.dispatcher.Place(call.request, call.match.Group, call.placeOptions(poison.Clear, poison.Bar{}))
			if !found || placement.Prefill == nil {
				t.Fatalf("got the placement %+v, want one with a prefill engine", placement)
			}
			want := failureNone
			if c.wantGivenUp {
				want = failureSilent
			}
			if _, failure := call.prefill(t.Context(), placement); failure != want {
				t.Errorf("prefill failed as %q, want %q", failure, want)
			}
		})
	}
}

// TestSlowWorkerIsNotAbandonedForUnreachableOnes guards against giving up a slow worker as silent for others that can't be reached: its response
// is lost, although it is on time.
func TestSlowWorkerIsNotAbandonedForUnreachableOnes(t *testing.T) {
	const took = 3 * responseTimeoutBase
	for _, isOneReachable := range []bool{false, true} {
		workers := &fakeWorkers{}
		isReachable := func(id string) bool {
			first, other := workers.ranAt[0], "2"
			if first == other {
				other = "1"
			}
			return id == first || isOneReachable && id == other
		}
		workers.connect = func(worker *backend.Worker) error {
			workers.mutex.Lock()
			defer workers.mutex.Unlock()
			if isReachable(worker.ID) {
				return nil
			}
			return connectError
		}
		workers.run = func(ctx context.Context, number int, worker *backend.Worker, _ RunOptions) (*Response, error) {
			if err := workers.connect(worker); err != nil {
				return nil, err
			}
			if number > 1 {
				return wholeResponse(http.StatusOK, "second"), nil
			}
			select {
			case <-time.After(took):
				return wholeResponse(http.StatusOK, "first"), nil
			case <-ctx.Done():
				return awaitCancel(ctx)
			}
		}
		f := newFixture(t, fixtureOptions{rule: routing.Rule{Kind: routing.KindRepeatable, MaxAttempts: 2, Timeout: 5 * time.Second}, allowance: 10}, workers)
		set := backend.Set{}
		for _, id := range []string{"0", "1", "2"} {
			set[id] = &backend.Worker{ID: id, Group: "g", Address: id}
		}
		f.handler.dispatcher.SetWorkers(set)
		want := map[bool]string{false: "first", true: "second"}[isOneReachable]
		response, body, err := f.get(t)
		if err != nil || response.StatusCode != http.StatusOK || body != want {
			t.Errorf("one other reachable %t: got %v, %q, %v after attempts at %v", isOneReachable, response, body, err, workers.ranAt)
		}
	}
}

// TestStalledStreamIsNotAbandonedForUnreachableEngines guards against a stream that is cut because its engine, which stalls for a moment, was given
// up for others that can't be reached.
func TestStalledStreamIsNotAbandonedForUnreachableEngines(t *testing.T) {
	const stall = 10 * continuationPatience
	workers := &fakeWorkers{connect: func(*backend.Worker) error { return connectError }}
	workers.run = func(ctx context.Context, number int, _ *backend.Worker, _ RunOptions) (*Response, error) {
		if number > 1 {
			return nil, connectError
		}
		reader, writer := io.Pipe()
		context.AfterFunc(ctx, func() {
			_ = reader.CloseWithError(&httpclient.Error{Step: httpclient.StepReceive, Peer: "w", Cause: context.Cause(ctx)})
		})
		go func() {
			_, _ = io.WriteString(writer, firstEvents)
			time.Sleep(stall)
			_, _ = io.WriteString(writer, lastEvents)
			_ = writer.Close()
		}()
		return &Response{Status: http.StatusOK, Header: http.Header{}, ContentLength: -1, Body: reader}, nil
	}
	rule := routing.Rule{Kind: routing.KindStream, Resumable: true, MaxAttempts: 2, Timeout: 5 * time.Second, Patience: continuationPatience}
	f := newFixture(t, fixtureOptions{rule: rule, engine: true, allowance: 10}, workers)
	if _, body, err := f.get(t); err != nil || body != firstEvents+lastEvents {
		t.Errorf("got %q, %v after attempts at %v", body, err, workers.ranAt)
	}
}

// TestSilentWorkerIsAbandonedOnceOthersAreReached guards against a request that waits for a silent worker until its deadline because the others
// could not be reached for a moment.
func TestSilentWorkerIsAbandonedOnceOthersAreReached(t *testing.T) {
	const timeout = 5 * time.Second
	workers := &fakeWorkers{run: func(ctx context.Context, number int, _ *backend.Worker, _ RunOptions) (*Response, error) {
		if number == 1 {
			return awaitCancel(ctx)
		}
		return wholeResponse(http.StatusOK, "second"), nil
	}}
	reachableAt := time.Now().Add(2 * responseTimeoutBase)
	workers.connect = func(*backend.Worker) error {
		if time.Now().Before(reachableAt) {
			return connectError
		}
		return nil
	}
	f := newFixture(t, fixtureOptions{rule: routing.Rule{Kind: routing.KindRepeatable, MaxAttempts: 2, Timeout: timeout}, allowance: 10}, workers)
	start := time.Now()
	response, body, err := f.get(t)
	if took := time.Since(start); err != nil || response.StatusCode != http.StatusOK || body != "second" || took > timeout/2 {
		t.Errorf("got %v, %q, %v after %v and attempts at %v", response, body, err, took, workers.ranAt)
	}
}

// TestNoConnectionIsOpenedWithoutRetry guards against connections to other workers, which accept a limited number, for requests at a silent worker
// that can't be sent again because the retry budget is exhausted.
func TestNoConnectionIsOpenedWithoutRetry(t *testing.T) {
	const took = 2 * responseTimeoutBase
	workers := &fakeWorkers{run: func(ctx context.Context, _ int, _ *backend.Worker, _ RunOptions) (*Response, error) {
		select {
		case <-time.After(took):
			return wholeResponse(http.StatusOK, "first"), nil
		case <-ctx.Done():
			return awaitCancel(ctx)
		}
	}}
	var connects atomic.Int32
	workers.connect = func(*backend.Worker) error {
		connects.Add(1)
		return nil
	}
	f := newFixture(t, fixtureOptions{rule: routing.Rule{Kind: routing.KindRepeatable, MaxAttempts: 2, Timeout: 5 * time.Second}}, workers)
	if response, body, err := f.get(t); err != nil || response.StatusCode != http.StatusOK || body != "first" {
		t.Errorf("got %v, %q, %v", response, body, err)
	}
	if got := connects.Load(); got > 0 {
		t.Errorf("%d connections were opened", got)
	}
	if views := f.handler.dispatcher.Budgets(); len(views) != 1 || views[0].Denied != 1 {
		t.Errorf("got the budgets %+v, want one denied retry", views)
	}
}

// TestWorkerIsNotAbandonedTooLate guards against giving up a silent worker when the patience with it ends so late, after a standstill of the
// process, that no time is left for another one.
func TestWorkerIsNotAbandonedTooLate(t *testing.T) {
	for _, late := range []bool{false, true} {
		f := newFixture(t, fixtureOptions{rule: routing.Rule{Kind: routing.KindRepeatable, MaxAttempts: 2}, allowance: 10}, &fakeWorkers{})
		configuration := f.handler.Table().Configuration()
		c := &call{
			handler: f.handler, request: &Request{ID: "r"}, deadline: time.Now().Add(time.Minute),
			match: routing.Match{Rule: &configuration.Rules[0], Group: &configuration.Groups[0]},
		}
		if late {
			c.deadline = time.Now().Add(f.handler.settings.MinRemaining / 2)
		}
		gate := &responseGate{}
		isCancelled := false
		c.abandonSilent(t.Context(), gate, func(error) { isCancelled = true }, nil, otherWorkers{excluded: []string{"0"}})
		if gate.abandoned == late || isCancelled == late {
			t.Errorf("late %t: abandoned %t, cancelled %t", late, gate.abandoned, isCancelled)
		}
	}
}
