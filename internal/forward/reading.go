package forward

import (
	"context"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
)

// readPrompt has an engine read the prompt.
func (c *call) readPrompt(ctx context.Context, placement *Placement) (*Prompt, failure) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	reader := placement.Reader
	if !reader.deferred {
		timer := time.AfterFunc(reader.patience(), func() { cancel(errSilent) })
		defer timer.Stop()
	}
	prompt, err := c.handler.workers.ReadPrompt(ctx, reader.Worker, c.request, ReadOptions{
		Deadline: c.deadline, FetchFrom: placement.FetchFrom, Urgency: placement.urgency(c.request.Demand),
	})
	failed := classify(ctx, err)
	if failed != failureRefused && failed != failureMoved && failed != failureUnreachable {
		c.reads++
	}
	if failed == failureNone {
		reader.answered()
		c.handler.dispatcher.HasRead(reader.Worker, c.request)
	} else {
		c.handler.dispatcher.HasNotRead(reader.Worker, c.request)
		c.report.Err = err
		c.readFailures++
	}
	reader.finish(failed.outcome())
	return prompt, failed
}

// urgencyClasses are lengths up to which prompts are read with an urgency: short ones first, so that few wait for long ones.
var urgencyClasses = []struct{ tokens, urgency int }{{1500, 1}, {4000, 3}, {10000, 5}}

// leastUrgency is that of the longest prompts.
const leastUrgency = 7

// urgencyDeferred is that of prompts whose answers are expected too late.
const urgencyDeferred = 9

// urgency is that of reading the prompt of a placed request.
func (p *Placement) urgency(demand backend.Demand) int {
	if p.Deferred {
		return urgencyDeferred
	}
	return urgencyOf(demand)
}

// urgencyOf returns the urgency of reading a prompt, by what is its own.
func urgencyOf(demand backend.Demand) int {
	own := demand.PromptTokens - sharedPrefixOf(demand, 0).tokens
	for _, class := range urgencyClasses {
		if own <= class.tokens {
			return class.urgency
		}
	}
	return leastUrgency
}

// releaseTimeout bounds the freeing of a prompt that nobody uses.
const releaseTimeout = time.Second

// release frees a prompt that was not used, beside the request.
func (c *call) release(prompt *Prompt) {
	if prompt == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		c.handler.workers.ReleasePrompt(ctx, prompt)
	}()
}
