package agent

import (
	"strconv"
	"time"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/decision"
)

// retryCause is why a request is sent again.
type retryCause string

const (
	causeNone         retryCause = ""
	causeNoAnswer     retryCause = "the router did not answer in time"
	causeSilence      retryCause = "the router fell silent"
	causeUnreachable  retryCause = "the connection to the router broke"
	causeMoved        retryCause = "the router is stopping"
	causeElsewhere    retryCause = "the router asked to try another one"
	causeGap          retryCause = "tokens were lost on the way"
	causeInconsistent retryCause = "the run did not fit the tokens that the agent holds"
)

// free tells whether a retry costs no budget, because it adds no load: it takes up a run again, or replaces an attempt
// through a router that is known to be gone.
func (r *request) free(cause retryCause) bool {
	switch cause {
	case causeMoved, causeUnreachable, causeGap:
		return true
	case causeSilence:
		return r.answer.length() > 0
	}
	return false
}

// delay is the time before a retry. The first one after a router went away is sent at once.
func (c *Core) delay(entry *request, cause retryCause) time.Duration {
	count := entry.fruitless
	if cause != causeElsewhere && cause != causeInconsistent {
		count--
	}
	return jittered(exponential(c.settings.BackoffBase, c.settings.BackoffMax, count), c.random)
}

// silent ends an attempt whose router did not answer, or no longer does.
func (c *Core) silent(now time.Time, entry *request, effects *core.Effects) {
	latest := entry.latest()
	cause := causeNoAnswer
	culprit := latest.router
	if latest.heard() {
		cause = causeSilence
		culprit = entry.answering.name
	}
	c.routers.failed(now, culprit, c.random)
	c.retry(now, entry, cause, culprit, effects)
}

// retry ends the latest attempt and plans the next one, or gives the request up.
func (c *Core) retry(now time.Time, entry *request, cause retryCause, culprit string, effects *core.Effects) {
	latest := entry.latest()
	lived := latest.heard() && now.Sub(latest.sentAt) >= c.settings.SilenceTimeout
	if latest.tokens || lived {
		entry.fruitless = 0
	} else {
		entry.fruitless++
	}
	entry.clearGap()
	switch {
	case entry.fruitless >= c.settings.MaxAttempts:
		c.giveUp(now, entry, reason("After "+strconv.Itoa(entry.fruitless)+" attempts in a row without progress, last because "+string(cause)+"."), effects)
		return
	case !entry.free(cause) && !c.budget.take(now):
		c.giveUp(now, entry, reason("The retry budget is used up; the last attempt ended because "+string(cause)+"."), effects)
		return
	}
	entry.retryCause = cause
	entry.retryAt = now.Add(c.delay(entry, cause))
	if !entry.retryAt.After(now) {
		c.sendAttempt(now, entry, effects)
		return
	}
	c.wakeups.earlier(entry, entry.due(c.settings))
}

// sendAttempt sends the request through a router.
func (c *Core) sendAttempt(now time.Time, entry *request, effects *core.Effects) {
	router := c.chooseRouter(now, entry, effects)
	c.endAttempt(entry)
	number := uint32(1)
	if latest := entry.latest(); latest != nil {
		number = latest.number + 1
	}
	entry.attempts = append(entry.attempts, attempt{
		number:       number,
		router:       router.Name,
		address:      router.Address,
		sentAt:       now,
		resumeOffset: entry.answer.length(),
	})
	c.routers.add(router.Name, 1)
	entry.answering = peer{}
	entry.lastHeard = now
	entry.retryAt = time.Time{}
	entry.retryCause = causeNone
	entry.clearGap()
	entry.answer.startAttempt()
	effects.Send(router.Name, router.Address, &granitebayv1.Envelope{
		Body: &granitebayv1.Envelope_Generate{Generate: c.generate(now, entry, number)},
	})
	c.wakeups.set(entry, entry.due(c.settings))
}

// endAttempt takes the latest attempt off the count of its router.
func (c *Core) endAttempt(entry *request) {
	if latest := entry.latest(); latest != nil && !latest.ended {
		latest.ended = true
		c.routers.add(latest.router, -1)
	}
}

// chooseRouter picks the router of the next attempt and records a retry.
func (c *Core) chooseRouter(now time.Time, entry *request, effects *core.Effects) *routerState {
	last := ""
	if latest := entry.latest(); latest != nil && entry.retryCause != causeGap && entry.retryCause != causeNone {
		last = latest.router
	}
	if entry.retryCause == causeGap {
		if same := c.routers.byName[entry.latest().router]; same.filter(now, "") == "" {
			c.decideRetry(now, entry, same, last, effects)
			return same
		}
	}
	router := c.routers.choose(now, c.random, last)
	if entry.retryCause != causeNone {
		c.decideRetry(now, entry, router, last, effects)
	}
	return router
}

func (c *Core) decideRetry(now time.Time, entry *request, router *routerState, last string, effects *core.Effects) {
	latest := entry.latest()
	effects.Decide(decision.Record{
		Kind:       decision.KindRetry,
		Subject:    entry.id,
		Outcome:    router.Name,
		Reason:     "Sent again because " + string(entry.retryCause) + ".",
		Candidates: c.routers.candidates(now, last),
		Inputs: map[string]string{
			"attempt":       strconv.FormatUint(uint64(latest.number)+1, 10),
			"lastRouter":    latest.router,
			"answering":     entry.answering.name,
			"tokens":        strconv.Itoa(len(entry.answer.tokens)),
			"engine":        entry.run.GetEngine(),
			"fruitless":     strconv.Itoa(entry.fruitless),
			"retriesLeft":   strconv.FormatFloat(c.budget.available, 'f', 1, 64),
			"untilDeadline": entry.deadline.Sub(now).String(),
		},
	})
}

// generate makes the message of an attempt. Only work that may be repeated may go on at another engine.
func (c *Core) generate(now time.Time, entry *request, number uint32) *granitebayv1.Generate {
	message := &granitebayv1.Generate{
		Work:            entry.work,
		Attempt:         number,
		RemainingMillis: entry.deadline.Sub(now).Milliseconds(),
		ResumeOffset:    entry.answer.length(),
		Run:             entry.run,
		AgentName:       c.settings.Name,
		AgentAddress:    c.settings.Address,
		MaySwitchEngine: entry.work.GetRepeatable(),
		DeadlineNamed:   entry.deadlineNamed,
	}
	if entry.work.GetRepeatable() {
		held := len(entry.answer.tokens)
		message.PriorTokens = entry.answer.tokens[:held:held]
	}
	return message
}
