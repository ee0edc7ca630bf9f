package forward

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/balance"
	"github.com/granitebay/granitebay/internal/poison"
	"github.com/granitebay/granitebay/internal/routing"
)

// crashProber is a poison.Prober that reports the workers marked as crashed.
type crashProber struct {
	mutex   sync.Mutex
	crashed map[string]bool
	delay   time.Duration
}

// RefusesConnections implements poison.Prober.
func (p *crashProber) RefusesConnections(_ context.Context, worker *backend.Worker) (bool, error) {
	time.Sleep(p.delay)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.crashed[worker.ID], nil
}

// crash marks a worker as crashed.
func (p *crashProber) crash(worker string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.crashed[worker] = true
}

// newSuspectFixture returns a fixture with a guard. The worker that gets the first request crashes.
func newSuspectFixture(t *testing.T, rule routing.Rule, probeDelay time.Duration) *fixture {
	workers, prober := &fakeWorkers{}, &crashProber{crashed: map[string]bool{}, delay: probeDelay}
	workers.run = func(_ context.Context, number int, worker *backend.Worker, _ RunOptions) (*Response, error) {
		if number == 1 {
			prober.crash(worker.ID)
			return nil, resetError
		}
		return wholeResponse(200, "answer"), nil
	}
	f := newFixture(t, fixtureOptions{rule: rule, allowance: 10}, workers)
	f.handler.SetGuard(poison.NewGuard(poison.DefaultSettings(), prober, time.Now, func(event poison.Event) {
		if ended, is := event.(poison.WorkerCrashed); is {
			f.handler.dispatcher.RecordCrash(ended.Worker.ID, ended.Age)
		}
	}))
	return f
}

// TestSuspectWaitsForReplacementWorker guards against a retry that crashes a second worker before the first is replaced. The retry waits
// for that; duplicates are refused with a Retry-After time.
func TestSuspectWaitsForReplacementWorker(t *testing.T) {
	f := newSuspectFixture(t, routing.Rule{Kind: routing.KindRepeatable, MaxAttempts: 2, Timeout: 5 * time.Second}, 50*time.Millisecond)
	const downtime = 400 * time.Millisecond
	time.AfterFunc(downtime, func() {
		set := backend.Set{"again": {ID: "again", Group: "g", Address: f.workers.ranAt[0], Slots: 4}}
		for _, id := range []string{"0", "1", "2"} {
			if id != f.workers.ranAt[0] {
				set[id] = &backend.Worker{ID: id, Group: "g", Address: id, Slots: 4}
			}
		}
		f.handler.dispatcher.SetWorkers(set)
	})
	var duplicate *http.Response
	var duplicateDone sync.WaitGroup
	duplicateDone.Go(func() {
		time.Sleep(downtime / 2)
		duplicate, _, _ = f.get(t)
	})
	start := time.Now()
	response, body, err := f.get(t)
	if err != nil || response.StatusCode != 200 || body != "answer" || time.Since(start) < downtime {
		t.Errorf("after %s: got %v, %v", time.Since(start), response, err)
	}
	duplicateDone.Wait()
	after, _ := strconv.ParseFloat(duplicate.Header.Get("Retry-After"), 64)
	least := (balance.DefaultRiskSettings().MissingTimeout - downtime).Seconds()
	if duplicate.StatusCode != http.StatusServiceUnavailable || after < least {
		t.Errorf("the duplicate got %d with Retry-After %.1f", duplicate.StatusCode, after)
	}
	if len(f.workers.ranAt) != 2 || slices.Contains(f.workers.ranAt[1:], f.workers.ranAt[0]) {
		t.Errorf("the request ran at %v", f.workers.ranAt)
	}
}

// TestSuspectFailureIsDelayedUntilPeersKnow guards against reporting the failure before other gateways know of the crash: an immediate
// retry would crash another worker.
func TestSuspectFailureIsDelayedUntilPeersKnow(t *testing.T) {
	f := newSuspectFixture(t, routing.Rule{Kind: routing.KindAtMostOnce}, 0)
	start := time.Now()
	response, _, err := f.get(t)
	if err != nil || response.StatusCode != http.StatusBadGateway || time.Since(start) < peerNotifyDelay {
		t.Errorf("after %s: got %v, %v", time.Since(start), response, err)
	}
}

// TestRequestsWithSuspectPartRunOneAtATime guards against requests that share a part under which workers crashed, differ in all else, and reach
// workers side by side.
func TestRequestsWithSuspectPartRunOneAtATime(t *testing.T) {
	part := poison.NewPart("g", "5c1e")
	bar := poison.Bar{Digest: part.Digest(), Part: part, DistinctCrashes: exclusiveMinCrashes}
	handler := &Handler{guard: poison.NewGuard(poison.DefaultSettings(), nil, time.Now, func(poison.Event) {})}
	newCall := func(path string) *call {
		return &call{handler: handler, guarded: &guardedRequest{guard: handler.guard, request: &Request{Target: path}, parts: []poison.Part{part}}}
	}
	first, second := newCall("/1"), newCall("/2")
	if !first.mayRunExclusively(poison.Suspected, bar) || second.mayRunExclusively(poison.Suspected, bar) {
		t.Error("both requests with the part may run")
	}
	first.endExclusive()
	if !second.mayRunExclusively(poison.Suspected, bar) {
		t.Error("the second request may not run after the first")
	}
}
