package forward

import (
	"context"
	"time"
)

// refuseSuspect ends a request that was recognized as a suspect, or of which another copy is running. If it has not run yet, the caller is
// told to retry.
func (c *call) refuseSuspect(reason Reason) connAction {
	if c.attempts.possibleRuns == 0 {
		return respondRetryAfter(c.writer, c.report, reason, c.handler.settings.VerdictRetryAfter)
	}
	return c.giveUp(failureBroken, decisionFail)
}

// turnPollInterval is how often a waiting suspect request checks whether it may run.
const turnPollInterval = 20 * time.Millisecond

// awaitTurn waits while a suspect request may not put another worker at risk. If that takes long, the request is refused unless it may have
// run. It reports whether the request is done.
func (c *call) awaitTurn(ctx context.Context, suspectKey string) (bool, connAction) {
	turn := c.handler.dispatcher.SuspectTurnOf(c.match.Group, suspectKey, c.attempts.excluded)
	if turn.Exhausted {
		return true, c.giveUp(failureRefused, c.attempts.final(failureRefused))
	}
	if c.isExclusive && c.attempts.possibleRuns > 0 && !turn.WorthWaiting {
		// Copies that wait for a worker to come back would all reach it at once.
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
