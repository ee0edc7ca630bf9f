package forward

import (
	"context"
	"time"

	"github.com/granitebay/granitebay/internal/admission"
	"github.com/granitebay/granitebay/internal/httpclient"
)

// prefill has an engine compute the KV cache of the prompt.
func (c *call) prefill(ctx context.Context, placement *Placement) (*PrefilledPrompt, failureKind) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	engine := placement.Prefill
	isEnded := false
	defer engine.finishUnless(&isEnded)
	arrivals := &httpclient.Arrivals{}
	if timeout := c.prefillTimeout(engine); timeout > 0 {
		gate := &responseGate{}
		defer gate.close()
		others := c.othersThan(engine.Worker)
		patience := httpclient.NewPatience(timeout, arrivals, func() { go c.abandonSilent(ctx, gate, cancel, arrivals, others) })
		defer patience.Stop()
	}
	c.guarded.beginAttempt(engine.Worker)
	prompt, err := c.handler.workers.Prefill(ctx, engine.Worker, c.request, PrefillOptions{
		Deadline: c.deadline, FetchFrom: placement.FetchFrom, Urgency: placement.prefillUrgency(), Arrivals: arrivals,
		MaySend: func() error { return c.guarded.beginSend(engine.Worker) },
	})
	failure := classify(ctx, err)
	if failure.mayHaveBeenAccepted() {
		c.prefills++
	}
	if failure == failureNone {
		engine.responseStarted()
		c.handler.dispatcher.RecordPrefilled(engine.Worker, c.request)
	} else {
		c.handler.dispatcher.RecordPrefillFailed(engine.Worker, c.request)
		c.report.Err = err
		c.prefillFailures++
	}
	c.guarded.reportFailure(engine.Worker, failure, err)
	c.handler.dispatcher.recordIfRefused(engine.Worker, err)
	engine.finish(c.outcome(failure))
	isEnded = true
	return prompt, failure
}

// urgencyClasses map expected prefill times of at most seconds to an urgency; lower values go first. Short prompts come first, so that few
// prompts wait for long ones.
var urgencyClasses = []struct {
	seconds float64
	urgency int
}{{0.03, 1}, {0.08, 3}, {0.2, 5}}

// urgencyLongest is the urgency of prompts above the last class that are on time.
const urgencyLongest = 7

// urgencyDeferred is the urgency of prompts whose answers are expected too late.
const urgencyDeferred = 9

// defaultUrgency returns the urgency at decode engines of requests whose group distinguishes no priorities.
func defaultUrgency(deferred bool) int {
	if deferred {
		return urgencyDeferred
	}
	return admission.DefaultUrgency
}

// prefillUrgency returns the urgency for prefilling the prompt of a placed request.
func (p *Placement) prefillUrgency() int {
	switch {
	case p.Deferred && admission.IsLate(p.Urgency):
		return p.Urgency
	case p.Deferred:
		return urgencyDeferred
	}
	return urgencyOf(p.Prefill.Score.Prefill)
}

// urgencyOf returns the urgency of a prompt by its expected prefill time.
func urgencyOf(seconds float64) int {
	for _, class := range urgencyClasses {
		if seconds <= class.seconds {
			return class.urgency
		}
	}
	return urgencyLongest
}

// releaseTimeout bounds the call that releases an unused prompt.
const releaseTimeout = time.Second

// releasePrompt releases an unused prompt in the background.
func (c *call) releasePrompt(prompt *PrefilledPrompt) {
	if prompt == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		c.handler.workers.ReleasePrompt(ctx, prompt)
	}()
}
