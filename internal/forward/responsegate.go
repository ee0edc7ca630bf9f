package forward

import (
	"context"
	"slices"
	"sync"
	"time"
)

// responseTimeout returns how long to wait for the start of a response before trying another worker; zero means no limit, because no other
// attempt can follow.
func (c *call) responseTimeout(runner *Assignment) time.Duration {
	if c.relay.started || !c.attempts.allowsAfterRun() {
		return 0
	}
	return c.timeoutWithin(runner)
}

// prefillTimeout returns how long to wait for a prefilled prompt before trying another engine; zero means no limit, because no other attempt
// can follow.
func (c *call) prefillTimeout(engine *Assignment) time.Duration {
	if !c.attempts.allowsAfterPrefill() {
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

// abandonSilent abandons a silent worker if there is time for another one, there is one, and the budget has a retry for it. Otherwise the
// attempt continues.
func (c *call) abandonSilent(gate *responseGate, cancel context.CancelCauseFunc, worker string) {
	gate.abandon(func() bool {
		if time.Until(c.deadline) < c.handler.settings.MinRemaining {
			// The patience began anew after a standstill.
			return false
		}
		if !c.handler.dispatcher.hasAlternative(c.request, c.match.Group, c.boundVersion(), append(slices.Clone(c.attempts.excluded), worker)) {
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
