package forward

import (
	"context"
	"hash/fnv"
	"time"

	"github.com/granitebay/granitebay/internal/balance"
	"github.com/granitebay/granitebay/internal/pause"
)

// outlook is why no worker takes a request now, and when one is expected to.
type availability struct {
	// loss is the role that is gone; nil where workers live and want no requests for a time, or no more of them.
	loss       *Loss
	expectedAt time.Time
	// full is why workers that live take no requests.
	full balance.Full
}

// outlook returns when a worker is expected to take the request again that none takes now, or false when nothing is known of that.
func (c *call) availability() (availability, bool) {
	d := c.handler.dispatcher
	if loss, lost := d.LossOf(c.match.Group); lost {
		return availability{loss: &loss, expectedAt: loss.Back}, true
	}
	full, known := d.fullUntil(c.match.Group)
	return availability{expectedAt: full.Until, full: full}, known
}

// awaitWorker waits for a worker that takes the request, if none does and one is expected soon. It tells whether to look again.
func (c *call) awaitWorker(ctx context.Context) bool {
	expected, known := c.availability()
	if !known {
		return false
	}
	if expected.full.PerSecond > 0 {
		// The places of workers with limits go to those that come when they are due: more wait than there are. What others hold and do not
		// need is asked for.
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
	// Those that wait do not reach the first worker together: it would have to refuse them again.
	jitter := time.Duration(hashFraction(c.request.ID) * float64(wakeJitter))
	if !pause.For(ctx, min(expected.expectedAt.Sub(now)+jitter, latest.Sub(now))) {
		return false
	}
	c.attempts.reincludeRefused()
	return true
}

// wakeSpread is the time over which requests that wait for a worker are sent to it: the fourth part of the tightest objective of the users'
// deployments that wait so, 0.25 s, and long enough for the answer to the first of them to be there.
const wakeJitter = 60 * time.Millisecond

// awaitRevival waits until an engine of a lost role takes requests, and no longer than a time. It tells whether one does.
func awaitRecovery(ctx context.Context, loss *Loss, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-loss.Revived:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// Bounds of the time after which callers are asked to come back while no worker takes their requests.
const (
	// wordTime is added to when a worker is expected: a question to it, and the word of its answer to all gateways.
	recoveryNoticeTime = 60 * time.Millisecond
	// spreadShare of the time is added at random, so that all that were refused do not come back at one moment.
	retryAfterJitter = 0.15
)

// refuseNow tells the caller that its request did not run, and to come back: when a worker is expected to take it, or shortly.
func (c *call) refuseWithRetryAfter() connAction {
	expected, known := c.availability()
	if !known {
		return respondRetryAfter(c.writer, c.report, ReasonNoWorker, c.handler.settings.RefusedRetryAfter)
	}
	if expected.full.PerSecond > 0 {
		expected.expectedAt = c.handler.dispatcher.bookPlace(c.match.Group.Name, expected.full, c.deadline)
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

// fraction returns a number from 0 up to 1 that looks random, the same one for each id.
func hashFraction(id string) float64 {
	const parts = 1 << 16
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(id))
	return float64(digest.Sum64()%parts) / parts
}
