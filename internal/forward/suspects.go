package forward

import (
	"context"
	"time"
)

// giveUpSuspect ends a request that became known meanwhile as one that may end workers, or of which another copy runs. One that has not run
// comes back, and is told then what was found.
func (c *call) refuseSuspect(reason Reason) connAction {
	if c.attempts.possibleRuns == 0 {
		return respondRetryAfter(c.writer, c.report, reason, c.handler.settings.VerdictRetryAfter)
	}
	return c.giveUp(failureBroken, decisionFail)
}

// turnPoll is how often it is looked whether a suspect that waits may run: the time that other gateways take to tell of an end.
const turnPollInterval = 20 * time.Millisecond

// awaitTurn lets a suspect wait while its role can't lose one more worker, or others come first. One that has not run is refused when a
// worker has to come back before; one that has may not be. It tells whether the request has ended.
func (c *call) awaitTurn(ctx context.Context, suspectKey string) (bool, connAction) {
	turn := c.handler.dispatcher.SuspectTurnOf(c.match.Group, suspectKey, c.attempts.excluded)
	if turn.Exhausted {
		return true, c.giveUp(failureRefused, c.attempts.final(failureRefused))
	}
	if c.isExclusive && c.attempts.possibleRuns > 0 && !turn.WorthWaiting {
		// Copies that wait for a worker to come back would reach it together.
		return true, c.giveUp(failureBroken, decisionFail)
	}
	if c.attempts.possibleRuns == 0 && !turn.WorthWaiting {
		return true, respondRetryAfter(c.writer, c.report, ReasonSuspected, max(turn.Wait, c.handler.settings.RefusedRetryAfter))
	}
	timer := time.NewTimer(turnPollInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return false, connKeep
	case <-ctx.Done():
		failed := classify(ctx, ctx.Err())
		return true, c.giveUp(failed, c.attempts.final(failed))
	}
}
