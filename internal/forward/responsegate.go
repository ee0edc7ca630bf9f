package forward

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/granitebay/granitebay/internal/standstill"
)

// responseTimeout returns how long to wait for the start of a response before trying another worker; zero means no limit.
func (c *call) responseTimeout(runner *Assignment) time.Duration {
	if runner.deferred || c.relay.started || !c.attempts.repeatable() || c.attempts.possibleRuns+1 >= c.match.Rule.MaxAttempts {
		return 0
	}
	return runner.responseTimeout()
}

// abandonSilent abandons a silent worker if there is another worker and the budget has a retry for it, and reports whether it did. Otherwise
// the attempt continues.
func (c *call) abandonSilent(cancel context.CancelCauseFunc, worker string) bool {
	if !c.handler.dispatcher.hasAlternative(c.request, c.match.Group, append(slices.Clone(c.attempts.excluded), worker)) {
		return false
	}
	if !c.handler.dispatcher.RetryBudget(c.match.Group.Name).takeRetry() {
		return false
	}
	c.attempts.retryPrepaid.Store(true)
	cancel(errSilent)
	return true
}

// responseGate decides between forwarding a worker's response and abandoning the worker as silent.
//
// Invariants: only one of the two happens, since otherwise a timer that fires just as the response starts could cut off a response that the
// caller has partly received, and waste a retry; a worker is not abandoned while part of its response has arrived, nor for time in which this
// process stood still.
type responseGate struct {
	// timeout is how long the worker may be silent. tryAbandon is called once it was, with mu held, and reports whether the worker is
	// abandoned.
	timeout    time.Duration
	tryAbandon func() bool

	mu                            sync.Mutex
	silence                       silence
	responded, abandoned, stopped bool
	timer                         *time.Timer
	// due is when the timer is to run check.
	due time.Time
}

// start starts the timeout.
func (g *responseGate) start() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.due = time.Now().Add(g.timeout)
	g.timer = time.AfterFunc(g.timeout, g.check)
}

// check runs when the worker may be silent.
func (g *responseGate) check() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.responded || g.stopped {
		return
	}
	now, again := time.Now(), g.timeout
	if !standstill.IsLate(now, g.due) {
		again = g.silence.confirm()
	}
	if again > 0 {
		g.due = now.Add(again)
		g.timer.Reset(again)
		return
	}
	g.abandoned = g.tryAbandon()
}

// accept marks the response as started and reports whether it may be forwarded.
func (g *responseGate) accept() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.responded = true
	return !g.abandoned
}

// stop ends the timeout. After it, tryAbandon is not called.
func (g *responseGate) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	if g.timer != nil {
		g.timer.Stop()
	}
}
