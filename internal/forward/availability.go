package forward

import (
	"context"
	"hash/fnv"
	"time"

	"github.com/granitebay/granitebay/internal/balance"
	"github.com/granitebay/granitebay/internal/ctxsleep"
)

// availability says why no worker accepts a request now, and when one is expected to.
type availability struct {
	// loss is the lost role; nil if the workers are up but backing off or at their limits.
	loss       *RoleLoss
	expectedAt time.Time
	// full says why workers that are up accept no requests.
	full balance.RoleFull
}

// availability returns when a worker is expected to accept the request, or false if that is unknown.
func (c *call) availability() (availability, bool) {
	d := c.handler.dispatcher
	if loss, lost := d.RoleLoss(c.match.Group); lost {
		return availability{loss: &loss, expectedAt: loss.ExpectedAt}, true
	}
	full, known := d.saturatedUntil(c.match.Group)
	return availability{expectedAt: full.Until, full: full}, known
}

// awaitWorker waits for a worker to accept the request if one is expected soon. It reports whether to try placement again.
func (c *call) awaitWorker(ctx context.Context) bool {
	expected, known := c.availability()
	if !known {
		return false
	}
	if expected.full.PerSecond > 0 {
		// Waiting does not help at rate-limited workers: capacity goes to requests that arrive when it becomes available. Other gateways
		// may lend unused capacity.
		return c.handler.dispatcher.borrow(ctx, c.match.Group)
	}
	objective := c.match.Rule.Objective
	latest := c.report.Arrived.Add(time.Duration(c.handler.settings.HoldFraction * float64(objective)))
	if until := c.deadline.Add(-c.handler.settings.MinRemaining); until.Before(latest) {
		latest = until
	}
	now := c.handler.dispatcher.now()
	if expected.expectedAt.After(latest) || !now.Before(latest) {
		return false
	}
	if expected.loss != nil {
		return awaitRecovery(ctx, expected.loss, latest.Sub(now))
	}
	// The jitter keeps waiting requests from reaching the first worker at once and being refused again.
	jitter := time.Duration(hashFraction(c.request.ID) * float64(wakeJitter))
	if !ctxsleep.Sleep(ctx, min(expected.expectedAt.Sub(now)+jitter, latest.Sub(now))) {
		return false
	}
	c.attempts.reincludeRefused()
	return true
}

// wakeJitter is the interval over which requests that wait for a worker are sent. It is long enough to see the first of them answered.
const wakeJitter = 60 * time.Millisecond

// awaitRecovery waits, up to the timeout, until an engine of a lost role accepts requests. It reports whether one does.
func awaitRecovery(ctx context.Context, loss *RoleLoss, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-loss.Recovered:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// Bounds of the Retry-After time while no worker accepts requests.
const (
	// recoveryNoticeTime is the delay from a worker's recovery until all gateways know of it.
	recoveryNoticeTime = 60 * time.Millisecond
	// retryAfterJitter is the fraction of the time that is added as jitter, so that refused callers do not return all at once.
	retryAfterJitter = 0.15
)

// refuseWithRetryAfter tells the caller that its request did not run and when to retry.
func (c *call) refuseWithRetryAfter() connAction {
	expected, known := c.availability()
	if !known {
		return respondRetryAfter(c.writer, c.report, ReasonNoWorker, c.handler.settings.RefusedRetryAfter)
	}
	if expected.full.PerSecond > 0 {
		expected.expectedAt = c.handler.dispatcher.reserveSlot(c.match.Group.Name, expected.full, c.deadline)
	}
	after := max(expected.expectedAt.Sub(c.handler.dispatcher.now()), 0) + recoveryNoticeTime
	after += time.Duration(retryAfterJitter * hashFraction(c.request.ID) * float64(after))
	reason := ReasonBackOff
	switch {
	case expected.loss != nil:
		c.report.Loss = expected.loss
		reason = ReasonRoleLost
	case expected.full.PerSecond > 0:
		reason = ReasonRateLimit
	}
	return respondRetryAfter(c.writer, c.report, reason, after.Round(time.Millisecond))
}

// hashFraction returns a pseudo-random number in [0, 1) that depends only on the id.
func hashFraction(id string) float64 {
	const parts = 1 << 16
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(id))
	return float64(digest.Sum64()%parts) / parts
}
