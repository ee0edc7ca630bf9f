package forward

import (
	"context"
	"time"
)

// refuseSuspect ends a suspect request that may not run now. If it has not run yet, the caller is told to retry.
func (c *call) refuseSuspect(reason Reason) connAction {
	if c.attempts.possibleRuns == 0 {
		return respondRetryAfter(c.writer, c.report, reason, c.handler.settings.VerdictRetryAfter)
	}
	return c.giveUp(failureBroken, decisionFail)
}

// turnPollInterval is how often a waiting suspect request checks whether it may run.
const turnPollInterval = 20 * time.Millisecond

// awaitTurn waits one poll interval for a suspect request's turn. It ends the request if it was tried at all workers at which it may run,
// or if a crashed worker would have to be replaced first and the request has not run or is the exclusive copy. It reports whether the
// request is done.
func (c *call) awaitTurn(ctx context.Context, options PlaceOptions) (bool, connAction) {
	turn := c.handler.dispatcher.suspectTurn(c.match.Group, options)
	if turn.Exhausted {
		return true, c.giveUp(failureRefused, c.attempts.final())
	}
	if c.isExclusive && c.attempts.possibleRuns > 0 && !turn.IsShort {
		// Otherwise all waiting copies would reach the replacement worker at once.
		return true, c.giveUp(failureBroken, decisionFail)
	}
	if c.attempts.possibleRuns == 0 && !turn.IsShort {
		return true, respondRetryAfter(c.writer, c.report, ReasonSuspected, max(turn.Wait, c.handler.settings.RefusedRetryAfter))
	}
	timer := time.NewTimer(turnPollInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return false, connKeep
	case <-ctx.Done():
		failure := classify(ctx, ctx.Err())
		return true, c.giveUp(failure, c.attempts.final())
	}
}
