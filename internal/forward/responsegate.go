package forward

import (
	"context"
	"slices"
	"sync"
	"time"
)

// patience returns how long to wait for the first sign of an answer before another worker is tried, or zero for no bound.
func (c *call) responseTimeout(runner *Assignment) time.Duration {
	if runner.deferred || c.relay.started || !c.attempts.repeatable() || c.attempts.possibleRuns+1 >= c.match.Rule.MaxAttempts {
		return 0
	}
	return runner.responseTimeout()
}

// leave gives up a silent worker if there are another one and a repeat for it. Otherwise the worker may still answer.
func (c *call) abandonSilent(gate *responseGate, cancel context.CancelCauseFunc, worker string) {
	gate.abandon(func() bool {
		if !c.handler.dispatcher.hasAlternative(c.request, c.match.Group, append(slices.Clone(c.attempts.excluded), worker)) {
			return false
		}
		if !c.handler.dispatcher.Repeats(c.match.Group.Name).spend() {
			return false
		}
		c.attempts.retryPrepaid.Store(true)
		cancel(errSilent)
		return true
	})
}

// silence is that of a worker before the first sign of its answer.
//
// Invariant: a worker is left, or its answer is passed on, never both. A timer that fires just as the answer begins, as after a standstill
// of the process, would cut an answer of which the caller has a part, and spend a repeat on it.
type responseGate struct {
	mu                   sync.Mutex
	responded, abandoned bool
}

// end notes the first sign of an answer and tells whether it may be passed on.
func (s *responseGate) accept() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responded = true
	return !s.abandoned
}

// leave gives the worker up, unless it has answered or the way of giving up fails.
func (s *responseGate) abandon(giveUp func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.responded {
		s.abandoned = giveUp()
	}
}
