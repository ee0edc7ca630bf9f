package agent

import (
	"slices"
	"time"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/samber/lo"
)

// call is one caller that waits for a request. Calls with the same idempotency key share a request.
type call struct {
	number   uint64
	deadline time.Time
	// deadlineNamed is set when the caller named the deadline.
	deadlineNamed bool
	// delivered is the number of tokens that the caller got.
	delivered uint32
}

// attempt is one Generate that was sent.
type attempt struct {
	number uint32
	// router to which it was sent, and its address.
	router  string
	address string
	sentAt  time.Time
	// resumeOffset is the number of tokens that the agent held then.
	resumeOffset uint32
	// answeredBy is the first router that answered for the attempt; empty before.
	answeredBy peer
	// answerers are the routers that answered for the attempt, and cleared those of which it is proved that they did not
	// and will not run it. The word of one router does not prove what another does.
	answerers []string
	cleared   []string
	// tokens is set once the attempt brought tokens.
	tokens bool
	// notRun is set when a router proved that this attempt did not and will not run at an engine.
	notRun bool
	// refused is set when a router ended the attempt: later signs of life under it mean nothing.
	refused bool
	// ended is set when the attempt is no longer counted at its router.
	ended bool
}

// peer is a process that answered.
type peer struct {
	name    string
	address string
}

// request is one live request.
type request struct {
	id string
	// key under which callers may join; empty when there is none.
	key      string
	work     *granitebayv1.Work
	sequence uint64
	deadline time.Time
	// deadlineNamed is set when the caller named the deadline; otherwise the rules may set an earlier one.
	deadlineNamed bool
	// cancelAt is when the request is cancelled if it has not started.
	cancelAt time.Time
	calls    []*call
	answer   answer
	// run that was last named by a router.
	run *granitebayv1.RunReference
	// started is set when an engine is known to have begun.
	started  bool
	attempts []attempt
	// answering is the peer that last answered the latest attempt.
	answering peer
	lastHeard time.Time
	// gapSince is when a gap in the tokens was seen; zero when there is none. The gap begins at gapOffset.
	gapSince  time.Time
	gapOffset uint32
	// missingAsked is set when the router was asked for the tokens of the gap.
	missingAsked bool
	// retryAt is when the next attempt is sent; zero while the latest one is waited for.
	retryAt    time.Time
	retryCause retryCause
	// withdrawn is set when a router proved by the claim that no attempt ran or will run.
	withdrawn bool
	// cancelled is set once Cancel was sent ahead of the deadline.
	cancelled bool
	// fruitless counts the attempts in a row that brought nothing.
	fruitless int
	// refusal is the last outcome with which a router sent the agent elsewhere; nil when there was none.
	refusal *granitebayv1.Outcome
	// acknowledged is the offset that the router was last told.
	acknowledged uint32

	wakeAt    time.Time
	heapIndex int
}

// heard tells whether anything came back for the attempt.
func (a *attempt) heard() bool { return a.answeredBy.name != "" }

// answeredFrom notes a router that answers for the attempt.
func (a *attempt) answeredFrom(from peer) {
	if a.answeredBy.name == "" {
		a.answeredBy = from
	}
	if !slices.Contains(a.answerers, from.name) {
		a.answerers = append(a.answerers, from.name)
	}
}

// latest returns the attempt that is waited for.
func (r *request) latest() *attempt {
	if len(r.attempts) == 0 {
		return nil
	}
	return &r.attempts[len(r.attempts)-1]
}

// numbered returns the attempt with a number, or nil.
func (r *request) numbered(number uint32) *attempt {
	for i := len(r.attempts) - 1; i >= 0; i-- {
		if r.attempts[i].number == number {
			return &r.attempts[i]
		}
	}
	return nil
}

// provedNotRun tells whether every attempt is proved not to have run.
func (r *request) provedNotRun() bool {
	if r.started || r.answer.length() > 0 {
		return false
	}
	return r.withdrawn || lo.EveryBy(r.attempts, func(a attempt) bool { return a.provedNotRun() })
}

// provedNotRun tells whether every router that answered for the attempt is proved not to run it.
func (a *attempt) provedNotRun() bool {
	return a.notRun && lo.Every(a.cleared, a.answerers)
}

// due tells when the request must be looked at next.
func (r *request) due(settings Settings) time.Time {
	due := r.deadline
	for _, waiting := range r.calls {
		due = core.Earliest(due, waiting.deadline)
	}
	if r.cancelled {
		return due
	}
	if r.cancelsEarly() {
		due = core.Earliest(due, r.cancelAt)
	}
	if !r.retryAt.IsZero() {
		return core.Earliest(due, r.retryAt)
	}
	if !r.gapSince.IsZero() {
		due = core.Earliest(due, r.gapSince.Add(lo.Ternary(r.missingAsked, settings.GapTimeout, settings.MissingDelay)))
	}
	return core.Earliest(due, r.silentAt(settings))
}

// cancelsEarly tells whether the request is still to be cancelled ahead of its deadline.
func (r *request) cancelsEarly() bool { return !r.cancelled && !r.started && r.answer.length() == 0 }

// silentAt tells when the latest attempt counts as silent.
func (r *request) silentAt(settings Settings) time.Time {
	latest := r.latest()
	if !latest.heard() {
		return latest.sentAt.Add(settings.FirstAnswerTimeout)
	}
	return r.lastHeard.Add(settings.SilenceTimeout)
}

// deliver gives every caller the tokens that it lacks.
func (r *request) deliver(finished bool, effects *core.Effects) {
	for _, waiting := range r.calls {
		waiting.deliver(r.answer.tokens, finished, effects)
	}
}

func (c *call) deliver(tokens []string, finished bool, effects *core.Effects) {
	held := uint32(len(tokens))
	if c.delivered == held && !finished {
		return
	}
	effects.Caller = append(effects.Caller, core.CallerEvent{
		Call:     c.number,
		Offset:   c.delivered,
		Tokens:   tokens[c.delivered:held:held],
		Finished: finished,
	})
	c.delivered = held
}

// fail gives the caller the outcome of a request that was not answered.
func (c *call) fail(outcome *granitebayv1.Outcome, effects *core.Effects) {
	effects.Caller = append(effects.Caller, core.CallerEvent{Call: c.number, Offset: c.delivered, Outcome: outcome})
}
