package forward

import (
	"context"
	"time"
)

// readPrompt has an engine read the prompt.
func (c *call) prefill(ctx context.Context, placement *Placement) (*Prompt, failure) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	engine := placement.Reader
	if !engine.deferred {
		timer := time.AfterFunc(engine.responseTimeout(), func() { cancel(errSilent) })
		defer timer.Stop()
	}
	prompt, err := c.handler.workers.ReadPrompt(ctx, engine.Worker, c.request, ReadOptions{
		Deadline: c.deadline, FetchFrom: placement.FetchFrom, Urgency: placement.urgency(),
	})
	failed := classify(ctx, err)
	if failed != failureRefused && failed != failureMoved && failed != failureUnreachable {
		c.prefills++
	}
	if failed == failureNone {
		engine.answered()
		c.handler.dispatcher.HasRead(engine.Worker, c.request)
	} else {
		c.handler.dispatcher.HasNotRead(engine.Worker, c.request)
		c.report.Err = err
		c.prefillFailures++
	}
	c.guarded.reportFailure(engine.Worker, failed, err)
	c.handler.dispatcher.noteRefused(engine.Worker, err)
	engine.finish(failed.outcome())
	return prompt, failed
}

// urgencyClasses are times of reading up to which prompts are read with an urgency: short ones first, so that few wait for long
// ones.
var urgencyClasses = []struct {
	seconds float64
	urgency int
}{{0.03, 1}, {0.08, 3}, {0.2, 5}}

// leastUrgency is that of the longest prompts that are in time.
const urgencyLongest = 7

// urgencyDeferred is that of prompts whose answers are expected too late.
const urgencyDeferred = 9

// urgency is that of reading the prompt of a placed request.
func (p *Placement) urgency() int {
	if p.Deferred {
		return urgencyDeferred
	}
	return urgencyOf(p.Reader.Score.Reading)
}

// urgencyOf returns the urgency of a prompt that takes so long to read.
func urgencyOf(seconds float64) int {
	for _, class := range urgencyClasses {
		if seconds <= class.seconds {
			return class.urgency
		}
	}
	return urgencyLongest
}

// releaseTimeout bounds the freeing of a prompt that nobody uses.
const releaseTimeout = time.Second

// release frees a prompt that was not used, beside the request.
func (c *call) releasePrompt(prompt *Prompt) {
	if prompt == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		c.handler.workers.ReleasePrompt(ctx, prompt)
	}()
}
