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

// endings are workers that have ended, as a prober finds them.
type crashProber struct {
	mutex   sync.Mutex
	crashed map[string]bool
	delay   time.Duration
}

// Refuses is part of poison.Prober.
func (e *crashProber) Refuses(_ context.Context, worker *backend.Worker) (bool, error) {
	time.Sleep(e.delay)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.crashed[worker.ID], nil
}

// end has a worker end.
func (e *crashProber) crash(worker string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.crashed[worker] = true
}

// newSuspectBench returns a bench whose first worker ends under the request, and which a guard watches.
func newSuspectFixture(t *testing.T, rule routing.Rule, probeDelay time.Duration) *fixture {
	workers, prober := &fakeWorkers{}, &crashProber{crashed: map[string]bool{}, delay: probeDelay}
	workers.run = func(_ context.Context, number int, worker *backend.Worker, _ RunOptions) (*Answer, error) {
		if number == 1 {
			prober.crash(worker.ID)
			return nil, resetError
		}
		return wholeResponse(200, "answer"), nil
	}
	f := newFixture(t, fixtureOptions{rule: rule, allowance: 10}, workers)
	f.handler.GuardWorkers(poison.NewGuard(poison.DefaultSettings(), prober, time.Now, func(event poison.Event) {
		if ended, is := event.(poison.WorkerEnded); is {
			f.handler.dispatcher.WorkerEnded(ended.Worker.ID, ended.Ago)
		}
	}))
	return f
}

// TestASuspectWaitsForItsRole has the first of three workers end under a request, which may put no other one at risk before that one is
// back. Its repeat waits for that, though the end is not known at once, and is served then; others are refused, and told when to come
// back.
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
		t.Errorf("after %s the request got %v, %v", time.Since(start), response, err)
	}
	duplicateDone.Wait()
	after, _ := strconv.ParseFloat(duplicate.Header.Get("Retry-After"), 64)
	least := (balance.DefaultRiskSettings().Away - downtime).Seconds()
	if duplicate.StatusCode != http.StatusServiceUnavailable || after < least {
		t.Errorf("a copy got %d, to come back after %.1f s", duplicate.StatusCode, after)
	}
	if len(f.workers.ranAt) != 2 || slices.Contains(f.workers.ranAt[1:], f.workers.ranAt[0]) {
		t.Errorf("it ran at %v", f.workers.ranAt)
	}
}

// TestTheFailureOfASuspectIsHeldUntilOthersAreTold has a worker end under a request that may run once: its caller may send it to another
// gateway at once.
func TestSuspectFailureIsDelayedUntilPeersKnow(t *testing.T) {
	f := newSuspectFixture(t, routing.Rule{Kind: routing.KindRunOnce}, 0)
	start := time.Now()
	response, _, err := f.get(t)
	if err != nil || response.StatusCode != http.StatusBadGateway || time.Since(start) < peerNotifyDelay {
		t.Errorf("after %s the request got %v, %v", time.Since(start), response, err)
	}
}
