package forward

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/ctxsleep"
	"github.com/granitebay/granitebay/internal/poison"
)

// refuseSuspect ends a suspect request that may not run now. If it has not run yet, the caller is told to retry.
func (c *call) refuseSuspect(reason Reason) connAction {
	if c.attempts.possibleRuns == 0 {
		return respondRetryAfter(c.writer, c.report, reason, c.handler.settings.VerdictRetryAfter)
	}
	return c.giveUp(failureBroken, decisionFail)
}

// respondBarred rejects a request that is barred, or has a barred part. Sending it again does not help, so there is no time to come back.
func respondBarred(writer http.ResponseWriter, report *Report, guarded *guardedRequest, bar poison.Bar) connAction {
	digest := guarded.requestDigest()
	report.RequestDigest = &digest
	until := bar.Until.UTC().Format(time.RFC3339)
	if !bar.Part.IsZero() {
		report.Err = errors.Newf("admit: %d workers crashed while running requests with the part %s; it is barred until %s as %s", len(bar.Workers),
			bar.Part, until, bar.Digest)
		return respondError(writer, report, http.StatusUnprocessableEntity, ReasonPartBarred)
	}
	report.Err = errors.Newf("admit: %d workers crashed while running the request: %s; it is barred until %s", len(bar.Workers),
		strings.Join(bar.Workers, ", "), until)
	return respondError(writer, report, http.StatusUnprocessableEntity, ReasonBarred)
}

// refuseBlocked ends a request that is pending or barred, if its caller has nothing of the answer yet.
func (c *call) refuseBlocked(status poison.Status, bar poison.Bar) connAction {
	if status == poison.Barred && !bar.Part.IsZero() && !c.relay.started {
		return respondBarred(c.writer, c.report, c.guarded, bar)
	}
	return c.refuseSuspect(ReasonVerdictPending)
}

// statusAtVersions returns the status of a request that was not placed under a filter of versions: Barred or Pending, with such a bar, if a part
// of its prompt is so at the software version of each worker that could run it, else Clear.
func (c *call) statusAtVersions(versions versionFilter) (poison.Status, poison.Bar) {
	_, bar := c.guarded.barredVersions()
	dispatcher, group := c.handler.dispatcher, c.match.Group
	isLeft := dispatcher.hasVersion(group, versions, nil) || !dispatcher.hasVersion(group, versionFilter{bound: versions.bound}, nil)
	switch {
	case bar.Part.IsZero() || len(versions.barred) == 0 || isLeft:
		return poison.Clear, poison.Bar{}
	case c.handler.guard.IsBarred(bar):
		return poison.Barred, bar
	default:
		return poison.Pending, bar
	}
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
	if ctxsleep.Sleep(ctx, turnPollInterval) {
		return false, connKeep
	}
	return true, c.giveUp(classify(ctx, ctx.Err()), c.attempts.final())
}
