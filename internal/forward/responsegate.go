package forward

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/ctxsleep"
	"github.com/granitebay/granitebay/internal/httpclient"
)

// responseTimeout returns how long to wait for the start of a response before trying another worker; zero means no limit, because no other
// attempt can follow, or because others wait for what the attempt shows: whether a suspect request crashes its worker.
func (c *call) responseTimeout(runner *Assignment) time.Duration {
	if c.relay.started || !c.attempts.allowsAfterRun() || c.guarded.endsWithAttempt() || c.isExclusive {
		return 0
	}
	return c.timeoutWithin(runner)
}

// prefillTimeout returns how long to wait for a prefilled prompt before trying another engine; zero means no limit, because no other attempt
// can follow.
func (c *call) prefillTimeout(engine *Assignment) time.Duration {
	if !c.attempts.allowsAfterPrefill() || c.guarded.endsWithAttempt() {
		return 0
	}
	return c.timeoutWithin(engine)
}

// timeoutWithin returns the response timeout of a worker, or zero if it has none or too little time would be left for another worker.
func (c *call) timeoutWithin(worker *Assignment) time.Duration {
	timeout := worker.responseTimeout()
	if worker.deferred || time.Until(c.deadline)-timeout < c.handler.settings.MinRemaining {
		return 0
	}
	return timeout
}

// abandonSilent abandons a silent worker if there is time for another one, one can be reached, and the budget has a retry for it. Otherwise the
// attempt continues. The context is that of the attempt, and gate is closed when the attempt ends.
func (c *call) abandonSilent(
	ctx context.Context, gate *responseGate, cancel context.CancelCauseFunc, arrivals *httpclient.Arrivals, others otherWorkers,
) {
	if !c.awaitAlternative(ctx, others) || !confirmSilence(ctx, arrivals) {
		return
	}
	gate.abandon(func() bool {
		if time.Until(c.deadline) < c.handler.settings.MinRemaining {
			// The patience began anew after a standstill, or the other worker was reached late.
			return false
		}
		if !c.handler.dispatcher.RetryBudget(c.match.Group.Name).takeRetry() {
			return false
		}
		c.attempts.retryPrepaid.Store(true)
		cancel(errSilent)
		return true
	})
}

// otherWorkers are the workers at which a request may run after an attempt.
type otherWorkers struct {
	// versions restricts them by the versions of their software. excluded are the worker of the attempt and those of earlier ones.
	versions versionFilter
	excluded []string
}

// othersThan returns the workers at which the request may run after an attempt at a worker that begins now.
func (c *call) othersThan(worker *backend.Worker) otherWorkers {
	return otherWorkers{versions: c.versions(), excluded: append(slices.Clone(c.attempts.excluded), worker.ID)}
}

// firstReachInterval is the time between the first two rounds of attempts to reach another worker. It doubles with each round.
const firstReachInterval = 500 * time.Millisecond

// awaitAlternative reports whether another worker accepts a connection before too little time is left for it or the context ends. It ends at
// once if there is no other worker or no retry in the budget.
func (c *call) awaitAlternative(ctx context.Context, others otherWorkers) bool {
	for interval := firstReachInterval; ; interval *= 2 {
		reached, tried := c.reachAlternative(ctx, others)
		if reached || tried == 0 {
			return reached
		}
		if time.Until(c.deadline)-interval < c.handler.settings.MinRemaining || !ctxsleep.Sleep(ctx, interval) {
			return false
		}
	}
}

// reachAlternative reports whether the budget has a retry and one of the other workers accepts a connection, and how many were tried. One that
// was chosen without that might leave the request without any worker. Workers accept a limited number of connections, so none is opened
// without a retry.
func (c *call) reachAlternative(ctx context.Context, others otherWorkers) (reached bool, tried int) {
	excluded := others.excluded
	for ; tried < maxUnreachableWorkers; tried++ {
		worker := c.handler.dispatcher.alternative(c.request, c.match.Group, others.versions, excluded)
		if worker == nil || !c.hasRetry() {
			return false, tried
		}
		if c.handler.workers.Connect(ctx, worker) == nil {
			return true, tried + 1
		}
		excluded = append(excluded, worker.ID)
	}
	return false, tried
}

// confirmSilence reports whether nothing of a response arrives before the context ends. Part of it may have arrived while another worker was
// being reached.
func confirmSilence(ctx context.Context, arrivals *httpclient.Arrivals) bool {
	silence := httpclient.NewSilence(arrivals)
	for again := silence.Confirm(); again > 0; again = silence.Confirm() {
		if !ctxsleep.Sleep(ctx, again) {
			return false
		}
	}
	return true
}

// responseGate decides between forwarding a worker's response and abandoning the worker as silent.
//
// Invariant: only one of the two happens. Otherwise a timer that fires just as the response starts could cut off a response that the caller
// has partly received, and waste a retry.
type responseGate struct {
	mu                   sync.Mutex
	responded, abandoned bool
}

// accept marks the response as started and reports whether it may be forwarded.
func (g *responseGate) accept() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.responded = true
	return !g.abandoned
}

// abandon calls tryAbandon unless the worker has responded. The worker is abandoned if that returns true.
func (g *responseGate) abandon(tryAbandon func() bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.responded {
		g.abandoned = tryAbandon()
	}
}

// close keeps the worker from being abandoned after its attempt has ended.
func (g *responseGate) close() { g.accept() }
